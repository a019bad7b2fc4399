// Submission, answers and messages to agents. JobPlacing.cpp and JobReports.cpp hold the other members of JobTable.
#include "fescuegw/direct/JobTable.h"

#include <algorithm>

#include "fescuegw/logging/Log.h"
#include "fescuegw/wire/Direct.h"

namespace fescuegw::direct {

using logging::Event;
using logging::Level;

namespace {

    constexpr double fullPercent = 100;

} // namespace

JobTable::JobTable(JobTableOptions options, JobTableHooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_admission(options.admission)
    , m_offers(options.offers)
    , m_offerPace(options.offerPace)
    , m_placement(options.placement, m_hooks.random)
    , m_demandNotifier(options.demand)
    , m_crashes(options.crashes)
{
}

// Nothing is decided with older knowledge of the callers than the interval: a caller that has gone may have sent its job again
// elsewhere, and while this process stands still, nothing shows it.
void JobTable::checkCallers(TimePoint now)
{
    if (!m_hooks.goneCallers || now < m_callerCheckDue)
        return;
    m_callerCheckDue = now + m_options.callerCheckInterval;
    const auto gone = m_hooks.goneCallers();
    m_goneCallers = { gone.begin(), gone.end() };
    if (!m_goneCallers.empty())
        abandon(now, m_goneCallers);
}

void JobTable::submit(TimePoint now, JobRequest request, JobResponder respond)
{
    checkCallers(now);
    if (m_goneCallers.contains(request.exchange)) {
        respond({ JobOutcome::Kind::Abandoned, "caller_gone", 0 });
        return;
    }
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
    for (size_t step = 0; step < job.steps.size(); ++step) {
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            const std::string crashed = crashReason(now, job, step, index);
            if (crashed.empty())
                continue;
            ++m_counters.endedByCrashes;
            answer(now, job, { JobOutcome::Kind::MayHaveRun, crashed, 0 });
            return;
        }
    }
    // A caller may submit a job again before the attempts of its previous submission are known to have ended.
    const std::string reason = busy ? "earlier_attempts_ending" : refusalReason(now, job);
    if (!reason.empty()) {
        answer(now, job, refusal(job, reason));
        return;
    }
    ++m_counters.admitted;
    Job& added = m_jobs.emplace(job.request.id, std::move(job)).first->second;
    enqueueReady(now, added);
    dispatchPending(now);
}

// Returns why a job is refused on submission, or "" when it is accepted.
std::string JobTable::refusalReason(TimePoint now, const Job& job)
{
    const wire::Route& route = job.request.route;
    if (m_jobs.size() >= m_options.maxJobs)
        return "too_many_jobs";
    if (m_drainUntil && now + m_admission.objective(job.request) > *m_drainUntil)
        return "stopping";
    const auto usable = m_offers.usable(now, route.service());
    std::optional<EjectedAgents> ejected;
    for (size_t step = 0; step < job.steps.size(); ++step) {
        if (job.steps[step].tasks.empty())
            continue;
        PlacementRequest request = placementRequest(now, job, step, 0);
        const auto fits = [&](const std::vector<UsableAgent>& agents) {
            return std::any_of(agents.begin(), agents.end(),
                [&](const auto& it) { return m_placement.expectedRun(*it.first, *it.second, request).has_value(); });
        };
        if (fits(usable))
            continue;
        if (!ejected)
            ejected = m_offers.ejected(now, route.service());
        // The same agents as for placement.
        const auto& others = request.mayProbe ? ejected->tolerated : ejected->required;
        if (usable.empty() && others.empty())
            return "no_upstream";
        request.despiteEjection = true;
        if (!fits(others))
            return "no_upstream_fits";
    }
    const Duration waited = m_queue.longestWait(now, route.service(), route.priority());
    if (!m_admission.admits(job.request, waited))
        return "line_of_" + std::to_string(toMs(waited)) + "_ms";
    LoadShedder& shedder = m_shedders.try_emplace(route.service(), m_options.shedding, m_hooks.random).first->second;
    return shedder.admits(now, Admission::cost(job.request)) ? "" : "overload";
}

JobOutcome JobTable::refusal(const Job& job, const std::string& reason) const
{
    const auto shedder = m_shedders.find(job.request.route.service());
    const uint32_t shedding = shedder == m_shedders.end() ? 0 : shedder->second.retryAfterS();
    return { JobOutcome::Kind::NotRun, reason, std::max(m_admission.retryAfter(), shedding) };
}

double JobTable::admittedPercent(bool mostUrgent) const
{
    double percent = fullPercent;
    for (const auto& it : m_shedders)
        percent = std::min(percent, it.second.admittedPercent(mostUrgent));
    return percent;
}

void JobTable::updateShedding(TimePoint now)
{
    if (now < m_sheddingDue)
        return;
    m_sheddingDue = now + m_options.shedding.period;
    for (const auto& it : m_queue.tasks())
        if (const auto shedder = m_shedders.find(it.second.service); shedder != m_shedders.end())
            shedder->second.onWait(it.first.priority, now - it.second.since, it.second.slack);
    for (auto& it : m_shedders)
        it.second.update(now);
    const bool shedding = admittedPercent(false) < fullPercent || admittedPercent(true) < fullPercent;
    if (shedding == m_shedding)
        return;
    m_shedding = shedding;
    Event(Level::Info, "load_shedding")
        .with("active", shedding ? "yes" : "no")
        .with("waiting_here", m_queue.size())
        .with("jobs", m_jobs.size())
        .with("refused", m_counters.refused);
}

wire::EntryToUpstream& JobTable::outbox(const AgentId& agent) { return m_outbox[agent]; }

// Ends a job whose tasks are not all done. A job of which nothing can have run is refused, but only once every outstanding
// attempt is known not to have started; any other job ends immediately.
void JobTable::endUnfinished(TimePoint now, Job& job, const std::string& reason)
{
    if (job.answered)
        return;
    dequeue(job);
    if (job.mayHaveRun) {
        answer(now, job, { JobOutcome::Kind::MayHaveRun, reason, 0 });
        stopAttempts(now, job);
        return;
    }
    if (job.outstanding == 0) {
        answer(now, job, refusal(job, reason));
        return;
    }
    if (job.refusing)
        return;
    job.refusing = true;
    job.refusalReason = reason;
    stopAttempts(now, job);
}

void JobTable::answer(TimePoint now, Job& job, const JobOutcome& outcome)
{
    dequeue(job);
    job.answered = true;
    m_counters.refused += outcome.kind == JobOutcome::Kind::NotRun ? 1 : 0;
    size_t done = 0;
    size_t tasks = 0;
    uint32_t attempts = 0;
    for (const auto& step : job.steps) {
        done += step.done;
        tasks += step.tasks.size();
        for (const auto& it : step.tasks)
            attempts += it.attempts;
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
        .with("waiting_here", m_queue.size())
        .with("usable_agents", m_offers.usable(now, job.request.route.service()).size());
    if (m_hooks.onEnd)
        m_hooks.onEnd(job.request, outcome, now - job.received);
    for (const auto& it : job.callers)
        it.respond(outcome);
    job.callers.clear();
}

void JobTable::stopAttempts(TimePoint now, Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            Task& task = job.steps[step].tasks[index];
            if (task.state != TaskState::Sent || task.stopping)
                continue;
            task.stopping = true;
            stopAttempt(now, job, step, index);
        }
    }
}

