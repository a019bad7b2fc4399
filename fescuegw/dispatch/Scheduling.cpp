// Placement of tasks on upstreams, hedging, result handling and messages to agents.
#include <algorithm>

#include "fescuegw/dispatch/ServiceDispatcher.h"
#include "fescuegw/logging/Log.h"
#include "fescuegw/wire/Verdicts.h"

namespace fescuegw::dispatch {

namespace {

    // Weight of the newest run time in the exponentially weighted mean and mean deviation.
    constexpr double runTimeGain = 0.05;
    // A request is hedged once it has run longer than the mean by this many mean deviations.
    constexpr double hedgeDeviations = 4;
    constexpr uint32_t defaultRunLimitMs = 600 * 1000;

    TaskResources resourcesOf(const wire::TaskInput& input) { return TaskResources { input.cores_milli(), input.memory_mb() }; }

} // namespace

uint32_t ServiceDispatcher::totalSlots() const
{
    uint32_t n = 0;
    for (const auto& it : m_upstreams)
        n += it.second.report().slots();
    return std::max(n, 1U);
}

// The time at which the submission would finish on an idle system. Small submissions therefore precede large ones that arrived
// shortly before them, and a large submission can be overtaken only for about its own ideal duration.
TimePoint ServiceDispatcher::virtualDeadline(const TrackedSubmission& tracked) const
{
    const uint64_t rounds = (tracked.submission.spec().tasks.size() + totalSlots() - 1) / totalSlots();
    const auto run = Duration(std::chrono::milliseconds(std::max(tracked.configuration.expected_run_ms(), 1U)));
    return tracked.submission.submitted() + static_cast<int64_t>(rounds) * run;
}

void ServiceDispatcher::enqueue(TrackedSubmission& tracked)
{
    const Submission& submission = tracked.submission;
    if (submission.phase() == Phase::Running && submission.hasQueued())
        m_queue.push(submission.key(), tracked.share, virtualDeadline(tracked));
}

void ServiceDispatcher::schedule(TimePoint now)
{
    if (m_state == State::Loading || m_state == State::Superseded)
        return;
    while (const auto key = m_queue.next()) {
        TrackedSubmission* tracked = find(*key);
        if (tracked == nullptr || !tracked->submission.hasQueued()) {
            m_queue.remove(*key);
            continue;
        }
        if (!dispatchNext(now, *tracked))
            return;
    }
}

bool ServiceDispatcher::dispatchNext(TimePoint now, TrackedSubmission& tracked)
{
    const int position = tracked.submission.nextQueued();
    Upstream* upstream = chooseUpstream(now, resourcesOf(tracked.submission.input(position)));
    if (upstream == nullptr)
        return false;
    dispatchTask(now, tracked, position, *upstream);
    m_queue.charge(
        tracked.submission.key().team, std::chrono::milliseconds(std::max(tracked.configuration.expected_run_ms(), 1U)));
    if (!tracked.submission.hasQueued())
        m_queue.remove(tracked.submission.key());
    return true;
}

Upstream* ServiceDispatcher::chooseUpstream(TimePoint now, const TaskResources& resources)
{
    Upstream* chosen = nullptr;
    uint32_t most = 0;
    for (auto& it : m_upstreams) {
        const uint32_t free = it.second.freeSlots(now);
        if (free <= most || !it.second.fits(now, resources))
            continue;
        most = free;
        chosen = &it.second;
    }
    return chosen;
}

void ServiceDispatcher::dispatchTask(TimePoint now, TrackedSubmission& tracked, int position, Upstream& upstream)
{
    Submission& submission = tracked.submission;
    const wire::TaskInput& input = submission.input(position);
    const uint32_t attempt = submission.beginAttempt(now, position, upstream.agent());
    upstream.allocate(AttemptRef { submission.key(), input.index(), attempt }, resourcesOf(input));
    AgentOutbox& box = outbox(upstream.agent());
    box.urgent = true;
    wire::TaskDispatch& task = *box.message.add_dispatches();
    task.mutable_key()->set_team(submission.key().team);
    task.mutable_key()->set_submission(submission.key().id);
    task.mutable_key()->set_index(input.index());
    task.set_attempt(attempt);
    task.set_start_by_us(upstream.startBy(now));
    task.set_input(input.input());
    task.set_cores_milli(input.cores_milli());
    task.set_memory_mb(input.memory_mb());
    task.set_durable(submission.spec().durable);
    task.set_traceparent(submission.spec().traceparent);
    const uint32_t expected = tracked.configuration.expected_run_ms();
    const auto least = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.minRunLimit).count();
    const uint32_t limit = std::max(expected * m_options.runLimitFactor, static_cast<uint32_t>(least));
    task.set_run_limit_ms(expected == 0 ? defaultRunLimitMs : limit);
    ++m_counters.dispatched;
}

void ServiceDispatcher::hedgeSlowRequests(TimePoint now)
{
    if (m_meanRunUs <= 0)
        return;
    const auto hedgeDelay = Duration(static_cast<int64_t>(m_meanRunUs + hedgeDeviations * m_runDeviationUs));
    for (auto& it : m_submissions) {
        Submission& submission = it.second.submission;
        if (submission.spec().durable || submission.phase() != Phase::Running || submission.hasQueued())
            continue;
        const auto& attempts = submission.attempts(0);
        double& tokens = m_hedgeTokens[it.first.team];
        if (attempts.size() != 1 || now - attempts.front().dispatched < hedgeDelay || tokens < 1)
            continue;
        Upstream* upstream = chooseUpstream(now, resourcesOf(submission.input(0)));
        if (upstream == nullptr || upstream->agent() == attempts.front().agent)
            continue;
        tokens -= 1;
        ++m_counters.hedged;
        dispatchTask(now, it.second, 0, *upstream);
    }
}

