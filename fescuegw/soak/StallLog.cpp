#include "fescuegw/soak/StallLog.h"

#include <algorithm>

namespace fescuegw::soak {

namespace {

    // A process stands still somewhat after it was told to, and a request leaves somewhat after its caller noted the time.
    constexpr Duration settlingTime = std::chrono::milliseconds(20);

} // namespace

void StallLog::onStopped(TimePoint now, uint32_t entry)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stalls.try_emplace(entry, Stall { now, {} });
}

void StallLog::onContinues(uint32_t entry)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_stalls.find(entry);
    if (it == m_stalls.end())
        return;
    const auto& jobs = it->second.unreadJobs;
    m_counts.unreadAndRunning += static_cast<size_t>(std::count_if(jobs.begin(), jobs.end(), m_isRunning));
    m_stalls.erase(it);
}

void StallLog::onCallerLeft(TimePoint sent, uint32_t entry, const std::string& job)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_stalls.find(entry);
    if (it == m_stalls.end())
        return;
    if (sent >= it->second.since + settlingTime) {
        ++m_counts.unread;
        it->second.unreadJobs.push_back(job);
    } else if (sent + settlingTime < it->second.since) {
        ++m_counts.unanswered;
    }
}

StallCounts StallLog::counts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_counts;
}

} // namespace fescuegw::soak
