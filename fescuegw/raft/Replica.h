// One replica of a replicated log: leader election with pre-vote and check-quorum, log replication, snapshots and single-server
// membership changes, as in Raft (Ongaro and Ousterhout, 2014; Ongaro's dissertation, chapters 4, 6 and 9).
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
    // Generated when the disk is first used; reveals a disk that was lost or swapped.
    uint64_t identity = 0;
    Duration electionTimeout { std::chrono::milliseconds(1000) };
    Duration heartbeatInterval { std::chrono::milliseconds(150) };
    // The leader lease is shorter than the election timeout by this margin, which covers clock drift between two hosts.
    Duration clockMargin { std::chrono::milliseconds(200) };
    size_t appendBytesLimit = 1U << 20U;
    // A snapshot is taken after this many applied entries or this many bytes of applied commands.
    uint64_t snapshotInterval = 10000;
    uint64_t snapshotBytes = 8U << 20U;
};

// State recovered from the replica's disk at start.
struct DurableState {
    wire::HardState hardState;
    wire::Snapshot snapshot;
    std::vector<wire::LogEntry> entries;
    // Initial members of the group; empty for a replica that waits to be added.
    wire::Membership initialMembership;
};

// Callbacks through which a replica uses its disk, its peers and the state machine.
struct ReplicaHooks {
    std::function<void(const wire::RaftMessage&)> send;
    // Hard state and entries become durable at the next sync, after which the owner calls `Replica::synced`.
    std::function<void(const wire::HardState&)> saveHardState;
    // Replaces all entries from the entry's index on.
    std::function<void(const wire::LogEntry&)> saveEntry;
    // Replaces the snapshot and the log. Durable on return.
    std::function<void(const wire::Snapshot&, const wire::HardState&, const std::vector<wire::LogEntry>&)> saveSnapshot;
    std::function<void(const wire::LogEntry&)> apply;
    std::function<void(const std::string& state)> restore;
    std::function<std::string()> captureState;
    // Returns a random number below `bound`.
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

// Replication progress of one member, tracked by the leader.
struct Progress {
    uint64_t nextIndex = 1;
    uint64_t matchIndex = 0;
    // When the newest broadcast round that the member has answered was sent.
    std::optional<TimePoint> answeredRoundSentAt;
    uint64_t identity = 0;
    std::optional<TimePoint> snapshotSentAt;
};

// Consensus logic of one replica. Votes, replies and other messages that depend on durable state are sent from `synced`; append
// and snapshot requests are sent at once, so that a leader replicates entries while its own disk syncs. Not thread-safe: owned by
// one task.
class Replica {
public:
    Replica(ReplicaOptions, DurableState, ReplicaHooks, TimePoint now);

    void tick(TimePoint now);
    void receive(TimePoint now, const wire::RaftMessage&);

    // Reports that everything saved so far is on disk.
    void synced(TimePoint now);

    // Appends `command` and returns the log index that it has if it commits, or nothing when this replica does not lead a formed
    // group or has not yet committed an entry of its term.
    std::optional<uint64_t> propose(TimePoint now, std::string command);

    // Starts a membership change: adds `member` as a non-voter, which becomes a voter once it has caught up and then replaces
    // member `replaces` (0 for none). Returns the reason for a refusal, or "".
    std::string changeMembership(TimePoint now, const wire::Member& member, uint64_t replaces);

    // Starts a membership change that removes member `id`. Returns the reason for a refusal, or "".
    std::string removeMember(TimePoint now, uint64_t id);

    // Starts no elections from now on. Votes, and follows or leads, as before.
    void retire() { m_retired = true; }

    // Returns whether this replica leads and a quorum has confirmed it within the lease, so that its applied state is current.
    bool hasLease(TimePoint now) const;

    Role role() const { return m_role; }
    uint64_t term() const { return m_hardState.term(); }
    // Returns the last known leader, or 0.
    uint64_t leader() const { return m_leader; }
    uint64_t commitIndex() const { return m_commitIndex; }
    uint64_t lastIndex() const;
    uint64_t termAt(uint64_t index) const;
    const wire::Membership& membership() const { return m_membership; }
    uint64_t matchIndex(uint64_t id) const;
    // Returns when the newest broadcast round that member `id` has answered was sent, or nothing. Known to the leader only.
    std::optional<TimePoint> answeredAt(uint64_t id) const;
    // Returns whether the latest membership has not committed yet.
    bool isMembershipChanging() const { return m_commitIndex < m_membershipIndex; }
    // Returns whether this replica is a voter of the membership it knows, with the identity of its disk.
    bool votes() const { return isVoter(m_options.id); }

private:
    // Elections.
    void startElection(TimePoint now, bool preVote);
    void onVoteRequest(TimePoint now, const wire::RaftMessage&);
    void onVoteReply(TimePoint now, const wire::RaftMessage&);
    void countVotes(TimePoint now);
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
    bool isDiskReplaced() const;
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
    bool m_retired = false;
    uint64_t m_leader = 0;
    uint64_t m_commitIndex = 0;
    uint64_t m_appliedIndex = 0;
    uint64_t m_syncedIndex = 0;
    // Bytes of commands applied since the last snapshot.
    uint64_t m_appliedBytes = 0;
    TimePoint m_electionDeadline;
    TimePoint m_lastLeaderContact;
    TimePoint m_nextHeartbeat;
    std::map<uint64_t, uint64_t> m_votes;
    std::map<uint64_t, Progress> m_progress;
    std::map<uint64_t, TimePoint> m_roundSentAt;
    uint64_t m_round = 0;
    uint64_t m_firstIndexOfTerm = 0;
    std::vector<wire::RaftMessage> m_messagesAfterSync;
};

} // namespace fescuegw::raft
