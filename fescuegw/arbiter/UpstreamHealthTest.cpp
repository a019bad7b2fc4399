// Ejection and probing of upstreams that fail a part of their tasks, flap, become slow or leave orders unanswered.
#include <criterion/criterion.h>

#include "fescuegw/arbiter/ReplyLoss.h"
#include "fescuegw/arbiter/Slowness.h"
#include "fescuegw/arbiter/UpstreamHealth.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::arbiter;

Duration ms(int64_t n) { return std::chrono::milliseconds(n); }

constexpr TimePoint start { std::chrono::hours(1) };

// Ends one task of each of `jobs` different jobs, of which every `failsOneOf`-th fails.
void endJobs(UpstreamHealth& health, TimePoint now, int jobs, int failsOneOf)
{
    static int last = 0;
    for (int n = 1; n <= jobs; ++n) {
        const std::string job = "job" + std::to_string(++last);
        if (n % failsOneOf == 0)
            health.onFailure(now, job, now);
        else
            health.onSuccess(now, job, now);
    }
}

// Returns the time until a probe is admitted.
Duration backoffOf(const UpstreamHealth& health, TimePoint now)
{
    Duration backoff {};
    while (!health.admits(now + backoff, 0))
        backoff += ms(10);
    return backoff;
}

} // namespace

// Guards against an upstream that fails a part of its tasks, never three in a row, and is used like the others.
Test(UpstreamHealth, anUpstreamThatFailsAFourthIsEjected)
{
    UpstreamHealth health;
    endJobs(health, start, 20, 4);
    cr_assert(health.ejected());
    cr_assert_eq(health.cause(), EjectionCause::FailureShare);
    cr_assert_geq(health.ejectedPercent(), 20);
    cr_assert_lt(health.ejectedPercent(), 50);
}

// Guards against ejections for the tasks that fail everywhere.
Test(UpstreamHealth, aFewFailuresEjectNothing)
{
    UpstreamHealth health;
    endJobs(health, start, 1000, 10);
    cr_assert_not(health.ejected());
    cr_assert_eq(health.ejectedPercent(), 0);
}

// Guards against ejections for one faulty job with many tasks.
Test(UpstreamHealth, allTasksOfOneJobCountOnce)
{
    UpstreamHealth health;
    endJobs(health, start, 9, 100);
    for (int n = 0; n < 50; ++n)
        health.onFailure(start, "faulty", start);
    cr_assert_not(health.ejected());
}

// Guards against an upstream that is back after the success of tasks that had been running beside those that failed, and against
// a backoff that grows with the number of tasks that were running.
Test(UpstreamHealth, onlyTasksStartedSinceTheEjectionCount)
{
    UpstreamHealth health;
    endJobs(health, start, 20, 4);
    for (int n = 0; n < 10; ++n) {
        health.onSuccess(start + ms(10), "before" + std::to_string(n), start - ms(100));
        health.onFailure(start + ms(10), "failed" + std::to_string(n), start - ms(100));
    }
    cr_assert(health.ejected());
    cr_assert_eq(backoffOf(health, start), HealthOptions().initialBackoff);
}

// Guards against an upstream that fails half of its tasks and is back after one probe that succeeds.
Test(UpstreamHealth, severalProbesInARowSucceedBeforeItIsBack)
{
    UpstreamHealth health;
    endJobs(health, start, 20, 4);
    TimePoint now = start + ms(500);
    for (uint32_t n = 1; n <= HealthOptions().probesAfterShare; ++n) {
        cr_assert(health.admits(now, 0));
        cr_assert_not(health.admits(now, 1), "one probe at a time");
        cr_assert(health.ejected());
        health.onSuccess(now, "probe" + std::to_string(n), now);
    }
    cr_assert_not(health.ejected());
    cr_assert(health.admits(now, 100));
}

