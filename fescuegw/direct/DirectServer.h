// The entry process for best-effort jobs: links to agents and the state group, and the jobs of its callers.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <control.pb.h>

#include "fescuegw/daemon/Daemon.h"
#include "fescuegw/direct/JobTable.h"
#include "fescuegw/direct/RouteTable.h"
#include "fescuegw/group/GroupLink.h"
#include "fescuegw/net/Hub.h"

namespace fescuegw::direct {

struct DirectSettings {
    daemon::ProcessSettings process;
    // Where agents connect.
    settings::Address listen;
    // Where agents reach it: `listen`, unless a forwarder stands before it.
    settings::Address advertised;
    // Where replicas of the state group may be found.
    std::vector<settings::Address> seeds;
    // From "not ready" until the process may end: the balancer has to notice first.
    Duration balancerGrace {};
    // After this, a graceful stop gives up what is in flight.
    Duration drainLimit {};
};

// Reads the sections [entry] and [formation]; faults are kept by `document`.
DirectSettings readDirectSettings(settings::Document& document);

// A caller's job before its queue is known.
struct Submission {
    std::string host;
    std::string path;
    JobSpecification job;
    // How long the caller waits, or nothing when it didn't say.
    std::optional<Duration> patience;
    uint64_t exchange = 0;
};

// What became of a request that names a queue.
struct Answer {
    enum class Kind : uint8_t {
        // See `outcome`.
        Job,
        NoSuchQueue,
        // There is no routing yet.
        NotReady,
        // Something is asked for that isn't served.
        Unsupported,
        NoSuchJob,
        Cancelled,
        // The number of jobs that wait is `waiting`.
        Queue,
    };
    Kind kind = Kind::NotReady;
    JobOutcome outcome;
    std::string reason;
    uint64_t waiting = 0;
};

using AnswerHook = std::function<void(const Answer&)>;

// HTTP threads post; the link thread, which calls `run`, decides and sends. `submit`, `look`, `cancel` and `abandon` are
// thread-safe; their hooks are called on the link thread.
class DirectServer {
public:
    DirectServer(DirectSettings, daemon::Metrics&);

    Result<void> start();
    int run();
    // Starts the graceful stop: not ready, callers in flight answered. Callers that come all the same, as they do while no
    // other entry of their failure domain is ready, are served or refused until the end.
    void stop();

    void submit(Submission, AnswerHook);
    // Asks for the queue (`path` ends with its prefix) or a job's state.
    void look(std::string host, std::string path, AnswerHook);
    void cancel(std::string host, std::string path, AnswerHook);
    void abandon(uint64_t exchange);

    void updateSeeds(const std::vector<settings::Address>&);
    // Returns whether callers are to be sent here.
    bool ready() const { return m_ready; }

    // Returns why `job` can't be served as it is, or "".
    static std::string unsupported(const JobSpecification& job);

private:
    struct Counters;

    void onMessage(TimePoint now, const net::Peer&, const std::string&);
    void onUndeliverable(TimePoint now, const net::Peer&, const std::string&);
    void onBatchEnd(TimePoint now);
    void onJobEnd(const JobRequest&, const JobOutcome&, Duration took);
    void accept(TimePoint now, const Submission&, const AnswerHook&);
    std::optional<RouteMatch> match(const std::string& host, const std::string& path, const AnswerHook&) const;
    bool drained(TimePoint now);
    wire::EntryInfo self() const;

    DirectSettings m_settings;
    std::string m_identity;
    std::mt19937_64 m_random;
    RouteTable m_routes;
    JobTable m_jobs;
    std::unique_ptr<net::Hub> m_hub;
    std::unique_ptr<group::GroupLink> m_state;
    std::shared_ptr<Counters> m_counters;
    std::atomic<bool> m_ready { false };
    bool m_draining = false;
    TimePoint m_quietAt;
    TimePoint m_drainUntil;
    TimePoint m_lastUnanswered;
};

} // namespace fescuegw::direct
