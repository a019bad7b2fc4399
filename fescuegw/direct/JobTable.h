// The best-effort jobs of one entry, from submission to outcome.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <direct.pb.h>

#include "fescuegw/direct/Admission.h"
#include "fescuegw/direct/CrashHistory.h"
#include "fescuegw/direct/DemandNotifier.h"
#include "fescuegw/direct/Job.h"
#include "fescuegw/direct/LoadShedder.h"
#include "fescuegw/direct/OfferPace.h"
#include "fescuegw/direct/OfferTable.h"
#include "fescuegw/direct/PendingTaskQueue.h"
#include "fescuegw/direct/Placement.h"

namespace fescuegw::direct {

// docs/PLATFORM.md derives the bounds that follow from these leases.
struct JobTableOptions {
    AdmissionOptions admission;
    LoadShedderOptions shedding;
    PlacementOptions placement;
    OfferTableOptions offers;
    // After this silence of an agent, no attempt that it started for this entry can still run. Covers the agent's lease for the
    // entry, which counts from a clock value that the agent sent, the upstream's own lease, and the time that stopping takes.
    Duration agentLossTimeout { std::chrono::milliseconds(1250) };
    // Shortest time between two messages to an agent that only renew its lease for this entry or change its offer interval.
    // Together with the age of the echoed clock, this is under half of the agent's lease.
    Duration minReplyInterval { std::chrono::milliseconds(180) };
    OfferPaceOptions offerPace;
    // Time between two checks for callers that have gone; well below the time after which a caller may send a job again.
    Duration callerCheckInterval { std::chrono::milliseconds(100) };
    // Time between two checks of jobs and agents for expired time limits.
    Duration tickInterval { std::chrono::milliseconds(10) };
    DemandNotifierOptions demand;
    // Interval after which a stop or a forwarded cancel is sent again to an agent that has been sent nothing else.
    Duration stopRepeatInterval { std::chrono::milliseconds(100) };
    // Time between two checks of agents for messages that are due by time alone.
    Duration messageCheckInterval { std::chrono::milliseconds(10) };
    // A start that reaches its agent later than this is refused there, since free capacity and queues have changed in the
    // meantime.
    Duration startLifetime { std::chrono::milliseconds(250) };
    // A run on an upstream whose run times reach this percentage of the estimates is moved when another upstream is expected to
    // finish it sooner by at least `minMoveGain`, which includes the time that stopping and starting take.
    uint32_t slownessThresholdPercent = 200;
    Duration minMoveGain { std::chrono::milliseconds(120) };
    // Limit on the attempts at one task, whatever their outcome: bounds the messages about a task that every upstream gives
    // back.
    uint32_t maxAttempts = 40;
    // Limits for one task over all submissions of its job: crashes of upstreams under it, and attempts that ended without a
    // result, each of which may have been a crash that nobody reports.
    uint32_t maxCrashes = 3;
    uint32_t maxLostAttempts = 5;
    CrashHistoryOptions crashes;
    // Limit on the jobs in the table: bounds memory while no job makes progress.
    size_t maxJobs = 20000;
    // The cancellation of a job that is not in flight here is sent to agents for this long, until they have reported it. Bounded
    // in number, since callers may cancel jobs that do not exist.
    Duration forwardedCancelPeriod { std::chrono::seconds(3) };
    size_t maxForwardedCancels = 64;
};

struct JobTableHooks {
    std::function<void(const AgentId&, wire::EntryToUpstream)> send;
    // Returns a random number below its argument.
    std::function<uint64_t(uint64_t)> random;
    // Called with the outcome and the time since submission.
    std::function<void(const JobRequest&, const JobOutcome&, Duration)> onEnd;
    // Returns the exchanges whose callers have gone, until they are answered.
    std::function<std::vector<uint64_t>()> goneCallers;
};

// Counts since the process started, for metrics.
struct JobCounters {
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t started = 0;
    uint64_t notStarted = 0;
    uint64_t failedAttempts = 0;
    uint64_t lostAttempts = 0;
    uint64_t unmatchedReports = 0;
    uint64_t movedAttempts = 0;
    // Crashes of upstreams, counted once for each task that was there.
    uint64_t crashesUnderTasks = 0;
    // Submissions that ended because too many upstreams crashed or were lost under one of their tasks.
    uint64_t endedByCrashes = 0;
    uint64_t declinedGrants = 0;
    // Messages that repeated stops, since the end of the attempts was not known yet.
    uint64_t repeatedStops = 0;
    // Jobs that were cancelled at another entry.
    uint64_t cancelledElsewhere = 0;
};

// Runs each task at most once at a time: the next attempt starts only once the previous one is certain not to be running. All
// state of a job is kept by the entry that accepted it; agents end the attempts of an entry that they no longer hear. Not
// thread-safe.
class JobTable {
public:
    JobTable(JobTableOptions, JobTableHooks);