// Guards against an upstream that is ejected and back in turn, with new failures each time.
Test(UpstreamHealth, eachEjectionLastsLongerUntilItWasCalm)
{
    const HealthOptions options;
    UpstreamHealth health;
    TimePoint now = start;
    Duration last {};
    for (int n = 0; n < 3; ++n) {
        endJobs(health, now, 20, 4);
        cr_assert(health.ejected());
        cr_assert_gt(backoffOf(health, now), last);
        last = backoffOf(health, now);
        now += last;
        for (uint32_t probe = 0; probe < options.probesAfterShare; ++probe)
            health.onSuccess(now, "probe" + std::to_string(n) + "/" + std::to_string(probe), now);
        cr_assert_not(health.ejected());
        now += ms(100);
    }
    now += options.calmPeriod;
    endJobs(health, now, 20, 4);
    cr_assert_eq(backoffOf(health, now), options.initialBackoff);
}

// Guards against tasks that are given to an upstream which is about to go down again.
Test(UpstreamHealth, anUpstreamThatFlapsIsHeldOut)
{
    const HealthOptions options;
    UpstreamHealth health;
    health.onReturn(start);
    cr_assert_not(health.ejected(), "one restart is no flapping");
    health.onRestart();
    health.onReturn(start + ms(1400));
    cr_assert(health.ejected());
    cr_assert_eq(health.cause(), EjectionCause::Flapping);
    const Duration first = backoffOf(health, start + ms(1400));
    health.onRestart();
    health.onReturn(start + ms(2800));
    cr_assert_gt(backoffOf(health, start + ms(2800)), first);
    const TimePoint probed = start + ms(10000);
    health.onSuccess(probed, "probe", probed);
    cr_assert_not(health.ejected());
    health.onReturn(probed + options.flapPeriod + ms(1));
    cr_assert_not(health.ejected());
}

// Guards against an upstream that flaps and is back at once, since a task from before the loss of its connections succeeds.
Test(UpstreamHealth, aTaskFromBeforeAReturnDoesNotEndTheEjection)
{
    UpstreamHealth health;
    health.onReturn(start);
    health.onReturn(start + ms(1400));
    health.onSuccess(start + ms(1500), "before", start + ms(100));
    cr_assert(health.ejected());
}

// Guards against an upstream that fails a fourth of its tasks, loses its connections too, and is back after one success.
Test(UpstreamHealth, aReturnDoesNotLowerTheNumberOfProbes)
{
    UpstreamHealth health;
    endJobs(health, start, 20, 4);
    health.onReturn(start + ms(10));
    health.onReturn(start + ms(20));
    cr_assert(health.ejected());
    health.onSuccess(start + ms(4000), "probe", start + ms(3900));
    cr_assert(health.ejected());
}

// Guards against an ejection for good, where no task has a further attempt and time for it.
Test(UpstreamHealth, aProbeIsOverdueAfterAWhile)
{
    const HealthOptions options;
    UpstreamHealth health;
    cr_assert_not(health.isProbeOverdue(start));
    endJobs(health, start, 20, 4);
    const TimePoint due = start + options.initialBackoff;
    cr_assert_not(health.isProbeOverdue(due));
    cr_assert(health.isProbeOverdue(due + options.maxProbeWait));
}

// Guards against a slow upstream that looks fast as soon as its tasks have been moved elsewhere.
Test(Slowness, whatSeveralJobsShowIsKeptWhenTheyAreGone)
{
    Slowness slowness;
    slowness.beginProgressRound();
    for (int n = 0; n < 4; ++n)
        slowness.onProgress("job" + std::to_string(n), ms(200), ms(300), 25);
    slowness.endProgressRound();
    cr_assert_geq(slowness.percent(), 250);
    slowness.beginProgressRound();
    slowness.endProgressRound();
    cr_assert_geq(slowness.percent(), 250);
}

