// The entry process for best-effort jobs: its links to agents and the state group, and the jobs of its callers.
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
    // Address on which agents connect.
    settings::Address listen;
    // Address at which agents reach this entry: `listen`, unless there is a forwarder in between.
    settings::Address advertised;
    // Addresses at which replicas of the state group may be found.
    std::vector<settings::Address> seeds;
    // Time from reporting "not ready" until the process may exit: the load balancer has to notice first.
    Duration balancerGrace {};
    // Time after which a graceful stop ends the jobs that are still in flight.
    Duration drainLimit {};
    // Whether jobs are refused by priority while tasks wait too long.
    bool loadShedding = true;
};

// Reads the sections [entry] and [formation]; errors are recorded in `document`.
DirectSettings readDirectSettings(settings::Document& document);

// A caller's job before its queue is looked up.
struct Submission {
    std::string host;
    std::string path;
    JobSpecification job;
    // How long the caller waits, or nothing when it did not specify this.
    std::optional<Duration> patience;
    uint64_t exchange = 0;
};

// The answer to a request that addresses a queue.
struct Answer {
    enum class Kind : uint8_t {
        // See `outcome`.
        Job,
        NoSuchQueue,
        // No routing has been received yet.
        NotReady,
        // The request needs something that is not supported.
        Unsupported,
        NoSuchJob,
        Cancelled,
        // The number of waiting jobs is `waiting`.
        Queue,
    };
    Kind kind = Kind::NotReady;
    JobOutcome outcome;
    std::string reason;
    uint64_t waiting = 0;
};

using AnswerHook = std::function<void(const Answer&)>;

// HTTP threads post requests; the link thread, which calls `run`, processes them and sends messages. `submit`, `query` and
// `cancel` are thread-safe; their hooks are called on the link thread.
class DirectServer {
public:
    // `goneCallers` returns the exchanges whose callers have gone, until they are answered. It is called on the link thread.
    DirectServer(DirectSettings, daemon::Metrics&, std::function<std::vector<uint64_t>()> goneCallers);

    Result<void> start();
    int run();
    // Starts a graceful stop: reports "not ready" and answers the jobs in flight. Requests that still arrive, as they do while
    // no other entry of the failure domain is ready, are served or refused until the process exits.
    void stop();

    void submit(Submission, AnswerHook);
    // Queries a queue (`path` ends with its prefix) or a job's state.
    void query(std::string host, std::string path, AnswerHook);
    void cancel(std::string host, std::string path, AnswerHook);

    void updateSeeds(const std::vector<settings::Address>&);
    // Returns whether the load balancer may send callers here.
    bool ready() const { return m_ready; }

    // Returns why `job` is not supported, or "" when it is.
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
    TimePoint m_balancerGraceEnd;
    TimePoint m_drainUntil;
    TimePoint m_lastUnanswered;
};

} // namespace fescuegw::direct
