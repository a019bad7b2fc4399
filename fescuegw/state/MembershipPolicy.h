// Membership decisions that the leader of a self-managed state group makes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <raft.pb.h>

#include "fescuegw/base/Types.h"
#include "fescuegw/raft/Replica.h"

namespace fescuegw::state {

struct MembershipOptions {
    // Voters to keep: 2n + 1 to tolerate the loss of n. Unresponsive voters are removed only while there are more.
    size_t minVoters = 0;
    // A member that has not answered for this long is unresponsive. Longer than an election and a process restart.
    Duration silenceTimeout { std::chrono::milliseconds(1500) };
    // A candidate is accepted once two of its join requests are at least `candidateSpacing` apart, since a single request may
    // have been delayed from before its sender lost its disk. It expires after `candidateExpiry` without a request.
    Duration candidateSpacing { std::chrono::milliseconds(200) };
    Duration candidateExpiry { std::chrono::milliseconds(1500) };
    // A request to leave expires without a further one: its sender has ended, and may be back.
    Duration leaveExpiry { std::chrono::milliseconds(500) };
};

// What a replica that has been told to stop does.
enum class LeaveVerdict : uint8_t {
    // It is no member, or the group has no voter to spare.
    Stop,
    // It takes part until it is removed.
    Wait,
};

// A single-member change of the group.
struct MembershipChange {
    enum class Kind : uint8_t {
        Add,
        Remove,
    };
    Kind kind = Kind::Add;
    // The member to add, or to remove (only its id is used).
    wire::Member member;
    // For Add: id of the member that lost its disk and is replaced, or 0.
    uint64_t replaces = 0;
};

// Returns whether `member` has an address that other replicas can connect to. The membership is part of the log, so a replica
// would meet an unusable address again at every start.
bool hasUsableAddress(const wire::Member& member);

// Chooses one membership change at a time. Adds candidates; a candidate at the address of a member that does not answer any more
// has lost that member's disk and replaces it. Removes non-voters that leave or are unresponsive, and such voters in excess of
// `minVoters`. Holds only soft state of the leader. Not thread-safe.
class MembershipPolicy {
public:
    explicit MembershipPolicy(MembershipOptions);

    // Discards the state of earlier terms and restarts the silence time-outs at `now`.
    void startTerm(TimePoint now);

    // Records a join request of a non-voting replica.
    void onCandidate(TimePoint now, const wire::Member&);

    // Returns whether the committed entry `index` may be acknowledged: the group keeps it and stays in service when as many disks
    // are lost as it tolerates, also if one of its voters is not there. `replica` must be the leader.
    bool mayAcknowledge(const raft::Replica& replica, uint64_t index) const;

    // Records that member `id`, possibly the leader itself, has been told to stop. Called again until the verdict is `Stop`.
    // `replica` must be the leader.
    LeaveVerdict onLeaving(TimePoint now, uint64_t id, const raft::Replica& replica);

    // Returns the change to start now, or nothing. `replica` must be the leader.
    std::optional<MembershipChange> next(TimePoint now, const raft::Replica& replica);

private:
    struct Candidate {
        wire::Member member;
        TimePoint firstRequest;
        TimePoint lastRequest;
    };

    std::optional<MembershipChange> chooseAddition(TimePoint now, const raft::Replica&);
    std::optional<MembershipChange> chooseRemoval(TimePoint now, const raft::Replica&);
    TimePoint lastHeardFrom(TimePoint now, const raft::Replica&, const wire::Member&);
    bool hasSurplusVoters(const wire::Membership&) const;

    MembershipOptions m_options;
    TimePoint m_termStart;
    std::map<uint64_t, Candidate> m_candidates;
    // When each leaving member has last asked to leave.
    std::map<uint64_t, TimePoint> m_leaving;
    // When each member was first seen in the membership: the start of its silence time-out if it has never answered.
    std::map<uint64_t, TimePoint> m_firstSeen;
};

} // namespace fescuegw::state
