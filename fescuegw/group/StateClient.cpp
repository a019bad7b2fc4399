#include "fescuegw/group/StateClient.h"

#include <algorithm>
#include <limits>

#include "fescuegw/settings/Settings.h"

namespace fescuegw::group {

StateClient::StateClient(StateClientOptions options, std::vector<std::string> replicas, StateClientHooks hooks)
    : m_options(options)
    , m_replicas(std::move(replicas))
    , m_hooks(std::move(hooks))
{
}

void StateClient::propose(const wire::Command& command, ResultHook hook)
{
    m_queuedCommands.emplace_back(command, std::move(hook));
}

void StateClient::fetchOpenClaims(TimePoint now, const std::string& service, uint64_t epoch, ClaimsHook hook)
{
    wire::StateRequest claimsRequest;
    claimsRequest.mutable_open_claims()->set_service(service);
    claimsRequest.mutable_open_claims()->set_epoch(epoch);
    request(now, claimsRequest,
        [hook = std::move(hook)](TimePoint then, const wire::StateReply& reply) { hook(then, reply.open_claims()); });
}

void StateClient::lookup(TimePoint now, const SubmissionKey& key, LookupHook hook)
{
    wire::StateRequest lookupRequest;
    lookupRequest.mutable_lookup()->set_team(key.team);
    lookupRequest.mutable_lookup()->set_id(key.id);
    request(now, lookupRequest,
        [hook = std::move(hook)](TimePoint then, const wire::StateReply& reply) { hook(then, reply.lookup()); });
}

void StateClient::request(TimePoint now, wire::StateRequest request, ReplyHook reply)
{
    const uint64_t id = ++m_nextId;
    PendingRequest& added = m_pendingRequests[id];
    added.request = std::move(request);
    added.request.set_request_id(id);
    added.reply = std::move(reply);
    sendRequest(now, added);
}

void StateClient::sendRequest(TimePoint now, PendingRequest& pending)
{
    if (m_replicas.empty()) {
        pending.retryAt = now;
        return;
    }
    pending.retryAt = now + m_options.requestTimeout;
    m_hooks.send(m_replicas[m_targetIndex], pending.request);
}

void StateClient::selectNextReplica(TimePoint now)
{
    m_targetIndex = (m_targetIndex + 1) % m_replicas.size();
    m_targetSince = now;
}

void StateClient::addReplicas(const std::vector<std::string>& replicas)
{
    for (const auto& it : replicas) {
        if (it.empty() || std::find(m_replicas.begin(), m_replicas.end(), it) != m_replicas.end())
            continue;
        m_replicas.push_back(it);
        if (m_hooks.onReplica)
            m_hooks.onReplica(it);
    }
}

// Removed replicas stay in the list: they cost one attempt in the search for a leader, and may be the only configured ones.
void StateClient::addReplicasFrom(const wire::StateReply& reply)
{
    std::vector<std::string> found(reply.member_addresses().begin(), reply.member_addresses().end());
    found.push_back(reply.leader_address());
    std::erase_if(found, [](const std::string& it) { return !settings::parseAddress(it); });
    addReplicas(found);
}

void StateClient::setReachable(TimePoint now, bool reachable)
{
    if (m_reachable == reachable)
        return;
    m_reachable = reachable;
    if (m_hooks.onReachable)
        m_hooks.onReachable(now, reachable);
}

void StateClient::scheduleRetry(TimePoint now, uint64_t requestId)
{
    const auto it = m_pendingRequests.find(requestId);
    if (it != m_pendingRequests.end())
        it->second.retryAt = now + m_options.retryDelay;
    if (requestId == m_heartbeatId)
        m_nextHeartbeat = now + m_options.retryDelay;
}

// Moves on after `retryDelay`, since some replicas of a starting group may not listen yet. Waiting for the request time-out would
// take ten times as long.
void StateClient::onUndeliverable(TimePoint now, const std::string& replica, const wire::StateRequest& request)
{
    if (m_replicas[m_targetIndex] == replica)
        selectNextReplica(now);
    scheduleRetry(now, request.request_id());
}

void StateClient::onReply(TimePoint now, const std::string& replica, const wire::StateReply& reply)
{
    m_lastReply = now;
    addReplicasFrom(reply);
    if (reply.not_leader()) {
        const auto known = std::find(m_replicas.begin(), m_replicas.end(), reply.leader_address());
        if (known != m_replicas.end() && *known != replica)
            m_targetIndex = static_cast<size_t>(known - m_replicas.begin());
        else if (m_replicas[m_targetIndex] == replica)
            selectNextReplica(now);
        scheduleRetry(now, reply.request_id());
        return;
    }
    m_lastContact = now;
    m_hasContact = true;
    setReachable(now, true);
    if (reply.has_heartbeat()) {
        // A reply to an older heartbeat is not counted; the reply to the newest one confirms a later time.
        if (reply.request_id() == m_heartbeatId)
            m_confirmedAsOf = m_heartbeatSent;
        onHeartbeat(now, reply.heartbeat());
        return;
    }
    const auto it = m_pendingRequests.find(reply.request_id());
    if (it == m_pendingRequests.end())
        return;
    const ReplyHook hook = std::move(it->second.reply);
    m_pendingRequests.erase(it);
    hook(now, reply);
}

void StateClient::onHeartbeat(TimePoint now, const wire::HeartbeatReply& reply)
{
    if (reply.has_routing() && reply.routing().version() > m_routingVersion) {
        m_routingVersion = reply.routing().version();
        if (m_hooks.onRouting)
            m_hooks.onRouting(now, reply.routing());
    }
    if (!reply.has_view() || reply.view().revision() < m_revision)
        return;
    const wire::View& view = reply.view();
    m_revision = view.revision();
    m_entriesRevision = view.entries_revision();
    m_configurationVersion = view.configuration_version();
    if (m_hooks.onView)
        m_hooks.onView(now, view);
}

void StateClient::sendProposals(TimePoint now)
{
    while (!m_queuedCommands.empty()) {
        const auto n = std::min(m_queuedCommands.size(), static_cast<size_t>(m_options.commandsPerRequest));
        wire::StateRequest proposal;
        std::vector<ResultHook> hooks;
        for (size_t i = 0; i < n; ++i) {
            proposal.mutable_propose()->add_commands()->Swap(&m_queuedCommands[i].first);
            hooks.push_back(std::move(m_queuedCommands[i].second));
        }
        m_queuedCommands.erase(m_queuedCommands.begin(), m_queuedCommands.begin() + static_cast<std::ptrdiff_t>(n));
        request(now, std::move(proposal), [hooks = std::move(hooks)](TimePoint then, const wire::StateReply& reply) {
            for (int i = 0; i < reply.propose().results_size() && static_cast<size_t>(i) < hooks.size(); ++i)
                hooks[static_cast<size_t>(i)](then, reply.propose().results(i));
        });
    }
}

void StateClient::sendHeartbeat(TimePoint now, const wire::EntryInfo& self)
{
    // No reply since the last heartbeat within the request time-out: the replica is down or hung, so try another.
    if (m_heartbeatSent > m_lastReply && now - std::max(m_lastReply, m_targetSince) > m_options.requestTimeout)
        selectNextReplica(now);
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    m_heartbeatId = ++m_nextId;
    m_heartbeatSent = now;
    wire::StateRequest request;
    request.set_request_id(m_heartbeatId);
    wire::EntryHeartbeat& heartbeat = *request.mutable_heartbeat();
    *heartbeat.mutable_entry() = self;
    heartbeat.set_known_revision(m_revision);
    heartbeat.set_known_entries_revision(m_entriesRevision);
    heartbeat.set_configuration_version(m_configurationVersion);
    // A process without use for the routing, such as an agent, claims to know any version: with many agents, a change of a large
    // routing would occupy the leader for seconds.
    heartbeat.set_known_routing_version(m_hooks.onRouting ? m_routingVersion : std::numeric_limits<uint64_t>::max());
    m_hooks.send(m_replicas[m_targetIndex], request);
}

void StateClient::refreshView(TimePoint now)
{
    m_nextHeartbeat = std::min(m_nextHeartbeat, std::max(now, m_heartbeatSent + m_options.refreshSpacing));
}

void StateClient::flush(TimePoint now, const wire::EntryInfo& self)
{
    // Settings may name the first replica only when they are reloaded.
    if (m_replicas.empty())
        return;
    sendProposals(now);
    if (m_reachable && now - m_lastContact > m_options.unreachableTimeout)
        setReachable(now, false);
    if (now >= m_nextHeartbeat)
        sendHeartbeat(now, self);
    for (auto& it : m_pendingRequests)
        if (now >= it.second.retryAt)
            sendRequest(now, it.second);
}

} // namespace fescuegw::group