    // Accepts a job, joins it to one in flight with the same id, or answers it immediately. A step may have no tasks, but the job
    // has at least one.
    void submit(TimePoint now, JobRequest, JobResponder);
    // Accepts only jobs whose objective ends before `until`, and ends the jobs that are still in flight then.
    void drain(TimePoint until) { m_drainUntil = until; }
    // Ends a job and answers its callers. Returns false when no such job is in flight here; agents then pass the cancellation on
    // to the entry that may have it.
    bool cancel(TimePoint now, const std::string& id);
    // Handles the disconnection of the caller with this exchange.
    void abandon(TimePoint now, uint64_t exchange);

    void onAgent(TimePoint now, const wire::UpstreamToEntry&);
    // Handles a message that never left this host.
    void onUndeliverable(TimePoint now, const AgentId&, const wire::EntryToUpstream&);

    void tick(TimePoint now);
    // Sends the collected messages.
    void flush(TimePoint now);

    size_t size() const { return m_jobs.size(); }
    // Returns the number of jobs whose callers still wait for an answer.
    size_t unanswered() const;
    const OfferTable& offers() const { return m_offers; }
    size_t waiting() const { return m_queue.size(); }
    const JobCounters& counters() const { return m_counters; }
    // Returns the share of jobs that load shedding admits, in percent: of the service that is short of most capacity.
    double admittedPercent(bool mostUrgent) const;
    Duration objective(const JobRequest& request) const { return m_admission.objective(request); }

private:
    enum class TaskState : uint8_t {
        // Waits for earlier steps, or in the queue.
        Pending,
        // An attempt is outstanding at an agent.
        Sent,
        Done,
    };

    struct Task {
        TaskState state = TaskState::Pending;
        // Number of the last attempt, and how many there were.
        uint32_t attempt = 0;
        uint32_t attempts = 0;
        uint32_t failures = 0;
        AgentId agent;
        bool queued = false;
        bool started = false;
        bool stopping = false;
        bool moved = false;
        TimePoint startedAt;
        // Start of the wait for capacity, kept across attempts that were given back.
        std::optional<TimePoint> waitingSince;
        std::set<AgentId> avoidedAgents;
        // Failure domains in which attempts have failed or were lost.
        std::set<std::string> failedDomains;
    };

    struct Step {
        std::vector<Task> tasks;
        size_t done = 0;
        // Its tasks are done, and the steps before it are complete. A step without tasks depends on the latter alone.
        bool complete = false;
        std::map<AgentId, uint32_t> tasksPerAgent;
    };

    struct Attempt {
        StepTask task;
        uint32_t number = 0;

        friend auto operator<=>(const Attempt&, const Attempt&) = default;
    };

    struct Caller {
        uint64_t exchange = 0;
        JobResponder respond;
    };

    struct Job {
        JobRequest request;
        std::vector<Caller> callers;
        std::vector<Step> steps;
        uint64_t number = 0;
        TimePoint received;
        TimePoint deadline;
        // A task has run or may have run.
        bool mayHaveRun = false;
        // All callers have been answered; the job is kept only until all its attempts are known to have ended.
        bool answered = false;
        // To be refused once all attempts are known not to have started.
        bool refusing = false;
        std::string refusalReason;
        uint32_t outstanding = 0;
    };

    // The cancellation of a job that is not in flight here.
    struct ForwardedCancel {
        TimePoint until;
        // Agents that have reported it.
        std::set<AgentId> confirmed;
    };

    using Jobs = std::map<std::string, Job>;

