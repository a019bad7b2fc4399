// The best-effort jobs of one entry, from their callers' requests to their answers.
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
#include "fescuegw/direct/DemandSpread.h"
#include "fescuegw/direct/Job.h"
#include "fescuegw/direct/OfferBook.h"
#include "fescuegw/direct/Placement.h"
#include "fescuegw/direct/WaitingLine.h"

namespace fescuegw::direct {

// docs/PLATFORM.md works out what these leases bound together.
struct JobTableOptions {
    AdmissionOptions admission;
    PlacementOptions placement;
    OfferBookOptions offers;
    // This long after an agent was last heard, nothing runs that it started for this entry: the agent's lease for the entry,
    // which counts from a clock that it sent, the upstream's own lease, and the time that stopping takes.
    Duration certainEnd { std::chrono::milliseconds(1250) };
    // An agent is told that this entry lives at most this often: with the age of the clock that it echoes, under half of the
    // agent's lease.
    Duration replySpacing { std::chrono::milliseconds(180) };
    // Offers of all agents that an entry takes a second, and the shortest time between two of one agent. With some 20 us each,
    // offers then cost 1% of a core at any number of agents; what they tell is older with many.
    uint32_t offersPerSecond = 400;
    Duration shortestOfferInterval { std::chrono::milliseconds(40) };
    Duration longestOfferInterval { std::chrono::milliseconds(250) };
    // Time between two looks at jobs for what time alone changes.
    Duration tickInterval { std::chrono::milliseconds(10) };
    DemandSpreadOptions demand;
    // Time between two looks at agents for messages that are due by time alone.
    Duration sweepInterval { std::chrono::milliseconds(10) };
    // A start that reaches its agent later than this is refused there: room and lines have changed since.
    Duration startLife { std::chrono::milliseconds(250) };
    // A run on an upstream that takes this many percent of the estimates is moved when another would end it sooner by
    // `moveGain`, the time that stopping and starting take included.
    uint32_t slowPercent = 200;
    Duration moveGain { std::chrono::milliseconds(120) };
    // Attempts at one task, however they end: bounds the messages about a task that every upstream gives back.
    uint32_t mostAttempts = 40;
    // Callers' requests that wait, at most: bounds memory when everything stands still.
    size_t mostJobs = 20000;
};

struct JobTableHooks {
    std::function<void(const AgentId&, wire::EntryToUpstream)> send;
    // Returns a number below its argument.
    std::function<uint64_t(uint64_t)> random;
    // Called with the outcome and the time that the job took.
    std::function<void(const JobRequest&, const JobOutcome&, Duration)> onEnd;
};

// Counts since the start of the process, for metrics.
struct JobCounters {
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t started = 0;
    uint64_t notStarted = 0;
    uint64_t failedAttempts = 0;
    uint64_t lostAttempts = 0;
    uint64_t strayReports = 0;
    uint64_t movedAttempts = 0;
    uint64_t declinedGrants = 0;
};

// Starts each task at most once at a time: a further attempt follows only when the one before is certain not to run. The entry
// that took a job keeps all that is known of it; agents end what an entry that they don't hear has started. Not thread-safe.
class JobTable {
public:
    JobTable(JobTableOptions, JobTableHooks);

    // Takes a job on, or answers it at once.
    void submit(TimePoint now, JobRequest, JobResponder);
    // Takes on only jobs that can be on time before `until`; then gives up what is still in flight.
    void drain(TimePoint until) { m_drainUntil = until; }
    // Returns false when no such job is in flight here; else it ends, and its callers are told.
    bool cancel(TimePoint now, const std::string& id);
    // The caller on this connection has gone away.
    void abandon(TimePoint now, uint64_t exchange);

    void onAgent(TimePoint now, const wire::UpstreamToEntry&);
    // A message never left this host.
    void onUndeliverable(TimePoint now, const AgentId&, const wire::EntryToUpstream&);