void ServiceDispatcher::onResults(TimePoint now, const AgentId& agent, const std::vector<wire::TaskResult>& results)
{
    const auto it = m_upstreams.find(agent);
    // While the list of held tasks is outstanding, results are ignored: that list includes them.
    if (m_state == State::Superseded || it == m_upstreams.end() || it->second.collecting())
        return;
    it->second.onContact(now);
    for (const auto& result : results)
        onResult(now, it->second, result);
    schedule(now);
}

void ServiceDispatcher::onResult(TimePoint now, Upstream& upstream, const wire::TaskResult& result)
{
    const AttemptRef ref { { result.key().team(), result.key().submission() }, result.key().index(), result.attempt() };
    upstream.deallocate(ref);
    TrackedSubmission* tracked = find(ref.key);
    if (tracked == nullptr) {
        ++m_counters.strayResults;
        release(upstream.agent(), ref.key);
        return;
    }
    applyResult(now, *tracked, &upstream, result);
}

void ServiceDispatcher::applyResult(TimePoint now, TrackedSubmission& tracked, Upstream* upstream, const wire::TaskResult& result)
{
    Submission& submission = tracked.submission;
    const int position = submission.position(result.key().index());
    if (position < 0)
        return;
    const Verdict verdict = wire::fromWire(result.verdict());
    bool used = false;
    if (result.succeeded()) {
        used = submission.succeed(position, result.attempt(), result.output());
        if (used) {
            const double run = static_cast<double>(result.run_us());
            m_runDeviationUs += runTimeGain * (std::abs(run - m_meanRunUs) - m_runDeviationUs);
            m_meanRunUs += (m_meanRunUs <= 0 ? 1 : runTimeGain) * (run - m_meanRunUs);
        }
        if (upstream != nullptr)
            upstream->onSuccess();
    } else if (verdict == Verdict::NotRun) {
        ++m_counters.refused;
        used = submission.endNotRun(position, result.attempt());
        if (upstream != nullptr)
            upstream->onRefusal(now);
    } else {
        const bool retry = consumeRetryToken(tracked);
        used = submission.fail(position, result.attempt(), verdict, result.reason(), retry);
        if (upstream != nullptr && upstream->onFailure(now)) {
            ++m_counters.ejections;
            logging::Event(logging::Level::Warn, "upstream_ejected")
                .with("service", m_service)
                .with("agent", toString(upstream->agent()));
        }
    }
    if (!used)
        ++m_counters.strayResults;
    enqueue(tracked);
    onTasksChanged(now, tracked);
}

ServiceDispatcher::AgentOutbox& ServiceDispatcher::outbox(const AgentId& agent) { return m_outboxes[agent]; }

void ServiceDispatcher::release(const AgentId& agent, const SubmissionKey& key)
{
    if (!m_upstreams.contains(agent))
        return;
    wire::TaskKey* released = outbox(agent).message.add_releases();
    released->set_team(key.team);
    released->set_submission(key.id);
}

void ServiceDispatcher::sendCancel(const AgentId& agent, const AttemptRef& ref)
{
    if (!m_upstreams.contains(agent))
        return;
    AgentOutbox& box = outbox(agent);
    wire::TaskKey* cancelled = box.message.add_cancels();
    cancelled->set_team(ref.key.team);
    cancelled->set_submission(ref.key.id);
    cancelled->set_index(ref.index);
    box.urgent = true;
    ++m_counters.cancels;
}

void ServiceDispatcher::flush(TimePoint now)
{
    if (m_state == State::Loading || m_state == State::Superseded)
        return;
    for (auto& it : m_outboxes) {
        AgentOutbox& box = it.second;
        wire::EntryToAgent& message = box.message;
        const bool newConfiguration = box.configurationSent != m_configurationVersion;
        const bool hasContent = message.collect() || message.dispatches_size() > 0 || message.cancels_size() > 0
            || message.releases_size() > 0 || newConfiguration;
        const auto found = m_upstreams.find(it.first);
        const bool wait = !box.urgent && !newConfiguration && now - box.lastSent < m_options.releaseInterval;
        if (!hasContent || wait || found == m_upstreams.end())
            continue;
        if (message.dispatches_size() == 0 && message.cancels_size() == 0 && !message.collect())
            ++m_counters.releaseMessages;
        if (message.sequence() == 0)
            message.set_sequence(found->second.nextSequence());
        message.set_entry(m_options.entry);
        message.set_service(m_service);
        message.set_epoch(m_epoch);
        message.set_incarnation(it.first.incarnation);
        message.set_configuration_version(m_configurationVersion);
        wire::EntryToAgent sent;
        sent.Swap(&message);
        box.urgent = false;
        box.lastSent = now;
        box.configurationSent = m_configurationVersion;
        m_hooks.sendToAgent(it.first, sent);
    }
}

} // namespace fescuegw::dispatch
