#include "fescuegw/direct/PendingTaskQueue.h"

#include <algorithm>

#include "fescuegw/wire/Direct.h"

namespace fescuegw::direct {

wire::Demand PendingTaskQueue::demand(TimePoint now, const std::string& service) const
{
    wire::Demand demand;
    wire::DemandLevel* level = nullptr;
    uint32_t tasks = 0;
    Resources largest;
    // Called once for a level: a queue may have thousands of tasks, and nested messages are allocated.
    const auto finishLevel = [&] {
        if (level == nullptr)
            return;
        level->set_tasks(tasks);
        *level->mutable_largest_need() = wire::toWire(largest);
    };
    for (const auto& it : m_tasks) {
        const PendingTask& task = it.second;
        if (task.service != service)
            continue;
        if (level == nullptr || (level->priority() != it.first.priority && demand.levels_size() < wire::maxDemandLevels)) {
            finishLevel();
            level = demand.add_levels();
            level->set_priority(it.first.priority);
            *level->mutable_need() = wire::toWire(task.need);
            level->set_waited_ms(
                static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - task.since).count()));
            tasks = 0;
            largest = {};
        }
        ++tasks;
        largest = componentMax(largest, task.need);
    }
    finishLevel();
    wire::summarizeLevels(demand);
    return demand;
}

Duration PendingTaskQueue::longestWait(TimePoint now, const std::string& service, uint32_t priority) const
{
    Duration longest {};
    for (const auto& it : m_tasks)
        if (it.second.service == service && it.first.priority <= priority)
            longest = std::max(longest, now - it.second.since);
    return longest;
}

} // namespace fescuegw::direct
