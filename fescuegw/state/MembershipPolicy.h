// Who belongs to a group that forms and repairs itself: the decisions of its leader.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <raft.pb.h>

#include "fescuegw/base/Types.h"
#include "fescuegw/raft/Replica.h"

namespace fescuegw::state {

struct MembershipOptions {
    // Voters that must stay: 2n + 1 where the loss of n is to be borne. With more, silent ones are removed.
    size_t voters = 0;
    // A member that has answered nothing for this long is silent. Longer than an election and a restart of a process.
    Duration silence { std::chrono::milliseconds(1500) };
    // A candidate is believed after asking twice this far apart, and forgotten when it has not asked for `candidateExpiry`:
    // a single request may have been held up since before its sender lost its disk.
    Duration candidateSpacing { std::chrono::milliseconds(200) };
    Duration candidateExpiry { std::chrono::milliseconds(1500) };
};

// One change of membership.
struct MembershipChange {
    enum class Kind : uint8_t {
        Add,
        Remove,
    };
    Kind kind = Kind::Add;
    // The member to add, or to remove (only its id counts).
    wire::Member member;
    // With Add: the member whose disk is gone, or 0.
    uint64_t replaces = 0;
};

// Decides one change at a time: adds candidates, in place of a member at the same address whose disk they have lost, and
// removes silent members that the group has a successor for. Soft state of the leader. Not thread-safe.
class MembershipPolicy {
public:
    explicit MembershipPolicy(MembershipOptions);

    // Forgets what an earlier term heard.
    void startTerm(TimePoint now);

    // A replica that doesn't vote asks to belong.
    void onCandidate(TimePoint now, const wire::Member&);

    // Returns the change to start now, or nothing. `replica` leads.
    std::optional<MembershipChange> next(TimePoint now, const raft::Replica& replica);

private:
    struct Candidate {
        wire::Member member;
        TimePoint first;
        TimePoint last;
    };

    std::optional<MembershipChange> addition(TimePoint now, const wire::Membership&);
    std::optional<MembershipChange> removal(TimePoint now, const raft::Replica&);
    TimePoint heard(TimePoint now, const raft::Replica&, const wire::Member&);

    MembershipOptions m_options;
    TimePoint m_termStart;
    std::map<uint64_t, Candidate> m_candidates;
    // When each member was first seen in the membership, for those that have answered nothing yet.
    std::map<uint64_t, TimePoint> m_firstSeen;
};

} // namespace fescuegw::state