void JobTable::stopAttempt(TimePoint now, const Job& job, size_t step, size_t index)
{
    const Task& task = job.steps[step].tasks[index];
    const AgentId agent = task.agent;
    const Attempt attempt { { job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) }, task.attempt };
    if (withdrawUnsentStart(now, agent, attempt))
        return;
    m_unconfirmedStops[agent].insert(attempt);
    outbox(agent);
}

// A task that was placed since the last flush has its start in the outbox. Sent together, start and stop would depend on the
// order in which the agent applies them; removed, the start is known not to have been carried out.
bool JobTable::withdrawUnsentStart(TimePoint now, const AgentId& agent, const Attempt& attempt)
{
    const auto box = m_outbox.find(agent);
    if (box == m_outbox.end())
        return false;
    auto& starts = *box->second.mutable_starts();
    const auto start = std::find_if(starts.begin(), starts.end(), [&](const wire::StartTask& it) {
        return wire::toStepTask(it.key()) == attempt.task && it.key().attempt() == attempt.number;
    });
    if (start == starts.end())
        return false;
    if (AgentView* view = m_offers.find(agent))
        OfferTable::onWithdrawn(*view, wire::toResources(start->need()), start->grant() != 0);
    if (start->grant() != 0)
        box->second.add_declined_grants(start->grant());
    starts.erase(start);
    wire::AttemptReport report;
    *report.mutable_key() = wire::toWire(attempt.task, attempt.number);
    report.set_state(wire::ATTEMPT_NOT_STARTED);
    report.set_reason("withdrawn");
    applyReport(now, agent, report);
    return true;
}

