#include "fescuegw/arbiter/GrantBook.h"

#include "fescuegw/wire/Direct.h"

namespace fescuegw::arbiter {

void GrantBook::onDemand(TimePoint now, const std::string& entry, const wire::Demand& demand)
{
    if (demand.tasks() == 0)
        m_demands.erase(entry);
    else
        m_demands[entry] = EntryDemand { demand, now, 0 };
}

std::map<std::string, GrantBook::EntryDemand>::iterator GrantBook::mostUrgent(TimePoint now, const Resources& free)
{
    const auto waitingSince
        = [](const EntryDemand& it) { return it.receivedAt - std::chrono::milliseconds(it.demand.waited_ms()); };
    auto best = m_demands.end();
    for (auto it = m_demands.begin(); it != m_demands.end(); ++it) {
        const EntryDemand& entryDemand = it->second;
        const bool stale = now - entryDemand.receivedAt > m_options.demandLifetime;
        if (stale || entryDemand.grantsIssued >= entryDemand.demand.tasks()
            || !wire::toResources(entryDemand.demand.need()).fitsInto(free))
            continue;
        if (best == m_demands.end() || entryDemand.demand.priority() < best->second.demand.priority()
            || (entryDemand.demand.priority() == best->second.demand.priority()
                && waitingSince(entryDemand) < waitingSince(best->second)))
            best = it;
    }
    return best;
}

std::vector<GrantBook::Granted> GrantBook::grant(TimePoint now, Resources free, size_t maxGrants)
{
    std::vector<Granted> granted;
    while (granted.size() < maxGrants) {
        const auto it = mostUrgent(now, free);
        if (it == m_demands.end())
            break;
        // Another task may be the most urgent one when the grant arrives, so it covers the largest need as far as `free` allows.
        const wire::Demand& demand = it->second.demand;
        const Resources need = wire::toResources(demand.need());
        const Resources room = componentMax(need, componentMin(free, wire::toResources(demand.largest_need())));
        free -= room;
        ++it->second.grantsIssued;
        m_reservations[++m_lastGrantId] = Reservation { room, now + m_options.grantLifetime };
        Granted& added = granted.emplace_back();
        added.entry = it->first;
        added.grant.set_id(m_lastGrantId);
        *added.grant.mutable_room() = wire::toWire(room);
    }
    return granted;
}

void GrantBook::expire(TimePoint now)
{
    std::erase_if(m_reservations, [&](const auto& it) { return it.second.expiresAt <= now; });
    std::erase_if(m_demands, [&](const auto& it) { return now - it.second.receivedAt > m_options.demandLifetime; });
}

void GrantBook::clear()
{
    m_reservations.clear();
    m_demands.clear();
}

Resources GrantBook::reserved() const
{
    Resources sum;
    for (const auto& it : m_reservations)
        sum += it.second.resources;
    return sum;
}

} // namespace fescuegw::arbiter
