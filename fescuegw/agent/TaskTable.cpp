#include "fescuegw/agent/TaskTable.h"

#include "fescuegw/wire/Verdicts.h"

namespace fescuegw::agent {

namespace {

    TaskId taskIdOf(const wire::TaskKey& key) { return TaskId { { key.team(), key.submission() }, key.index() }; }

    wire::TaskResult resultFor(const wire::TaskDispatch& task, uint64_t epoch)
    {
        wire::TaskResult result;
        *result.mutable_key() = task.key();
        result.set_attempt(task.attempt());
        result.set_epoch(epoch);
        result.set_durable(task.durable());
        result.set_cores_milli(task.cores_milli());
        result.set_memory_mb(task.memory_mb());
        return result;
    }

} // namespace

TaskTable::TaskTable(uint64_t incarnation)
    : m_incarnation(incarnation)
{
}

// Returns whether the message is current, and raises the fencing epoch to that of the message.
bool TaskTable::updateFence(const wire::EntryToAgent& message)
{
    if (message.incarnation() != m_incarnation)
        return false;
    if (message.service() != m_service) {
        // Epochs are numbered per service.
        m_service = message.service();
        m_epoch = 0;
    }
    if (message.epoch() < m_epoch)
        return false;
    if (message.epoch() > m_epoch) {
        m_epoch = message.epoch();
        m_sequence = 0;
    }
    // The message arrived after a later one; its owner has already counted its tasks as not started.
    if (message.sequence() <= m_sequence)
        return false;
    m_sequence = message.sequence();
    return true;
}

std::string TaskTable::refusalReason(
    uint64_t clockUs, const wire::TaskDispatch& task, const wire::EntryToAgent& message, const Capacity& capacity) const
{
    if (!capacity.serving || capacity.service != message.service())
        return "the upstream is leaving or absent";
    if (clockUs > task.start_by_us())
        return "the latest start has passed";
    if (m_running + foreignRunning() >= capacity.slots)
        return "no free slot";
    return "";
}

void TaskTable::onUpstreamTasks(const std::vector<UpstreamTask>& tasks)
{
    m_orphanedCount = 0;
    std::set<TaskId> stillRunning;
    for (const auto& it : tasks) {
        if (it.incarnation != m_incarnation)
            ++m_orphanedCount;
        else if (m_unconfirmedStops.contains(it.task))
            stillRunning.insert(it.task);
    }
    m_unconfirmedStops = stillRunning;
}

Decision TaskTable::decide(uint64_t clockUs, const wire::EntryToAgent& message, const Capacity& capacity)
{
    Decision decision;
    decision.ignored = !updateFence(message);
    if (decision.ignored) {
        // Reply to a superseded owner, which cannot learn in another way that these tasks were not started.
        for (const auto& task : message.dispatches()) {
            if (message.incarnation() == m_incarnation && message.epoch() < m_epoch && !m_tasks.contains(taskIdOf(task.key()))) {
                decision.refusals.push_back(resultFor(task, message.epoch()));
                decision.refusals.back().set_reason("a later owner has taken over");
            }
        }
        return decision;
    }
    for (const auto& key : message.releases())
        std::erase_if(m_tasks, [&key](const auto& it) {
            return !it.second.running && it.first.submission == SubmissionKey { key.team(), key.submission() };
        });
    for (const auto& task : message.dispatches()) {
        const TaskId id = taskIdOf(task.key());
        if (m_tasks.contains(id)) {
            wire::TaskResult duplicate = resultFor(task, message.epoch());
            duplicate.set_verdict(wire::MAY_HAVE_RUN);
            duplicate.set_reason("started before on this worker");
            decision.refusals.push_back(duplicate);
            continue;
        }
        const std::string reason = refusalReason(clockUs, task, message, capacity);
        if (!reason.empty()) {
            decision.refusals.push_back(resultFor(task, message.epoch()));
            decision.refusals.back().set_reason(reason);
            continue;
        }
        m_tasks[id] = StartedTask { resultFor(task, message.epoch()), true };
        ++m_running;
        decision.starts.push_back(task);
    }
    for (const auto& key : message.cancels()) {
        const auto it = m_tasks.find(taskIdOf(key));
        if (it != m_tasks.end() && it->second.running)
            decision.stops.push_back(it->first);
    }
    decision.collect = message.collect();
    return decision;
}

wire::TaskResult TaskTable::finish(
    const TaskId& id, bool succeeded, Verdict verdict, const std::string& reason, std::string output, uint64_t runUs)
{
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end())
        return {};
    StartedTask& started = it->second;
    if (!succeeded && verdict == Verdict::MayHaveRun)
        m_unconfirmedStops.insert(id);
    started.running = false;
    --m_running;
    started.result.set_succeeded(succeeded);
    started.result.set_verdict(wire::toWire(verdict));
    started.result.set_reason(reason);
    started.result.set_output(std::move(output));
    started.result.set_run_us(runUs);
    wire::TaskResult result = started.result;
    // A task that was certainly not run may be started again on this agent. Results of repeatable requests are not kept.
    const bool notRun = !succeeded && verdict == Verdict::NotRun;
    if (notRun || !result.durable())
        m_tasks.erase(it);
    return result;
}

wire::HeldTasks TaskTable::held() const
{
    wire::HeldTasks held;
    held.set_service(m_service);
    held.set_epoch(m_epoch);
    held.set_sequence(m_sequence);
    for (const auto& it : m_tasks) {
        wire::TaskResult* task = held.add_tasks();
        *task = it.second.result;
        task->set_running(it.second.running);
    }
    return held;
}

} // namespace fescuegw::agent
