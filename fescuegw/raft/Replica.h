// One replica of a replicated log: leader election with pre-vote and check-quorum, log replication, snapshots and changes of
// membership one server at a time, after Raft (Ongaro and Ousterhout, 2014; Ongaro's dissertation, chapters 4, 6 and 9).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <raft.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::raft {

struct ReplicaOptions {
    uint64_t id = 0;
    // Drawn when the disk was first used; a disk that was lost or swapped shows by it.
    uint64_t identity = 0;
    Duration electionTimeout { std::chrono::milliseconds(1000) };
    Duration heartbeatInterval { std::chrono::milliseconds(150) };
    // The leader's lease lasts this much less than the election timeout; covers the drift between two hosts' clocks.
    Duration clockMargin { std::chrono::milliseconds(200) };
    size_t appendBytesLimit = 1U << 20U;
    // A snapshot is taken after this many entries, or this many bytes of commands.
    uint64_t snapshotInterval = 10000;
    uint64_t snapshotBytes = 8U << 20U;
};

// What survived on the replica's disk.
struct DurableState {
    wire::HardState hardState;
    wire::Snapshot snapshot;
    std::vector<wire::LogEntry> entries;
    // The members that the group starts with; empty for a replica that waits to be added.
    wire::Membership initialMembership;
};

// How a replica reaches its disk, its peers and the state machine.
struct ReplicaHooks {
    std::function<void(const wire::RaftMessage&)> send;
    // Both take effect on disk at the next sync, after which the owner calls `synced`.
    std::function<void(const wire::HardState&)> saveHardState;
    // Replaces all entries at and behind the entry's index.
    std::function<void(const wire::LogEntry&)> saveEntry;
    // Replaces snapshot and log. Durable on return.
    std::function<void(const wire::Snapshot&, const wire::HardState&, const std::vector<wire::LogEntry>&)> saveSnapshot;
    std::function<void(const wire::LogEntry&)> apply;
    std::function<void(const std::string& state)> restore;
    std::function<std::string()> captureState;
    // Returns a number below `bound`.
    std::function<uint64_t(uint64_t bound)> random;
};

enum class Role : uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

// Returns "follower", "pre-candidate", "candidate" or "leader".
std::string_view toString(Role);

// Replication progress of one member as its leader knows it.
struct Progress {
    uint64_t nextIndex = 1;
    uint64_t matchIndex = 0;
    // When the newest round that the member answered was sent.
    std::optional<TimePoint> answeredRound;
    uint64_t identity = 0;
    std::optional<TimePoint> snapshotSent;
};

// The rules of one replica. Answers that promise durability are sent from `synced`; everything else is sent at once, so that
// a leader's entries travel while its own disk syncs. Not thread-safe: one task owns it.
class Replica {
public:
    Replica(ReplicaOptions, DurableState, ReplicaHooks, TimePoint now);

    void tick(TimePoint now);
    void receive(TimePoint now, const wire::RaftMessage&);

    // Says that all that was saved before is on disk.
    void synced(TimePoint now);

    // Returns the index at which `command` will stand if it commits, or nothing when this replica does not lead.
    std::optional<uint64_t> propose(TimePoint now, std::string command);

    // Starts a change of membership: adds `member` as non-voter, which is promoted once it has caught up and then takes the
    // place of `replaces` (0 for none). Returns why it is refused, or "".
    std::string changeMembership(TimePoint now, const wire::Member& member, uint64_t replaces);

    // Starts a change of membership that removes `id`. Returns why it is refused, or "".
    std::string removeMember(TimePoint now, uint64_t id);

    // Returns whether this replica leads and a quorum has confirmed it within the lease: its applied state is current.
    bool hasLease(TimePoint now) const;

    Role role() const { return m_role; }
    uint64_t term() const { return m_hardState.term(); }
    // Returns the leader this replica last heard of, or 0.
    uint64_t leader() const { return m_leader; }
    uint64_t commitIndex() const { return m_commitIndex; }
    uint64_t lastIndex() const;
    uint64_t termAt(uint64_t index) const;
    const wire::Membership& membership() const { return m_membership; }
    uint64_t matchIndex(uint64_t id) const;
    // Returns when the newest round that member `id` answered was sent, or nothing. Known to the leader only.
    std::optional<TimePoint> answeredAt(uint64_t id) const;
    // Returns whether a change of membership has yet to commit.
    bool isMembershipChanging() const { return m_commitIndex < m_membershipIndex; }
    // Returns whether this replica votes under the membership it knows, with the disk it has.
    bool votes() const { return isVoter(m_options.id); }

private:
    // Elections.
    void startElection(TimePoint now, bool preVote);
    void onVoteRequest(TimePoint now, const wire::RaftMessage&);
    void onVoteReply(TimePoint now, const wire::RaftMessage&);
    void tallyVotes(TimePoint now);
    void becomeLeader(TimePoint now);
    void becomeFollower(TimePoint now, uint64_t term, uint64_t leader);
    void resetElectionTimer(TimePoint now);
    bool heardFromLeader(TimePoint now) const;

    // Replication.
    void broadcast(TimePoint now);
    void replicateTo(TimePoint now, uint64_t id);
    void sendSnapshot(TimePoint now, uint64_t id, Progress&);
    void onAppendRequest(TimePoint now, const wire::RaftMessage&);
    void onAppendReply(TimePoint now, const wire::RaftMessage&);
    void onSnapshotRequest(TimePoint now, const wire::RaftMessage&);
    void append(wire::LogEntry);
    void truncateFrom(uint64_t index);
    void advanceCommit(TimePoint now);
    void commitTo(uint64_t index);
    void takeSnapshot();

    // Membership.
    void adoptMembership();
    void advanceMembership(TimePoint now);
    void appendMembership(const wire::Membership&);
    bool isFormed() const;
    bool isVoter(uint64_t id) const;
    bool isForeign() const;
    const wire::Member* member(uint64_t id) const;
    bool acceptsSender(const wire::RaftMessage&) const;
    size_t quorum() const;
    std::vector<uint64_t> voters() const;

    const wire::LogEntry& entry(uint64_t index) const;
    wire::RaftMessage message(uint64_t to) const;
    void sendAfterSync(wire::RaftMessage);
    void saveHardState(uint64_t term, uint64_t votedFor);

    ReplicaOptions m_options;
    ReplicaHooks m_hooks;
    wire::HardState m_hardState;
    wire::Snapshot m_snapshot;
    std::vector<wire::LogEntry> m_entries;
    wire::Membership m_initialMembership;
    wire::Membership m_membership;
    uint64_t m_membershipIndex = 0;

    Role m_role = Role::Follower;
    uint64_t m_leader = 0;
    uint64_t m_commitIndex = 0;
    uint64_t m_appliedIndex = 0;
    uint64_t m_syncedIndex = 0;
    // Bytes of commands applied since the last snapshot.
    uint64_t m_appliedBytes = 0;
    TimePoint m_electionDue;
    TimePoint m_leaderContact;
    TimePoint m_heartbeatDue;
    std::map<uint64_t, uint64_t> m_votes;
    std::map<uint64_t, Progress> m_progress;
    std::map<uint64_t, TimePoint> m_roundSent;
    uint64_t m_round = 0;
    uint64_t m_firstIndexOfTerm = 0;
    std::vector<wire::RaftMessage> m_afterSync;
};

} // namespace fescuegw::raft
