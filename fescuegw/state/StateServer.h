// One process of the state group: a replica, its disk, and the requests of entries.
#pragma once

#include <atomic>
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

// How a group forms and repairs itself without being told its members.
struct Formation {
    // Where replicas may be found; at the first start, the members that the group starts with.
    std::vector<settings::Address> seeds;
    // The whole group starts for the first time, with empty disks.
    bool firstStart = false;
    // Losses of disks at a time that are to be borne.
    uint64_t toleratedLosses = 0;

    friend bool operator==(const Formation&, const Formation&) = default;
};

struct StateSettings {
    daemon::ProcessSettings process;
    uint64_t id = 0;
    settings::Address listen;
    // Where others reach it: `listen`, unless a forwarder stands before it.
    settings::Address advertised;
    std::string data;
    bool join = false;
    // Addresses of the members that the group starts with, by id.
    std::map<uint64_t, settings::Address> members;
    // Set instead of `id`, `join` and `members`.
    std::optional<Formation> formation;
    Duration electionTimeout {};
    Duration entryLease {};
    uint64_t snapshotInterval = 0;
};

// Reads the settings of fescuegw-state; faults are kept by `document`.
StateSettings readStateSettings(settings::Document& document);

// Serves one replica on the thread that calls `run`: each turn receives what has come, decides, syncs once, then answers.
class StateServer {
public:
    StateServer(StateSettings, daemon::Metrics&);

    // Opens the data folder and the socket.
    Result<void> start();
    // Returns 0 after `stop`, or 1 when the disk failed.
    int run();
    void stop();
    bool ready() const { return m_ready; }

    using ReplyHook = std::function<void(const wire::StateReply&)>;

    // Answers a request from within this process, on the thread of `run`. Thread-safe. A reply may never come when the
    // replica stops.
    void submit(wire::StateRequest, ReplyHook);

    // Takes over new seeds from changed settings. Thread-safe.
    void updateSeeds(std::vector<settings::Address>);

private:
    // One ProposeRequest that waits for its log entry.
    struct Waiting {
        ReplyHook reply;
        uint64_t requestId = 0;
        size_t firstResult = 0;
        size_t resultCount = 0;
    };
    struct Proposal {
        uint64_t term = 0;
        std::vector<Waiting> waiting;
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
    void abandonProposals();
    void decideOwnership(TimePoint now);
    void decideMembership(TimePoint now);
    void askToJoin(TimePoint now);
    void learnReplicas(const wire::StateReply&);
    void connectMembers();
    std::string linkTo(const std::string& address);
    void refuse(uint64_t requestId, const ReplyHook&) const;
    void noteLeader();
    void updateMetrics(TimePoint now);
    wire::HeartbeatReply heartbeat(TimePoint now, const wire::EntryHeartbeat&);
    wire::GroupStatusReply groupStatus(TimePoint now) const;
    void check(const Result<void>& written);

    StateSettings m_settings;
    storage::ReplicaStore m_store;
    registry::Registry m_registry;
    OwnershipPolicy m_policy;
    std::optional<MembershipPolicy> m_membership;
    std::unique_ptr<net::Hub> m_hub;
    std::unique_ptr<raft::Replica> m_replica;
    std::mt19937_64 m_random;
    wire::CommandBatch m_batch;
    std::vector<Waiting> m_batchWaiting;
    std::map<uint64_t, Proposal> m_proposals;
    uint64_t m_ledTerm = 0;
    uint64_t m_identity = 0;
    uint64_t m_knownLeader = 0;
    raft::Role m_knownRole = raft::Role::Follower;
    // Members by the names of their links.
    std::map<std::string, std::string> m_memberLinks;
    // Addresses at which replicas may be found, each with a link of its own until this replica votes.
    std::set<std::string> m_contacts;
    TimePoint m_joinDue;
    TimePoint m_ledAt;
    TimePoint m_policyDue;
    std::atomic<bool> m_ready { false };
    bool m_failed = false;

    prometheus::Counter& m_syncs;
    prometheus::Counter& m_commands;
    prometheus::Gauge& m_leading;
    prometheus::Gauge& m_commitIndex;
    prometheus::Gauge& m_term;
};

} // namespace fescuegw::state
