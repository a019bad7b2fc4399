// Which entry owns which service: the decisions of the state group's leader.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <control.pb.h>

#include "fescuegw/base/Types.h"
#include "fescuegw/registry/Registry.h"

namespace fescuegw::state {

// Follows the entries' heartbeats and proposes owners for services that have none alive. Soft state of the leader. Not
// thread-safe.
class OwnershipPolicy {
public:
    explicit OwnershipPolicy(Duration entryLease);

    // Forgets what an earlier term's heartbeats said. No entry is judged lost for one lease from `now`.
    void startTerm(TimePoint now, uint64_t term);

    void onHeartbeat(TimePoint now, const wire::EntryHeartbeat&);

    // Returns the assignments to propose now. An assignment is proposed again only after a lease without effect.
    std::vector<wire::Ownership> assignments(TimePoint now, const registry::Registry&);

    // Returns whether a lease has passed since the term began, so that the live entries are known.
    bool settled(TimePoint now) const { return now >= m_judgeFrom; }

    // Returns the live entries, and a number that changes whenever they do.
    std::vector<wire::EntryInfo> entries(TimePoint now) const;
    uint64_t entriesRevision(TimePoint now);

    std::vector<wire::EntryHeartbeat> heartbeats(TimePoint now) const;

private:
    struct Entry {
        wire::EntryHeartbeat heartbeat;
        TimePoint seen;
    };

    struct Proposed {
        uint64_t epoch = 0;
        TimePoint time;
    };

    bool isLive(TimePoint now, const Entry&) const;

    Duration m_entryLease;
    TimePoint m_judgeFrom;
    uint64_t m_term = 0;
    uint64_t m_entriesCounter = 0;
    std::string m_entriesDigest;
    std::map<std::string, Entry> m_entries;
    // The newest assignment proposed for each service.
    std::map<std::string, Proposed> m_proposed;
};

} // namespace fescuegw::state
