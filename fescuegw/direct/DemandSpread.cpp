#include "fescuegw/direct/DemandSpread.h"

#include <algorithm>

namespace fescuegw::direct {

std::vector<AgentId> DemandSpread::update(TimePoint now, OfferBook& book, const std::string& service, const wire::Demand& waiting)
{
    std::vector<AgentId> due;
    Round& round = m_rounds[service];
    std::vector<std::map<AgentId, AgentView>::iterator> agents;
    for (auto it = book.agents().begin(); it != book.agents().end(); ++it)
        if (it->second.offer.service() == service)
            agents.push_back(it);
    if (waiting.tasks() == 0) {
        for (const auto& it : agents) {
            if (told(now, it->second).tasks() > 0)
                due.push_back(it->first);
            it->second.demandTold = false;
        }
        round.due = now;
        return due;
    }
    const size_t n = std::min(
        agents.size(), std::clamp(m_options.agentsPerTask * waiting.tasks(), m_options.fewestAgents, m_options.mostAgents));
    round.share = waiting;
    // All agents told together are asked for `agentsPerTask` times what waits, and none for more than all of it.
    const size_t wanted = n == 0 ? 0 : (m_options.agentsPerTask * waiting.tasks() + n - 1) / n;
    round.share.set_tasks(static_cast<uint32_t>(std::min<size_t>(waiting.tasks(), wanted)));
    if (now < round.due || agents.empty())
        return due;
    round.due = now + m_options.interval;
    const auto behind
        = std::find_if(agents.begin(), agents.end(), [&](const auto& it) { return round.last < it->first; }) - agents.begin();
    for (size_t i = 0; i < n; ++i) {
        const auto& it = agents[(static_cast<size_t>(behind) + i) % agents.size()];
        it->second.demandTold = true;
        it->second.demandSent = now;
        round.last = it->first;
        due.push_back(it->first);
    }
    return due;
}

wire::Demand DemandSpread::told(TimePoint now, const AgentView& view) const
{
    const auto it = m_rounds.find(view.offer.service());
    const bool counts = view.demandTold && now - view.demandSent < m_options.life;
    return counts && it != m_rounds.end() ? it->second.share : wire::Demand();
}

} // namespace fescuegw::direct