bool JobTable::cancel(TimePoint now, const std::string& id)
{
    if (cancelInFlight(now, id))
        return true;
    if (!m_jobs.contains(id))
        forwardCancel(now, id);
    return false;
}

bool JobTable::cancelInFlight(TimePoint now, const std::string& id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || it->second.answered)
        return false;
    answer(now, it->second, { JobOutcome::Kind::Abandoned, "cancelled", 0 });
    stopAttempts(now, it->second);
    return true;
}

// A caller's next connection may reach another entry than the one on which it waits. Entries have no links to each other, but
// agents have links to both.
void JobTable::forwardCancel(TimePoint now, const std::string& id)
{
    if (m_forwardedCancels.size() >= m_options.maxForwardedCancels && !m_forwardedCancels.contains(id))
        return;
    m_forwardedCancels[id] = { now + m_options.forwardedCancelPeriod, {} };
    for (const auto& it : m_offers.agents())
        outbox(it.first);
}

void JobTable::abandon(TimePoint now, uint64_t exchange) { abandon(now, std::set<uint64_t> { exchange }); }

void JobTable::abandon(TimePoint now, const std::set<uint64_t>& exchanges)
{
    for (auto& it : m_jobs) {
        Job& job = it.second;
        const auto gone = std::stable_partition(job.callers.begin(), job.callers.end(),
            [&exchanges](const Caller& candidate) { return !exchanges.contains(candidate.exchange); });
        const std::vector<Caller> left(gone, job.callers.end());
        job.callers.erase(gone, job.callers.end());
        for (const auto& caller : left)
            caller.respond({ JobOutcome::Kind::Abandoned, "caller_gone", 0 });
        if (left.empty() || !job.callers.empty())
            continue;
        answer(now, job, { JobOutcome::Kind::Abandoned, "caller_gone", 0 });
        stopAttempts(now, job);
    }
}

void JobTable::tick(TimePoint now)
{
    checkCallers(now);
    if (now < m_tickDue)
        return;
    m_tickDue = now + m_options.tickInterval;
    updateShedding(now);
    std::vector<AgentId> lost;
    for (const auto& it : m_offers.agents())
        if (it.second.attempts > 0 && now - it.second.lastHeard > m_options.agentLossTimeout)
            lost.push_back(it.first);
    for (const auto& it : lost)
        onAgentLost(now, it, "agent_silent");
    for (auto& it : m_jobs) {
        Job& job = it.second;
        if (job.answered)
            continue;
        const bool stopping = m_drainUntil && now >= *m_drainUntil;
        if (now >= job.deadline || stopping) {
            const std::string reason = stopping ? "stopping" : "deadline";
            endUnfinished(now, job, reason);
            // The caller waits no longer, although the agents have not reported whether their starts were carried out.
            job.mayHaveRun = job.mayHaveRun || !job.answered;
            endUnfinished(now, job, reason);
        } else if (!job.mayHaveRun && job.outstanding == 0 && now - job.received > m_admission.maxWait(job.request)) {
            // With a start outstanding, waits for the agent's report, which says whether the task has run.
            endUnfinished(now, job, "waited_too_long");
        } else {
            moveSlowAttempts(now, job);
        }
    }
    removeFinishedJobs();
    m_offers.expire(now);
    m_crashes.expire(now);
    if (!m_queue.empty())
        dispatchPending(now);
}

