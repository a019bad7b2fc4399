#include "fescuegw/direct/PendingTaskQueue.h"

#include <algorithm>

#include "fescuegw/wire/Direct.h"

namespace fescuegw::direct {

wire::Demand PendingTaskQueue::demand(TimePoint now, const std::string& service) const
{
    wire::Demand demand;
    wire::DemandLevel* level = nullptr;
    Resources largest;
    for (const auto& it : m_tasks) {
        const PendingTask& task = it.second;
        if (task.service != service)
            continue;
        if (level == nullptr || (level->priority() != it.first.priority && demand.levels_size() < wire::maxDemandLevels)) {
            level = demand.add_levels();
            level->set_priority(it.first.priority);
            level->set_waited_ms(
                static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - task.since).count()));
            *level->mutable_need() = wire::toWire(task.need);
            largest = {};
        }
        largest = componentMax(largest, task.need);
        level->set_tasks(level->tasks() + 1);
        *level->mutable_largest_need() = wire::toWire(largest);
    }
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
