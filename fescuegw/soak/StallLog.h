// Records which entries stand still, and whose callers leave meanwhile.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "fescuegw/base/Types.h"

namespace fescuegw::soak {

// Requests whose callers had gone when the entry went on.
struct StallCounts {
    // Sent while the entry stood still, so that it can have read them only afterwards.
    size_t unread = 0;
    // Of these, the ones whose jobs were running elsewhere when the entry went on.
    size_t unreadAndRunning = 0;
    // Sent before, and not answered.
    size_t unanswered = 0;

    friend bool operator==(const StallCounts&, const StallCounts&) = default;
};

// Counts nothing that is uncertain. Thread-safe.
class StallLog {
public:
    // `isRunning` says whether a task of a job is running.
    explicit StallLog(std::function<bool(const std::string& job)> isRunning)
        : m_isRunning(std::move(isRunning))
    {
    }

    void onStopped(TimePoint now, uint32_t entry);
    // Called before the entry goes on.
    void onContinues(uint32_t entry);
    // A caller has closed its connection; its request was sent at `sent`.
    void onCallerLeft(TimePoint sent, uint32_t entry, const std::string& job);

    StallCounts counts() const;

private:
    struct Stall {
        TimePoint since;
        std::vector<std::string> unreadJobs;
    };

    std::function<bool(const std::string&)> m_isRunning;
    mutable std::mutex m_mutex;
    std::map<uint32_t, Stall> m_stalls;
    StallCounts m_counts;
};

} // namespace fescuegw::soak
