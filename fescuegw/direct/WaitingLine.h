// Tasks that wait for room, in the order in which they get it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <direct.pb.h>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::direct {

// A task that waits.
struct WaitingTask {
    StepTask task;
    std::string service;
    Resources need;
    TimePoint since;
};

// Where a task stands. Of one priority, jobs of which tasks have started come first, since what they have used would be wasted;
// then those that came first.
struct LinePosition {
    uint32_t priority = 0;
    bool fresh = true;
    // Counts the jobs of this entry.
    uint64_t job = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    friend auto operator<=>(const LinePosition&, const LinePosition&) = default;
};

// Not thread-safe.
class WaitingLine {
public:
    void add(const LinePosition& position, WaitingTask task) { m_line.insert_or_assign(position, std::move(task)); }
    void remove(const LinePosition& position) { m_line.erase(position); }

    bool empty() const { return m_line.empty(); }
    size_t size() const { return m_line.size(); }
    const std::map<LinePosition, WaitingTask>& tasks() const { return m_line; }

    // Returns what waits for upstreams of `service`; without tasks when nothing does.
    wire::Demand demand(TimePoint now, const std::string& service) const;

    // Returns how long the longest waiting task of `priority` or a more urgent one has waited.
    Duration longestWait(TimePoint now, const std::string& service, uint32_t priority) const;

private:
    std::map<LinePosition, WaitingTask> m_line;
};

} // namespace fescuegw::direct
