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
        return static_cast<uint64_t>(
            std::max<int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(), 0));
    }

} // namespace

JobTable::JobTable(JobTableOptions options, JobTableHooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_admission(options.admission)
    , m_offers(options.offers)
    , m_placement(options.placement, m_hooks.random)
    , m_demand(options.demand)
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
    job.number = ++m_lastNumber;
    // A caller may ask again before the attempts of its last try are certain to have ended.
    const std::string reason = busy ? "earlier_attempts_ending" : refusal(now, job);
    if (!reason.empty()) {
        answer(now, job, { JobOutcome::Kind::NotRun, reason, m_admission.retryAfter() });
        return;
    }
    ++m_counters.admitted;
    Job& added = m_jobs.emplace(job.request.id, std::move(job)).first->second;
    queueReady(now, added);
    serveLine(now);
}

// Returns why a job is not taken on, or "".
std::string JobTable::refusal(TimePoint now, const Job& job) const
{
    const wire::Route& route = job.request.route;
    if (m_jobs.size() >= m_options.mostJobs)
        return "too_many_jobs";
    if (m_drainUntil && now + m_admission.objective(job.request) > *m_drainUntil)
        return "stopping";
    const auto agents = m_offers.usable(now, route.service());
    if (agents.empty())
        return "no_upstream";
    for (size_t step = 0; step < job.steps.size(); ++step) {
        const PlacementWish asked = wish(now, job, step, 0);
        const bool possible = std::any_of(agents.begin(), agents.end(),
            [&](const auto& it) { return m_placement.expectedRun(*it.first, *it.second, asked).has_value(); });
        if (!possible)
            return "no_upstream_fits";
    }
    const Duration waited = m_line.longestWait(now, route.service(), route.priority());
    return m_admission.admits(job.request, waited) ? "" : "line_of_" + std::to_string(toMs(waited)) + "_ms";
}

bool JobTable::isReady(const Job& job, size_t step) const
{
    const auto& after = job.request.job.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](uint32_t it) { return job.steps[it].done == job.steps[it].tasks.size(); });
}

void JobTable::queueReady(TimePoint now, Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        if (!isReady(job, step))
            continue;
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index)
            if (job.steps[step].tasks[index].state == TaskState::Pending && !job.steps[step].tasks[index].waiting)
                queue(now, job, step, index);
    }
}

LinePosition JobTable::position(const Job& job, size_t step, size_t index) const
{
    return { job.request.route.priority(), !job.mayHaveRun, job.number, static_cast<uint32_t>(step),
        static_cast<uint32_t>(index) };
}

void JobTable::queue(TimePoint now, Job& job, size_t step, size_t index)
{
    Task& task = job.steps[step].tasks[index];
    // The first that waits is made known at once.
    if (m_waitingServices.insert(job.request.route.service()).second)
        m_sweepDue = now;
    m_lineGrew = true;
    task.waiting = true;
    task.queuedAt = task.queuedAt.value_or(now);
    const StepTask key { job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) };
    m_line.add(
        position(job, step, index), { key, job.request.route.service(), job.request.job.steps[step].need, *task.queuedAt });
}

void JobTable::unqueue(Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            Task& task = job.steps[step].tasks[index];
            if (task.waiting)
                m_line.remove(position(job, step, index));
            task.waiting = false;
        }
    }
}

// While a job can be on time, only upstreams where it is expected to be will do.
PlacementWish JobTable::wish(TimePoint now, const Job& job, size_t step, size_t index) const
{
    constexpr int tolerance = 2;
    const StepDemand& demand = job.request.job.steps[step];
    const Duration estimate = std::chrono::milliseconds(demand.estimateMs);
    const Duration left = job.received + m_admission.objective(job.request) - now;
    const Duration usefulLeft = job.received + m_admission.usefulFor(job.request) - now;
    PlacementWish wish;
    wish.step = &demand;
    wish.avoid = &job.steps[step].tasks[index].avoid;
    wish.sharing = &job.steps[step].sharing;
    wish.longestRun = left >= estimate ? left : std::max(usefulLeft, tolerance * estimate);
    return wish;
}

