#include "review/standin/Record.h"

#include <algorithm>

namespace fescuegw::review {

Record::Record(const std::string& file)
    : m_file(file)
    , m_started(monotonicNow())
{
}

void Record::write(TimePoint now, const std::string& text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << msSinceStart(now) << " ms " << text << std::endl;
}

void Record::onRunStarted(TimePoint now, const std::string& worker, const std::string& task, uint64_t run)
{
    write(now, worker + " starts " + task + " run " + std::to_string(run));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs[task].push_back({ worker, task, run, now, std::nullopt, "" });
}

void Record::onRunEnded(TimePoint now, const std::string& worker, const std::string& task, uint64_t run, const std::string& how)
{
    write(now, worker + " ends " + task + " run " + std::to_string(run) + ": " + how);
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& it : m_runs[task]) {
        if (it.worker != worker || it.run != run || it.ended)
            continue;
        it.ended = now;
        it.how = how;
    }
}

std::vector<std::string> Record::overlaps(TimePoint now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> found;
    for (const auto& task : m_runs) {
        const auto& runs = task.second;
        for (size_t i = 0; i < runs.size(); ++i) {
            for (size_t j = i + 1; j < runs.size(); ++j) {
                const TimePoint from = std::max(runs[i].started, runs[j].started);
                const TimePoint until = std::min(runs[i].ended.value_or(now), runs[j].ended.value_or(now));
                if (from >= until)
                    continue;
                found.push_back("two runs of " + task.first + " at the same time, on " + runs[i].worker + " and " + runs[j].worker
                    + ", from " + std::to_string(msSinceStart(from)) + " to " + std::to_string(msSinceStart(until)) + " ms");
            }
        }
    }
    return found;
}

std::vector<RunSpan> Record::runsOf(const std::string& job) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<RunSpan> found;
    for (const auto& task : m_runs)
        if (task.first.starts_with(job + "."))
            found.insert(found.end(), task.second.begin(), task.second.end());
    return found;
}

} // namespace fescuegw::review
