// Remembers under which tasks upstreams have crashed.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "fescuegw/base/Types.h"

namespace fescuegw::direct {

// One process of an upstream that crashed.
struct UpstreamCrash {
    std::string agent;
    uint64_t processMs = 0;

    friend auto operator<=>(const UpstreamCrash&, const UpstreamCrash&) = default;
};

struct CrashHistoryOptions {
    // Longer than any caller keeps retrying the same job.
    Duration retention { std::chrono::seconds(30) };
    size_t maxTasks = 10000;
};

// Counts crashes by task, over all submissions of its job. Not thread-safe.
class CrashHistory {
public:
    explicit CrashHistory(CrashHistoryOptions options = {})
        : m_options(options)
    {
    }

    // Returns the number of crashes under `task` so far. A crash that is already known is not counted again.
    uint32_t add(TimePoint now, const StepTask&, const UpstreamCrash&);
    uint32_t count(TimePoint now, const StepTask&) const;
    size_t size() const { return m_tasks.size(); }

private:
    struct Entry {
        std::set<UpstreamCrash> crashes;
        TimePoint lastAt;
    };

    void forgetOld(TimePoint now);

    CrashHistoryOptions m_options;
    std::map<StepTask, Entry> m_tasks;
    // Order in which tasks are forgotten; a task has one row for each of its crashes.
    std::deque<std::pair<TimePoint, StepTask>> m_order;
};

} // namespace fescuegw::direct
