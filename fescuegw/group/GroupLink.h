// Links from a process to the replicas of the state group.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fescuegw/group/StateClient.h"
#include "fescuegw/net/Hub.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::group {

// See StateClientHooks. All are optional.
struct GroupLinkHooks {
    std::function<void(TimePoint, const wire::View&)> onView;
    std::function<void(TimePoint, const wire::Routing&)> onRouting;
    std::function<void(TimePoint, bool reachable)> onReachable;
};

// Connects a hub to configured and discovered replicas and owns the client of the group. The owner of the hub forwards its
// events to this class. Used only on the thread that runs the hub, except for `addReplicas`.
class GroupLink {
public:
    // Connects to `replicas`. `hub` must outlive this object.
    GroupLink(net::Hub& hub, const StateClientOptions&, const std::vector<settings::Address>& replicas, GroupLinkHooks);

    StateClient& client() { return *m_client; }

    // Handles a message from a replica. Returns false, and does nothing, if the peer is not a replica.
    bool onMessage(TimePoint now, const net::Peer&, const std::string& content);
    // Handles an undeliverable message to a replica. Returns false, and does nothing, if the peer is not a replica.
    bool onUndeliverable(TimePoint now, const net::Peer&, const std::string& content);

    // Adds replicas to connect to. Thread-safe.
    void addReplicas(const std::vector<settings::Address>& replicas);

private:
    net::Hub& m_hub;
    std::unique_ptr<StateClient> m_client;
};

} // namespace fescuegw::group
