#include "fescuegw/direct/PendingTaskQueue.h"

#include <algorithm>

#include "fescuegw/wire/Direct.h"

namespace fescuegw::direct {

wire::Demand PendingTaskQueue::demand(TimePoint now, const std::string& service) const
{
    wire::Demand demand;
    Resources largest;
    for (const auto& it : m_tasks) {
        const PendingTask& task = it.second;
        if (task.service != service)
            continue;
        if (demand.tasks() == 0) {
            demand.set_priority(it.first.priority);
            demand.set_waited_ms(
                static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - task.since).count()));
            *demand.mutable_need() = wire::toWire(task.need);
        }
        demand.set_tasks(demand.tasks() + 1);
        largest = componentMax(largest, task.need);
    }
    if (demand.tasks() > 0)
        *demand.mutable_largest_need() = wire::toWire(largest);
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
