#include "fescuegw/direct/OfferTable.h"

#include <algorithm>

#include "fescuegw/wire/Direct.h"

namespace fescuegw::direct {

OfferTable::OfferTable(OfferTableOptions options)
    : m_options(options)
{
}

AgentView* OfferTable::onMessage(TimePoint now, const wire::UpstreamToEntry& message)
{
    const AgentId id { message.agent(), message.incarnation() };
    const auto newer = m_agents.upper_bound(id);
    if (newer != m_agents.end() && newer->first.name == id.name)
        return nullptr;
    const auto [found, added] = m_agents.try_emplace(id);
    AgentView& view = found->second;
    // Reports from before the agent was known, or from while it was forgotten, are obsolete and count as received.
    if (added && message.first_report() > 0)
        view.ackedReports = message.first_report() - 1;
    view.ackedReports = std::max(view.ackedReports, message.discarded_reports());
    const auto reports = static_cast<uint64_t>(message.reports_size());
    if (reports > 0 && message.first_report() <= view.ackedReports + 1)
        view.ackedReports = std::max(view.ackedReports, message.first_report() + reports - 1);
    view.lastHeard = now;
    view.seenClockUs = std::max(view.seenClockUs, message.clock_us());
    // Transit time makes the agent's clock appear less far ahead, so the largest offset observed is the most accurate.
    const Duration ahead = TimePoint(Duration(static_cast<int64_t>(message.clock_us()))) - now;
    view.clockAhead = view.clockAhead == Duration() ? ahead : std::max(view.clockAhead, ahead);
    view.offer = message.offer();
    view.capacity = wire::toResources(message.offer().capacity());
    view.free = wire::toResources(message.offer().free());
    while (!view.unacknowledgedStarts.empty() && view.unacknowledgedStarts.front().first <= message.seen_sequence())
        view.unacknowledgedStarts.pop_front();
    for (const auto& it : view.unacknowledgedStarts)
        view.free -= it.second;
    return &view;
}

void OfferTable::onSent(AgentView& view, const Resources& need, bool granted)
{
    ++view.attempts;
    if (granted)
        return;
    view.unacknowledgedStarts.emplace_back(view.lastSequence + 1, need);
    view.free -= need;
}

void OfferTable::onWithdrawn(AgentView& view, const Resources& need, bool granted)
{
    if (granted)
        return;
    const std::pair<uint64_t, Resources> start { view.lastSequence + 1, need };
    const auto it = std::find(view.unacknowledgedStarts.rbegin(), view.unacknowledgedStarts.rend(), start);
    if (it == view.unacknowledgedStarts.rend())
        return;
    view.unacknowledgedStarts.erase(std::next(it).base());
    view.free += need;
}

std::vector<UsableAgent> OfferTable::usable(TimePoint now, const std::string& service) const
{
    std::vector<UsableAgent> list;
    list.reserve(m_agents.size());
    for (const auto& it : m_agents)
        if (isUsable(now, it.second) && it.second.offer.service() == service)
            list.emplace_back(&it.first, &it.second);
    return list;
}

EjectedAgents OfferTable::ejected(TimePoint now, const std::string& service) const
{
    constexpr size_t ejectedDivisor = 3;
    // An upstream that fails more is no help beside a second attempt elsewhere.
    constexpr uint32_t maxFailedPercent = 50;
    size_t known = 0;
    std::vector<UsableAgent> ejected;
    for (const auto& it : m_agents) {
        const AgentView& view = it.second;
        const bool recent = now - view.lastHeard <= m_options.maxOfferAge;
        if (!recent || view.offer.service() != service || (!view.offer.accepting() && view.offer.ejected_percent() == 0))
            continue;
        ++known;
        if (view.offer.ejected_percent() > 0)
            ejected.emplace_back(&it.first, &view);
    }
    std::stable_sort(ejected.begin(), ejected.end(), [](const UsableAgent& a, const UsableAgent& b) {
        return a.second->offer.ejected_percent() < b.second->offer.ejected_percent();
    });
    const size_t allowed = std::max<size_t>(known / ejectedDivisor, 1);
    const auto required = ejected.end() - static_cast<std::ptrdiff_t>(std::min(ejected.size(), allowed));
    const auto tolerated = std::find_if(
        required, ejected.end(), [](const UsableAgent& it) { return it.second->offer.ejected_percent() >= maxFailedPercent; });
    return { { ejected.begin(), required }, { ejected.begin(), tolerated } };
}

AgentView* OfferTable::find(const AgentId& id)
{
    const auto it = m_agents.find(id);
    return it == m_agents.end() ? nullptr : &it->second;
}

void OfferTable::expire(TimePoint now)
{
    std::erase_if(m_agents,
        [&](const auto& it) { return it.second.attempts == 0 && now - it.second.lastHeard > m_options.silentAgentRetention; });
}

} // namespace fescuegw::direct
