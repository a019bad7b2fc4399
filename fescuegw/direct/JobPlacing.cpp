// The members of JobTable that queue tasks, place them on agents and send them.
#include <algorithm>

#include "fescuegw/direct/JobTable.h"
#include "fescuegw/logging/Log.h"
#include "fescuegw/wire/Direct.h"

namespace fescuegw::direct {

using logging::Event;
using logging::Level;

bool JobTable::isReady(const Job& job, size_t step) const
{
    const auto& after = job.request.job.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](uint32_t it) { return job.steps[it].complete; });
}

// Steps refer only to earlier ones, so a single pass follows steps without tasks to those that depend on them.
void JobTable::enqueueReady(TimePoint now, Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        Step& current = job.steps[step];
        if (current.complete || !isReady(job, step))
            continue;
        current.complete = current.done == current.tasks.size();
        for (size_t index = 0; index < current.tasks.size(); ++index)
            if (current.tasks[index].state == TaskState::Pending && !current.tasks[index].queued)
                enqueue(now, job, step, index);
    }
}

QueuePosition JobTable::queuePosition(const Job& job, size_t step, size_t index) const
{
    return { job.request.route.priority(), !job.mayHaveRun, job.number, static_cast<uint32_t>(step),
        static_cast<uint32_t>(index) };
}

void JobTable::enqueue(TimePoint now, Job& job, size_t step, size_t index)
{
    Task& task = job.steps[step].tasks[index];
    // Agents are notified of the first queued task of a service without delay.
    if (m_waitingServices.insert(job.request.route.service()).second)
        m_messageCheckDue = now;
    m_queueGrew = true;
    task.queued = true;
    task.waitingSince = task.waitingSince.value_or(now);
    const StepTask key { job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) };
    m_queue.add(queuePosition(job, step, index),
        { key, job.request.route.service(), job.request.job.steps[step].need, *task.waitingSince,
            m_admission.maxWait(job.request) });
}

void JobTable::dequeue(Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            Task& task = job.steps[step].tasks[index];
            if (task.queued)
                m_queue.remove(queuePosition(job, step, index));
            task.queued = false;
        }
    }
}

// While a job can still meet its objective, only upstreams on which it is expected to do so are acceptable.
PlacementRequest JobTable::placementRequest(TimePoint now, const Job& job, size_t step, size_t index) const
{
    constexpr int acceptedEstimateMultiple = 2;
    const StepDemand& demand = job.request.job.steps[step];
    const Duration estimate = std::chrono::milliseconds(demand.estimateMs);
    const Duration left = job.received + m_admission.objective(job.request) - now;
    const Duration usefulLeft = job.received + m_admission.usefulAnswerTime(job.request) - now;
    PlacementRequest request;
    request.step = &demand;
    request.avoidedAgents = &job.steps[step].tasks[index].avoidedAgents;
    request.tasksPerAgent = &job.steps[step].tasksPerAgent;
    request.maxRun = left >= estimate ? left : std::max(usefulLeft, acceptedEstimateMultiple * estimate);
    const Task& task = job.steps[step].tasks[index];
    request.mayProbe = task.failures + 1 < job.request.route.attempts() && left >= 2 * estimate;
    request.failedDomains = &task.failedDomains;
    return request;
}

// Places queued tasks, in queue order, wherever there is free capacity.
void JobTable::dispatchPending(TimePoint now)
{
    m_queueGrew = false;
    // Smallest need that could not be placed, by service: tasks that need as much or more are not tried.
    std::map<std::string, int64_t> failed;
    std::map<std::string, std::vector<UsableAgent>> agents;
    std::map<std::string, EjectedAgents> ejectedAgents;
    for (auto it = m_queue.tasks().begin(); it != m_queue.tasks().end();) {
        const QueuePosition position = it->first;
        const PendingTask task = it->second;
        ++it;
        const auto known = failed.find(task.service);
        if (known != failed.end() && task.need.coresMilli >= known->second)
            continue;
        const auto [usable, first] = agents.try_emplace(task.service);
        if (first)
            usable->second = m_offers.usable(now, task.service);
        Job& job = m_jobs.find(task.task.job)->second;
        PlacementRequest request = placementRequest(now, job, position.step, position.index);
        auto placed = m_placement.place(usable->second, request);
        if (!placed) {
            const auto [ejected, firstFailure] = ejectedAgents.try_emplace(task.service);
            if (firstFailure)
                ejected->second = m_offers.ejected(now, task.service);
            request.despiteEjection = true;
            placed = m_placement.place(request.mayProbe ? ejected->second.tolerated : ejected->second.required, request);
        }
        if (placed)
            send(now, job, position.step, position.index, *placed, 0, request.despiteEjection);
        else
            failed[task.service] = task.need.coresMilli;
    }
}

