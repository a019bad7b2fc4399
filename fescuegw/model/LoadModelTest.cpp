// Load patterns simulated in virtual time with fixed seeds, against the production classes of entries and agents.
#include <cstdio>
#include <string>

#include <criterion/criterion.h>

#include "fescuegw/logging/Log.h"
#include "fescuegw/model/LoadModel.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::model;

// Base load as a fraction of the capacity, and the factor on all arrivals during the users' burst.
constexpr double baseLoad = 0.64;
constexpr double burstFactor = 1.3;

// The users' target for the share of jobs on time while upstreams are degraded.
constexpr double degradedTarget = 0.72;

// The users' mix of jobs: short checks, long plans and alerts.
std::vector<JobClass> jobMix()
{
    return { { "check", 34.4, 8, std::chrono::milliseconds(60), 0 }, { "plan", 6.25, 4, std::chrono::milliseconds(900), 2 },
        { "alert", 100, 2, std::chrono::milliseconds(200), 1 } };
}

// Mean work per job of the mix, in thousandths of a core times seconds.
double meanWork(const ModelOptions& options)
{
    double work = 0;
    double weight = 0;
    for (const auto& it : options.classes) {
        work += it.weight * it.tasks * static_cast<double>(it.run / std::chrono::milliseconds(1)) / 1000
            * static_cast<double>(options.needMilli);
        weight += it.weight;
    }
    return work / weight;
}

// Options for a cluster whose base load uses the fraction `share` of its capacity.
ModelOptions clusterOptions(size_t entries, size_t agents, double share, uint64_t seed)
{
    ModelOptions options;
    options.seed = seed;
    options.entries = entries;
    options.agents = agents;
    options.classes = jobMix();
    options.jobsPerSecond = share * 64000 * static_cast<double>(agents) / meanWork(options);
    return options;
}

// The users' large fleet: tasks of about a quarter of an upstream, and 70 callers that each stay with one entry.
ModelOptions largeFleetOptions(double share, uint64_t seed)
{
    ModelOptions options = clusterOptions(55, 240, share, seed);
    options.needMilli = 15000;
    options.callers = 70;
    options.jobsPerSecond = share * 64000 * static_cast<double>(options.agents) / meanWork(options);
    return options;
}

void print(const char* what, const LoadModel& model)
{
    const JobClassCounters sum = model.counters().total();
    const double jobs = std::max<double>(1, static_cast<double>(sum.submitted));
    std::printf("%s jobs=%llu in_time=%.3f late=%.3f refused=%.3f entry_messages_per_job=%.1f agent_messages_per_job=%.1f\n",
        what, static_cast<unsigned long long>(sum.submitted), static_cast<double>(sum.inTime) / jobs,
        static_cast<double>(sum.late) / jobs, static_cast<double>(sum.refused) / jobs,
        static_cast<double>(model.counters().entryMessages) / jobs, static_cast<double>(model.counters().agentMessages) / jobs);
}

double shareInTime(const LoadModel& model)
{
    const JobClassCounters sum = model.counters().total();
    return static_cast<double>(sum.inTime) / static_cast<double>(sum.submitted);
}

void checkInvariants(const LoadModel& model)
{
    cr_assert_eq(model.counters().capacityViolations, 0);
    cr_assert_eq(model.counters().concurrentStarts, 0);
    cr_assert_eq(model.counters().repeatedCompletions, 0);
    cr_assert_gt(model.counters().starts, 0);
}

// Warms up for 2 s at base load, then counts for `duration` at `load` times the base load.
void measure(const char* what, LoadModel& model, double load, Duration duration)
{
    model.run(std::chrono::seconds(2));
    model.resetCounters();
    model.setLoadFactor(load);
    model.run(duration);
    print(what, model);
    checkInvariants(model);
}

void initialiseLogging() { logging::initialise("model", "error", ""); }

} // namespace

TestSuite(LoadModel, .init = initialiseLogging);

// Pattern: base load.
Test(LoadModel, baseLoadIsOnTime)
{
    LoadModel model(clusterOptions(4, 11, baseLoad, 1));
    measure("at_rest", model, 1, std::chrono::seconds(10));
    cr_assert_geq(shareInTime(model), 0.99);
}

// Pattern: a burst to 83% of the upstreams' capacity. Only jobs with large estimate errors may miss their objective; any
// refusal would be of a job for which there was capacity.
Test(LoadModel, burstBelowCapacityIsOnTimeOnSmallCluster)
{
    ModelOptions options = clusterOptions(4, 11, baseLoad, 3);
    options.entryCpuShare = 0.25;
    LoadModel model(options);
    measure("burst", model, burstFactor, std::chrono::seconds(12));
    cr_assert_geq(shareInTime(model), 0.97);
}

