// Discrete-event simulation of best-effort dispatching in virtual time, for tests. It runs the production classes JobTable,
// RunTable and EntryLinks with simulated callers, upstreams and links.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fescuegw/arbiter/EntryLinks.h"
#include "fescuegw/arbiter/RunTable.h"
#include "fescuegw/direct/JobTable.h"

namespace fescuegw::model {

// One class of jobs. `weight` is its relative frequency and `run` the mean run time of its tasks.
struct JobClass {
    std::string name;
    double weight = 0;
    uint32_t tasks = 0;
    Duration run {};
    uint32_t priority = 0;
    // Each upstream that starts a task of such a job crashes, while `setDeadly` says so.
    bool deadly = false;
    // The entry to which all jobs of the class are sent; otherwise that of a caller, or a random one.
    std::optional<size_t> entry {};
};

struct ModelOptions {
    uint64_t seed = 1;
    size_t entries = 4;
    size_t agents = 11;
    size_t domains = 6;
    // Each caller sends all its jobs to one entry, chosen at random; 0: every job goes to a random entry.
    size_t callers = 0;
    // Share of the callers whose entries are all in one domain.
    double crowding = 0;
    // Mean need of a task, in thousandths of a core.
    int64_t needMilli = 6200;
    // Arrival rate over all classes.
    double jobsPerSecond = 0;
    std::vector<JobClass> classes;
    Duration linkDelay { std::chrono::microseconds(1400) };
    // CPU time of an entry per message (sent or received) and per job. An entry has the fraction `entryCpuShare` of a core.
    Duration messageCost { std::chrono::microseconds(40) };
    Duration jobCost { std::chrono::microseconds(200) };
    double entryCpuShare = 0.12;
};

// Outcomes of the jobs of one class.
struct JobClassCounters {
    uint64_t submitted = 0;
    uint64_t inTime = 0;
    uint64_t late = 0;
    uint64_t refused = 0;
    uint64_t failed = 0;
};

struct ModelCounters {
    std::map<std::string, JobClassCounters> classes;
    uint64_t entryMessages = 0;
    uint64_t agentMessages = 0;
    uint64_t starts = 0;
    uint64_t crashes = 0;
    // Starts by upstream.
    std::vector<uint64_t> startsOfAgents;
    // Starts that exceeded an upstream's capacity, and starts of tasks that were already running. Both must stay 0.
    uint64_t capacityViolations = 0;
    uint64_t concurrentStarts = 0;
    // Tasks that completed more than once, which wastes capacity and repeats their side effects.
    uint64_t repeatedCompletions = 0;

    JobClassCounters total() const;
};

// Deterministic: the same options and calls give the same counters. Not thread-safe.
class LoadModel {
public:
    explicit LoadModel(ModelOptions);
    ~LoadModel();
    LoadModel(const LoadModel&) = delete;
    LoadModel& operator=(const LoadModel&) = delete;
    LoadModel(LoadModel&&) = delete;
    LoadModel& operator=(LoadModel&&) = delete;

    // Advances virtual time.
    void run(Duration);

    // Take effect at once: the factor on the arrival rate, the weight of a class, the factor on an upstream's run times, the
    // fraction of an upstream's replies that is lost, and the share of an upstream's tasks that fail.
    void setLoadFactor(double factor) { m_loadFactor = factor; }
    void setWeight(const std::string& jobClass, double weight);
    void setSlowness(size_t agent, double factor);
    void setReplyLossRate(size_t agent, double share);
    void setFailing(size_t agent, bool failing) { setFailureRate(agent, failing ? 1 : 0); }
    void setFailureRate(size_t agent, double share);
    // Whether the classes marked as deadly crash upstreams.
    void setDeadly(bool deadly) { m_deadly = deadly; }

    const ModelCounters& counters() const { return m_counters; }
    // Resets the counters; jobs already in flight are not counted.
    void resetCounters();

private:
    struct Event {
        TimePoint at;
        uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    struct Run;
    struct EntryHost;
    struct AgentHost;

    void schedule(Duration, std::function<void()>);
    double uniform();
    void generateArrival();
    EntryHost& entryOfNextArrival(const JobClass&);
    void submit(EntryHost&, const JobClass&);
    // Runs `work` on the entry's simulated CPU, which is then busy for `cost` divided by its share of a core.
    void runOnEntry(EntryHost&, Duration cost, std::function<void()> work);
    void tickEntry(EntryHost&);
    void tickAgent(AgentHost&);
    void processAgentEvents(AgentHost&);
    void sendToAgent(EntryHost&, const AgentId&, const wire::EntryToUpstream&);
    void startRun(AgentHost&, uint64_t serial, const arbiter::StartOrder&);
    void replyToStart(AgentHost&, uint64_t serial, arbiter::StartVerdict);
    void stopRun(AgentHost&, const arbiter::StopOrder&);
    void endRun(AgentHost&, const StepTask&, uint64_t run, arbiter::RunEnd);
    void startHold(AgentHost&);
    void replyToHold(AgentHost&, uint64_t number);
    void failHold(AgentHost&);
    void announce(AgentHost&);
    void crash(AgentHost&);
    void restart(AgentHost&);

    ModelOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::hours(1) };
    uint64_t m_lastEvent = 0;
    uint64_t m_lastJob = 0;
    uint64_t m_firstCountedJob = 0;
    double m_loadFactor = 1;
    bool m_deadly = false;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<EntryHost>> m_entries;
    // Index of each caller's entry.
    std::vector<size_t> m_callers;
    std::vector<std::unique_ptr<AgentHost>> m_agents;
    // Actual run time of each task of a job, by the job's specification.
    std::map<std::string, Duration> m_actualRunTimes;
    // Specifications of deadly jobs that have been submitted and not answered.
    std::set<std::string> m_deadlyJobs;
    std::map<StepTask, size_t> m_runningCounts;
    std::set<StepTask> m_completedTasks;
    ModelCounters m_counters;
};

} // namespace fescuegw::model
