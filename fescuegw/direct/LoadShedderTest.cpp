// Load patterns beyond the capacity, replayed against LoadShedder with a simulated queue.
#include <criterion/criterion.h>

#include <random>

#include "fescuegw/direct/LoadShedder.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::direct;

Duration ms(int64_t n) { return std::chrono::milliseconds(n); }

// Jobs of three priorities, in fluid form: a queue grows by what is admitted beyond the capacity. Priority 0 is served first.
struct Queue {
    explicit Queue(LoadShedderOptions options = {})
        : shedder(options, [this](uint64_t bound) { return random() % bound; })
    {
    }

    // Offers `load` times the capacity for `duration`; `urgent` is the part of the capacity that priority 0 asks for.
    void run(double load, double urgent, Duration duration)
    {
        for (const TimePoint end = now + duration; now < end; now += ms(10)) {
            for (int n = 0; n < 50; ++n) {
                offer(0, urgent / 50, 1, offered[0], admitted[0]);
                offer(1, (load - urgent) / 100, 0.5, offered[1], admitted[1]);
                offer(2, (load - urgent) / 100, 1.5, offered[2], admitted[2]);
            }
            const double served = std::min(10.0, urgentBacklog);
            urgentBacklog -= served;
            backlog = std::max(0.0, backlog - (10 - served));
            longestUrgent = std::max(longestUrgent, urgentBacklog);
            shedder.onWait(0, wait(urgentBacklog), slack);
            shedder.onWait(1, wait(urgentBacklog + backlog), slack);
            if (shedder.isDue(now))
                shedder.update(now);
        }
    }

    void offer(uint32_t priority, double milliseconds, double size, double& all, double& taken)
    {
        all += milliseconds;
        if (!shedder.admits(now, { priority, size }))
            return;
        taken += milliseconds;
        (priority == 0 ? urgentBacklog : backlog) += 10 * milliseconds;
    }

    static Duration wait(double milliseconds) { return std::chrono::microseconds(static_cast<int64_t>(milliseconds * 1000)); }

    double share(size_t priority) const { return offered[priority] > 0 ? admitted[priority] / offered[priority] : 0; }

    void reset()
    {
        longestUrgent = 0;
        for (size_t n = 0; n < 3; ++n)
            offered[n] = admitted[n] = 0;
    }

    std::mt19937_64 random { 1 };
    Duration slack = ms(160);
    TimePoint now { std::chrono::hours(1) };
    // Milliseconds of the whole capacity.
    double urgentBacklog = 0;
    double backlog = 0;
    double longestUrgent = 0;
    double offered[3] {};
    double admitted[3] {};
    LoadShedder shedder;
};

} // namespace

// Below the capacity nothing may be refused.
Test(load_shedder, admitsEverythingBelowTheCapacity)
{
    Queue queue;
    queue.run(0.95, 0.2, std::chrono::seconds(10));
    for (size_t n = 0; n < 3; ++n)
        cr_assert_eq(queue.share(n), 1.0);
}

// A burst: urgent jobs must not be refused while others can be, and no other priority may be starved for another one.
Test(load_shedder, aBurstCostsTheLessUrgentAlike)
{
    for (const double load : { 1.3, 1.7, 3.0 }) {
        Queue queue;
        queue.run(0.6, 0.2, std::chrono::seconds(2));
        queue.reset();
        queue.run(load, 0.4, std::chrono::seconds(10));
        cr_assert_eq(queue.share(0), 1.0, "load %.1f", load);
        const double expected = 0.6 / (load - 0.4);
        cr_assert_gt(queue.share(1) + queue.share(2), 2 * 0.8 * expected, "load %.1f", load);
        cr_assert_float_eq(queue.share(2), queue.share(1), 0.05, "load %.1f", load);
    }
}

// Large jobs take the place of several small ones, so they are refused first, but the largest tenth at most twice as often as the
// kind as a whole.
Test(load_shedder, largeJobsAreRefusedFirstButNotStarved)
{
    for (const double load : { 1.3, 1.7, 3.0 }) {
        Queue queue;
        queue.run(load, 0.4, std::chrono::seconds(4));
        std::lognormal_distribution<double> sizes(0, 0.4);
        constexpr double largestTenth = 1.67;
        uint32_t jobs = 0;
        uint32_t admitted = 0;
        uint32_t largeJobs = 0;
        uint32_t largeAdmitted = 0;
        for (int n = 0; n < 20000; ++n) {
            const double size = sizes(queue.random);
            const uint32_t taken = queue.shedder.admits(queue.now, { 3, size }) ? 1 : 0;
            jobs += 1;
            admitted += taken;
            largeJobs += size > largestTenth ? 1 : 0;
            largeAdmitted += size > largestTenth ? taken : 0;
        }
        const double all = static_cast<double>(admitted) / jobs;
        const double large = static_cast<double>(largeAdmitted) / largeJobs;
        cr_assert_lt(large, all, "load %.1f", load);
        cr_assert_gt(large, all / 2, "load %.1f", load);
    }
}

