// How the tasks of a JobTable wait, and where and when they are sent.
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

} // namespace fescuegw::direct
