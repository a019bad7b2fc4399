// The links from a process to the replicas of the state group.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fescuegw/group/StateClient.h"
#include "fescuegw/net/Hub.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::group {

// See StateClientHooks; each may be left out.
struct GroupLinkHooks {
    std::function<void(TimePoint, const wire::View&)> onView;
    std::function<void(TimePoint, const wire::Routing&)> onRouting;
    std::function<void(TimePoint, bool reachable)> onReachable;
};

// Connects a hub to the replicas that are known and become known, and hands their messages to a client of the group. The hub
// passes its events on. Belongs to the thread that runs the hub, `addReplicas` apart.
class GroupLink {
public:
    // Connects to `replicas`. `hub` outlives the link.
    GroupLink(net::Hub& hub, const StateClientOptions&, const std::vector<settings::Address>& replicas, GroupLinkHooks);

    StateClient& client() { return *m_client; }

    // Returns whether the message came from a replica.
    bool onMessage(TimePoint now, const net::Peer&, const std::string& content);
    // Returns whether the message was for a replica.
    bool onUndeliverable(TimePoint now, const net::Peer&, const std::string& content);

    // Thread-safe.
    void addReplicas(const std::vector<settings::Address>& replicas);

private:
    net::Hub& m_hub;
    std::unique_ptr<StateClient> m_client;
};

} // namespace fescuegw::group
