// A process's side of the durable state: batched commands, reads, the view and the routing in force.
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

// Each may be left out but `send`.
struct StateClientHooks {
    std::function<void(const std::string& replica, const wire::StateRequest&)> send;
    std::function<void(TimePoint, const wire::View&)> onView;
    // A routing newer than the one known.
    std::function<void(TimePoint, const wire::Routing&)> onRouting;
    // A replica that wasn't known before; `send` may name it from now on.
    std::function<void(const std::string& replica)> onReplica;
    // The leader answers again, or no longer.
    std::function<void(TimePoint, bool reachable)> onReachable;
};

struct StateClientOptions {
    Duration heartbeatInterval { std::chrono::milliseconds(200) };
    // After this a request is sent again, to another replica.
    Duration requestTimeout { std::chrono::milliseconds(500) };
    Duration retryPause { std::chrono::milliseconds(50) };
    // Between two heartbeats that are sent early to confirm the view.
    Duration refreshSpacing { std::chrono::milliseconds(25) };
    // Without an answer of a leader for this long, the group counts as unreachable.
    Duration unreachableAfter { std::chrono::milliseconds(2000) };
    int commandsPerRequest = 512;
};

// Finds the leader, starting from a few replicas and learning the others from their answers, and repeats what was not
// answered; commands are idempotent, so that repeating them is safe. Not thread-safe: the link thread owns it.
class StateClient {
public:
    using ReplyHook = std::function<void(TimePoint, const wire::StateReply&)>;

    // `replicas` are the addresses of replicas, which are also the names under which the hub knows them.
    StateClient(StateClientOptions, std::vector<std::string> replicas, StateClientHooks);

    // Commits a command; commands of one batch of events travel in one request.
    void propose(const wire::Command&, ResultHook);
    void fetchOpenClaims(TimePoint now, const std::string& service, uint64_t epoch, ClaimsHook);
    void lookup(TimePoint now, const SubmissionKey&, LookupHook);
    // Sends any other request until it is answered.
    void request(TimePoint now, wire::StateRequest, ReplyHook);

    // Adds replicas found elsewhere, such as changed settings.
    void addReplicas(const std::vector<std::string>& replicas);

    void onReply(TimePoint now, const std::string& replica, const wire::StateReply&);
    // A request never left this host: the replica isn't there.
    void onUndeliverable(TimePoint now, const std::string& replica, const wire::StateRequest&);

    // Sends what has gathered and what is due again, and the heartbeat. An unnamed `EntryInfo` only follows the view.
    void flush(TimePoint now, const wire::EntryInfo&);

    // Sets the time between two heartbeats from now on.
    void setHeartbeatInterval(Duration interval) { m_options.heartbeatInterval = interval; }

    // Asks for the view with the next flush, unless that was done a moment ago.
    void refreshView(TimePoint now);
    // Returns the time as of which the view and the routing are known to be the newest, or nothing before the first answer.
    const TimePoint* confirmedAsOf() const { return m_contacted ? &m_confirmedAsOf : nullptr; }
    // Returns whether a leader answers.
    bool reachable() const { return m_reachable; }

    // Returns when a leader last answered, or nothing.
    const TimePoint* lastContact() const { return m_contacted ? &m_lastContact : nullptr; }
    uint64_t routingVersion() const { return m_routingVersion; }
    size_t outstanding() const { return m_requests.size(); }

private:
    struct Outstanding {
        wire::StateRequest request;
        ReplyHook reply;
        TimePoint due;
    };

    void onHeartbeat(TimePoint now, const wire::HeartbeatReply&);
    void learn(const wire::StateReply&);
    void sendSoon(TimePoint now, uint64_t requestId);
    void noteReachable(TimePoint now, bool reachable);
    void sendHeartbeat(TimePoint now, const wire::EntryInfo&);
    void sendBatch(TimePoint now);
    void transmit(TimePoint now, Outstanding&);
    void rotate(TimePoint now);

    StateClientOptions m_options;
    std::vector<std::string> m_replicas;
    StateClientHooks m_hooks;
    size_t m_target = 0;
    TimePoint m_targetSince;
    uint64_t m_nextId = 0;
    std::map<uint64_t, Outstanding> m_requests;
    std::vector<std::pair<wire::Command, ResultHook>> m_batch;
    TimePoint m_heartbeatDue;
    uint64_t m_heartbeatId = 0;
    TimePoint m_heartbeatSent;
    // Any answer of any replica, and an answer of a leader.
    TimePoint m_lastReply;
    TimePoint m_lastContact;
    // When the newest heartbeat that a leader answered was sent.
    TimePoint m_confirmedAsOf;
    bool m_contacted = false;
    uint64_t m_revision = 0;
    uint64_t m_entriesRevision = 0;
    uint64_t m_configurationVersion = 0;
    uint64_t m_routingVersion = 0;
    bool m_reachable = false;
};

} // namespace fescuegw::group
