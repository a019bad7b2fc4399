// Lookup of the queue that a request addresses.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <registry.pb.h>

namespace fescuegw::direct {

// A route, and the part of the path after its prefix.
struct RouteMatch {
    const wire::Route* route = nullptr;
    std::string remainder;
};

// The routing in force. Not thread-safe.
class RouteTable {
public:
    // Adopts `routing` if it is newer than the one in force. Returns whether it was adopted.
    bool replace(const wire::Routing& routing);

    // Returns 0 before the first routing.
    uint64_t version() const { return m_routing.version(); }

    // Returns the route of `host` with the longest prefix of `path`.
    std::optional<RouteMatch> find(std::string_view host, std::string_view path) const;

private:
    wire::Routing m_routing;
    // Routes by host and prefix.
    std::map<std::string, std::map<std::string, const wire::Route*, std::less<>>, std::less<>> m_routes;
};

} // namespace fescuegw::direct
