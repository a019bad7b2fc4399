#include "fescuegw/direct/DemandNotifier.h"

#include <algorithm>

namespace fescuegw::direct {

std::vector<AgentId> DemandNotifier::update(
    TimePoint now, OfferTable& offers, const std::string& service, const wire::Demand& waiting)
{
    std::vector<AgentId> due;
    Round& round = m_rounds[service];
    std::vector<std::map<AgentId, AgentView>::iterator> agents;
    for (auto it = offers.agents().begin(); it != offers.agents().end(); ++it)
        if (it->second.offer.service() == service)
            agents.push_back(it);
    if (waiting.tasks() == 0) {
        for (const auto& it : agents) {
            if (demandFor(now, it->second).tasks() > 0)
                due.push_back(it->first);
            it->second.demandNotified = false;
        }
        round.due = now;
        return due;
    }
    // The link of an agent that accepts nothing may be about to end; demand would keep it open.
    std::erase_if(agents, [](const auto& it) { return !it->second.offer.accepting(); });
    const size_t n = std::min(
        agents.size(), std::clamp(m_options.agentsPerTask * waiting.tasks(), m_options.minAgents, m_options.maxAgents));
    round.share = waiting;
    // All agents of a round together are asked for `agentsPerTask` times the waiting tasks, and none for more than all of them.
    const size_t tasksPerAgent = n == 0 ? 0 : (m_options.agentsPerTask * waiting.tasks() + n - 1) / n;
    round.share.set_tasks(static_cast<uint32_t>(std::min<size_t>(waiting.tasks(), tasksPerAgent)));
    if (now < round.due || agents.empty())
        return due;
    round.due = now + m_options.interval;
    const auto first
        = std::find_if(agents.begin(), agents.end(), [&](const auto& it) { return round.last < it->first; }) - agents.begin();
    for (size_t i = 0; i < n; ++i) {
        const auto& it = agents[(static_cast<size_t>(first) + i) % agents.size()];
        it->second.demandNotified = true;
        it->second.demandNotifiedAt = now;
        round.last = it->first;
        due.push_back(it->first);
    }
    return due;
}

wire::Demand DemandNotifier::demandFor(TimePoint now, const AgentView& view) const
{
    const auto it = m_rounds.find(view.offer.service());
    const bool current = view.demandNotified && now - view.demandNotifiedAt < m_options.demandLifetime;
    return current && it != m_rounds.end() ? it->second.share : wire::Demand();
}

} // namespace fescuegw::direct
