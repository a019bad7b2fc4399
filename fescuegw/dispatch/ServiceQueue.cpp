#include "fescuegw/dispatch/ServiceQueue.h"

#include <algorithm>
#include <limits>

namespace fescuegw::dispatch {

void ServiceQueue::push(const SubmissionKey& key, uint32_t share, TimePoint virtualDeadline)
{
    if (!m_places.try_emplace(key, virtualDeadline).second)
        return;
    const double least = leastVirtualTime();
    Team& team = m_teams[key.team];
    team.share = std::max(share, 1U);
    // A team that was idle starts level with the others; it has not saved up service.
    if (team.places.empty())
        team.virtualTime = std::max(team.virtualTime, least);
    team.places.insert(Place { virtualDeadline, key });
}

void ServiceQueue::remove(const SubmissionKey& key)
{
    const auto it = m_places.find(key);
    if (it == m_places.end())
        return;
    m_teams[key.team].places.erase(Place { it->second, key });
    m_places.erase(it);
}

double ServiceQueue::leastVirtualTime() const
{
    double least = std::numeric_limits<double>::max();
    for (const auto& it : m_teams)
        if (!it.second.places.empty())
            least = std::min(least, it.second.virtualTime);
    return least == std::numeric_limits<double>::max() ? 0 : least;
}

std::optional<SubmissionKey> ServiceQueue::next() const
{
    const Team* chosen = nullptr;
    for (const auto& it : m_teams) {
        if (it.second.places.empty())
            continue;
        if (chosen == nullptr || it.second.virtualTime < chosen->virtualTime)
            chosen = &it.second;
    }
    if (chosen == nullptr)
        return std::nullopt;
    return chosen->places.begin()->key;
}

void ServiceQueue::charge(const std::string& team, Duration cost)
{
    Team& charged = m_teams[team];
    charged.virtualTime += static_cast<double>(cost.count()) / charged.share;
}

} // namespace fescuegw::dispatch
