// The members of JobTable that handle messages from agents, and the loss of agents.
#include <algorithm>

#include "fescuegw/direct/JobTable.h"
#include "fescuegw/logging/Log.h"
#include "fescuegw/wire/Direct.h"

namespace fescuegw::direct {

using logging::Event;
using logging::Level;

void JobTable::onAgent(TimePoint now, const wire::UpstreamToEntry& message)
{
    checkCallers(now);
    const AgentId id { message.agent(), message.incarnation() };
    AgentView* view = m_offers.onMessage(now, message);
    if (view == nullptr)
        return;
    view->replyDue = view->replyDue || view->attempts > 0 || message.reports_size() > 0;
    for (const auto& it : message.reports())
        applyReport(now, id, it);
    // A restarted agent ends the attempts of its previous process before it accepts tasks.
    if (message.offer().accepting()) {
        std::vector<AgentId> earlier;
        for (auto it = m_offers.agents().lower_bound({ id.name, 0 }); it != m_offers.agents().end() && it->first < id; ++it)
            if (it->second.attempts > 0)
                earlier.push_back(it->first);
        for (const auto& it : earlier)
            onAgentLost(now, it, "agent_restarted");
    }
    for (const auto& it : message.grants())
        useGrant(now, id, it);
    if (m_queueGrew)
        dispatchPending(now);
    else
        dispatchToAgent(now, id);
}

void JobTable::release(Task& task)
{
    if (AgentView* view = m_offers.find(task.agent); view != nullptr && view->attempts > 0)
        --view->attempts;
}

void JobTable::confirmStop(const AgentId& agent, const wire::AttemptKey& key)
{
    const auto it = m_unconfirmedStops.find(agent);
    if (it == m_unconfirmedStops.end())
        return;
    it->second.erase({ wire::toStepTask(key), key.attempt() });
    if (it->second.empty())
        m_unconfirmedStops.erase(it);
}

void JobTable::applyReport(TimePoint now, const AgentId& agent, const wire::AttemptReport& report)
{
    if (report.state() == wire::ATTEMPT_CRASHED) {
        onCrash(now, agent, report);
        return;
    }
    if (report.state() == wire::ATTEMPT_JOB_CANCELLED) {
        onJobCancelled(now, agent, report.key().job());
        return;
    }
    const auto it = m_jobs.find(report.key().job());
    const uint32_t step = report.key().step();
    const uint32_t index = report.key().index();
    if (it == m_jobs.end() || step >= it->second.steps.size() || index >= it->second.steps[step].tasks.size()) {
        ++m_counters.unmatchedReports;
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
    confirmStop(agent, report.key());
    --job.outstanding;
    task.state = report.state() == wire::ATTEMPT_DONE ? TaskState::Done : TaskState::Pending;
    uint32_t& tasksOnAgent = job.steps[step].tasksPerAgent[agent];
    tasksOnAgent -= task.state == TaskState::Pending && tasksOnAgent > 0 ? 1 : 0;
    switch (report.state()) {
    case wire::ATTEMPT_DONE:
        onDone(now, job, step);
        break;
    case wire::ATTEMPT_FAILED:
        addFailure(task, agent);
        onFailed(now, job, step, index);
        break;
    case wire::ATTEMPT_NOT_STARTED:
        ++m_counters.notStarted;
        onNotStarted(now, job, step, index, report.reason());
        break;
    default:
        addFailure(task, agent);
        onLost(now, job, step, index, report.reason());
        break;
    }
}

void JobTable::addFailure(Task& task, const AgentId& agent) const
{
    task.avoidedAgents.insert(agent);
    const auto view = m_offers.agents().find(agent);
    // Agents without a domain have nothing in common.
    if (view != m_offers.agents().end() && !view->second.offer.domain().empty())
        task.failedDomains.insert(view->second.offer.domain());
}

void JobTable::onStarted(TimePoint since, Job& job, Task& task)
{
    if (!task.started) {
        task.started = true;
        task.startedAt = since;
        task.waitingSince = std::nullopt;
        ++m_counters.started;
    }
    if (job.mayHaveRun)
        return;
    // Queued tasks of a started job precede those of jobs that have not started, so they are queued again.
    dequeue(job);
    job.mayHaveRun = true;
    if (!job.answered && !job.refusing)
        enqueueReady(since, job);
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
        enqueueReady(now, job);
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
    queueAgain(now, job, step, index);
}

// A task that crashes its upstreams would take down one after another: neither its end nor its caller's patience bounds it. The
// count is kept beyond the job, since its caller submits it again after an unclear end. Whether the task was at work when the
// upstream crashed is not certain, so the job is not called failed.
void JobTable::onCrash(TimePoint now, const AgentId& agent, const wire::AttemptReport& report)
{
    const StepTask key = wire::toStepTask(report.key());
    if (!m_crashes.addCrash(now, key, { agent.name, report.process_ms() }))
        return;
    ++m_counters.crashesUnderTasks;
    const auto it = m_jobs.find(key.job);
    if (it == m_jobs.end() || key.step >= it->second.steps.size() || key.index >= it->second.steps[key.step].tasks.size())
        return;
    Event(Level::Warn, "upstream_crashed")
        .with("request", key.job)
        .with("task", std::to_string(key.step) + "/" + std::to_string(key.index))
        .with("agent", toString(agent))
        .with("process", report.process_ms())
        .with("crashes", m_crashes.crashes(now, key));
    Job& job = it->second;
    // An attempt on its way may be the one that succeeds.
    if (!job.answered && job.steps[key.step].tasks[key.index].queued) {
        const std::string reason = crashReason(now, job, key.step, key.index);
        m_counters.endedByCrashes += reason.empty() ? 0 : 1;
        if (!reason.empty())
            endUnfinished(now, job, reason);
    }
}

// Not passed on: the entry at which the job was cancelled tells the agents.
void JobTable::onJobCancelled(TimePoint now, const AgentId& agent, const std::string& id)
{
    if (const auto cancel = m_forwardedCancels.find(id); cancel != m_forwardedCancels.end())
        cancel->second.confirmed.insert(agent);
    if (!cancelInFlight(now, id))
        return;
    ++m_counters.cancelledElsewhere;
    Event(Level::Info, "cancelled_elsewhere").with("request", id).with("agent", toString(agent));
}

// Returns why a task is not started again, or an empty string if it may be.
std::string JobTable::crashReason(TimePoint now, const Job& job, size_t step, size_t index) const
{
    if (m_crashes.size() == 0)
        return "";
    const StepTask key { job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) };
    if (m_crashes.crashes(now, key) >= m_options.maxCrashes)
        return "crashed_upstreams";
    return m_crashes.losses(now, key) >= m_options.maxLostAttempts ? "lost_too_often" : "";
}

void JobTable::queueAgain(TimePoint now, Job& job, size_t step, size_t index)
{
    const std::string reason = crashReason(now, job, step, index);
    if (reason.empty()) {
        enqueue(now, job, step, index);
        return;
    }
    ++m_counters.endedByCrashes;
    endUnfinished(now, job, reason);
}

void JobTable::onNotStarted(TimePoint now, Job& job, size_t step, size_t index, const std::string& reason)
{
    if (job.answered)
        return;
    if (job.refusing) {
        endUnfinished(now, job, job.refusalReason);
        return;
    }
    Task& task = job.steps[step].tasks[index];
    if (task.attempts >= m_options.maxAttempts) {
        endUnfinished(now, job, "given_back_too_often: " + reason);
        return;
    }
    if (reason != "no_room")
        task.avoidedAgents.insert(task.agent);
    queueAgain(now, job, step, index);
}

void JobTable::onLost(TimePoint now, Job& job, size_t step, size_t index, const std::string& reason)
{
    ++m_counters.lostAttempts;
    const Task& task = job.steps[step].tasks[index];
    // A stop that was asked for here explains the loss.
    if (!task.stopping)
        m_crashes.addLoss(now, { job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) });
    if (job.answered)
        return;
    if (job.refusing)
        endUnfinished(now, job, reason);
    else
        queueAgain(now, job, step, index);
}

// Starts that never left this host are known not to have run. Later messages repeat acknowledgements and stops.
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

void JobTable::onAgentLost(TimePoint now, const AgentId& agent, const std::string& reason)
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

} // namespace fescuegw::direct
