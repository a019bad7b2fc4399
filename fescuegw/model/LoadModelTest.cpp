// Load patterns replayed against the classes that decide in entries and agents, in virtual time and with fixed seeds.
#include <cstdio>

#include <criterion/criterion.h>

#include "fescuegw/logging/Log.h"
#include "fescuegw/model/LoadModel.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::model;

// Of the capacity, at rest; and the users' burst of everything.
constexpr double restLoad = 0.64;
constexpr double burst = 1.3;

// The users' target for days with trouble.
constexpr double troubleTarget = 0.72;

// The mix of the users' sheets: quick checks, long plans, alerts.
std::vector<JobClass> mix()
{
    return { { "check", 34.4, 8, std::chrono::milliseconds(60), 0 }, { "plan", 6.25, 4, std::chrono::milliseconds(900), 2 },
        { "alert", 100, 2, std::chrono::milliseconds(200), 1 } };
}

// Thousandths of a core times seconds that one job of the mix takes on average.
double meanWork()
{
    double work = 0;
    double weight = 0;
    for (const auto& it : mix()) {
        work += it.weight * it.tasks * static_cast<double>(it.run / std::chrono::milliseconds(1)) / 1000 * 6200;
        weight += it.weight;
    }
    return work / weight;
}

// A fleet whose load at rest takes `share` of its capacity.
ModelOptions fleet(size_t entries, size_t agents, double share, uint64_t seed)
{
    ModelOptions options;
    options.seed = seed;
    options.entries = entries;
    options.agents = agents;
    options.classes = mix();
    options.jobsPerSecond = share * 64000 * static_cast<double>(agents) / meanWork();
    return options;
}

void print(const char* what, const LoadModel& model)
{
    const ClassCount sum = model.counters().total();
    const double jobs = std::max<double>(1, static_cast<double>(sum.asked));
    std::printf("%s jobs=%llu in_time=%.3f late=%.3f refused=%.3f entry_messages_per_job=%.1f agent_messages_per_job=%.1f\n",
        what, static_cast<unsigned long long>(sum.asked), static_cast<double>(sum.inTime) / jobs,
        static_cast<double>(sum.late) / jobs, static_cast<double>(sum.refused) / jobs,
        static_cast<double>(model.counters().entryMessages) / jobs, static_cast<double>(model.counters().agentMessages) / jobs);
}

double shareInTime(const LoadModel& model)
{
    const ClassCount sum = model.counters().total();
    return static_cast<double>(sum.inTime) / static_cast<double>(sum.asked);
}

void checkRules(const LoadModel& model)
{
    cr_assert_eq(model.counters().overCapacity, 0);
    cr_assert_eq(model.counters().doubled, 0);
    cr_assert_eq(model.counters().repeated, 0);
    cr_assert_gt(model.counters().starts, 0);
}

// Warms up at rest, then counts what happens at `load` times the load.
void measure(const char* what, LoadModel& model, double load, Duration duration)
{
    model.run(std::chrono::seconds(2));
    model.resetCounters();
    model.setLoad(load);
    model.run(duration);
    print(what, model);
    checkRules(model);
}

void quiet() { logging::initialise("model", "error", ""); }

} // namespace

TestSuite(LoadModel, .init = quiet);

// Pattern: a quiet day.
Test(LoadModel, atRestAllIsInTime)
{
    LoadModel model(fleet(4, 11, restLoad, 1));
    measure("at_rest", model, 1, std::chrono::seconds(10));
    cr_assert_geq(shareInTime(model), 0.99);
}

// Pattern: a burst that the upstreams could carry, 83% of their capacity. Only jobs whose estimates are far off may miss their
// objective; refusals would be of jobs that there was room for.
Test(LoadModel, aBurstBelowTheCapacityIsInTimeOnASmallFleet)
{
    ModelOptions options = fleet(4, 11, restLoad, 3);
    options.entryShare = 0.25;
    LoadModel model(options);
    measure("burst", model, burst, std::chrono::seconds(12));
    cr_assert_geq(shareInTime(model), 0.97);
}

Test(LoadModel, aBurstBelowTheCapacityIsInTimeOnALargeFleet)
{
    LoadModel model(fleet(12, 75, restLoad, 2));
    measure("burst", model, burst, std::chrono::seconds(4));
    cr_assert_geq(shareInTime(model), 0.97);
    // Each task costs a start and a report; offers, echoes and what waits are to cost no more than that again and again.
    const auto jobs = static_cast<double>(model.counters().total().asked);
    cr_assert_leq(static_cast<double>(model.counters().entryMessages), 10 * jobs);
    cr_assert_leq(static_cast<double>(model.counters().agentMessages), 10 * jobs);
}

// Pattern: a burst beyond the capacity. What can't be served is refused, and what is served uses the upstreams as before.
Test(LoadModel, aBurstBeyondTheCapacityDoesNotLowerWhatIsServed)
{
    LoadModel model(fleet(12, 75, restLoad, 4));
    measure("beyond", model, 1.8, std::chrono::seconds(4));
    // Of 115% of the capacity at least 70% of the capacity: 0.7 / 1.15.
    cr_assert_geq(shareInTime(model), 0.6);
}

// Pattern: a part of the upstreams loses answers.
Test(LoadModel, lostAnswersCostLittleCapacity)
{
    LoadModel model(fleet(4, 11, restLoad, 5));
    for (size_t n = 0; n < 4; ++n)
        model.setLostAnswers(n, 0.29);
    measure("lost_answers", model, 1, std::chrono::seconds(6));
    cr_assert_geq(shareInTime(model), troubleTarget);
}

// Pattern: upstreams that fail all that they start, and would be free for ever more.
Test(LoadModel, upstreamsThatFailAllAttractNoMore)
{
    LoadModel model(fleet(4, 11, restLoad, 6));
    model.setFailing(3, true);
    measure("failing", model, 1, std::chrono::seconds(6));
    cr_assert_geq(shareInTime(model), troubleTarget);
}

// Pattern: upstreams that turn four times slower.
Test(LoadModel, slowUpstreamsAreLeftAlone)
{
    LoadModel model(fleet(4, 11, restLoad, 7));
    model.run(std::chrono::seconds(2));
    model.setSlowness(2, 4);
    measure("slow", model, 1, std::chrono::seconds(6));
    cr_assert_geq(shareInTime(model), troubleTarget);
}
