// One process of the state group: a replica, its disk, and the requests of entries.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <control.pb.h>

#include "fescuegw/daemon/Daemon.h"
#include "fescuegw/net/Hub.h"
#include "fescuegw/raft/Replica.h"
#include "fescuegw/registry/Registry.h"
#include "fescuegw/state/OwnershipPolicy.h"
#include "fescuegw/storage/ReplicaStore.h"

namespace fescuegw::state {

struct StateSettings {
    daemon::ProcessSettings process;
    uint64_t id = 0;
    settings::Address listen;
    std::string data;
    bool join = false;
    // Addresses of the members that the group starts with, by id.
    std::map<uint64_t, settings::Address> members;
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

private:
    // One ProposeRequest that waits for its log entry.
    struct Waiting {
        net::Peer peer;
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
    void onRequest(TimePoint now, const net::Peer&, const wire::StateRequest&);
    void answer(TimePoint now, const net::Peer&, const wire::StateRequest&);
    void onPropose(const net::Peer&, uint64_t requestId, const wire::ProposeRequest&);
    void proposeBatch(TimePoint now);
    void applyEntry(const wire::LogEntry&);
    void abandonProposals();
    void decideOwnership(TimePoint now);
    void connectMembers();
    void reply(const net::Peer&, const wire::StateReply&);
    void refuse(const net::Peer&, uint64_t requestId);
    void updateMetrics(TimePoint now);
    wire::HeartbeatReply heartbeat(TimePoint now, const wire::EntryHeartbeat&);
    wire::GroupStatusReply groupStatus(TimePoint now) const;
    void check(const Result<void>& written);

    StateSettings m_settings;
    storage::ReplicaStore m_store;
    registry::Registry m_registry;
    OwnershipPolicy m_policy;
    std::unique_ptr<net::Hub> m_hub;
    std::unique_ptr<raft::Replica> m_replica;
    std::mt19937_64 m_random;
    wire::CommandBatch m_batch;
    std::vector<Waiting> m_batchWaiting;
    std::map<uint64_t, Proposal> m_proposals;
    uint64_t m_ledTerm = 0;
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
