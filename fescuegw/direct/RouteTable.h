// Which queue a request is for.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <registry.pb.h>

namespace fescuegw::direct {

// A route and what the path holds behind its prefix.
struct RouteMatch {
    const wire::Route* route = nullptr;
    std::string rest;
};

// The routing in force. Not thread-safe.
class RouteTable {
public:
    // Takes over `routing` unless it is older than the one in force. Returns whether it did.
    bool replace(const wire::Routing& routing);

    // Returns 0 before the first routing.
    uint64_t version() const { return m_routing.version(); }

    // Returns the route of `host` with the longest prefix that `path` begins with.
    std::optional<RouteMatch> find(std::string_view host, std::string_view path) const;

private:
    wire::Routing m_routing;
    // Routes by host and prefix.
    std::map<std::string, std::map<std::string, const wire::Route*, std::less<>>, std::less<>> m_routes;
};

} // namespace fescuegw::direct