// Most of the capacity is gone: what is left must go to urgent jobs as far as it suffices, and not be wasted on waits.
Test(load_shedder, lossOfCapacityReachesUrgentJobsLast)
{
    Queue queue;
    queue.run(6, 1.5, std::chrono::seconds(10));
    queue.reset();
    queue.run(6, 1.5, std::chrono::seconds(10));
    cr_assert_gt(queue.share(0), 0.45);
    cr_assert_lt(queue.share(1), 0.1);
    cr_assert_gt(queue.share(1), 0.0);
    cr_assert_lt(queue.longestUrgent, 160);
}

// Capacity that returns must be used within two seconds.
Test(load_shedder, admitsEverythingSoonAfterAnOverload)
{
    Queue queue;
    queue.run(3, 0.4, std::chrono::seconds(5));
    queue.run(0.6, 0.2, std::chrono::seconds(2));
    queue.reset();
    queue.run(0.6, 0.2, std::chrono::seconds(2));
    for (size_t n = 0; n < 3; ++n)
        cr_assert_eq(queue.share(n), 1.0);
}

// Callers of one priority only: there is no other one to refuse in their place.
Test(load_shedder, reducesASinglePriorityAtOnce)
{
    Queue queue;
    queue.run(0.5, 0.5, ms(500));
    queue.reset();
    queue.run(2, 2, std::chrono::seconds(4));
    cr_assert_lt(queue.share(0), 0.7);
    cr_assert_gt(queue.share(0), 0.35);
}

// Sheets with estimates of 0, jobs without slack and any priorities must be decided on like others.
Test(load_shedder, toleratesMissingEstimatesAndSlack)
{
    Queue queue;
    queue.slack = Duration();
    queue.run(3, 0.4, std::chrono::seconds(2));
    int admitted = 0;
    for (uint32_t n = 0; n < 2000; ++n)
        admitted += queue.shedder.admits(queue.now, { 4000000000U - n, n % 2 == 0 ? 0.0 : 1.0 }) ? 1 : 0;
    cr_assert_gt(admitted, 0);
    cr_assert_lt(admitted, 2000);
    cr_assert_geq(queue.shedder.retryAfterS(), 1U);
    cr_assert_leq(queue.shedder.retryAfterS(), 5U);
}

// A less urgent priority must be spared like the most urgent one when none more urgent comes any more.
Test(load_shedder, forgetsAPriorityThatDoesNotComeAnyMore)
{
    Queue queue;
    queue.run(3, 0.4, std::chrono::seconds(2));
    queue.run(0.5, 0, std::chrono::seconds(6));
    const TimePoint later = queue.now + std::chrono::seconds(6);
    cr_assert(queue.shedder.admits(later, { 1, 1 }));
}

// Turned off by the setting, it must neither refuse nor report that it does.
Test(load_shedder, admitsEverythingWhenDisabled)
{
    LoadShedderOptions options;
    options.enabled = false;
    Queue queue(options);
    queue.run(3, 0.4, std::chrono::seconds(2));
    for (size_t n = 0; n < 3; ++n)
        cr_assert_eq(queue.share(n), 1.0);
    cr_assert_eq(queue.shedder.admittedPercent(false), 100.0);
}

// A more urgent priority that comes during an overload of another one must not inherit the share of that one: urgent jobs would
// be refused while all of the less urgent ones are admitted.
Test(load_shedder, aMoreUrgentPriorityDoesNotInheritTheShareOfAnother)
{
    Queue queue;
    for (int n = 0; n < 40; ++n) {
        queue.now += ms(50);
        for (int job = 0; job < 10; ++job)
            (void)queue.shedder.admits(queue.now, { 1, 1 });
        queue.shedder.onWait(1, ms(400), queue.slack);
        queue.shedder.update(queue.now);
    }
    cr_assert_lt(queue.shedder.admittedPercent(true), 50);
    for (int n = 0; n < 100; ++n)
        cr_assert(queue.shedder.admits(queue.now, { 0, 1 }));
    int admitted = 0;
    for (int n = 0; n < 1000; ++n)
        admitted += queue.shedder.admits(queue.now, { 1, 1 }) ? 1 : 0;
    cr_assert_lt(admitted, 500);
}

// Capacity that returns must be used within a second, also after an overload in which urgent jobs were refused: their share and
// that of the others returned one after the other, which took up to 2.9 s.
Test(load_shedder, admitsEverythingASecondAfterAnOverloadOfUrgentJobs)
{
    Queue queue;
    const auto runPeriods = [&](int periods, Duration wait) {
        for (int n = 0; n < periods; ++n) {
            queue.now += ms(50);
            (void)queue.shedder.admits(queue.now, { 0, 1 });
            (void)queue.shedder.admits(queue.now, { 1, 1 });
            queue.shedder.onWait(0, wait, queue.slack);
            queue.shedder.onWait(1, wait, queue.slack);
            queue.shedder.update(queue.now);
        }
    };
    runPeriods(100, ms(160));
    cr_assert_lt(queue.shedder.admittedPercent(true), 10);
    cr_assert_lt(queue.shedder.admittedPercent(false), 10);
    runPeriods(20, ms(0));
    cr_assert_eq(queue.shedder.admittedPercent(true), 100);
    cr_assert_eq(queue.shedder.admittedPercent(false), 100);
}
