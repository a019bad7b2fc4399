// What clients sent and got, and what workers ran, in one file and for the checks of the cases.
#pragma once

#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "fescuegw/base/Types.h"

namespace fescuegw::review {

// One run of a task on a worker.
struct RunSpan {
    std::string worker;
    std::string task;
    uint64_t run = 0;
    TimePoint started;
    std::optional<TimePoint> ended;
    std::string how;
};

// Thread-safe.
class Record {
public:
    explicit Record(const std::string& file);

    // Writes a line with the time since the record was opened.
    void write(TimePoint now, const std::string& text);

    void onRunStarted(TimePoint now, const std::string& worker, const std::string& task, uint64_t run);
    void onRunEnded(TimePoint now, const std::string& worker, const std::string& task, uint64_t run, const std::string& how);

    // Returns a line for each pair of runs of one task that overlap.
    std::vector<std::string> overlaps(TimePoint now) const;
    // Returns the runs of the tasks of `job`.
    std::vector<RunSpan> runsOf(const std::string& job) const;
    uint64_t msSinceStart(TimePoint now) const { return toMs(now - m_started); }

private:
    mutable std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_started;
    std::map<std::string, std::vector<RunSpan>> m_runs;
};

} // namespace fescuegw::review