    void checkCallers(TimePoint now);
    void abandon(TimePoint now, const std::set<uint64_t>& exchanges);
    std::string refusalReason(TimePoint now, const Job&);
    void updateShedding(TimePoint now);
    JobOutcome refusal(const Job&, const std::string& reason) const;
    bool isReady(const Job&, size_t step) const;
    void enqueueReady(TimePoint now, Job&);
    void enqueue(TimePoint now, Job&, size_t step, size_t index);
    void dequeue(Job&);
    QueuePosition queuePosition(const Job&, size_t step, size_t index) const;
    PlacementRequest placementRequest(TimePoint now, const Job&, size_t step, size_t index) const;
    void dispatchPending(TimePoint now);
    void dispatchToAgent(TimePoint now, const AgentId&);
    void useGrant(TimePoint now, const AgentId&, const wire::Grant&);
    void send(
        TimePoint now, Job&, size_t step, size_t index, const PlacementResult&, uint64_t grant, bool despiteEjection = false);
    void moveSlowAttempts(TimePoint now, Job&);
    void applyReport(TimePoint now, const AgentId&, const wire::AttemptReport&);
    void addFailure(Task&, const AgentId&) const;
    void onCrash(TimePoint now, const AgentId&, const wire::AttemptReport&);
    std::string crashReason(TimePoint now, const Job&, size_t step, size_t index) const;
    void queueAgain(TimePoint now, Job&, size_t step, size_t index);
    void onNotStarted(TimePoint now, Job&, size_t step, size_t index, const std::string& reason);
    void onFailed(TimePoint now, Job&, size_t step, size_t index);
    void onLost(TimePoint now, Job&, size_t step, size_t index, const std::string& reason);
    void onDone(TimePoint now, Job&, size_t step);
    void endUnfinished(TimePoint now, Job&, const std::string& reason);
    void onStarted(TimePoint since, Job&, Task&);
    void answer(TimePoint now, Job&, const JobOutcome&);
    void stopAttempts(TimePoint now, Job&);
    void stopAttempt(TimePoint now, const Job&, size_t step, size_t index);
    bool withdrawUnsentStart(TimePoint now, const AgentId&, const Attempt&);
    void release(Task&);
    void confirmStop(const AgentId&, const wire::AttemptKey&);
    void addDueStops(TimePoint now);
    bool cancelInFlight(TimePoint now, const std::string& id);
    void forwardCancel(TimePoint now, const std::string& id);
    void onJobCancelled(TimePoint now, const AgentId&, const std::string& id);
    void addDueForwardedCancels(TimePoint now);
    void onAgentLost(TimePoint now, const AgentId&, const std::string& reason);
    uint32_t offerIntervalMs(const AgentView&) const;
    wire::EntryToUpstream& outbox(const AgentId&);
    void addDueMessages(TimePoint now);
    void transmit(TimePoint now, const AgentId&, wire::EntryToUpstream);
    void removeFinishedJobs();

    JobTableOptions m_options;
    JobTableHooks m_hooks;
    Admission m_admission;
    // By service, since each has its own upstreams: a shortage of one must not cost jobs of the others. Only services with usable
    // upstreams are added.
    std::map<std::string, LoadShedder> m_shedders;
    TimePoint m_sheddingDue;
    // Whether the last update left a share of the jobs to be refused.
    bool m_shedding = false;
    OfferTable m_offers;
    OfferPace m_offerPace;
    Placement m_placement;
    DemandNotifier m_demandNotifier;
    CrashHistory m_crashes;
    PendingTaskQueue m_queue;
    Jobs m_jobs;
    uint64_t m_lastNumber = 0;
    // Attempts are numbered over all jobs: a late report of an earlier submission must not match an attempt of the next one.
    uint32_t m_lastAttempt = 0;
    std::optional<TimePoint> m_drainUntil;
    TimePoint m_callerCheckDue;
    // By the last check.
    std::set<uint64_t> m_goneCallers;
    TimePoint m_tickDue;
    TimePoint m_messageCheckDue;
    // Tasks were queued since the queue was last checked against all agents.
    bool m_queueGrew = false;
    // Services with queued tasks, or with queued tasks at the last message check.
    std::set<std::string> m_waitingServices;
    std::map<AgentId, wire::EntryToUpstream> m_outbox;
    // Attempts that were to be stopped and are not known to have ended. Every message to their agent carries their stops, so
    // that none renews the agent's lease for this entry without them.
    std::map<AgentId, std::set<Attempt>> m_unconfirmedStops;
    // By job.
    std::map<std::string, ForwardedCancel> m_forwardedCancels;
    JobCounters m_counters;
};

} // namespace fescuegw::direct
