#include "fescuegw/dispatch/ServiceQueue.h"

#include <algorithm>
#include <limits>

namespace fescuegw::dispatch {

void ServiceQueue::push(const SubmissionKey& key, uint32_t share, TimePoint virtualDeadline)
{
    if (!m_deadlines.try_emplace(key, virtualDeadline).second)
        return;
    const double least = minVirtualTime();
    Team& team = m_teams[key.team];
    team.share = std::max(share, 1U);
    // A team that was idle starts at the minimum virtual time of the active teams: idle time earns no credit.
    if (team.items.empty())
        team.virtualTime = std::max(team.virtualTime, least);
    team.items.insert(Item { virtualDeadline, key });
}

void ServiceQueue::remove(const SubmissionKey& key)
{
    const auto it = m_deadlines.find(key);
    if (it == m_deadlines.end())
        return;
    m_teams[key.team].items.erase(Item { it->second, key });
    m_deadlines.erase(it);
}

double ServiceQueue::minVirtualTime() const
{
    double least = std::numeric_limits<double>::max();
    for (const auto& it : m_teams)
        if (!it.second.items.empty())
            least = std::min(least, it.second.virtualTime);
    return least == std::numeric_limits<double>::max() ? 0 : least;
}

std::optional<SubmissionKey> ServiceQueue::next() const
{
    const Team* chosen = nullptr;
    for (const auto& it : m_teams) {
        if (it.second.items.empty())
            continue;
        if (chosen == nullptr || it.second.virtualTime < chosen->virtualTime)
            chosen = &it.second;
    }
    if (chosen == nullptr)
        return std::nullopt;
    return chosen->items.begin()->key;
}

void ServiceQueue::charge(const std::string& team, Duration cost)
{
    Team& charged = m_teams[team];
    charged.virtualTime += static_cast<double>(cost.count()) / charged.share;
}

} // namespace fescuegw::dispatch