// Places queued tasks on one agent, the only one whose free capacity has changed.
void JobTable::dispatchToAgent(TimePoint now, const AgentId& agent)
{
    const AgentView* view = m_offers.find(agent);
    if (view == nullptr || !m_offers.isUsable(now, *view))
        return;
    for (auto it = m_queue.tasks().begin(); it != m_queue.tasks().end();) {
        const QueuePosition position = it->first;
        const PendingTask& task = it->second;
        ++it;
        if (task.service != view->offer.service() || !task.need.fitsInto(view->free))
            continue;
        Job& job = m_jobs.find(task.task.job)->second;
        const PlacementRequest request = placementRequest(now, job, position.step, position.index);
        if (request.avoidedAgents->contains(agent))
            continue;
        if (const auto placed = m_placement.place({ { &agent, view } }, request))
            send(now, job, position.step, position.index, *placed, 0);
    }
}

// Uses a grant for the first queued task that fits into it, or declines it.
void JobTable::useGrant(TimePoint now, const AgentId& agent, const wire::Grant& grant)
{
    const AgentView* view = m_offers.find(agent);
    const Resources granted = wire::toResources(grant.room());
    for (const auto& it : m_queue.tasks()) {
        const PendingTask& task = it.second;
        if (task.service != view->offer.service() || !task.need.fitsInto(granted))
            continue;
        Job& job = m_jobs.find(task.task.job)->second;
        const PlacementRequest request = placementRequest(now, job, it.first.step, it.first.index);
        const auto run = m_placement.expectedRun(agent, *view, request);
        if (!run || *run > request.maxRun || request.avoidedAgents->contains(agent))
            continue;
        const QueuePosition position = it.first;
        send(now, job, position.step, position.index, PlacementResult { agent, *run }, grant.id());
        return;
    }
    ++m_counters.declinedGrants;
    outbox(agent).add_declined_grants(grant.id());
}

void JobTable::send(
    TimePoint now, Job& job, size_t step, size_t index, const PlacementResult& placed, uint64_t grant, bool despiteEjection)
{
    AgentView* view = m_offers.find(placed.agent);
    Task& task = job.steps[step].tasks[index];
    const StepDemand& demand = job.request.job.steps[step];
    if (const auto shedder = m_shedders.find(job.request.route.service()); shedder != m_shedders.end())
        shedder->second.onWait(
            job.request.route.priority(), now - task.waitingSince.value_or(now), m_admission.maxWait(job.request));
    if (task.queued)
        m_queue.remove(queuePosition(job, step, index));
    task.queued = false;
    task.state = TaskState::Sent;
    ++task.attempts;
    task.attempt = ++m_lastAttempt;
    task.agent = placed.agent;
    task.started = false;
    task.stopping = false;
    ++job.steps[step].tasksPerAgent[placed.agent];
    ++job.outstanding;
    m_offerPace.onStart();
    OfferTable::onSent(*view, demand.need, grant != 0);
    wire::StartTask& start = *outbox(placed.agent).add_starts();
    *start.mutable_key()
        = wire::toWire({ job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) }, task.attempt);
    start.set_specification(job.request.job.specification);
    *start.mutable_need() = wire::toWire(demand.need);
    start.set_estimate_ms(demand.estimateMs);
    start.set_start_by_us(toMicros(now + view->clockAhead + m_options.startLifetime));
    start.set_grant(grant);
    start.set_despite_ejection(despiteEjection);
}

// Stops attempts on upstreams that have become slow or make no progress. Each task is started elsewhere once its attempt is
// known to have ended.
void JobTable::moveSlowAttempts(TimePoint now, Job& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            Task& task = job.steps[step].tasks[index];
            if (task.state != TaskState::Sent || !task.started || task.stopping || task.moved)
                continue;
            const AgentView* view = m_offers.find(task.agent);
            if (view == nullptr || view->offer.slowness_percent() < m_options.slownessThresholdPercent)
                continue;
            const Duration estimate = std::chrono::milliseconds(job.request.job.steps[step].estimateMs);
            const Duration remaining = estimate * view->offer.slowness_percent() / 100 - (now - task.startedAt);
            const auto placed
                = m_placement.place(m_offers.usable(now, view->offer.service()), placementRequest(now, job, step, index));
            if (!placed || placed->agent == task.agent || remaining < placed->expectedRun + m_options.minMoveGain)
                continue;
            Event(Level::Info, "attempt_moved")
                .with("request", job.request.id)
                .with("task", std::to_string(step) + "/" + std::to_string(index))
                .with("agent", toString(task.agent))
                .with("slowness_percent", view->offer.slowness_percent())
                .with("offer_age_ms", toMs(now - view->lastHeard))
                .with("ran_ms", toMs(now - task.startedAt))
                .with("rest_ms", toMs(remaining))
                .with("elsewhere_ms", toMs(placed->expectedRun));
            ++m_counters.movedAttempts;
            task.moved = true;
            task.stopping = true;
            stopAttempt(now, job, step, index);
        }
    }
}

} // namespace fescuegw::direct
