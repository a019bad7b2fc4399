#include "fescuegw/direct/CrashHistory.h"

namespace fescuegw::direct {

uint32_t CrashHistory::add(TimePoint now, const StepTask& task, const UpstreamCrash& crash)
{
    forgetOld(now);
    Entry& entry = m_tasks[task];
    if (entry.crashes.insert(crash).second) {
        entry.lastAt = now;
        m_order.emplace_back(now, task);
    }
    return static_cast<uint32_t>(entry.crashes.size());
}

uint32_t CrashHistory::count(TimePoint now, const StepTask& task) const
{
    const auto it = m_tasks.find(task);
    return it == m_tasks.end() || now - it->second.lastAt > m_options.retention
        ? 0
        : static_cast<uint32_t>(it->second.crashes.size());
}

void CrashHistory::forgetOld(TimePoint now)
{
    while (!m_order.empty() && (m_tasks.size() >= m_options.maxTasks || now - m_order.front().first > m_options.retention)) {
        const auto it = m_tasks.find(m_order.front().second);
        if (it != m_tasks.end() && it->second.lastAt == m_order.front().first)
            m_tasks.erase(it);
        m_order.pop_front();
    }
}

} // namespace fescuegw::direct
