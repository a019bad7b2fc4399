#include "fescuegw/state/OwnershipPolicy.h"

#include "fescuegw/logging/Log.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::state {

using logging::Event;
using logging::Level;

namespace {

    // The upper half of an entries revision is the term, so that revisions of different terms differ.
    constexpr unsigned termShiftBits = 32;

} // namespace

OwnershipPolicy::OwnershipPolicy(Duration entryLease)
    : m_entryLease(entryLease)
{
}

void OwnershipPolicy::startTerm(TimePoint now, uint64_t term)
{
    m_term = term;
    m_gracePeriodEnd = now + m_entryLease;
    m_entries.clear();
    m_proposed.clear();
    m_entriesDigest.clear();
    m_entriesChanges = 0;
}

void OwnershipPolicy::onHeartbeat(TimePoint now, const wire::EntryHeartbeat& heartbeat)
{
    const std::string& entry = heartbeat.entry().entry();
    // Agents send heartbeats without an entry identity, just to receive the view.
    if (entry.empty())
        return;
    // Every agent and entry connects to the listed addresses.
    if (!settings::parseAddress(heartbeat.entry().address())) {
        Event(Level::Warn, "entry_refused").with("entry", entry).with("address", heartbeat.entry().address());
        return;
    }
    const std::string namePrefix = entry.substr(0, entry.find('/') + 1);
    // A restarted entry supersedes its earlier incarnation without waiting for the lease.
    std::erase_if(
        m_entries, [&](const auto& it) { return it.first != entry && it.first.starts_with(namePrefix) && it.first < entry; });
    m_entries[entry] = Entry { heartbeat, now };
}

bool OwnershipPolicy::isLive(TimePoint now, const Entry& entry) const { return now - entry.received < m_entryLease; }

std::vector<wire::Ownership> OwnershipPolicy::assignments(TimePoint now, const registry::Registry& registry)
{
    std::vector<wire::Ownership> assignments;
    if (!isGracePeriodOver(now))
        return assignments;
    std::map<std::string, size_t> servicesOwned;
    for (const auto& it : m_entries)
        if (isLive(now, it.second) && !it.second.heartbeat.entry().draining())
            servicesOwned[it.first] = 0;
    if (servicesOwned.empty())
        return assignments;
    std::set<std::string> unowned;
    for (const auto& team : registry.teams()) {
        for (const auto& service : team.second.services()) {
            const auto owned = registry.ownerships().find(service.name());
            const auto owner
                = owned == registry.ownerships().end() ? servicesOwned.end() : servicesOwned.find(owned->second.owner());
            if (owner == servicesOwned.end())
                unowned.insert(service.name());
            else
                ++owner->second;
        }
    }
    for (const auto& service : unowned) {
        const auto owned = registry.ownerships().find(service);
        const uint64_t epoch = owned == registry.ownerships().end() ? 1 : owned->second.epoch() + 1;
        const auto proposed = m_proposed.find(service);
        if (proposed != m_proposed.end() && proposed->second.epoch == epoch && now - proposed->second.time < m_entryLease)
            continue;
        auto leastLoaded = servicesOwned.begin();
        for (auto it = servicesOwned.begin(); it != servicesOwned.end(); ++it)
            if (it->second < leastLoaded->second)
                leastLoaded = it;
        ++leastLoaded->second;
        wire::Ownership next;
        next.set_service(service);
        next.set_owner(leastLoaded->first);
        next.set_epoch(epoch);
        m_proposed[service] = ProposedAssignment { epoch, now };
        assignments.push_back(next);
    }
    return assignments;
}

std::vector<wire::EntryInfo> OwnershipPolicy::liveEntries(TimePoint now) const
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
    for (const auto& it : liveEntries(now))
        digest += it.SerializeAsString();
    if (digest != m_entriesDigest) {
        m_entriesDigest = digest;
        ++m_entriesChanges;
    }
    return (m_term << termShiftBits) + m_entriesChanges;
}

std::vector<wire::EntryHeartbeat> OwnershipPolicy::liveHeartbeats(TimePoint now) const
{
    std::vector<wire::EntryHeartbeat> live;
    for (const auto& it : m_entries)
        if (isLive(now, it.second))
            live.push_back(it.second.heartbeat);
    return live;
}

} // namespace fescuegw::state
