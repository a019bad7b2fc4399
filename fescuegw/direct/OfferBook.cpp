#include "fescuegw/direct/OfferBook.h"

#include <algorithm>

#include "fescuegw/wire/Direct.h"

namespace fescuegw::direct {

OfferBook::OfferBook(OfferBookOptions options)
    : m_options(options)
{
}

AgentView* OfferBook::onMessage(TimePoint now, const wire::UpstreamToEntry& message)
{
    const AgentId id { message.agent(), message.incarnation() };
    const auto newer = m_agents.upper_bound(id);
    if (newer != m_agents.end() && newer->first.name == id.name)
        return nullptr;
    const auto [found, added] = m_agents.try_emplace(id);
    AgentView& view = found->second;
    // What came before an agent was known, or while it was forgotten, is of no use any more.
    if (added && message.first_report() > 0)
        view.ackedReports = message.first_report() - 1;
    const auto reports = static_cast<uint64_t>(message.reports_size());
    if (reports > 0 && message.first_report() <= view.ackedReports + 1)
        view.ackedReports = std::max(view.ackedReports, message.first_report() + reports - 1);
    view.heard = now;
    view.seenClockUs = std::max(view.seenClockUs, message.clock_us());
    // A message that travelled longer makes the clock look less far ahead; the largest value is the nearest to the truth.
    const Duration ahead = TimePoint(Duration(static_cast<int64_t>(message.clock_us()))) - now;
    view.clockAhead = view.clockAhead == Duration() ? ahead : std::max(view.clockAhead, ahead);
    view.offer = message.offer();
    view.capacity = wire::toResources(message.offer().capacity());
    view.free = wire::toResources(message.offer().free());
    while (!view.unseen.empty() && view.unseen.front().first <= message.seen_sequence())
        view.unseen.pop_front();
    for (const auto& it : view.unseen)
        view.free -= it.second;
    return &view;
}

void OfferBook::onSent(AgentView& view, const Resources& need, bool granted)
{
    ++view.attempts;
    if (granted)
        return;
    view.unseen.emplace_back(view.lastSequence + 1, need);
    view.free -= need;
}

std::vector<UsableAgent> OfferBook::usable(TimePoint now, const std::string& service) const
{
    std::vector<UsableAgent> list;
    list.reserve(m_agents.size());
    for (const auto& it : m_agents)
        if (isUsable(now, it.second) && it.second.offer.service() == service)
            list.emplace_back(&it.first, &it.second);
    return list;
}

AgentView* OfferBook::find(const AgentId& id)
{
    const auto it = m_agents.find(id);
    return it == m_agents.end() ? nullptr : &it->second;
}

void OfferBook::expire(TimePoint now)
{
    std::erase_if(m_agents, [&](const auto& it) { return it.second.attempts == 0 && now - it.second.heard > m_options.memory; });
}

} // namespace fescuegw::direct
