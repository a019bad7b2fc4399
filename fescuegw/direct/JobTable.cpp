#include "fescuegw/direct/JobTable.h"

#include <algorithm>

#include "fescuegw/logging/Log.h"
#include "fescuegw/wire/Direct.h"

namespace fescuegw::direct {

using logging::Event;
using logging::Level;

namespace {

    uint64_t toMs(Duration duration)
    {
        return static_cast<uint64_t>(std::max<int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(), 0));
    }

} // namespace

JobTable::JobTable(JobTableOptions options, JobTableHooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_admission(options.admission)
    , m_offers(options.offers)
{
}

void JobTable::submit(TimePoint now, JobRequest request, JobResponder respond)
{
    const auto existing = m_jobs.find(request.id);
    if (existing != m_jobs.end() && !existing->second.answered) {
        existing->second.callers.push_back({ request.exchange, std::move(respond) });
        return;
    }
    const bool busy = existing != m_jobs.end();
    Job job;
    job.received = now;
    job.deadline = now + request.patience;
    job.callers.push_back({ request.exchange, std::move(respond) });
    for (const auto& it : request.job.steps) {
        Step step;
        step.tasks.resize(it.count);
        job.steps.push_back(std::move(step));
    }
    job.request = std::move(request);
    if (busy || m_jobs.size() >= m_options.mostJobs) {
        // The caller asks again before the attempts of its last try are certain to have ended.
        answer(now, job, { JobOutcome::Kind::NotRun, busy ? "earlier_attempts_ending" : "too_many_jobs", 1 });
        return;
    }
    if (!admit(now, job))
        return;
    m_jobs.emplace(job.request.id, std::move(job));
}

bool JobTable::isReady(const Job& job, size_t step) const
{
    const auto& after = job.request.job.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](uint32_t it) { return job.steps[it].done == job.steps[it].tasks.size(); });
}

// Places all tasks that may start now, and takes the job on only if the last of them is expected to finish in time.
bool JobTable::admit(TimePoint now, Job& job)
{
    struct Choice {
        size_t step;
        size_t index;
        Placed placed;
    };
    const JobRequest& request = job.request;
    Placement placement(m_options.placement, m_offers, m_hooks.random);
    std::vector<Choice> choices;
    Duration finish {};
    Duration wait {};
    for (size_t step = 0; step < job.steps.size(); ++step) {
        if (!isReady(job, step))
            continue;
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            const auto placed = placement.place(now, request.route.service(), request.route.priority(), request.job.steps[step], {},
                job.steps[step].sharing);
            if (!placed) {
                answer(now, job, { JobOutcome::Kind::NotRun, "no_upstream", 1 });
                return false;
            }
            finish = std::max(finish, placed->finish);
            wait = std::max(wait, placed->wait);
            choices.push_back({ step, index, *placed });
        }
    }
    if (!m_admission.admits(request, wait, finish)) {
        const uint32_t retry = m_admission.retryAfter(request, finish);
        answer(now, job, { JobOutcome::Kind::NotRun, "expected_after_" + std::to_string(toMs(finish)) + "_ms", retry });
        return false;
    }
    ++m_counters.admitted;
    for (const auto& it : choices)
        send(now, job, it.step, it.index, it.placed);
    return true;
}

void JobTable::startReady(TimePoint now, Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        if (!isReady(job, step))
            continue;
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index)
            if (job.steps[step].tasks[index].state == TaskState::Pending && job.steps[step].tasks[index].attempt == 0
                && !placeAgain(now, job, step, index))
                return;
    }
}

wire::EntryToUpstream& JobTable::outbox(const AgentId& agent) { return m_outbox[agent]; }