// Places what waits, in the order of the line, where there is room.
void JobTable::serveLine(TimePoint now)
{
    m_lineGrew = false;
    // The least that found no room, by service: what needs as much or more is not tried again.
    std::map<std::string, int64_t> failed;
    std::map<std::string, std::vector<UsableAgent>> agents;
    for (auto it = m_line.tasks().begin(); it != m_line.tasks().end();) {
        const LinePosition at = it->first;
        const WaitingTask task = it->second;
        ++it;
        const auto known = failed.find(task.service);
        if (known != failed.end() && task.need.coresMilli >= known->second)
            continue;
        const auto [usable, first] = agents.try_emplace(task.service);
        if (first)
            usable->second = m_offers.usable(now, task.service);
        Job& job = m_jobs.find(task.task.job)->second;
        const auto placed = m_placement.place(usable->second, wish(now, job, at.step, at.index));
        if (placed)
            send(now, job, at.step, at.index, *placed, 0);
        else
            failed[task.service] = task.need.coresMilli;
    }
}

// Places what waits on one agent, the only one whose room has changed.
void JobTable::serveAgent(TimePoint now, const AgentId& agent)
{
    const AgentView* view = m_offers.find(agent);
    if (view == nullptr || !m_offers.isUsable(now, *view))
        return;
    for (auto it = m_line.tasks().begin(); it != m_line.tasks().end();) {
        const LinePosition at = it->first;
        const WaitingTask& task = it->second;
        ++it;
        if (task.service != view->offer.service() || !task.need.fitsInto(view->free))
            continue;
        Job& job = m_jobs.find(task.task.job)->second;
        const PlacementWish asked = wish(now, job, at.step, at.index);
        if (asked.avoid->contains(agent))
            continue;
        if (const auto placed = m_placement.place({ { &agent, view } }, asked))
            send(now, job, at.step, at.index, *placed, 0);
    }
}

// A grant goes to the first task in the line that fits it.
void JobTable::useGrant(TimePoint now, const AgentId& agent, const wire::Grant& grant)
{
    const AgentView* view = m_offers.find(agent);
    const Resources room = wire::toResources(grant.room());
    for (const auto& it : m_line.tasks()) {
        const WaitingTask& task = it.second;
        if (task.service != view->offer.service() || !task.need.fitsInto(room))
            continue;
        Job& job = m_jobs.find(task.task.job)->second;
        const PlacementWish asked = wish(now, job, it.first.step, it.first.index);
        const auto run = m_placement.expectedRun(agent, *view, asked);
        if (!run || *run > asked.longestRun || asked.avoid->contains(agent))
            continue;
        const LinePosition at = it.first;
        send(now, job, at.step, at.index, Placed { agent, *run }, grant.id());
        return;
    }
    ++m_counters.declinedGrants;
    outbox(agent).add_declined_grants(grant.id());
}

wire::EntryToUpstream& JobTable::outbox(const AgentId& agent) { return m_outbox[agent]; }

void JobTable::send(TimePoint now, Job& job, size_t step, size_t index, const Placed& placed, uint64_t grant)
{
    AgentView* view = m_offers.find(placed.agent);
    Task& task = job.steps[step].tasks[index];
    const StepDemand& demand = job.request.job.steps[step];
    if (task.waiting)
        m_line.remove(position(job, step, index));
    task.waiting = false;
    task.state = TaskState::Sent;
    ++task.attempt;
    task.agent = placed.agent;
    task.started = false;
    task.stopping = false;
    ++job.steps[step].sharing[placed.agent];
    ++job.outstanding;
    OfferBook::onSent(*view, demand.need, grant != 0);
    wire::StartTask& start = *outbox(placed.agent).add_starts();
    *start.mutable_key()
        = wire::toWire({ job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) }, task.attempt);
    start.set_specification(job.request.job.specification);
    *start.mutable_need() = wire::toWire(demand.need);
    start.set_estimate_ms(demand.estimateMs);
    start.set_start_by_us(toMicros(now + view->clockAhead + m_options.startLife));
    start.set_grant(grant);
}

void JobTable::onAgent(TimePoint now, const wire::UpstreamToEntry& message)
{
    const AgentId id { message.agent(), message.incarnation() };
    AgentView* view = m_offers.onMessage(now, message);
    if (view == nullptr)
        return;
    view->replyDue = view->replyDue || view->attempts > 0 || message.reports_size() > 0;
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
    for (const auto& it : message.grants())
        useGrant(now, id, it);
    if (m_lineGrew)
        serveLine(now);
    else
        serveAgent(now, id);
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
        onStarted(now - std::chrono::milliseconds(report.run_ms()), job, task);
        return;
    }
    if (report.state() != wire::ATTEMPT_NOT_STARTED)
        onStarted(now - std::chrono::milliseconds(report.run_ms()), job, task);
    release(task);
    --job.outstanding;
    task.state = report.state() == wire::ATTEMPT_DONE ? TaskState::Done : TaskState::Pending;
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