size_t JobTable::unanswered() const
{
    return static_cast<size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& it) { return !it.second.answered; }));
}

void JobTable::removeFinishedJobs()
{
    std::erase_if(m_jobs, [](const auto& it) { return it.second.answered && it.second.outstanding == 0; });
}

uint32_t JobTable::offerIntervalMs(const AgentView& view) const
{
    return static_cast<uint32_t>(toMs(m_offerPace.interval(m_offers.agents().size(), view.attempts > 0)));
}

// Prepares messages to the agents for which a lease renewal, a changed offer interval or changed demand is due.
void JobTable::addDueMessages(TimePoint now)
{
    m_messageCheckDue = now + m_options.messageCheckInterval;
    m_offerPace.update(now);
    addDueStops(now);
    addDueForwardedCancels(now);
    for (const auto& it : m_offers.agents()) {
        const AgentView& view = it.second;
        if ((view.replyDue || view.sentOfferInterval != offerIntervalMs(view))
            && now - view.lastSent >= m_options.minReplyInterval)
            outbox(it.first);
    }
    for (auto it = m_waitingServices.begin(); it != m_waitingServices.end();) {
        const wire::Demand waiting = m_queue.demand(now, *it);
        for (const auto& agent : m_demandNotifier.update(now, m_offers, *it, waiting))
            outbox(agent);
        it = waiting.tasks() == 0 ? m_waitingServices.erase(it) : std::next(it);
    }
}

// A stop may be lost with its connection, with or without being reported as undeliverable, so it is sent until the agent has
// reported the end of the attempt.
void JobTable::addDueStops(TimePoint now)
{
    for (const auto& it : m_unconfirmedStops) {
        const AgentView* view = m_offers.find(it.first);
        if (view == nullptr || now - view->lastSent < m_options.stopRepeatInterval)
            continue;
        Event(Level::Info, "stops_repeated")
            .with("agent", toString(it.first))
            .with("attempts", it.second.size())
            .with("first", it.second.begin()->task.job)
            .with("agent_silent_ms", toMs(now - view->lastHeard));
        ++m_counters.repeatedStops;
        outbox(it.first);
    }
}

void JobTable::addDueForwardedCancels(TimePoint now)
{
    std::erase_if(m_forwardedCancels, [now](const auto& it) { return now >= it.second.until; });
    if (m_forwardedCancels.empty())
        return;
    for (const auto& it : m_offers.agents()) {
        const bool due = now - it.second.lastSent >= m_options.stopRepeatInterval;
        const auto unconfirmed = [&](const auto& cancel) { return !cancel.second.confirmed.contains(it.first); };
        if (due && std::any_of(m_forwardedCancels.begin(), m_forwardedCancels.end(), unconfirmed))
            outbox(it.first);
    }
}

void JobTable::transmit(TimePoint now, const AgentId& id, wire::EntryToUpstream message)
{
    AgentView* view = m_offers.find(id);
    if (view == nullptr)
        return;
    if (message.starts_size() > 0)
        message.set_sequence(++view->lastSequence);
    if (const auto stops = m_unconfirmedStops.find(id); stops != m_unconfirmedStops.end())
        for (const auto& it : stops->second)
            *message.add_stops() = wire::toWire(it.task, it.number);
    for (const auto& it : m_forwardedCancels)
        if (!it.second.confirmed.contains(id))
            message.add_cancelled_jobs(it.first);
    message.set_seen_clock_us(view->seenClockUs);
    message.set_acked_reports(view->ackedReports);
    view->sentOfferInterval = offerIntervalMs(*view);
    message.set_offer_interval_ms(view->sentOfferInterval);
    wire::Demand demand = m_demandNotifier.demandFor(now, *view);
    if (demand.tasks() > 0)
        *message.mutable_demand() = std::move(demand);
    view->lastSent = now;
    view->replyDue = false;
    m_hooks.send(id, std::move(message));
}

void JobTable::flush(TimePoint now)
{
    if (now >= m_messageCheckDue)
        addDueMessages(now);
    for (auto& it : m_outbox)
        transmit(now, it.first, std::move(it.second));
    m_outbox.clear();
}

} // namespace fescuegw::direct