void JobTable::send(TimePoint now, Job& job, size_t step, size_t index, const Placed& placed)
{
    AgentView* view = m_offers.find(placed.agent);
    Task& task = job.steps[step].tasks[index];
    const StepDemand& demand = job.request.job.steps[step];
    task.state = TaskState::Sent;
    ++task.attempt;
    task.agent = placed.agent;
    task.started = false;
    task.stopping = false;
    task.sentAt = now;
    ++job.outstanding;
    m_offers.onSent(*view, demand.need);
    const Duration run = placed.finish - placed.wait;
    const Duration wait = std::max(m_admission.longestWait(job.request, run, now - job.received), Duration());
    wire::StartTask& start = *outbox(placed.agent).add_starts();
    *start.mutable_key() = wire::toWire({ job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) }, task.attempt);
    start.set_specification(job.request.job.specification);
    *start.mutable_need() = wire::toWire(demand.need);
    start.set_priority(job.request.route.priority());
    start.set_estimate_ms(demand.estimateMs);
    start.set_start_by_us(toMicros(now + view->clockAhead + wait));
}

bool JobTable::placeAgain(TimePoint now, Job& job, size_t step, size_t index)
{
    Placement placement(m_options.placement, m_offers, m_hooks.random);
    Step& state = job.steps[step];
    const auto& route = job.request.route;
    const auto placed
        = placement.place(now, route.service(), route.priority(), job.request.job.steps[step], state.tasks[index].avoid, state.sharing);
    const Duration left = job.deadline - now;
    if (!placed || placed->finish > left) {
        giveUp(now, job, placed ? "too_late_for_another_attempt" : "no_upstream");
        return false;
    }
    send(now, job, step, index, *placed);
    return true;
}

void JobTable::onAgent(TimePoint now, const wire::UpstreamToEntry& message)
{
    const AgentId id { message.agent(), message.incarnation() };
    AgentView* view = m_offers.onMessage(now, message);
    if (view == nullptr)
        return;
    view->replyDue = view->replyDue || view->attempts > 0 || message.reports_size() > 0;
    if (message.first_report() <= view->ackedReports + 1)
        view->ackedReports = std::max(
            view->ackedReports, message.first_report() + static_cast<uint64_t>(message.reports_size()) - (message.reports_size() > 0 ? 1 : 0));
    for (const auto& it : message.reports())
        applyReport(now, id, it);
    // A new process of the agent ends what the old one started before it offers anything.
    if (message.offer().accepting()) {
        std::vector<AgentId> earlier;
        for (const auto& it : m_offers.agents())
            if (it.first.name == id.name && it.first.incarnation < id.incarnation && it.second.attempts > 0)
                earlier.push_back(it.first);
        for (const auto& it : earlier)
            loseAgent(now, it, "agent_restarted");
    }
}

void JobTable::release(Task& task)
{
    if (AgentView* view = m_offers.find(task.agent); view != nullptr && view->attempts > 0)
        --view->attempts;
}

void JobTable::applyReport(TimePoint now, const AgentId& agent, const wire::AttemptReport& report)
{
    const auto it = m_jobs.find(report.key().job());
    const uint32_t step = report.key().step();
    const uint32_t index = report.key().index();
    if (it == m_jobs.end() || step >= it->second.steps.size() || index >= it->second.steps[step].tasks.size()) {
        ++m_counters.strayReports;
        return;
    }
    Job& job = it->second;
    Task& task = job.steps[step].tasks[index];
    if (task.state != TaskState::Sent || task.agent != agent || task.attempt != report.key().attempt())
        return;
    if (report.state() == wire::ATTEMPT_STARTED) {
        task.started = true;
        job.mayHaveRun = true;
        ++m_counters.started;
        return;
    }
    release(task);
    --job.outstanding;
    task.state = report.state() == wire::ATTEMPT_DONE ? TaskState::Done : TaskState::Pending;
    job.mayHaveRun = job.mayHaveRun || report.state() != wire::ATTEMPT_NOT_STARTED;
    uint32_t& sharing = job.steps[step].sharing[agent];
    sharing -= task.state == TaskState::Pending && sharing > 0 ? 1 : 0;
    switch (report.state()) {
    case wire::ATTEMPT_DONE:
        onDone(now, job, step);
        break;
    case wire::ATTEMPT_FAILED:
        task.avoid.insert(agent);
        onFailed(now, job, step, index);
        break;
    case wire::ATTEMPT_NOT_STARTED:
        ++m_counters.notStarted;
        onNotStarted(now, job, step, index, report.reason());
        break;
    default:
        task.avoid.insert(agent);
        onLost(now, job, step, index, report.reason());
        break;
    }
}

