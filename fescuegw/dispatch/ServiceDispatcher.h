// Owner-side scheduler of one service within one epoch: admission, placement, retries, recovery and outcomes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <dispatch.pb.h>
#include <registry.pb.h>

#include "fescuegw/base/Types.h"
#include "fescuegw/dispatch/ServiceQueue.h"
#include "fescuegw/dispatch/Submission.h"
#include "fescuegw/dispatch/Upstream.h"

namespace fescuegw::dispatch {

// The answer to a caller that waits for a submission.
struct Reply {
    enum class Kind : uint8_t {
        // `outcome` is durable.
        Done,
        // `error` holds the reason and whether any task may have run.
        Refused,
        // The submission is accepted and has not ended.
        Pending,
        // This entry no longer owns the service. Everything it did for the caller is known to the new owner.
        NotOwner,
    };
    Kind kind = Kind::Pending;
    wire::Outcome outcome;
    Error error;
};

using ReplyHook = std::function<void(const Reply&)>;
using ResultHook = std::function<void(TimePoint, const wire::CommandResult&)>;
using LookupHook = std::function<void(TimePoint, const wire::LookupReply&)>;
using ClaimsHook = std::function<void(TimePoint, const wire::OpenClaimsReply&)>;

struct DispatchHooks {
    std::function<void(const AgentId&, const wire::EntryToAgent&)> sendToAgent;
    // Commits the command and calls back once its result is known; there is no time-out.
    std::function<void(const wire::Command&, ResultHook)> propose;
    std::function<void(const std::string& service, uint64_t epoch, ClaimsHook)> fetchOpenClaims;
    // Reads the current claim of a submission from the replicated state.
    std::function<void(const SubmissionKey&, LookupHook)> lookup;
};

struct DispatchOptions {
    std::string entry;
    UpstreamOptions upstream;
    // Minimum interval between messages to one agent that only release results.
    Duration releaseInterval { std::chrono::seconds(5) };
    // A task's run limit is this multiple of its service's expected run time, but at least `minRunLimit`.
    uint32_t runLimitFactor = 50;
    Duration minRunLimit { std::chrono::seconds(30) };
};

// Messages and events by kind since the takeover. Wasted messages are those that started no task whose result
// was used.
struct DispatchCounters {
    uint64_t dispatched = 0;
    uint64_t refused = 0;
    uint64_t retried = 0;
    uint64_t hedged = 0;
    uint64_t strayResults = 0;
    uint64_t collects = 0;
    uint64_t releaseMessages = 0;
    uint64_t cancels = 0;
    uint64_t lostAgents = 0;
    uint64_t ejections = 0;

    friend bool operator==(const DispatchCounters&, const DispatchCounters&) = default;
};

// Schedules one service on behalf of its owner. Not thread-safe: confined to the entry's link thread.
class ServiceDispatcher {
public:
    // Takes over the service for `epoch`. `enrolled` lists every agent to which an earlier owner may have dispatched tasks.
    ServiceDispatcher(
        TimePoint now, DispatchOptions, std::string service, uint64_t epoch, std::set<AgentId> enrolled, DispatchHooks);

    const std::string& service() const { return m_service; }
    uint64_t epoch() const { return m_epoch; }

    // Admits a submission, or attaches to the running one with the same key and digest. Calls `reply` once, by `due` at the
    // latest.
    void submit(TimePoint now, SubmissionSpec, const wire::TeamConfiguration&, TimePoint due, ReplyHook reply);

    // Attaches a caller to a submission that is already tracked. Returns false if the key is unknown.
    bool attach(TimePoint now, const SubmissionKey&, TimePoint due, ReplyHook reply);

    // Cancels a submission: queued tasks never start, running ones are stopped. Returns false if the key is unknown.
    bool cancel(TimePoint now, const SubmissionKey&);

    void onReport(TimePoint now, const AgentId&, const wire::AgentReport&);
    void onResults(TimePoint now, const AgentId&, const std::vector<wire::TaskResult>&);
    void onHeld(TimePoint now, const AgentId&, const wire::HeldTasks&);
    // Requeues the tasks of a message that was never written to a socket: none of them was started.
    void onUndeliverable(TimePoint now, const AgentId&, const wire::EntryToAgent&);

    void tick(TimePoint now);

    // Sends the buffered message of each agent. Called at the end of each batch of events.
    void flush(TimePoint now);

    // Answers all callers with NotOwner and stops sending to agents.
    void relinquish();

    void setConfigurationVersion(uint64_t version) { m_configurationVersion = version; }
    bool serving() const { return m_state == State::Serving; }
    bool superseded() const { return m_state == State::Superseded; }
    size_t submissionCount() const { return m_submissions.size(); }
    size_t queuedTasks() const;
    size_t runningTasks() const;
    const std::map<AgentId, Upstream>& upstreams() const { return m_upstreams; }
    const DispatchCounters& counters() const { return m_counters; }

private:
    enum class State : uint8_t {
        Loading,
        Collecting,
        Serving,
        // Another owner has taken over. Sending is forbidden: a release would make an agent delete a result that the new owner
        // has not collected yet.
        Superseded,
    };
    struct Waiter {
        TimePoint due;
        ReplyHook reply;
    };
    struct TrackedSubmission {
        Submission submission;
        wire::ServiceConfiguration configuration;
        uint32_t share = 1;
        std::vector<Waiter> waiters;
    };
    struct PendingSubmission {
        SubmissionSpec spec;
        wire::TeamConfiguration team;
        TimePoint due;
        ReplyHook reply;
    };
    struct AgentOutbox {
        wire::EntryToAgent message;
        bool urgent = false;
        TimePoint lastSent;
        uint64_t configurationSent = 0;
    };