    void tick(TimePoint now);
    // Sends what has gathered.
    void flush(TimePoint now);

    size_t size() const { return m_jobs.size(); }
    // Returns the number of jobs whose callers still wait.
    size_t unanswered() const;
    const OfferBook& offers() const { return m_offers; }
    size_t waiting() const { return m_line.size(); }
    const JobCounters& counters() const { return m_counters; }

private:
    enum class TaskState : uint8_t {
        // Waits for its step's turn, or in the line.
        Pending,
        // At an agent.
        Sent,
        Done,
    };

    struct Task {
        TaskState state = TaskState::Pending;
        uint32_t attempt = 0;
        uint32_t failures = 0;
        AgentId agent;
        bool waiting = false;
        bool started = false;
        bool stopping = false;
        bool moved = false;
        TimePoint startedAt;
        // Since when it waits for room, across attempts that were given back.
        std::optional<TimePoint> queuedAt;
        std::set<AgentId> avoid;
    };

    struct Step {
        std::vector<Task> tasks;
        size_t done = 0;
        std::map<AgentId, uint32_t> sharing;
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
        // A task has run or may have.
        bool mayHaveRun = false;
        // Ended for its callers; only attempts that are not certain to have ended keep it.
        bool answered = false;
        // To be refused as soon as all attempts are known not to have started.
        bool refusing = false;
        std::string refusal;
        uint32_t outstanding = 0;
    };

    using Jobs = std::map<std::string, Job>;

    std::string refusal(TimePoint now, const Job&) const;
    bool isReady(const Job&, size_t step) const;
    void queueReady(TimePoint now, Job&);
    void queue(TimePoint now, Job&, size_t step, size_t index);
    void unqueue(Job&);
    LinePosition position(const Job&, size_t step, size_t index) const;
    PlacementWish wish(TimePoint now, const Job&, size_t step, size_t index) const;
    void serveLine(TimePoint now);
    void serveAgent(TimePoint now, const AgentId&);
    void useGrant(TimePoint now, const AgentId&, const wire::Grant&);
    void send(TimePoint now, Job&, size_t step, size_t index, const Placed&, uint64_t grant);
    void moveSlow(TimePoint now, Job&);
    void applyReport(TimePoint now, const AgentId&, const wire::AttemptReport&);
    void onNotStarted(TimePoint now, Job&, size_t step, size_t index, const std::string& reason);
    void onFailed(TimePoint now, Job&, size_t step, size_t index);
    void onLost(TimePoint now, Job&, size_t step, size_t index, const std::string& reason);
    void onDone(TimePoint now, Job&, size_t step);
    void giveUp(TimePoint now, Job&, const std::string& reason);
    void onStarted(TimePoint since, Job&, Task&);
    void answer(TimePoint now, Job&, const JobOutcome&);
    void stopAttempts(Job&);
    void stopAttempt(const Job&, size_t step, size_t index);
    void release(Task&);
    void loseAgent(TimePoint now, const AgentId&, const std::string& reason);
    Duration offerInterval() const;
    wire::EntryToUpstream& outbox(const AgentId&);
    void addDueMessages(TimePoint now);
    void transmit(TimePoint now, const AgentId&, wire::EntryToUpstream);
    void sweep();

    JobTableOptions m_options;
    JobTableHooks m_hooks;
    Admission m_admission;
    OfferBook m_offers;
    Placement m_placement;
    DemandSpread m_demand;
    WaitingLine m_line;
    Jobs m_jobs;
    uint64_t m_lastNumber = 0;
    std::optional<TimePoint> m_drainUntil;
    TimePoint m_tickDue;
    TimePoint m_sweepDue;
    // Tasks were added to the line since it was last served from all agents.
    bool m_lineGrew = false;
    // Services of which tasks wait, or waited at the last sweep.
    std::set<std::string> m_waitingServices;
    std::map<AgentId, wire::EntryToUpstream> m_outbox;
    JobCounters m_counters;
};

} // namespace fescuegw::direct
