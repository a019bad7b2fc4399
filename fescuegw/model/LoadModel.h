// Entries and agents of best-effort jobs in virtual time: the classes that decide in the processes, between callers and upstreams
// that are modelled. For tests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fescuegw/arbiter/EntryLinks.h"
#include "fescuegw/arbiter/RunTable.h"
#include "fescuegw/direct/JobTable.h"

namespace fescuegw::model {

// One kind of job, in the proportions of the users' sheets.
struct JobClass {
    std::string name;
    double weight = 0;
    uint32_t tasks = 0;
    Duration run {};
    uint32_t priority = 0;
};

struct ModelOptions {
    uint64_t seed = 1;
    size_t entries = 4;
    size_t agents = 11;
    // Jobs a second in all.
    double jobsPerSecond = 0;
    std::vector<JobClass> classes;
    Duration linkDelay { std::chrono::microseconds(1400) };
    // Processor time of an entry for each message in or out and for each job, on its share of a core.
    Duration messageCost { std::chrono::microseconds(40) };
    Duration jobCost { std::chrono::microseconds(200) };
    double entryShare = 0.12;
};

// What became of the jobs of one class.
struct ClassCount {
    uint64_t asked = 0;
    uint64_t inTime = 0;
    uint64_t late = 0;
    uint64_t refused = 0;
    uint64_t failed = 0;
};

struct ModelCounters {
    std::map<std::string, ClassCount> classes;
    uint64_t entryMessages = 0;
    uint64_t agentMessages = 0;
    uint64_t starts = 0;
    // Starts that brought an upstream over its capacity, and tasks that ran twice at a time: both must stay 0.
    uint64_t overCapacity = 0;
    uint64_t doubled = 0;
    // Tasks that were done and ran to their end once more: work for nothing, and a second effect for the caller.
    uint64_t repeated = 0;

    ClassCount total() const;
};

// Not thread-safe. The same options and calls give the same counters.
class LoadModel {
public:
    explicit LoadModel(ModelOptions);
    ~LoadModel();
    LoadModel(const LoadModel&) = delete;
    LoadModel& operator=(const LoadModel&) = delete;
    LoadModel(LoadModel&&) = delete;
    LoadModel& operator=(LoadModel&&) = delete;

    // Lets virtual time pass.
    void run(Duration);

    // From now on: times the usual number of jobs; how much longer an upstream takes; the share of its answers that is lost;
    // whether all that it starts fails.
    void setLoad(double factor) { m_load = factor; }
    void setSlowness(size_t agent, double factor);
    void setLostAnswers(size_t agent, double share);
    void setFailing(size_t agent, bool failing);

    const ModelCounters& counters() const { return m_counters; }
    // Starts counting anew; jobs in flight are not counted.
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

    void after(Duration, std::function<void()>);
    double uniform();
    void arrive();
    void submit(EntryHost&, const JobClass&);
    // Lets the entry do `work` when its processor is free; the time that it takes holds up what comes later.
    void onEntry(EntryHost&, Duration cost, std::function<void()> work);
    void tickEntry(EntryHost&);
    void tickAgent(AgentHost&);
    void settle(AgentHost&);
    void sendToAgent(EntryHost&, const AgentId&, const wire::EntryToUpstream&);
    void startRun(AgentHost&, uint64_t serial, const arbiter::StartOrder&);
    void answerStart(AgentHost&, uint64_t serial, arbiter::StartVerdict);
    void stopRun(AgentHost&, const arbiter::StopOrder&);
    void endRun(AgentHost&, const StepTask&, uint64_t run, arbiter::RunEnd);
    void hold(AgentHost&);
    void answerHold(AgentHost&, uint64_t number);

    ModelOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::hours(1) };
    uint64_t m_lastEvent = 0;
    uint64_t m_lastJob = 0;
    uint64_t m_countFrom = 0;
    double m_load = 1;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<EntryHost>> m_entries;
    std::vector<std::unique_ptr<AgentHost>> m_agents;
    // How long each task of a job really takes, by the text that the job carries.
    std::map<std::string, Duration> m_work;
    std::map<StepTask, size_t> m_running;
    std::set<StepTask> m_done;
    ModelCounters m_counters;
};

} // namespace fescuegw::model
