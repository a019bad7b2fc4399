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
        task.avoidedAgents.insert(agent);
        onFailed(now, job, step, index);
        break;
    case wire::ATTEMPT_NOT_STARTED:
        ++m_counters.notStarted;
        onNotStarted(now, job, step, index, report.reason());
        break;
    default:
        task.avoidedAgents.insert(agent);
        onLost(now, job, step, index, report.reason());
        break;
    }
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
    enqueue(now, job, step, index);
}

// A task that crashes its upstreams would take down one after another: neither its end nor its caller's patience bounds it. The
// count is kept beyond the job, since its caller submits it again after an unclear end.
void JobTable::onCrash(TimePoint now, const AgentId& agent, const wire::AttemptReport& report)
{
    const StepTask task = wire::toStepTask(report.key());
    const uint32_t before = m_crashes.count(now, task);
    const uint32_t crashes = m_crashes.add(now, task, { agent.name, report.process_ms() });
    if (crashes == before)
        return;
    ++m_counters.crashesUnderTasks;
    const auto it = m_jobs.find(task.job);
    if (it == m_jobs.end())
        return;
    Event(Level::Warn, "upstream_crashed")
        .with("request", task.job)
        .with("task", std::to_string(task.step) + "/" + std::to_string(task.index))
        .with("agent", toString(agent))
        .with("process", report.process_ms())
        .with("crashes", crashes);
    if (!it->second.answered && failCrashing(now, it->second))
        stopAttempts(now, it->second);
}

// Answers a job of which a task has crashed too many upstreams. Returns whether there is one.
bool JobTable::failCrashing(TimePoint now, Job& job)
{
    if (m_crashes.size() == 0)
        return false;
    for (size_t step = 0; step < job.steps.size(); ++step) {
        for (size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            const uint32_t crashes
                = m_crashes.count(now, { job.request.id, static_cast<uint32_t>(step), static_cast<uint32_t>(index) });
            if (crashes < m_options.maxCrashes)
                continue;
            ++m_counters.failedByCrashes;
            answer(now, job, { JobOutcome::Kind::Failed, std::to_string(crashes) + "_upstreams_crashed", 0 });
            return true;
        }
    }
    return false;
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
    if (task.attempt >= m_options.maxAttempts) {
        endUnfinished(now, job, "given_back_too_often: " + reason);
        return;
    }
    if (reason != "no_room")
        task.avoidedAgents.insert(task.agent);
    enqueue(now, job, step, index);
}

void JobTable::onLost(TimePoint now, Job& job, size_t step, size_t index, const std::string& reason)
{
    ++m_counters.lostAttempts;
    Task& task = job.steps[step].tasks[index];
    ++task.lost;
    if (job.answered)
        return;
    if (job.refusing)
        endUnfinished(now, job, reason);
    else if (task.lost >= m_options.maxLostAttempts)
        endUnfinished(now, job, "lost_too_often: " + reason);
    else
        enqueue(now, job, step, index);
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