Test(LoadModel, burstBelowCapacityIsOnTimeOnLargeCluster)
{
    LoadModel model(clusterOptions(12, 75, baseLoad, 2));
    measure("burst", model, burstFactor, std::chrono::seconds(4));
    cr_assert_geq(shareInTime(model), 0.97);
    // Each task needs a start and a report. Offers, acknowledgements and demand must not cost several times as much.
    const auto jobs = static_cast<double>(model.counters().total().submitted);
    cr_assert_leq(static_cast<double>(model.counters().entryMessages), 10 * jobs);
    cr_assert_leq(static_cast<double>(model.counters().agentMessages), 10 * jobs);
}

// Pattern: a large fleet at base load. Few callers on many entries make the entries' loads uneven, from none to several times
// the mean, and each entry reaches a part of the agents only. Nothing may be refused for that while agents are free elsewhere.
Test(LoadModel, unevenEntriesOfLargeFleetAreOnTime)
{
    LoadModel model(largeFleetOptions(baseLoad, 8));
    measure("large_fleet", model, 1, std::chrono::seconds(2));
    cr_assert_geq(shareInTime(model), 0.97);
    const auto jobs = static_cast<double>(model.counters().total().submitted);
    // Four messages a task in each direction: its own, and its share of offers and of leases of the fleet.
    constexpr double messagesPerJob = 4 * 3.55;
    cr_assert_leq(static_cast<double>(model.counters().entryMessages), messagesPerJob * jobs);
    cr_assert_leq(static_cast<double>(model.counters().agentMessages), messagesPerJob * jobs);
}

// Pattern: a burst to 83% of the capacity of a large fleet while half of one domain's callers have moved to another.
Test(LoadModel, burstOnCrowdedDomainOfLargeFleetIsOnTime)
{
    ModelOptions options = largeFleetOptions(baseLoad, 9);
    options.crowding = 0.25;
    LoadModel model(options);
    measure("crowded", model, burstFactor, std::chrono::seconds(2));
    cr_assert_geq(shareInTime(model), 0.97);
}

// Pattern: a burst beyond the capacity. Excess jobs are refused; the throughput of served jobs must not drop.
Test(LoadModel, burstBeyondCapacityKeepsThroughput)
{
    LoadModel model(clusterOptions(12, 75, baseLoad, 4));
    measure("beyond", model, 1.8, std::chrono::seconds(4));
    // At least 70% of the capacity must be served on time out of a load of 115%: 0.7 / 1.15.
    cr_assert_geq(shareInTime(model), 0.6);
}

// Pattern: some upstreams lose replies.
Test(LoadModel, lostRepliesCostLittleCapacity)
{
    LoadModel model(clusterOptions(4, 11, baseLoad, 5));
    for (size_t n = 0; n < 4; ++n)
        model.setReplyLossRate(n, 0.29);
    measure("lost_answers", model, 1, std::chrono::seconds(6));
    cr_assert_geq(shareInTime(model), degradedTarget);
}

// Pattern: an upstream that fails all its tasks, and so always has free capacity.
Test(LoadModel, failingUpstreamAttractsNoExtraTasks)
{
    LoadModel model(clusterOptions(4, 11, baseLoad, 6));
    model.setFailing(3, true);
    measure("failing", model, 1, std::chrono::seconds(6));
    cr_assert_geq(shareInTime(model), degradedTarget);
}

// Pattern: for 10 s, a tenth of the jobs of one class crash every upstream that starts them. What the other jobs get in time is
// printed; there is no target for it.
Test(LoadModel, crashingTasksLeaveOtherJobsTheirUpstreams)
{
    for (const size_t kind : { 1, 2 }) {
        ModelOptions options = clusterOptions(4, 11, baseLoad, 10);
        JobClass deadly = options.classes[kind];
        deadly.name = "deadly";
        deadly.deadly = true;
        deadly.weight /= 10;
        options.classes[kind].weight -= deadly.weight;
        options.classes.push_back(deadly);
        LoadModel model(options);
        model.run(std::chrono::seconds(2));
        model.setDeadly(true);
        model.resetCounters();
        model.run(std::chrono::seconds(10));
        const std::string what = "crashing_" + options.classes[kind].name;
        print(what.c_str(), model);
        // Deadly jobs may all be unanswered still.
        JobClassCounters others;
        for (const auto& it : model.counters().classes) {
            others.submitted += it.first == deadly.name ? 0 : it.second.submitted;
            others.inTime += it.first == deadly.name ? 0 : it.second.inTime;
        }
        std::printf("%s others=%llu others_in_time=%.3f crashes=%llu\n", what.c_str(),
            static_cast<unsigned long long>(others.submitted),
            static_cast<double>(others.inTime) / static_cast<double>(others.submitted),
            static_cast<unsigned long long>(model.counters().crashes));
        checkInvariants(model);
        cr_assert_gt(model.counters().crashes, 0);
    }
}

// Pattern: an upstream that becomes four times slower.
Test(LoadModel, slowUpstreamIsAvoided)
{
    LoadModel model(clusterOptions(4, 11, baseLoad, 7));
    model.run(std::chrono::seconds(2));
    model.setSlowness(2, 4);
    measure("slow", model, 1, std::chrono::seconds(6));
    cr_assert_geq(shareInTime(model), degradedTarget);
}
