// Tasks that wait for capacity, in the order in which they are placed.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <direct.pb.h>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::direct {

struct PendingTask {
    StepTask task;
    std::string service;
    Resources need;
    TimePoint since;
    // How long a task of its job may wait without making the job late.
    Duration slack {};
};

// Sort key of a pending task. Within one priority, jobs of which tasks have started come first, since the work done for them
// would otherwise be wasted; then jobs in the order of submission.
struct QueuePosition {
    uint32_t priority = 0;
    bool notStarted = true;
    // Sequence number of the job at this entry.
    uint64_t job = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default;
};

// Not thread-safe.
class PendingTaskQueue {
public:
    void add(const QueuePosition& position, PendingTask task) { m_tasks.insert_or_assign(position, std::move(task)); }
    void remove(const QueuePosition& position) { m_tasks.erase(position); }

    bool empty() const { return m_tasks.empty(); }
    size_t size() const { return m_tasks.size(); }
    const std::map<QueuePosition, PendingTask>& tasks() const { return m_tasks; }

    // Returns the demand for upstreams of `service`; without tasks when none waits. Priorities beyond
    // `wire::maxDemandLevels` are part of the last level.
    wire::Demand demand(TimePoint now, const std::string& service) const;

    // Returns the longest time that a task of `service` with `priority` or a more urgent one has waited so far.
    Duration longestWait(TimePoint now, const std::string& service, uint32_t priority) const;

private:
    std::map<QueuePosition, PendingTask> m_tasks;
};

} // namespace fescuegw::direct