void JobTable::onDone(TimePoint now, Job& job, size_t step)
{
    if (++job.steps[step].done < job.steps[step].tasks.size() || job.answered)
        return;
    const bool complete
        = std::all_of(job.steps.begin(), job.steps.end(), [](const Step& it) { return it.done == it.tasks.size(); });
    if (complete)
        answer(now, job, { JobOutcome::Kind::Completed, "", 0 });
    else
        startReady(now, job);
}

void JobTable::onFailed(TimePoint now, Job& job, size_t step, size_t index)
{
    ++m_counters.failedAttempts;
    Task& task = job.steps[step].tasks[index];
    ++task.failures;
    if (job.answered)
        return;
    if (task.failures >= std::max(job.request.route.attempts(), 1U)) {
        answer(now, job, { JobOutcome::Kind::Failed, "task_failed_" + std::to_string(task.failures) + "_times", 0 });
        stopAttempts(now, job);
        return;
    }
    placeAgain(now, job, step, index);
}

void JobTable::onNotStarted(TimePoint now, Job& job, size_t step, size_t index, const std::string& reason)
{
    if (job.answered)
        return;
    if (job.refusing) {
        giveUp(now, job, job.refusal);
        return;
    }
    if (reason == "waited_too_long") {
        giveUp(now, job, reason);
        return;
    }
    job.steps[step].tasks[index].avoid.insert(job.steps[step].tasks[index].agent);
    placeAgain(now, job, step, index);
}

void JobTable::onLost(TimePoint now, Job& job, size_t step, size_t index, const std::string& reason)
{
    ++m_counters.lostAttempts;
    if (job.answered)
        return;
    if (job.refusing) {
        giveUp(now, job, reason);
        return;
    }
    placeAgain(now, job, step, index);
}

// A job of which nothing can have run is refused, but only once every attempt that is still out is known not to have started;
// any other is given up at once.
void JobTable::giveUp(TimePoint now, Job& job, const std::string& reason)
{
    if (job.answered)
        return;
    if (job.mayHaveRun) {
        answer(now, job, { JobOutcome::Kind::MayHaveRun, reason, 0 });
        stopAttempts(now, job);
        return;
    }
    if (job.outstanding == 0) {
        answer(now, job, { JobOutcome::Kind::NotRun, reason, 1 });
        return;
    }
    if (job.refusing)
        return;
    job.refusing = true;
    job.refusal = reason;
    stopAttempts(now, job);
}

void JobTable::answer(TimePoint now, Job& job, JobOutcome outcome)
{
    job.answered = true;
    m_counters.refused += outcome.kind == JobOutcome::Kind::NotRun ? 1 : 0;
    size_t done = 0;
    size_t tasks = 0;
    uint32_t attempts = 0;
    for (const auto& step : job.steps) {
        done += step.done;
        tasks += step.tasks.size();
        for (const auto& it : step.tasks)
            attempts += it.attempt;
    }
    Event(outcome.kind == JobOutcome::Kind::Completed ? Level::Info : Level::Warn, "job_answered")
        .with("request", job.request.id)
        .with("queue", job.request.route.name())
        .with("outcome", toString(outcome.kind))
        .with("reason", outcome.reason)
        .with("took_ms", toMs(now - job.received))
        .with("objective_ms", toMs(m_admission.objective(job.request)))
        .with("patience_ms", toMs(job.request.patience))
        .with("tasks", tasks)
        .with("done", done)
        .with("attempts", attempts)
        .with("outstanding", job.outstanding)
        .with("usable_agents", m_offers.usable(now, job.request.route.service()).size());
    if (m_hooks.onEnd)
        m_hooks.onEnd(job.request, outcome, now - job.received);
    for (const auto& it : job.callers)
        it.respond(outcome);
    job.callers.clear();
}

void JobTable::stopAttempts(TimePoint /*now*/, Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            Task& task = job.steps[step].tasks[index];
            if (task.state != TaskState::Sent || task.stopping)
                continue;
            task.stopping = true;
            *outbox(task.agent).add_stops()
                = wire::toWire({ job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) }, task.attempt);
        }
    }
}

