#include "fescuegw/direct/DemandNotifier.h"

#include <algorithm>

#include "fescuegw/wire/Direct.h"

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
    round.waiting = waiting;
    round.agents = n;
    if (now < round.due || agents.empty())
        return due;
    round.due = now + m_options.interval;
    const auto first
        = std::find_if(agents.begin(), agents.end(), [&](const auto& it) { return round.last < it->first; }) - agents.begin();
    for (size_t i = 0; i < n; ++i) {
        const auto& it = agents[(static_cast<size_t>(first) + i) % agents.size()];
        it->second.demandNotified = true;
        it->second.demandNotifiedAt = now;
        it->second.demandPosition = i;
        round.last = it->first;
        due.push_back(it->first);
    }
    return due;
}

wire::Demand DemandNotifier::demandFor(TimePoint now, const AgentView& view) const
{
    const auto it = m_rounds.find(view.offer.service());
    const bool current = view.demandNotified && now - view.demandNotifiedAt < m_options.demandLifetime;
    return current && it != m_rounds.end() ? shareOf(it->second, view.demandPosition) : wire::Demand();
}

// The agents of a round together are asked for `agentsPerTask` times the tasks of each level, and none for more than all of
// them. A level with few tasks is spread over `minAgents` only if no more urgent one waits: agents that are asked for more than
// waits leave capacity unused.
wire::Demand DemandNotifier::shareOf(const Round& round, size_t position) const
{
    wire::Demand share;
    if (round.agents == 0)
        return share;
    size_t first = 0;
    for (const auto& it : wire::levelsOf(round.waiting)) {
        const size_t asked = m_options.agentsPerTask * it.tasks();
        const size_t width = std::min(round.agents, first == 0 ? std::max(asked, m_options.minAgents) : asked);
        const size_t tasks = width == 0 ? 0 : std::min<size_t>(it.tasks(), (asked + width - 1) / width);
        if (tasks > 0 && (position + round.agents - first % round.agents) % round.agents < width) {
            wire::DemandLevel& level = *share.add_levels();
            level = it;
            level.set_tasks(static_cast<uint32_t>(tasks));
        }
        first += width;
    }
    wire::summarizeLevels(share);
    return share;
}

} // namespace fescuegw::direct
