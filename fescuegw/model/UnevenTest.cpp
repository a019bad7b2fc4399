// Upstreams that become slow, fail a part of their tasks, leave orders unanswered or flap. The classes that decide run in virtual
// time, at two thirds of the capacity.
#include <algorithm>
#include <cstdio>

#include <criterion/criterion.h>

#include "fescuegw/logging/Log.h"
#include "fescuegw/model/LoadModel.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::model;

constexpr size_t agentCount = 34;
constexpr double load = 0.64;
constexpr auto seeds = { 101, 102 };

ModelOptions clusterOptions(uint64_t seed)
{
    ModelOptions options;
    options.seed = seed;
    options.entries = 6;
    options.agents = agentCount;
    options.entryCpuShare = 0.3;
    options.classes = { { "check", 34.4, 8, std::chrono::milliseconds(60), 0 },
        { "alert", 100, 2, std::chrono::milliseconds(200), 1 }, { "plan", 6.25, 4, std::chrono::milliseconds(900), 2 } };
    double work = 0;
    double weight = 0;
    for (const auto& it : options.classes) {
        work += it.weight * it.tasks * std::chrono::duration<double>(it.run).count() * static_cast<double>(options.needMilli);
        weight += it.weight;
    }
    options.jobsPerSecond = load * 64000 * agentCount * weight / work;
    return options;
}

// Counts for `duration`, and returns the share of jobs in time.
double measure(const char* what, LoadModel& model, Duration duration)
{
    model.run(duration);
    const JobClassCounters sum = model.counters().total();
    const double share = static_cast<double>(sum.inTime) / static_cast<double>(sum.submitted);
    std::printf("%s in_time=%.3f late=%llu refused=%llu failed=%llu of %llu\n", what, share,
        static_cast<unsigned long long>(sum.late), static_cast<unsigned long long>(sum.refused),
        static_cast<unsigned long long>(sum.failed), static_cast<unsigned long long>(sum.submitted));
    cr_assert_eq(model.counters().capacityViolations, 0);
    cr_assert_eq(model.counters().concurrentStarts, 0);
    return share;
}

double shareOfFailed(const LoadModel& model)
{
    const JobClassCounters sum = model.counters().total();
    return static_cast<double>(sum.failed) / static_cast<double>(sum.submitted);
}

void warmUp(LoadModel& model)
{
    model.run(std::chrono::seconds(2));
    model.resetCounters();
}

void initialiseLogging() { logging::initialise("model", "error", ""); }

} // namespace

TestSuite(Uneven, .init = initialiseLogging);

// Pattern: a sixth of the upstreams become six times slower, and are fast again after 3 s. What runs on them at that moment is
// late: with 8 tasks, three jobs in four for a fifth of a second, 3% of the jobs of 6 s.
Test(Uneven, slowUpstreamsAreAvoidedAndUsedAgain)
{
    constexpr size_t slow = 5;
    for (const uint64_t seed : seeds) {
        LoadModel model(clusterOptions(seed));
        warmUp(model);
        for (size_t n = 0; n < slow; ++n)
            model.setSlowness(n, 6);
        model.run(std::chrono::seconds(3));
        for (size_t n = 0; n < slow; ++n)
            model.setSlowness(n, 1);
        // Two seconds to be found fast again.
        model.run(std::chrono::seconds(2));
        const std::vector<uint64_t> before = model.counters().startsOfAgents;
        const double share = measure("slow", model, std::chrono::seconds(1));
        cr_assert_geq(share, 0.97);
        uint64_t starts = 0;
        uint64_t all = 0;
        for (size_t n = 0; n < agentCount; ++n) {
            const uint64_t here = model.counters().startsOfAgents[n] - before[n];
            starts += n < slow ? here : 0;
            all += here;
        }
        cr_assert_geq(starts * agentCount, all * slow / 3, "at least a third of their share of the starts");
    }
}

// Pattern: a third of the upstreams takes 1.3 times as long for everything.
Test(Uneven, slowerKindsAreUsed)
{
    LoadModel model(clusterOptions(103));
    for (size_t n = 0; n < agentCount / 3; ++n)
        model.setSlowness(n, 1.3);
    warmUp(model);
    cr_assert_geq(measure("kinds", model, std::chrono::seconds(4)), 0.99);
}

// Pattern: a sixth of the upstreams fails 45% of its tasks. Callers allow two attempts, so that without ejection one job in 70
// fails. The limit is a share of 0.995 of the jobs that do not fail.
Test(Uneven, upstreamsThatFailAPartAreAvoided)
{
    for (const uint64_t seed : seeds) {
        LoadModel model(clusterOptions(seed));
        warmUp(model);
        for (size_t n = 0; n < 5; ++n)
            model.setFailureRate(n, 0.45);
        measure("failing_part", model, std::chrono::seconds(6));
        cr_assert_leq(shareOfFailed(model), 0.005);
    }
}

// Pattern: half of the upstreams fails 30% of its tasks, more than may be ejected. Refusing for want of upstreams would cost more
// than the failures do. Two attempts on random upstreams would both fail for 0.0225 of the tasks and 0.076 of the jobs.
Test(Uneven, moreThanAThirdOfTheUpstreamsThatFailAreUsed)
{
    for (const uint64_t seed : seeds) {
        LoadModel model(clusterOptions(seed));
        warmUp(model);
        for (size_t n = 0; n < agentCount / 2; ++n)
            model.setFailureRate(n, 0.3);
        measure("failing_half", model, std::chrono::seconds(4));
        const JobClassCounters sum = model.counters().total();
        cr_assert_leq(static_cast<double>(sum.refused), 0.02 * static_cast<double>(sum.submitted));
        cr_assert_leq(shareOfFailed(model), 0.076);
    }
}

// Pattern: a sixth of the upstreams leaves half of its orders unanswered, while its tasks succeed.
Test(Uneven, upstreamsThatLeaveOrdersUnansweredAreUsedLast)
{
    for (const uint64_t seed : seeds) {
        LoadModel model(clusterOptions(seed));
        warmUp(model);
        for (size_t n = 0; n < 5; ++n)
            model.setReplyLossRate(n, 0.5);
        cr_assert_geq(measure("unanswered", model, std::chrono::seconds(6)), 0.97);
    }
}

// Pattern: a sixth of the upstreams fails all tasks for 1.4 s and none for 1.4 s, by turns.
Test(Uneven, upstreamsThatFailByTurnsAreHeldOut)
{
    for (const uint64_t seed : seeds) {
        LoadModel model(clusterOptions(seed));
        warmUp(model);
        for (int turn = 0; turn < 4; ++turn) {
            for (size_t n = 0; n < 5; ++n)
                model.setFailing(n, turn % 2 == 0);
            model.run(std::chrono::milliseconds(1400));
        }
        measure("by_turns", model, Duration());
        cr_assert_leq(shareOfFailed(model), 0.005);
    }
}
