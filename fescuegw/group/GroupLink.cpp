#include "fescuegw/group/GroupLink.h"

#include "fescuegw/logging/Log.h"

namespace fescuegw::group {

using logging::Event;
using logging::Level;

namespace {

    constexpr std::string_view replicaPrefix = "replica-";

    std::string linkName(const std::string& address) { return std::string(replicaPrefix) + address; }

    bool isReplica(const net::Peer& peer)
    {
        return peer.direction == net::Peer::Direction::Connected && peer.name.starts_with(replicaPrefix);
    }

    std::vector<std::string> toTexts(const std::vector<settings::Address>& addresses)
    {
        std::vector<std::string> list;
        list.reserve(addresses.size());
        for (const auto& it : addresses)
            list.push_back(it.text());
        return list;
    }

} // namespace

GroupLink::GroupLink(
    net::Hub& hub, const StateClientOptions& options, const std::vector<settings::Address>& replicas, GroupLinkHooks hooks)
    : m_hub(hub)
{
    StateClientHooks clientHooks;
    clientHooks.send = [this](const std::string& replica, const wire::StateRequest& request) {
        wire::StateEnvelope envelope;
        *envelope.mutable_request() = request;
        m_hub.send({ net::Peer::Direction::Connected, linkName(replica) }, envelope.SerializeAsString());
    };
    clientHooks.onReplica = [this](const std::string& replica) { m_hub.connect(linkName(replica), replica); };
    clientHooks.onView = std::move(hooks.onView);
    clientHooks.onRouting = std::move(hooks.onRouting);
    clientHooks.onReachable = std::move(hooks.onReachable);
    for (const auto& it : replicas)
        m_hub.connect(linkName(it.text()), it.text());
    m_client = std::make_unique<StateClient>(options, toTexts(replicas), std::move(clientHooks));
}

bool GroupLink::onMessage(TimePoint now, const net::Peer& peer, const std::string& content)
{
    if (!isReplica(peer))
        return false;
    wire::StateEnvelope envelope;
    if (envelope.ParseFromString(content) && envelope.has_reply())
        m_client->onReply(now, peer.name.substr(replicaPrefix.size()), envelope.reply());
    else
        Event(Level::Warn, "malformed_message").with("peer", peer.name);
    return true;
}

bool GroupLink::onUndeliverable(TimePoint now, const net::Peer& peer, const std::string& content)
{
    if (!isReplica(peer))
        return false;
    wire::StateEnvelope envelope;
    if (envelope.ParseFromString(content))
        m_client->onUndeliverable(now, peer.name.substr(replicaPrefix.size()), envelope.request());
    return true;
}

void GroupLink::addReplicas(const std::vector<settings::Address>& replicas)
{
    m_hub.post([this, added = toTexts(replicas)](TimePoint /*now*/) { m_client->addReplicas(added); });
}

} // namespace fescuegw::group
