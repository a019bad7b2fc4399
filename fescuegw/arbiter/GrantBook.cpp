#include "fescuegw/arbiter/GrantBook.h"

#include "fescuegw/wire/Direct.h"

namespace fescuegw::arbiter {

void GrantBook::onDemand(TimePoint now, const std::string& entry, const wire::Demand& demand)
{
    if (demand.tasks() == 0)
        m_waiting.erase(entry);
    else
        m_waiting[entry] = Waiting { demand, now, 0 };
}

std::map<std::string, GrantBook::Waiting>::iterator GrantBook::mostUrgent(TimePoint now, const Resources& free)
{
    const auto since = [](const Waiting& it) { return it.told - std::chrono::milliseconds(it.demand.waited_ms()); };
    auto best = m_waiting.end();
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        const Waiting& waiting = it->second;
        const bool stale = now - waiting.told > m_options.demandLife;
        if (stale || waiting.given >= waiting.demand.tasks() || !wire::toResources(waiting.demand.need()).fitsInto(free))
            continue;
        if (best == m_waiting.end() || waiting.demand.priority() < best->second.demand.priority()
            || (waiting.demand.priority() == best->second.demand.priority() && since(waiting) < since(best->second)))
            best = it;
    }
    return best;
}

std::vector<GrantBook::Granted> GrantBook::grant(TimePoint now, Resources free, size_t most)
{
    std::vector<Granted> granted;
    while (granted.size() < most) {
        const auto it = mostUrgent(now, free);
        if (it == m_waiting.end())
            break;
        // By the time that the grant comes, the most urgent task may be another one: room for any of them, if there is as much.
        const wire::Demand& demand = it->second.demand;
        const Resources need = wire::toResources(demand.need());
        const Resources room = componentMax(need, componentMin(free, wire::toResources(demand.largest_need())));
        free -= room;
        ++it->second.given;
        m_held[++m_lastId] = Held { room, now + m_options.life };
        Granted& added = granted.emplace_back();
        added.entry = it->first;
        added.grant.set_id(m_lastId);
        *added.grant.mutable_room() = wire::toWire(room);
    }
    return granted;
}

void GrantBook::expire(TimePoint now)
{
    std::erase_if(m_held, [&](const auto& it) { return it.second.until <= now; });
    std::erase_if(m_waiting, [&](const auto& it) { return now - it.second.told > m_options.demandLife; });
}

void GrantBook::clear()
{
    m_held.clear();
    m_waiting.clear();
}

Resources GrantBook::held() const
{
    Resources sum;
    for (const auto& it : m_held)
        sum += it.second.room;
    return sum;
}

} // namespace fescuegw::arbiter