bool JobTable::cancel(TimePoint now, const std::string& id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || it->second.answered)
        return false;
    answer(now, it->second, { JobOutcome::Kind::Abandoned, "cancelled", 0 });
    stopAttempts(now, it->second);
    return true;
}

void JobTable::abandon(TimePoint now, uint64_t exchange)
{
    for (auto& it : m_jobs) {
        Job& job = it.second;
        const auto caller = std::find_if(
            job.callers.begin(), job.callers.end(), [exchange](const Caller& candidate) { return candidate.exchange == exchange; });
        if (caller == job.callers.end())
            continue;
        const JobResponder respond = std::move(caller->respond);
        job.callers.erase(caller);
        respond({ JobOutcome::Kind::Abandoned, "caller_gone", 0 });
        if (job.callers.empty()) {
            answer(now, job, { JobOutcome::Kind::Abandoned, "caller_gone", 0 });
            stopAttempts(now, job);
        }
        return;
    }
}

// Starts that never left are known not to have run. Stops and acknowledgements are repeated by what made them necessary.
void JobTable::onUndeliverable(TimePoint now, const AgentId& agent, const wire::EntryToUpstream& message)
{
    for (const auto& it : message.starts()) {
        wire::AttemptReport report;
        *report.mutable_key() = it.key();
        report.set_state(wire::ATTEMPT_NOT_STARTED);
        report.set_reason("agent_unreachable");
        applyReport(now, agent, report);
    }
}

void JobTable::loseAgent(TimePoint now, const AgentId& agent, const std::string& reason)
{
    std::vector<wire::AttemptReport> reports;
    for (const auto& job : m_jobs) {
        for (size_t step = 0; step < job.second.steps.size(); ++step) {
            for (size_t index = 0; index < job.second.steps[step].tasks.size(); ++index) {
                const Task& task = job.second.steps[step].tasks[index];
                if (task.state != TaskState::Sent || task.agent != agent)
                    continue;
                wire::AttemptReport report;
                *report.mutable_key() = wire::toWire({ job.first, static_cast<uint32_t>(step), static_cast<uint32_t>(index) }, task.attempt);
                report.set_state(wire::ATTEMPT_LOST);
                report.set_reason(reason);
                reports.push_back(report);
            }
        }
    }
    Event(Level::Warn, "agent_lost").with("agent", toString(agent)).with("reason", reason).with("attempts", reports.size());
    for (const auto& it : reports)
        applyReport(now, agent, it);
    if (AgentView* view = m_offers.find(agent))
        view->attempts = 0;
}

void JobTable::tick(TimePoint now)
{
    std::vector<AgentId> lost;
    for (const auto& it : m_offers.agents())
        if (it.second.attempts > 0 && now - it.second.heard > m_options.certainEnd)
            lost.push_back(it.first);
    for (const auto& it : lost)
        loseAgent(now, it, "agent_silent");
    for (auto& it : m_jobs)
        if (!it.second.answered && now >= it.second.deadline) {
            it.second.mayHaveRun = it.second.mayHaveRun || it.second.outstanding > 0;
            giveUp(now, it.second, "deadline");
        }
    sweep();
    m_offers.expire(now);
}

void JobTable::sweep()
{
    std::erase_if(m_jobs, [](const auto& it) { return it.second.answered && it.second.outstanding == 0; });
}

void JobTable::flush(TimePoint now)
{
    for (auto& it : m_offers.agents()) {
        AgentView& view = it.second;
        const auto found = m_outbox.find(it.first);
        const bool spaced = view.replyDue && now - view.sent >= m_options.replySpacing;
        if (found == m_outbox.end() && !spaced)
            continue;
        wire::EntryToUpstream message = found == m_outbox.end() ? wire::EntryToUpstream() : std::move(found->second);
        if (message.starts_size() > 0)
            message.set_sequence(++view.lastSequence);
        message.set_seen_clock_us(view.seenClockUs);
        message.set_acked_reports(view.ackedReports);
        view.sent = now;
        view.replyDue = false;
        m_hooks.send(it.first, std::move(message));
    }
    m_outbox.clear();
}

} // namespace fescuegw::direct
