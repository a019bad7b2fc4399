#include "fescuegw/arbiter/GrantBook.h"

#include <algorithm>

#include "fescuegw/wire/Direct.h"

namespace fescuegw::arbiter {

namespace {

    // A task without a need always fits, so its number bounds the grants. Upstreams run some tens of tasks at a time.
    constexpr uint32_t maxTasksPerLevel = 1024;

} // namespace

void GrantBook::onDemand(TimePoint now, const std::string& entry, const wire::Demand& demand)
{
    // By priority. A message may have its levels in any order, and several of one priority.
    std::map<uint32_t, Level> levels;
    for (const auto& it : wire::levelsOf(demand)) {
        if (it.tasks() == 0)
            continue;
        const TimePoint waitingSince = now - std::chrono::milliseconds(it.waited_ms());
        const auto [added, isNew]
            = levels.try_emplace(it.priority(), Level { it.priority(), 0, waitingSince, wire::toResources(it.need()), {}, 0 });
        Level& level = added->second;
        level.tasks += std::min(it.tasks(), maxTasksPerLevel - level.tasks);
        level.waitingSince = std::min(level.waitingSince, waitingSince);
        level.largestNeed = componentMax(level.largestNeed, wire::toResources(it.largest_need()));
    }
    if (levels.empty()) {
        m_demands.erase(entry);
        return;
    }
    EntryDemand& entryDemand = m_demands[entry];
    entryDemand = { {}, now };
    for (auto& it : levels)
        entryDemand.levels.push_back(it.second);
}

// Within a priority, the entry that has been granted the smallest part of its demand is next, so that one with many tasks does
// not get all grants before one with few.
bool GrantBook::precedes(const Level& a, const Level& b)
{
    if (a.priority != b.priority)
        return a.priority < b.priority;
    const uint64_t partOfA = uint64_t { a.grantsIssued } * b.tasks;
    const uint64_t partOfB = uint64_t { b.grantsIssued } * a.tasks;
    return partOfA != partOfB ? partOfA < partOfB : a.waitingSince < b.waitingSince;
}

// A task that fits into the capacity but not into what is free keeps the less urgent ones of its entry waiting: they would use up
// what becomes free piece by piece.
GrantBook::Candidate GrantBook::nextCandidate(TimePoint now, const Resources& free, const Resources& capacity)
{
    Candidate best;
    for (auto& [entry, demand] : m_demands) {
        if (now - demand.receivedAt > m_options.demandLifetime)
            continue;
        const auto level = std::find_if(demand.levels.begin(), demand.levels.end(),
            [&](const Level& it) { return it.grantsIssued < it.tasks && it.need.fitsInto(capacity); });
        if (level != demand.levels.end() && level->need.fitsInto(free)
            && (best.level == nullptr || precedes(*level, *best.level)))
            best = { &entry, &*level };
    }
    return best;
}

std::vector<GrantBook::Granted> GrantBook::grant(TimePoint now, Resources free, const Resources& capacity, size_t maxGrants)
{
    std::vector<Granted> granted;
    while (granted.size() < maxGrants) {
        const Candidate next = nextCandidate(now, free, capacity);
        if (next.level == nullptr)
            break;
        Level& level = *next.level;
        // Another task may be the most urgent one when the grant arrives, so it covers the largest need as far as `free` allows.
        const Resources room = componentMax(level.need, componentMin(free, level.largestNeed));
        free -= room;
        ++level.grantsIssued;
        m_reservations[++m_lastGrantId] = Reservation { room, now + m_options.grantLifetime };
        Granted& added = granted.emplace_back();
        added.entry = *next.entry;
        added.priority = level.priority;
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
