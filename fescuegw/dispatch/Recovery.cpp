// Takeover of a service, and agent membership: enrolment, collection of held tasks, loss and retirement.
#include "fescuegw/dispatch/ServiceDispatcher.h"

#include <algorithm>

#include "fescuegw/logging/Log.h"

namespace fescuegw::dispatch {

using logging::Event;
using logging::Level;

void ServiceDispatcher::load(TimePoint /*now*/)
{
    Event(Level::Info, "service_takeover")
        .with("service", m_service)
        .with("epoch", m_epoch)
        .with("agents", m_enrolledAgents.size());
    const ClaimsHook onLoaded = [this](TimePoint then, const wire::OpenClaimsReply& reply) { onClaimsLoaded(then, reply); };
    m_hooks.fetchOpenClaims(m_service, m_epoch, whileAlive(onLoaded));
}

void ServiceDispatcher::onClaimsLoaded(TimePoint now, const wire::OpenClaimsReply& reply)
{
    // If the reply is for an outdated epoch, the next view removes this dispatcher.
    if (m_state != State::Loading || !reply.current())
        return;
    for (const auto& it : reply.claims()) {
        wire::ServiceConfiguration configuration;
        configuration.set_name(m_service);
        m_submissions.try_emplace(
            { it.team(), it.id() }, TrackedSubmission { Submission(now, it, m_enrolledAgents), configuration, 1, {} });
    }
    Event(Level::Info, "claims_recovered").with("service", m_service).with("claims", m_submissions.size());
    m_state = State::Collecting;
    for (auto& it : m_upstreams)
        requestHeldTasks(now, it.second);
    finishCollecting(now);
    std::vector<PendingSubmission> pending;
    pending.swap(m_pending);
    for (auto& it : pending)
        submit(now, std::move(it.spec), it.team, it.due, std::move(it.reply));
}

void ServiceDispatcher::finishCollecting(TimePoint now)
{
    if (m_state != State::Collecting)
        return;
    if (!m_awaitedAgents.empty() && now - m_takeoverTime < m_options.upstream.lease)
        return;
    for (const auto& it : m_awaitedAgents) {
        Event(Level::Warn, "agent_not_heard").with("service", m_service).with("agent", toString(it));
        // An agent that has reconnected but not answered yet is still being queried, and stays enrolled.
        if (!m_upstreams.contains(it))
            m_lostAgents.insert(it);
    }
    m_state = State::Serving;
    Event(Level::Info, "service_serving")
        .with("service", m_service)
        .with("epoch", m_epoch)
        .with("missing", m_awaitedAgents.size());
    resolveRecovered(now);
}

// A task that no agent reports was never started, provided that every agent that could have started it has answered.
void ServiceDispatcher::resolveRecovered(TimePoint now)
{
    const bool allAnswered = m_awaitedAgents.empty();
    m_awaitedAgents.clear();
    std::vector<SubmissionKey> keys;
    for (const auto& it : m_submissions)
        keys.push_back(it.first);
    for (const auto& key : keys) {
        TrackedSubmission* tracked = find(key);
        if (tracked == nullptr || tracked->submission.phase() != Phase::Running)
            continue;
        tracked->submission.resolve(allAnswered, "its worker and the entry that dispatched it were lost");
        enqueue(*tracked);
        onTasksChanged(now, *tracked);
    }
    schedule(now);
}

void ServiceDispatcher::enrol(const AgentId& agent)
{
    wire::Command command;
    command.mutable_enrol()->set_service(m_service);
    command.mutable_enrol()->set_agent(agent.name);
    command.mutable_enrol()->set_incarnation(agent.incarnation);
    command.mutable_enrol()->set_epoch(m_epoch);
    propose(command, [this, agent](TimePoint then, const wire::CommandResult& result) {
        const auto it = m_upstreams.find(agent);
        if (result.code() != wire::ACCEPTED && result.code() != wire::REPEATED) {
            relinquish();
            return;
        }
        m_enrolledAgents.insert(agent);
        if (it == m_upstreams.end()) {
            m_lostAgents.insert(agent);
            return;
        }
        it->second.setEnrolled();
        schedule(then);
    });
}

void ServiceDispatcher::retireLostAgents(TimePoint /*now*/)
{
    if (m_state != State::Serving)
        return;
    for (auto it = m_lostAgents.begin(); it != m_lostAgents.end();) {
        bool referenced = false;
        for (const auto& tracked : m_submissions)
            referenced = referenced || tracked.second.submission.agents().contains(*it);
        if (referenced || !m_enrolledAgents.contains(*it) || m_upstreams.contains(*it)) {
            ++it;
            continue;
        }
        // No open submission can have a task on this agent, so no later owner needs to query it.
        retire(*it);
        m_lostAgentSequences.erase(*it);
        it = m_lostAgents.erase(it);
    }
}

void ServiceDispatcher::retire(const AgentId& agent)
{
    wire::Command command;
    command.mutable_retire()->set_service(m_service);
    command.mutable_retire()->set_agent(agent.name);
    command.mutable_retire()->set_incarnation(agent.incarnation);
    command.mutable_retire()->set_epoch(m_epoch);
    m_enrolledAgents.erase(agent);
    m_retiringAgents.insert(agent);
    propose(command, [this, agent](TimePoint, const wire::CommandResult& result) {
        if (result.code() != wire::ACCEPTED && result.code() != wire::REPEATED) {
            relinquish();
            return;
        }
        // The agent may have reconnected in the meantime. Commands can be reordered, so it is enrolled only after the
        // retirement has committed.
        m_retiringAgents.erase(agent);
        if (m_upstreams.contains(agent))
            enrol(agent);
    });
}

void ServiceDispatcher::onReport(TimePoint now, const AgentId& agent, const wire::AgentReport& report)
{
    if (m_state == State::Superseded)
        return;
    auto it = m_upstreams.find(agent);
    if (it == m_upstreams.end()) {
        // A later incarnation proves that the earlier ones have ended.
        std::vector<AgentId> earlier;
        for (const auto& other : m_upstreams)
            if (other.first.name == agent.name && other.first.incarnation < agent.incarnation)
                earlier.push_back(other.first);
        for (const auto& other : earlier)
            onAgentLost(now, other, "the agent was restarted");
        it = m_upstreams.try_emplace(agent, now, agent, m_options.upstream).first;
        m_lostAgents.erase(agent);
        it->second.advanceSequence(std::max(m_lostAgentSequences[agent], report.received_sequence()));
        m_lostAgentSequences.erase(agent);
        if (m_enrolledAgents.contains(agent))
            it->second.setEnrolled();
        else if (!m_retiringAgents.contains(agent))
            enrol(agent);
    }
    const bool differs = it->second.onReport(now, report, outbox(agent).message.dispatches_size() > 0);
    if (differs && m_state != State::Loading)
        requestHeldTasks(now, it->second);
    // Releases are batched with dispatches. An agent that is not serving waits for them before it can leave, so it gets them
    // at once.
    if (report.state() != wire::SERVING && outbox(agent).message.releases_size() > 0)
        outbox(agent).urgent = true;
    if (!it->second.collecting())
        schedule(now);
}

void ServiceDispatcher::requestHeldTasks(TimePoint now, Upstream& upstream)
{
    // Buffered messages are sent first: the answer must cover everything that was sent before the request.
    flush(now);
    AgentOutbox& box = outbox(upstream.agent());
    box.message.set_collect(true);
    box.urgent = true;
    const uint64_t sequence = upstream.nextSequence();
    box.message.set_sequence(sequence);
    upstream.setCollecting(now, sequence);
    ++m_counters.collects;
    flush(now);
}

void ServiceDispatcher::onHeld(TimePoint now, const AgentId& agent, const wire::HeldTasks& held)
{
    const auto it = m_upstreams.find(agent);
    if (m_state == State::Superseded || it == m_upstreams.end() || held.epoch() != m_epoch || !it->second.onHeld(held.sequence()))
        return;
    Upstream& upstream = it->second;
    upstream.onContact(now);
    // Attempts that we allocated but the agent does not list never arrived. They cannot start any more either, since the agent
    // ignores messages older than the one it has answered.
    std::set<AttemptRef> missing;
    for (const auto& allocation : upstream.allocations())
        missing.insert(allocation.first);
    upstream.clearAllocations();
    for (const auto& task : held.tasks()) {
        missing.erase(AttemptRef { { task.key().team(), task.key().submission() }, task.key().index(), task.attempt() });
        adoptHeld(now, upstream, task);
    }
    for (const auto& ref : missing) {
        TrackedSubmission* tracked = find(ref.key);
        const int position = tracked == nullptr ? -1 : tracked->submission.position(ref.index);
        if (position >= 0 && tracked->submission.endNotRun(position, ref.attempt))
            enqueue(*tracked);
    }
    m_awaitedAgents.erase(agent);
    finishCollecting(now);
    schedule(now);
}

void ServiceDispatcher::adoptHeld(TimePoint now, Upstream& upstream, const wire::TaskResult& task)
{
    const AttemptRef ref { { task.key().team(), task.key().submission() }, task.key().index(), task.attempt() };
    if (task.running())
        upstream.allocate(ref, TaskResources { task.cores_milli(), task.memory_mb() });
    if (!task.durable())
        return;
    TrackedSubmission* tracked = find(ref.key);
    const int position = tracked == nullptr ? -1 : tracked->submission.position(ref.index);
    if (position < 0) {
        // The submission has already ended.
        ++m_counters.strayResults;
        if (task.running())
            sendCancel(upstream.agent(), ref);
        release(upstream.agent(), ref.key);
        return;
    }
    // The submission was abandoned, and the cancel may have been lost with the link.
    if (task.running() && tracked->submission.phase() == Phase::Finishing)
        sendCancel(upstream.agent(), ref);
    tracked->submission.adoptAttempt(now, position, upstream.agent(), task.attempt());
    if (!task.running())
        applyResult(now, *tracked, nullptr, task);
}

void ServiceDispatcher::onAgentLost(TimePoint now, const AgentId& agent, const std::string& reason)
{
    const auto found = m_upstreams.find(agent);
    const std::map<AttemptRef, TaskResources> allocations = found->second.allocations();
    Event(Level::Warn, "agent_lost")
        .with("service", m_service)
        .with("agent", toString(agent))
        .with("tasks", allocations.size())
        .with("reason", reason);
    ++m_counters.lostAgents;
    m_lostAgentSequences[agent] = found->second.sequence();
    m_upstreams.erase(found);
    m_outboxes.erase(agent);
    m_lostAgents.insert(agent);
    for (const auto& it : allocations) {
        TrackedSubmission* tracked = find(it.first.key);
        const int position = tracked == nullptr ? -1 : tracked->submission.position(it.first.index);
        if (position < 0)
            continue;
        const bool retry = consumeRetryToken(*tracked);
        if (!tracked->submission.fail(position, it.first.attempt, Verdict::MayHaveRun, reason, retry))
            continue;
        enqueue(*tracked);
        onTasksChanged(now, *tracked);
    }
}

void ServiceDispatcher::onUndeliverable(TimePoint now, const AgentId& agent, const wire::EntryToAgent& message)
{
    const auto it = m_upstreams.find(agent);
    for (const auto& task : message.dispatches()) {
        const AttemptRef ref { { task.key().team(), task.key().submission() }, task.key().index(), task.attempt() };
        ++m_counters.refused;
        if (it != m_upstreams.end())
            it->second.deallocate(ref);
        TrackedSubmission* tracked = find(ref.key);
        const int position = tracked == nullptr ? -1 : tracked->submission.position(ref.index);
        if (position >= 0 && tracked->submission.endNotRun(position, ref.attempt))
            enqueue(*tracked);
    }
    // The link is down. The agent gets no work until it has reported again and listed the tasks it holds.
    if (it != m_upstreams.end())
        it->second.setCollecting(now, 0);
}

} // namespace fescuegw::dispatch
