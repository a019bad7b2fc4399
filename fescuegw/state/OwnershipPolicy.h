// Assignment of services to entries by the leader of the state group.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <control.pb.h>

#include "fescuegw/base/Types.h"
#include "fescuegw/registry/Registry.h"

namespace fescuegw::state {

// Tracks the heartbeats of entries and proposes owners for services without a live one. Holds only soft state of the leader.
// Not thread-safe.
class OwnershipPolicy {
public:
    explicit OwnershipPolicy(Duration entryLease);

    // Discards the heartbeats of earlier terms. No entry is considered lost during a grace period of one lease from `now`.
    void startTerm(TimePoint now, uint64_t term);

    void onHeartbeat(TimePoint now, const wire::EntryHeartbeat&);

    // Returns the assignments to propose now. An assignment is proposed again only if it has not taken effect within a lease.
    std::vector<wire::Ownership> assignments(TimePoint now, const registry::Registry&);

    // Returns whether a lease has passed since the start of the term, so that all live entries have sent a heartbeat.
    bool isGracePeriodOver(TimePoint now) const { return now >= m_gracePeriodEnd; }

    std::vector<wire::EntryInfo> liveEntries(TimePoint now) const;

    // Returns a number that changes whenever the result of `liveEntries` does.
    uint64_t entriesRevision(TimePoint now);

    // Returns the newest heartbeat of each live entry.
    std::vector<wire::EntryHeartbeat> liveHeartbeats(TimePoint now) const;

private:
    struct Entry {
        wire::EntryHeartbeat heartbeat;
        TimePoint received;
    };

    struct ProposedAssignment {
        uint64_t epoch = 0;
        TimePoint time;
    };

    bool isLive(TimePoint now, const Entry&) const;

    Duration m_entryLease;
    TimePoint m_gracePeriodEnd;
    uint64_t m_term = 0;
    uint64_t m_entriesChanges = 0;
    std::string m_entriesDigest;
    std::map<std::string, Entry> m_entries;
    // The latest assignment proposed for each service.
    std::map<std::string, ProposedAssignment> m_proposed;
};

} // namespace fescuegw::state
