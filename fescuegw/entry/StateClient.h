// An entry's side of the durable state: batched commands, reads and the view in force.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <control.pb.h>

#include "fescuegw/dispatch/ServiceDispatcher.h"

namespace fescuegw::entry {

struct StateClientHooks {
    std::function<void(const std::string& replica, const wire::StateRequest&)> send;
    std::function<void(TimePoint, const wire::View&)> onView;
};

struct StateClientOptions {
    Duration heartbeatInterval { std::chrono::milliseconds(200) };
    // After this a request is sent again, to another replica.
    Duration requestTimeout { std::chrono::milliseconds(700) };
    Duration retryPause { std::chrono::milliseconds(50) };
    int commandsPerRequest = 512;
};

// Finds the leader and repeats what it did not answer; commands are idempotent, so that repeating them is safe. Not
// thread-safe: the entry's link thread owns it.
class StateClient {
public:
    using ReplyHook = std::function<void(TimePoint, const wire::StateReply&)>;

    // `replicas` are the names under which the hub knows the replicas.
    StateClient(StateClientOptions, std::vector<std::string> replicas, StateClientHooks);

    // Commits a command; commands of one batch of events travel in one request.
    void propose(const wire::Command&, dispatch::ResultHook);
    void fetchOpenClaims(TimePoint now, const std::string& service, uint64_t epoch, dispatch::ClaimsHook);
    void lookup(TimePoint now, const SubmissionKey&, dispatch::LookupHook);
    // Sends any other request until it is answered.
    void request(TimePoint now, wire::StateRequest, ReplyHook);

    void onReply(TimePoint now, const std::string& replica, const wire::StateReply&);

    // Sends what has gathered and what is due again, and the heartbeat.
    void flush(TimePoint now, const wire::EntryInfo&);

    // Returns when a leader last answered, or nothing.
    const TimePoint* lastContact() const { return m_contacted ? &m_lastContact : nullptr; }
    size_t outstanding() const { return m_requests.size(); }

private:
    struct Outstanding {
        wire::StateRequest request;
        ReplyHook reply;
        TimePoint due;
    };

    void sendBatch(TimePoint now);
    void transmit(TimePoint now, Outstanding&);
    void rotate();

    StateClientOptions m_options;
    std::vector<std::string> m_replicas;
    StateClientHooks m_hooks;
    size_t m_target = 0;
    uint64_t m_nextId = 0;
    std::map<uint64_t, Outstanding> m_requests;
    std::vector<std::pair<wire::Command, dispatch::ResultHook>> m_batch;
    TimePoint m_heartbeatDue;
    uint64_t m_heartbeatId = 0;
    TimePoint m_heartbeatSent;
    // Any answer of any replica, and an answer of a leader.
    TimePoint m_lastReply;
    TimePoint m_lastContact;
    bool m_contacted = false;
    uint64_t m_revision = 0;
    uint64_t m_entriesRevision = 0;
    uint64_t m_configurationVersion = 0;
};

} // namespace fescuegw::entry
