// A process of the state group: one raft replica with its store, which serves requests of entries and other processes.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <control.pb.h>

#include "fescuegw/daemon/Daemon.h"
#include "fescuegw/net/Hub.h"
#include "fescuegw/raft/Replica.h"
#include "fescuegw/registry/Registry.h"
#include "fescuegw/state/MembershipPolicy.h"
#include "fescuegw/state/OwnershipPolicy.h"
#include "fescuegw/storage/ReplicaStore.h"

namespace fescuegw::state {

// Settings of a self-managed group, whose members are not configured.
struct Formation {
    // Addresses to discover replicas at; on the first start also the initial members.
    std::vector<settings::Address> seeds;
    // The whole group is being created, with empty disks.
    bool firstStart = false;
    // Number of simultaneously lost disks to tolerate.
    uint64_t toleratedLosses = 0;

    friend bool operator==(const Formation&, const Formation&) = default;
};

struct StateSettings {
    daemon::ProcessSettings process;
    uint64_t id = 0;
    settings::Address listen;
    // The address that peers connect to: `listen`, unless a forwarder sits in front of it.
    settings::Address advertised;
    std::string data;
    bool join = false;
    // Addresses of the initial members, by id.
    std::map<uint64_t, settings::Address> members;
    // Set instead of `id`, `join` and `members`.
    std::optional<Formation> formation;
    Duration electionTimeout {};
    Duration entryLease {};
    uint64_t snapshotInterval = 0;
};

// Reads the settings of fescuegw-state; errors are recorded in `document`.
StateSettings readStateSettings(settings::Document& document);

// Serves one replica on the thread that calls `run`. Each iteration handles the received messages, runs the policies, syncs the
// log once, and then applies committed entries and answers their proposals.
class StateServer {
public:
    StateServer(StateSettings, daemon::Metrics&);

    // Opens the data directory and the listening socket.
    Result<void> start();
    // Returns 0 after `stop`, or 1 after a disk error.
    int run();
    // Ends `run`. A self-managed group removes this replica first if it has a voter to spare; that takes at most
    // `leaveTimeout`. Thread-safe.
    void stop();
    bool ready() const { return m_ready; }

    using ReplyHook = std::function<void(const wire::StateReply&)>;

    // Handles a request from within this process; `reply` is called on the thread of `run`, or never if the replica stops
    // first. Thread-safe.
    void submit(wire::StateRequest, ReplyHook reply);

    // Adds the seeds of reloaded settings. Thread-safe.
    void updateSeeds(std::vector<settings::Address>);

private:
    // A ProposeRequest whose log entry is not committed yet, and its slice of the results of that entry.
    struct PendingRequest {
        ReplyHook reply;
        uint64_t requestId = 0;
        size_t firstResult = 0;
        size_t resultCount = 0;
    };
    // A reply to a committed proposal that may not be given yet.
    struct WithheldReply {
        uint64_t index = 0;
        uint64_t requestId = 0;
        wire::StateReply answer;
        ReplyHook reply;
    };
    struct PendingProposal {
        uint64_t term = 0;
        std::vector<PendingRequest> requests;
    };

    raft::ReplicaHooks replicaHooks();
    void onMessage(TimePoint now, const net::Peer&, const std::string&);
    void onBatchEnd(TimePoint now);
    raft::DurableState durableState(const storage::Recovered&);
    Result<storage::Recovered> openStore();
    void onRequest(TimePoint now, const wire::StateRequest&, const ReplyHook&);
    void answer(TimePoint now, const wire::StateRequest&, const ReplyHook&);
    void onPropose(uint64_t requestId, const wire::ProposeRequest&, const ReplyHook&);
    void proposeBatch(TimePoint now);
    void applyEntry(const wire::LogEntry&);
    void logDomainDrains(const wire::CommandBatch&, const std::vector<wire::CommandResult>&) const;
    void releaseReplies();
    void rejectPendingProposals();
    void runOwnershipPolicy(TimePoint now);
    void runMembershipPolicy(TimePoint now);
    void leave(TimePoint now);
    bool isMember() const;
    void finishLeaving(std::string_view reason);
    void sendTo(uint64_t replica, const wire::StateEnvelope&);
    void sendJoinRequests(TimePoint now);
    void addContacts(const wire::StateReply&);
    void connectMembers();
    std::string ensureLink(const std::string& address);
    void replyNotLeader(uint64_t requestId, const ReplyHook&) const;
    void logLeadershipChanges();
    void updateMetrics(TimePoint now);
    wire::HeartbeatReply heartbeat(TimePoint now, const wire::EntryHeartbeat&);
    wire::GroupStatusReply groupStatus(TimePoint now) const;
    void stopOnDiskError(const Result<void>& written);

    StateSettings m_settings;
    storage::ReplicaStore m_store;
    registry::Registry m_registry;
    OwnershipPolicy m_ownershipPolicy;
    std::optional<MembershipPolicy> m_membershipPolicy;
    std::unique_ptr<net::Hub> m_hub;
    std::unique_ptr<raft::Replica> m_replica;
    std::mt19937_64 m_random;
    wire::CommandBatch m_batch;
    std::vector<PendingRequest> m_batchRequests;
    std::map<uint64_t, PendingProposal> m_pendingProposals;
    std::deque<WithheldReply> m_withheldReplies;
    uint64_t m_policyTerm = 0;
    uint64_t m_diskIdentity = 0;
    uint64_t m_loggedLeader = 0;
    raft::Role m_loggedRole = raft::Role::Follower;
    // Addresses of the members, by link name.
    std::map<std::string, std::string> m_memberLinks;
    // Addresses to discover replicas at. Each has a separate link until this replica is a voter.
    std::set<std::string> m_contacts;
    TimePoint m_nextJoinRequest;
    TimePoint m_lastLeaderSeen;
    // Set once this replica has been told to stop.
    std::optional<TimePoint> m_leaveDeadline;
    TimePoint m_nextLeaveRequest;
    bool m_left = false;
    TimePoint m_nextPolicyRun;
    std::atomic<bool> m_ready { false };
    bool m_failed = false;

    prometheus::Counter& m_syncs;
    prometheus::Counter& m_commands;
    prometheus::Gauge& m_leading;
    prometheus::Gauge& m_commitIndex;
    prometheus::Gauge& m_term;
    prometheus::Gauge& m_drainedDomains;
};

} // namespace fescuegw::state