// Guards against an upstream that counts as slow for the wrong estimate of one job.
Test(Slowness, oneJobIsNotKept)
{
    Slowness slowness;
    slowness.beginProgressRound();
    for (int n = 0; n < 8; ++n)
        slowness.onProgress("job", ms(200), ms(300), 25);
    slowness.endProgressRound();
    slowness.beginProgressRound();
    slowness.endProgressRound();
    cr_assert_eq(slowness.percent(), 100);
}

// Guards against an upstream that has recovered and is never used again, since nothing runs that would show it.
Test(Slowness, aSlowUpstreamIsProbedUntilItIsFast)
{
    Slowness slowness;
    TimePoint now = start;
    for (int n = 0; n < 20; ++n)
        slowness.onEnd(now, ms(200), ms(1200));
    cr_assert_geq(slowness.percent(), 250);
    cr_assert_not(slowness.isProbeDue(now, 0), "not at once");
    now += ms(500);
    cr_assert_not(slowness.isProbeDue(now, 1), "tasks are running");
    cr_assert(slowness.isProbeDue(now, 0));
    slowness.beginProbe();
    cr_assert_not(slowness.isProbeDue(now, 0));
    slowness.onEnd(now, ms(200), ms(1100));
    cr_assert_geq(slowness.percent(), 250, "still slow");
    now += ms(1000);
    cr_assert(slowness.isProbeDue(now, 0));
    slowness.beginProbe();
    slowness.onEnd(now, ms(200), ms(210));
    cr_assert_lt(slowness.percent(), 120);
}

// Guards against a probe that stays on an upstream which makes no progress, until its caller gives up.
Test(Slowness, aProbeWithoutProgressShows)
{
    Slowness slowness;
    for (int n = 0; n < 20; ++n)
        slowness.onEnd(start, ms(200), ms(1200));
    slowness.beginProbe();
    slowness.beginProgressRound();
    cr_assert_eq(slowness.probePercent(), 100);
    slowness.onProgress("probe", ms(200), ms(100), 50);
    cr_assert_eq(slowness.probePercent(), 100);
    slowness.beginProgressRound();
    slowness.onProgress("probe", ms(200), ms(300), 0);
    cr_assert_geq(slowness.probePercent(), 200);
}

// Guards against an estimate of 0, which callers may send.
Test(Slowness, anEstimateOfZeroIsHarmless)
{
    Slowness slowness;
    for (int n = 0; n < 20; ++n)
        slowness.onEnd(start, Duration(), ms(100));
    slowness.beginProbe();
    slowness.onEnd(start + ms(1000), Duration(), ms(100));
    cr_assert_geq(slowness.percent(), 10);
    cr_assert_leq(slowness.percent(), 10000);
}

// Guards against an upstream that answers half of its orders and is used like the others, and against one that is avoided for
// what it did long ago.
Test(ReplyLoss, theDelayFollowsTheShareAndAges)
{
    ReplyLoss loss;
    TimePoint now = start;
    cr_assert_eq(loss.expectedDelay(now), Duration());
    for (int n = 0; n < 40; ++n)
        loss.onReply(now += ms(10), n % 2 == 0);
    const Duration half = loss.expectedDelay(now);
    cr_assert_gt(half, ms(50));
    cr_assert_lt(half, ms(100));
    cr_assert_lt(loss.expectedDelay(now + ms(5000)), ms(15));
    for (int n = 0; n < 60; ++n)
        loss.onReply(now += ms(10), true);
    cr_assert_lt(loss.expectedDelay(now), ms(10));
}

// Guards against an undefined delay, or one that grows, if a time is before that of the last update.
Test(ReplyLoss, anEarlierTimeIsHarmless)
{
    ReplyLoss loss;
    loss.onReply(start, false);
    const Duration delay = loss.expectedDelay(start);
    cr_assert_eq(loss.expectedDelay(start - ms(1800000)), delay);
    loss.onReply(start - ms(1800000), false);
    cr_assert_lt(loss.expectedDelay(start), ms(150));
}
