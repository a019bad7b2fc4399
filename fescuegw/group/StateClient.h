// Client of the state group: batched commands, reads, and the current view and routing.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <control.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::group {

using ResultHook = std::function<void(TimePoint, const wire::CommandResult&)>;
using ClaimsHook = std::function<void(TimePoint, const wire::OpenClaimsReply&)>;
using LookupHook = std::function<void(TimePoint, const wire::LookupReply&)>;

// All but `send` are optional.
struct StateClientHooks {
    std::function<void(const std::string& replica, const wire::StateRequest&)> send;
    std::function<void(TimePoint, const wire::View&)> onView;
    // Called for a routing newer than the one known.
    std::function<void(TimePoint, const wire::Routing&)> onRouting;
    // Called for a newly discovered replica, before it is passed to `send`.
    std::function<void(const std::string& replica)> onReplica;
    // Called when a leader starts or stops answering.
    std::function<void(TimePoint, bool reachable)> onReachable;
};

struct StateClientOptions {
    Duration heartbeatInterval { std::chrono::milliseconds(200) };
    // An unanswered request is sent again after this time. If no replica has replied for this long since a heartbeat, the next
    // replica is tried.
    Duration requestTimeout { std::chrono::milliseconds(500) };
    Duration retryDelay { std::chrono::milliseconds(50) };
    // Minimum time between a heartbeat and one sent ahead of schedule by `refreshView`.
    Duration refreshSpacing { std::chrono::milliseconds(25) };
    // The group is unreachable when no leader has answered for this long.
    Duration unreachableTimeout { std::chrono::milliseconds(2000) };
    int commandsPerRequest = 512;
};

// Finds the leader, starting from a few replicas and discovering the others through their replies. Repeats unanswered
// requests, which is safe because commands are idempotent. Not thread-safe: used only on the thread that runs the hub.
class StateClient {
public:
    using ReplyHook = std::function<void(TimePoint, const wire::StateReply&)>;

    // `replicas` are addresses, which also identify the replicas in `send`, `onReply` and `onUndeliverable`. Without any, nothing
    // is sent until `addReplicas` names one.
    StateClient(StateClientOptions, std::vector<std::string> replicas, StateClientHooks);

    // Queues a command to commit. `flush` sends the queued commands together in as few requests as possible.
    void propose(const wire::Command&, ResultHook);
    void fetchOpenClaims(TimePoint now, const std::string& service, uint64_t epoch, ClaimsHook);
    void lookup(TimePoint now, const SubmissionKey&, LookupHook);
    // Sends any other request, and repeats it until it is answered.
    void request(TimePoint now, wire::StateRequest, ReplyHook);

    // Adds replicas from other sources, such as reloaded settings.
    void addReplicas(const std::vector<std::string>& replicas);

    void onReply(TimePoint now, const std::string& replica, const wire::StateReply&);
    // Reports that a request was not handed to any socket: the replica is unreachable, so no reply will come.
    void onUndeliverable(TimePoint now, const std::string& replica, const wire::StateRequest&);

    // Sends queued commands, due retries, and the heartbeat if it is due. With an unnamed `EntryInfo` the heartbeat only
    // requests the view.
    void flush(TimePoint now, const wire::EntryInfo&);

    void setHeartbeatInterval(Duration interval) { m_options.heartbeatInterval = interval; }

    // Brings the next heartbeat forward to now, or to `refreshSpacing` after the last one if that is later.
    void refreshView(TimePoint now);
    // Returns the time as of which the view and the routing are known to be current, or null before the first reply of a leader.
    const TimePoint* confirmedAsOf() const { return m_hasContact ? &m_confirmedAsOf : nullptr; }
    // Returns whether a leader has answered within `unreachableTimeout`, as of the last `flush` or reply.
    bool reachable() const { return m_reachable; }

    // Returns when a leader last answered, or null.
    const TimePoint* lastContact() const { return m_hasContact ? &m_lastContact : nullptr; }
    uint64_t routingVersion() const { return m_routingVersion; }
    size_t pendingRequestCount() const { return m_pendingRequests.size(); }

private:
    struct PendingRequest {
        wire::StateRequest request;
        ReplyHook reply;
        TimePoint retryAt;
    };

    void onHeartbeat(TimePoint now, const wire::HeartbeatReply&);
    void addReplicasFrom(const wire::StateReply&);
    void scheduleRetry(TimePoint now, uint64_t requestId);
    void setReachable(TimePoint now, bool reachable);
    void sendHeartbeat(TimePoint now, const wire::EntryInfo&);
    void sendProposals(TimePoint now);
    void sendRequest(TimePoint now, PendingRequest&);
    void selectNextReplica(TimePoint now);

    StateClientOptions m_options;
    std::vector<std::string> m_replicas;
    StateClientHooks m_hooks;
    size_t m_targetIndex = 0;
    TimePoint m_targetSince;
    uint64_t m_nextId = 0;
    std::map<uint64_t, PendingRequest> m_pendingRequests;
    std::vector<std::pair<wire::Command, ResultHook>> m_queuedCommands;
    TimePoint m_nextHeartbeat;
    uint64_t m_heartbeatId = 0;
    TimePoint m_heartbeatSent;
    // The last reply of any replica.
    TimePoint m_lastReply;
    // The last reply of a leader.
    TimePoint m_lastContact;
    // When the newest heartbeat that a leader has answered was sent.
    TimePoint m_confirmedAsOf;
    bool m_hasContact = false;
    uint64_t m_revision = 0;
    uint64_t m_entriesRevision = 0;
    uint64_t m_configurationVersion = 0;
    uint64_t m_routingVersion = 0;
    bool m_reachable = false;
};

} // namespace fescuegw::group