    // Admission.
    std::optional<Error> checkAdmission(
        const SubmissionSpec&, const wire::TeamConfiguration&, const wire::ServiceConfiguration*) const;
    void refuseUnlessKnown(const SubmissionSpec&, const Error&, const ReplyHook&);
    void startClaim(TimePoint now, TrackedSubmission&);
    void onClaimDecided(TimePoint now, const SubmissionKey&, const wire::CommandResult&);
    void answerWaiters(TrackedSubmission&, const Reply&);
    void refuse(const SubmissionKey&, const Error&);

    // Recovery.
    void load(TimePoint now);
    void onClaimsLoaded(TimePoint now, const wire::OpenClaimsReply&);
    void finishCollecting(TimePoint now);
    void resolveRecovered(TimePoint now);

    // Agents.
    void enrol(const AgentId&);
    void retireLostAgents(TimePoint now);
    void retire(const AgentId&);
    void requestHeldTasks(TimePoint now, Upstream&);
    void onAgentLost(TimePoint now, const AgentId&, const std::string& reason);
    void adoptHeld(TimePoint now, Upstream&, const wire::TaskResult&);
    AgentOutbox& outbox(const AgentId&);
    void release(const AgentId&, const SubmissionKey&);
    void sendCancel(const AgentId&, const AttemptRef&);

    // Scheduling.
    void schedule(TimePoint now);
    bool dispatchNext(TimePoint now, TrackedSubmission&);
    Upstream* chooseUpstream(TimePoint now, const TaskResources&);
    void dispatchTask(TimePoint now, TrackedSubmission&, int position, Upstream&);
    void enqueue(TrackedSubmission&);
    TimePoint virtualDeadline(const TrackedSubmission&) const;
    uint32_t totalSlots() const;
    void hedgeSlowRequests(TimePoint now);

    // Results.
    void onResult(TimePoint now, Upstream&, const wire::TaskResult&);
    void applyResult(TimePoint now, TrackedSubmission&, Upstream*, const wire::TaskResult&);
    bool consumeRetryToken(const TrackedSubmission&);
    void onTasksChanged(TimePoint now, TrackedSubmission&);
    void finish(TimePoint now, TrackedSubmission&);
    void onOutcomeDecided(TimePoint now, const SubmissionKey&, const wire::CommandResult&);
    void complete(TrackedSubmission&, const wire::Outcome&);
    void erase(const SubmissionKey&);
    void cancelAttempts(const TrackedSubmission&);
    TrackedSubmission* find(const SubmissionKey&);

    // Wraps a callback so that it is dropped once this object is destroyed: command results may arrive after that.
    template <typename Reply>
    std::function<void(TimePoint, const Reply&)> whileAlive(std::function<void(TimePoint, const Reply&)> hook) const
    {
        return [lifetime = std::weak_ptr<const bool>(m_lifetime), hook = std::move(hook)](TimePoint now, const Reply& reply) {
            if (!lifetime.expired())
                hook(now, reply);
        };
    }
    void propose(const wire::Command& command, ResultHook hook) const { m_hooks.propose(command, whileAlive(std::move(hook))); }

    std::shared_ptr<const bool> m_lifetime = std::make_shared<const bool>(true);
    DispatchOptions m_options;
    std::string m_service;
    uint64_t m_epoch;
    DispatchHooks m_hooks;
    State m_state = State::Loading;
    TimePoint m_takeoverTime;
    // Agents of earlier owners that have not yet reported the tasks they hold.
    std::set<AgentId> m_awaitedAgents;
    // All agents enrolled in the replicated state, whether connected or not.
    std::set<AgentId> m_enrolledAgents;
    std::set<AgentId> m_lostAgents;
    // Last message sequence sent to each lost agent. An agent that reconnects ignores messages that are not newer.
    std::map<AgentId, uint64_t> m_lostAgentSequences;
    // Agents whose retirement is proposed but not yet committed.
    std::set<AgentId> m_retiringAgents;
    std::map<SubmissionKey, TrackedSubmission> m_submissions;
    std::vector<PendingSubmission> m_pending;
    std::map<AgentId, Upstream> m_upstreams;
    std::map<AgentId, AgentOutbox> m_outboxes;
    ServiceQueue m_queue;
    std::map<std::string, double> m_retryTokens;
    std::map<std::string, double> m_hedgeTokens;
    DispatchCounters m_counters;
    uint64_t m_configurationVersion = 0;
    TimePoint m_nextMaintenance;
    // Exponentially weighted mean and mean deviation of run times, in microseconds.
    double m_meanRunUs = 0;
    double m_runDeviationUs = 0;
};

} // namespace fescuegw::dispatch
