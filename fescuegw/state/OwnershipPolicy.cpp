#include "fescuegw/state/OwnershipPolicy.h"

namespace fescuegw::state {

namespace {

    constexpr unsigned termShift = 32;

} // namespace

OwnershipPolicy::OwnershipPolicy(Duration entryLease)
    : m_entryLease(entryLease)
{
}

void OwnershipPolicy::startTerm(TimePoint now, uint64_t term)
{
    m_term = term;
    m_judgeFrom = now + m_entryLease;
    m_entries.clear();
    m_proposed.clear();
    m_entriesDigest.clear();
    m_entriesCounter = 0;
}

void OwnershipPolicy::onHeartbeat(TimePoint now, const wire::EntryHeartbeat& heartbeat)
{
    const std::string& entry = heartbeat.entry().entry();
    // Agents follow the view without being entries.
    if (entry.empty())
        return;
    const std::string name = entry.substr(0, entry.find('/') + 1);
    // A restarted entry supersedes its earlier incarnation without waiting for the lease.
    std::erase_if(m_entries, [&](const auto& it) { return it.first != entry && it.first.starts_with(name) && it.first < entry; });
    m_entries[entry] = Entry { heartbeat, now };
}

bool OwnershipPolicy::isLive(TimePoint now, const Entry& entry) const { return now - entry.seen < m_entryLease; }

std::vector<wire::Ownership> OwnershipPolicy::assignments(TimePoint now, const registry::Registry& registry)
{
    std::vector<wire::Ownership> assignments;
    if (!settled(now))
        return assignments;
    std::map<std::string, size_t> load;
    for (const auto& it : m_entries)
        if (isLive(now, it.second) && !it.second.heartbeat.entry().draining())
            load[it.first] = 0;
    if (load.empty())
        return assignments;
    std::set<std::string> orphans;
    for (const auto& team : registry.teams()) {
        for (const auto& service : team.second.services()) {
            const auto owned = registry.ownerships().find(service.name());
            const auto owner = owned == registry.ownerships().end() ? load.end() : load.find(owned->second.owner());
            if (owner == load.end())
                orphans.insert(service.name());
            else
                ++owner->second;
        }
    }
    for (const auto& service : orphans) {
        const auto owned = registry.ownerships().find(service);
        const uint64_t epoch = owned == registry.ownerships().end() ? 1 : owned->second.epoch() + 1;
        const auto proposed = m_proposed.find(service);
        if (proposed != m_proposed.end() && proposed->second.epoch == epoch && now - proposed->second.time < m_entryLease)
            continue;
        auto least = load.begin();
        for (auto it = load.begin(); it != load.end(); ++it)
            if (it->second < least->second)
                least = it;
        ++least->second;
        wire::Ownership next;
        next.set_service(service);
        next.set_owner(least->first);
        next.set_epoch(epoch);
        m_proposed[service] = Proposed { epoch, now };
        assignments.push_back(next);
    }
    return assignments;
}

std::vector<wire::EntryInfo> OwnershipPolicy::entries(TimePoint now) const
{
    std::vector<wire::EntryInfo> live;
    for (const auto& it : m_entries)
        if (isLive(now, it.second))
            live.push_back(it.second.heartbeat.entry());
    return live;
}

uint64_t OwnershipPolicy::entriesRevision(TimePoint now)
{
    std::string digest;
    for (const auto& it : entries(now))
        digest += it.SerializeAsString();
    if (digest != m_entriesDigest) {
        m_entriesDigest = digest;
        ++m_entriesCounter;
    }
    return (m_term << termShift) + m_entriesCounter;
}

std::vector<wire::EntryHeartbeat> OwnershipPolicy::heartbeats(TimePoint now) const
{
    std::vector<wire::EntryHeartbeat> live;
    for (const auto& it : m_entries)
        if (isLive(now, it.second))
            live.push_back(it.second.heartbeat);
    return live;
}

} // namespace fescuegw::state
