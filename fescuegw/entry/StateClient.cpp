#include "fescuegw/entry/StateClient.h"

#include <algorithm>

namespace fescuegw::entry {

StateClient::StateClient(StateClientOptions options, std::vector<std::string> replicas, StateClientHooks hooks)
    : m_options(options)
    , m_replicas(std::move(replicas))
    , m_hooks(std::move(hooks))
{
}

void StateClient::propose(const wire::Command& command, dispatch::ResultHook hook)
{
    m_batch.emplace_back(command, std::move(hook));
}

void StateClient::fetchOpenClaims(TimePoint now, const std::string& service, uint64_t epoch, dispatch::ClaimsHook hook)
{
    wire::StateRequest open;
    open.mutable_open_claims()->set_service(service);
    open.mutable_open_claims()->set_epoch(epoch);
    request(
        now, open, [hook = std::move(hook)](TimePoint then, const wire::StateReply& reply) { hook(then, reply.open_claims()); });
}

void StateClient::lookup(TimePoint now, const SubmissionKey& key, dispatch::LookupHook hook)
{
    wire::StateRequest read;
    read.mutable_lookup()->set_team(key.team);
    read.mutable_lookup()->set_id(key.id);
    request(now, read, [hook = std::move(hook)](TimePoint then, const wire::StateReply& reply) { hook(then, reply.lookup()); });
}

void StateClient::request(TimePoint now, wire::StateRequest request, ReplyHook reply)
{
    const uint64_t id = ++m_nextId;
    Outstanding& added = m_requests[id];
    added.request = std::move(request);
    added.request.set_request_id(id);
    added.reply = std::move(reply);
    transmit(now, added);
}

void StateClient::transmit(TimePoint now, Outstanding& outstanding)
{
    outstanding.due = now + m_options.requestTimeout;
    m_hooks.send(m_replicas[m_target], outstanding.request);
}

void StateClient::rotate() { m_target = (m_target + 1) % m_replicas.size(); }

void StateClient::onReply(TimePoint now, const std::string& replica, const wire::StateReply& reply)
{
    m_lastReply = now;
    if (reply.not_leader()) {
        const std::string leader = "replica-" + std::to_string(reply.leader());
        const auto known = std::find(m_replicas.begin(), m_replicas.end(), leader);
        if (known != m_replicas.end() && leader != replica)
            m_target = static_cast<size_t>(known - m_replicas.begin());
        else if (m_replicas[m_target] == replica)
            rotate();
        const auto it = m_requests.find(reply.request_id());
        if (it != m_requests.end())
            it->second.due = now + m_options.retryPause;
        if (reply.request_id() == m_heartbeatId)
            m_heartbeatDue = now + m_options.retryPause;
        return;
    }
    m_lastContact = now;
    m_contacted = true;
    if (reply.has_heartbeat()) {
        if (!reply.heartbeat().has_view() || reply.heartbeat().view().revision() < m_revision)
            return;
        const wire::View& view = reply.heartbeat().view();
        m_revision = view.revision();
        m_entriesRevision = view.entries_revision();
        m_configurationVersion = view.configuration_version();
        m_hooks.onView(now, view);
        return;
    }
    const auto it = m_requests.find(reply.request_id());
    if (it == m_requests.end())
        return;
    const ReplyHook hook = std::move(it->second.reply);
    m_requests.erase(it);
    hook(now, reply);
}

void StateClient::sendBatch(TimePoint now)
{
    while (!m_batch.empty()) {
        const auto n = std::min(m_batch.size(), static_cast<size_t>(m_options.commandsPerRequest));
        wire::StateRequest proposal;
        std::vector<dispatch::ResultHook> hooks;
        for (size_t i = 0; i < n; ++i) {
            proposal.mutable_propose()->add_commands()->Swap(&m_batch[i].first);
            hooks.push_back(std::move(m_batch[i].second));
        }
        m_batch.erase(m_batch.begin(), m_batch.begin() + static_cast<std::ptrdiff_t>(n));
        request(now, std::move(proposal), [hooks = std::move(hooks)](TimePoint then, const wire::StateReply& reply) {
            for (int i = 0; i < reply.propose().results_size() && static_cast<size_t>(i) < hooks.size(); ++i)
                hooks[static_cast<size_t>(i)](then, reply.propose().results(i));
        });
    }
}

void StateClient::flush(TimePoint now, const wire::EntryInfo& self)
{
    sendBatch(now);
    if (now >= m_heartbeatDue) {
        // An unanswered heartbeat means that the replica is gone or frozen: try another.
        const bool unanswered = m_heartbeatSent > m_lastReply && now - m_lastReply > m_options.requestTimeout;
        if (unanswered) {
            rotate();
            m_lastReply = now;
        }
        m_heartbeatDue = now + m_options.heartbeatInterval;
        m_heartbeatId = ++m_nextId;
        m_heartbeatSent = now;
        wire::StateRequest heartbeat;
        heartbeat.set_request_id(m_heartbeatId);
        *heartbeat.mutable_heartbeat()->mutable_entry() = self;
        heartbeat.mutable_heartbeat()->set_known_revision(m_revision);
        heartbeat.mutable_heartbeat()->set_known_entries_revision(m_entriesRevision);
        heartbeat.mutable_heartbeat()->set_configuration_version(m_configurationVersion);
        m_hooks.send(m_replicas[m_target], heartbeat);
    }
    for (auto& it : m_requests)
        if (now >= it.second.due)
            transmit(now, it.second);
}

} // namespace fescuegw::entry