void JobTable::onStarted(TimePoint since, Job& job, Task& task)
{
    if (!task.started) {
        task.started = true;
        task.startedAt = since;
        task.queuedAt = std::nullopt;
        ++m_counters.started;
    }
    if (job.mayHaveRun)
        return;
    // What still waits of it moves forward in the line.
    unqueue(job);
    job.mayHaveRun = true;
    if (!job.answered && !job.refusing)
        queueReady(since, job);
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
        queueReady(now, job);
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
        stopAttempts(job);
        return;
    }
    queue(now, job, step, index);
}

void JobTable::onNotStarted(TimePoint now, Job& job, size_t step, size_t index, const std::string& reason)
{
    if (job.answered)
        return;
    if (job.refusing) {
        giveUp(now, job, job.refusal);
        return;
    }
    Task& task = job.steps[step].tasks[index];
    if (task.attempt >= m_options.mostAttempts) {
        giveUp(now, job, "given_back_too_often: " + reason);
        return;
    }
    if (reason != "no_room")
        task.avoid.insert(task.agent);
    queue(now, job, step, index);
}

void JobTable::onLost(TimePoint now, Job& job, size_t step, size_t index, const std::string& reason)
{
    ++m_counters.lostAttempts;
    if (job.answered)
        return;
    if (job.refusing)
        giveUp(now, job, reason);
    else
        queue(now, job, step, index);
}

// A job of which nothing can have run is refused, but only once every attempt that is still out is known not to have started;
// any other is given up at once.
void JobTable::giveUp(TimePoint now, Job& job, const std::string& reason)
{
    if (job.answered)
        return;
    unqueue(job);
    if (job.mayHaveRun) {
        answer(now, job, { JobOutcome::Kind::MayHaveRun, reason, 0 });
        stopAttempts(job);
        return;
    }
    if (job.outstanding == 0) {
        answer(now, job, { JobOutcome::Kind::NotRun, reason, m_admission.retryAfter() });
        return;
    }
    if (job.refusing)
        return;
    job.refusing = true;
    job.refusal = reason;
    stopAttempts(job);
}

void JobTable::answer(TimePoint now, Job& job, const JobOutcome& outcome)
{
    unqueue(job);
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
        .with("waiting_here", m_line.size())
        .with("usable_agents", m_offers.usable(now, job.request.route.service()).size());
    if (m_hooks.onEnd)
        m_hooks.onEnd(job.request, outcome, now - job.received);
    for (const auto& it : job.callers)
        it.respond(outcome);
    job.callers.clear();
}

void JobTable::stopAttempts(Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            Task& task = job.steps[step].tasks[index];
            if (task.state != TaskState::Sent || task.stopping)
                continue;
            task.stopping = true;
            stopAttempt(job, step, index);
        }
    }
}

void JobTable::stopAttempt(const Job& job, size_t step, size_t index)
{
    const Task& task = job.steps[step].tasks[index];
    *outbox(task.agent).add_stops()
        = wire::toWire({ job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) }, task.attempt);
}

// Answers upstreams that turn slow or stand still: what runs there is stopped, and started elsewhere once its end is known.
void JobTable::moveSlow(TimePoint now, Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            Task& task = job.steps[step].tasks[index];
            if (task.state != TaskState::Sent || !task.started || task.stopping || task.moved)
                continue;
            const AgentView* view = m_offers.find(task.agent);
            if (view == nullptr || view->offer.slowness_percent() < m_options.slowPercent)
                continue;
            const Duration estimate = std::chrono::milliseconds(job.request.job.steps[step].estimateMs);
            const Duration rest = estimate * view->offer.slowness_percent() / 100 - (now - task.startedAt);
            const auto placed = m_placement.place(m_offers.usable(now, view->offer.service()), wish(now, job, step, index));
            if (!placed || placed->agent == task.agent || rest < placed->run + m_options.moveGain)
                continue;
            Event(Level::Info, "attempt_moved")
                .with("request", job.request.id)
                .with("task", std::to_string(step) + "/" + std::to_string(index))
                .with("agent", toString(task.agent))
                .with("slowness_percent", view->offer.slowness_percent())
                .with("offer_age_ms", toMs(now - view->heard))
                .with("ran_ms", toMs(now - task.startedAt))
                .with("rest_ms", toMs(rest))
                .with("elsewhere_ms", toMs(placed->run));
            ++m_counters.movedAttempts;
            task.moved = true;
            task.stopping = true;
            stopAttempt(job, step, index);
        }
    }
}

