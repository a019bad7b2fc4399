#include "fescuegw/direct/CrashHistory.h"

namespace fescuegw::direct {

bool CrashHistory::addCrash(TimePoint now, const StepTask& task, const UpstreamCrash& crash)
{
    const auto known = m_tasks.find(task);
    if (known != m_tasks.end() && known->second.crashes.contains(crash))
        return false;
    touch(now, task).crashes.insert(crash);
    return true;
}

void CrashHistory::addLoss(TimePoint now, const StepTask& task) { ++touch(now, task).losses; }

uint32_t CrashHistory::crashes(TimePoint now, const StepTask& task) const
{
    const Record* record = find(now, task);
    return record == nullptr ? 0 : static_cast<uint32_t>(record->crashes.size());
}

uint32_t CrashHistory::losses(TimePoint now, const StepTask& task) const
{
    const Record* record = find(now, task);
    return record == nullptr ? 0 : record->losses;
}

void CrashHistory::expire(TimePoint now)
{
    while (!m_order.empty() && now - m_order.front().first > m_options.retention)
        forgetOldest();
}

const CrashHistory::Record* CrashHistory::find(TimePoint now, const StepTask& task) const
{
    const auto it = m_tasks.find(task);
    return it == m_tasks.end() || now - it->second.lastAt > m_options.retention ? nullptr : &it->second;
}

CrashHistory::Record& CrashHistory::touch(TimePoint now, const StepTask& task)
{
    expire(now);
    while (!m_tasks.contains(task) && m_tasks.size() >= m_options.maxTasks)
        forgetOldest();
    Record& record = m_tasks[task];
    record.lastAt = now;
    m_order.emplace_back(now, task);
    return record;
}

void CrashHistory::forgetOldest()
{
    const auto it = m_tasks.find(m_order.front().second);
    if (it != m_tasks.end() && it->second.lastAt == m_order.front().first)
        m_tasks.erase(it);
    m_order.pop_front();
}

} // namespace fescuegw::direct
