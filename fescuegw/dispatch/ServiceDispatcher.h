// The owner's side of one service under one epoch: admission, placement, retries, recovery and outcomes.
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

// What a caller is told.
struct Reply {
    enum class Kind : uint8_t {
        // `outcome` is durable.
        Done,
        // `error` says why and whether anything may have run.
        Refused,
        // The submission is accepted and still runs.
        Pending,
        // This entry no longer owns the service; it did nothing for the caller that the new owner does not know of.
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
    // Commits the command and calls back once its result is known, however long that takes.
    std::function<void(const wire::Command&, ResultHook)> propose;
    std::function<void(const std::string& service, uint64_t epoch, ClaimsHook)> fetchOpenClaims;
    // Reads the claim of a submission as the replicated state has it now.
    std::function<void(const SubmissionKey&, LookupHook)> lookup;
};

struct DispatchOptions {
    std::string entry;
    UpstreamOptions upstream;
    // How often messages that only release results may be sent to one agent.
    Duration releaseInterval { std::chrono::seconds(5) };
    // A task may run for this many times its service's expected time, and never less than `runLimitLeast`.
    uint32_t runLimitFactor = 50;
    Duration runLimitLeast { std::chrono::seconds(30) };
};

// Messages by kind since the service was taken over; the wasted ones are those that started no task whose answer was used.
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

// A service as its owner schedules it. Not thread-safe: the entry's link thread owns it.
class ServiceDispatcher {
public:
    // Takes the service over under `epoch`. `enrolled` are the agents that any earlier owner may have dispatched to.
    ServiceDispatcher(
        TimePoint now, DispatchOptions, std::string service, uint64_t epoch, std::set<AgentId> enrolled, DispatchHooks);

    const std::string& service() const { return m_service; }
    uint64_t epoch() const { return m_epoch; }

    // Admits a submission or attaches to the one with the same key and digest. `reply` is called once, at `due` at the latest.
    void submit(TimePoint now, SubmissionSpec, const wire::TeamConfiguration&, TimePoint due, ReplyHook reply);

    // Waits for a submission that runs already. Returns false when it is not known.
    bool attach(TimePoint now, const SubmissionKey&, TimePoint due, ReplyHook reply);

    // Ends a submission: queued tasks never start, running ones are stopped. Returns false when it is not known.
    bool cancel(TimePoint now, const SubmissionKey&);

    void onReport(TimePoint now, const AgentId&, const wire::AgentReport&);
    void onResults(TimePoint now, const AgentId&, const std::vector<wire::TaskResult>&);
    void onHeld(TimePoint now, const AgentId&, const wire::HeldTasks&);
    // A message that was handed to no socket: none of its tasks was started.
    void onUndeliverable(TimePoint now, const AgentId&, const wire::EntryToAgent&);

    void tick(TimePoint now);

    // Sends what has gathered for each agent. Called at the end of each batch of events.
    void flush(TimePoint now);

    // Tells all callers that another entry owns the service now, and sends nothing more to any agent.
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
        // Another owner has taken over. Nothing may be sent any more: a release would make an agent forget a result that the
        // new owner has not collected yet.
        Superseded,
    };
    struct Waiter {
        TimePoint due;
        ReplyHook reply;
    };
    struct Tracked {
        Submission submission;
        wire::ServiceConfiguration configuration;
        uint32_t share = 1;
        std::vector<Waiter> waiters;
    };
    struct Pending {
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
    std::optional<Error> refusal(const SubmissionSpec&, const wire::TeamConfiguration&, const wire::ServiceConfiguration*) const;
    void refuseUnlessKnown(const SubmissionSpec&, const Error&, const ReplyHook&);
    void startClaim(TimePoint now, Tracked&);
    void onClaimDecided(TimePoint now, const SubmissionKey&, const wire::CommandResult&);
    void answerWaiters(Tracked&, const Reply&);
    void refuse(const SubmissionKey&, const Error&);

    // Recovery.
    void load(TimePoint now);
    void onClaimsLoaded(TimePoint now, const wire::OpenClaimsReply&);
    void finishCollecting(TimePoint now);
    void resolveAll(TimePoint now);

    // Agents.
    void enrol(const AgentId&);
    void retireLost(TimePoint now);
    void retire(const AgentId&);
    void collectFrom(TimePoint now, Upstream&);
    void loseAgent(TimePoint now, const AgentId&, const std::string& reason);
    void adoptHeld(TimePoint now, Upstream&, const wire::TaskResult&);
    AgentOutbox& outbox(const AgentId&);
    void release(const AgentId&, const SubmissionKey&);
    void sendCancel(const AgentId&, const AttemptRef&);

    // Scheduling.
    void schedule(TimePoint now);
    bool placeNext(TimePoint now, Tracked&);
    Upstream* chooseUpstream(TimePoint now, const Size&);
    void dispatchTask(TimePoint now, Tracked&, int position, Upstream&);
    void enqueue(Tracked&);
    TimePoint virtualDeadline(const Tracked&) const;
    uint32_t totalSlots() const;
    void hedge(TimePoint now);

    // Results.
    void onResult(TimePoint now, Upstream&, const wire::TaskResult&);
    void applyResult(TimePoint now, Tracked&, Upstream*, const wire::TaskResult&);
    bool mayRepeat(const Tracked&);
    void afterChange(TimePoint now, Tracked&);
    void finish(TimePoint now, Tracked&);
    void onFinishDecided(TimePoint now, const SubmissionKey&, const wire::CommandResult&);
    void complete(Tracked&, const wire::Outcome&);
    void erase(const SubmissionKey&);
    void stopAttempts(const Tracked&);
    Tracked* find(const SubmissionKey&);

    // Results of commands may come after this object is gone.
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
    TimePoint m_started;
    // Agents of earlier owners that have not yet said what they hold.
    std::set<AgentId> m_awaited;
    // All agents enrolled in the replicated state, present or not.
    std::set<AgentId> m_enrolled;
    std::set<AgentId> m_lost;
    // The last message number of each lost agent that may be heard again: it refuses messages that are not newer.
    std::map<AgentId, uint64_t> m_lostSequences;
    // Agents whose retirement has been proposed and not yet decided.
    std::set<AgentId> m_retiring;
    std::map<SubmissionKey, Tracked> m_submissions;
    std::vector<Pending> m_pending;
    std::map<AgentId, Upstream> m_upstreams;
    std::map<AgentId, AgentOutbox> m_outboxes;
    ServiceQueue m_queue;
    std::map<std::string, double> m_repeatTokens;
    std::map<std::string, double> m_hedgeTokens;
    DispatchCounters m_counters;
    uint64_t m_configurationVersion = 0;
    TimePoint m_slowTickDue;
    // Exponentially weighted mean and mean deviation of run times, in microseconds.
    double m_meanRun = 0;
    double m_runDeviation = 0;
};

} // namespace fescuegw::dispatch