bool JobTable::cancel(TimePoint now, const std::string& id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || it->second.answered)
        return false;
    answer(now, it->second, { JobOutcome::Kind::Abandoned, "cancelled", 0 });
    stopAttempts(it->second);
    return true;
}

void JobTable::abandon(TimePoint now, uint64_t exchange)
{
    for (auto& it : m_jobs) {
        Job& job = it.second;
        const auto caller = std::find_if(job.callers.begin(), job.callers.end(),
            [exchange](const Caller& candidate) { return candidate.exchange == exchange; });
        if (caller == job.callers.end())
            continue;
        const JobResponder respond = std::move(caller->respond);
        job.callers.erase(caller);
        respond({ JobOutcome::Kind::Abandoned, "caller_gone", 0 });
        if (job.callers.empty()) {
            answer(now, job, { JobOutcome::Kind::Abandoned, "caller_gone", 0 });
            stopAttempts(job);
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
                *report.mutable_key()
                    = wire::toWire({ job.first, static_cast<uint32_t>(step), static_cast<uint32_t>(index) }, task.attempt);
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
    if (now < m_tickDue)
        return;
    m_tickDue = now + m_options.tickInterval;
    std::vector<AgentId> lost;
    for (const auto& it : m_offers.agents())
        if (it.second.attempts > 0 && now - it.second.heard > m_options.certainEnd)
            lost.push_back(it.first);
    for (const auto& it : lost)
        loseAgent(now, it, "agent_silent");
    for (auto& it : m_jobs) {
        Job& job = it.second;
        if (job.answered)
            continue;
        const bool stopping = m_drainUntil && now >= *m_drainUntil;
        if (now >= job.deadline || stopping) {
            unqueue(job);
            job.mayHaveRun = job.mayHaveRun || job.outstanding > 0;
            giveUp(now, job, stopping ? "stopping" : "deadline");
        } else if (!job.mayHaveRun && job.outstanding == 0 && now - job.received > m_admission.longestWait(job.request)) {
            // While a start is under way, its agent's answer comes first: it says whether the job has run.
            giveUp(now, job, "waited_too_long");
        } else {
            moveSlow(now, job);
        }
    }
    sweep();
    m_offers.expire(now);
    if (!m_line.empty())
        serveLine(now);
}

size_t JobTable::unanswered() const
{
    return static_cast<size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& it) { return !it.second.answered; }));
}

void JobTable::sweep()
{
    std::erase_if(m_jobs, [](const auto& it) { return it.second.answered && it.second.outstanding == 0; });
}

Duration JobTable::offerInterval() const
{
    const Duration even = Duration(std::chrono::seconds(m_offers.agents().size())) / m_options.offersPerSecond;
    return std::clamp(even, m_options.shortestOfferInterval, m_options.longestOfferInterval);
}

// Looks at all agents for echoes, changed intervals and demand that are due.
void JobTable::addDueMessages(TimePoint now)
{
    m_sweepDue = now + m_options.sweepInterval;
    const auto interval = static_cast<uint32_t>(toMs(offerInterval()));
    for (const auto& it : m_offers.agents()) {
        const AgentView& view = it.second;
        if ((view.replyDue || view.toldInterval != interval) && now - view.sent >= m_options.replySpacing)
            outbox(it.first);
    }
    for (auto it = m_waitingServices.begin(); it != m_waitingServices.end();) {
        const wire::Demand waiting = m_line.demand(now, *it);
        for (const auto& agent : m_demand.update(now, m_offers, *it, waiting))
            outbox(agent);
        it = waiting.tasks() == 0 ? m_waitingServices.erase(it) : std::next(it);
    }
}

void JobTable::transmit(TimePoint now, const AgentId& id, wire::EntryToUpstream message)
{
    AgentView* view = m_offers.find(id);
    if (view == nullptr)
        return;
    if (message.starts_size() > 0)
        message.set_sequence(++view->lastSequence);
    message.set_seen_clock_us(view->seenClockUs);
    message.set_acked_reports(view->ackedReports);
    view->toldInterval = static_cast<uint32_t>(toMs(offerInterval()));
    message.set_offer_interval_ms(view->toldInterval);
    wire::Demand demand = m_demand.told(now, *view);
    if (demand.tasks() > 0)
        *message.mutable_demand() = std::move(demand);
    view->sent = now;
    view->replyDue = false;
    m_hooks.send(id, std::move(message));
}

void JobTable::flush(TimePoint now)
{
    if (now >= m_sweepDue)
        addDueMessages(now);
    for (auto& it : m_outbox)
        transmit(now, it.first, std::move(it.second));
    m_outbox.clear();
}

} // namespace fescuegw::direct
