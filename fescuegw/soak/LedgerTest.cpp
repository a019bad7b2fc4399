#include <criterion/criterion.h>

#include "fescuegw/soak/Ledger.h"

namespace fescuegw::soak {

namespace {

    constexpr Resources capacity { 8000, 1024, 0 };
    constexpr Resources need { 5000, 64, 0 };
    const TimePoint start { std::chrono::seconds(100) };

    std::string onlyPromise(const Ledger& ledger)
    {
        const auto violations = ledger.violations();
        return violations.size() == 1 ? violations.front().promise : std::to_string(violations.size()) + " violations";
    }

    struct Fixture {
        Fixture()
        {
            ledger.onUpstreamStarted("up1", capacity);
            ledger.onUpstreamStarted("up2", capacity);
            ledger.onSubmitted("a", 2, "text");
            ledger.onSubmitted("b", 2, "text");
        }

        void run(const std::string& upstream, const std::string& job, uint32_t index, TimePoint now = start)
        {
            ledger.onRunStarted(now, upstream, { job, 0, index }, 1, need, "text", true);
        }

        void end(const std::string& upstream, const std::string& job, uint32_t index, RunOutcome outcome)
        {
            ledger.onRunEnded(upstream, { job, 0, index }, 1, outcome);
        }

        Ledger ledger;
    };

} // namespace

Test(ledger, completedJobViolatesNothing)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.run("up2", "a", 1);
    it.end("up1", "a", 0, RunOutcome::Done);
    it.end("up2", "a", 1, RunOutcome::Done);
    it.ledger.onAnswered("a", CallEnd::Completed);
    it.ledger.onAnswered("b", CallEnd::Rejected);
    it.ledger.checkAtEnd();
    cr_assert(it.ledger.violations().empty());
    cr_assert_eq(it.ledger.starts(), 2U);
}

Test(ledger, startsOverTheCapacity)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.run("up1", "b", 0);
    cr_assert(onlyPromise(it.ledger) == "no start over the capacity");
}

Test(ledger, twoRunsOfATaskAtATime)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.run("up2", "a", 0);
    cr_assert(onlyPromise(it.ledger) == "no two runs at a time");
}

Test(ledger, aJobRunsUntilItsLastTaskEnds)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.run("up2", "a", 1);
    it.end("up1", "a", 0, RunOutcome::Done);
    cr_assert(it.ledger.isRunning("a") && !it.ledger.isRunning("b"));
    it.end("up2", "a", 1, RunOutcome::Broken);
    cr_assert(!it.ledger.isRunning("a"));
}

Test(ledger, aRestartOfTheUpstreamEndsItsRuns)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.ledger.onUpstreamStarted("up1", capacity);
    it.run("up2", "a", 0);
    cr_assert(it.ledger.violations().empty());
}

Test(ledger, rejectedAlthoughItRanBesideWhatCrashedTheUpstream)
{
    Fixture it;
    it.run("up1", "b", 0);
    it.run("up2", "a", 1);
    it.ledger.onUpstreamCrashed("up2", { "b", 0, 0 });
    it.ledger.onUpstreamStarted("up2", capacity);
    it.ledger.onAnswered("a", CallEnd::Rejected);
    it.ledger.checkAtEnd();
    cr_assert_eq(it.ledger.violations().size(), 2U, "b still runs on up1");
    cr_assert(it.ledger.violations().front().promise == "\"not run\" is true");
}

Test(ledger, aCrashEndsRunsOnItsUpstreamOnly)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.run("up2", "a", 1);
    it.ledger.onUpstreamCrashed("up1", { "a", 0, 0 });
    it.run("up2", "b", 0);
    it.run("up1", "a", 0);
    cr_assert(onlyPromise(it.ledger) == "no start over the capacity", "that of b on up2");
    it.run("up1", "a", 1);
    cr_assert_eq(it.ledger.violations().size(), 3U, "two runs, and over the capacity");
}

Test(ledger, whatCrashesUpstreamsIsStartedThreeTimesMore)
{
    Fixture it;
    const auto crash = [&] {
        it.run("up1", "a", 0);
        it.ledger.onUpstreamCrashed("up1", { "a", 0, 0 });
        it.ledger.onUpstreamStarted("up1", capacity);
    };
    for (int n = 0; n < 5; ++n) {
        crash();
        it.ledger.onSubmitted("a", 2, "text");
    }
    cr_assert(it.ledger.violations().empty());
    crash();
    cr_assert(onlyPromise(it.ledger) == "what crashes upstreams is given up");
    crash();
    cr_assert_eq(it.ledger.violations().size(), 1U, "once for each task");
    cr_assert_eq(it.ledger.crashes(), 7U);
}

Test(ledger, failedAfterOneCrashOnly)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.ledger.onUpstreamCrashed("up1", { "a", 0, 0 });
    it.run("up2", "a", 0);
    it.ledger.onUpstreamCrashed("up2", { "a", 0, 0 });
    it.ledger.onAnswered("a", CallEnd::Failed);
    cr_assert(it.ledger.violations().empty());
    it.run("up1", "b", 0);
    it.ledger.onUpstreamCrashed("up1", { "b", 0, 0 });
    it.ledger.onAnswered("b", CallEnd::Failed);
    cr_assert(onlyPromise(it.ledger) == "failures have a cause");
}

Test(ledger, aShrunkCapacityCountsAfterItsLimit)
{
    Fixture it;
    const Resources small { 4000, 1024, 0 };
    it.ledger.onCapacityChanged(start, "up1", small);
    it.run("up1", "a", 0, start + std::chrono::milliseconds(3500));
    it.end("up1", "a", 0, RunOutcome::Done);
    // Neither another change nor another life puts it off.
    it.ledger.onCapacityChanged(start + std::chrono::milliseconds(3501), "up1", { 3000, 1024, 0 });
    it.ledger.onUpstreamStarted("up1", { 3000, 1024, 0 });
    cr_assert(it.ledger.violations().empty());
    it.run("up1", "a", 1, start + std::chrono::milliseconds(3502));
    cr_assert(onlyPromise(it.ledger) == "no start over the capacity");
}

Test(ledger, aCapacityThatHasGrownCountsAtOnce)
{
    Fixture it;
    it.ledger.onCapacityChanged(start, "up1", { 4000, 1024, 0 });
    it.ledger.onCapacityChanged(start + std::chrono::seconds(5), "up1", capacity);
    it.run("up1", "a", 0, start + std::chrono::seconds(5));
    cr_assert(it.ledger.violations().empty());
}

Test(ledger, completedBeforeAllTasksAreDone)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.end("up1", "a", 0, RunOutcome::Done);
    it.ledger.onAnswered("a", CallEnd::Completed);
    cr_assert(onlyPromise(it.ledger) == "whole answers");
}

Test(ledger, failedAfterOneFailureOnly)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.end("up1", "a", 0, RunOutcome::Failed);
    it.ledger.onAnswered("a", CallEnd::Failed);
    cr_assert(onlyPromise(it.ledger) == "failures have a cause");
}

Test(ledger, rejectedAlthoughItRan)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.end("up1", "a", 0, RunOutcome::Broken);
    it.ledger.onAnswered("a", CallEnd::Rejected);
    it.ledger.checkAtEnd();
    cr_assert(onlyPromise(it.ledger) == "\"not run\" is true");
}

Test(ledger, startsThatWereNotRequested)
{
    Fixture it;
    it.run("up1", "c", 0);
    it.run("up1", "a", 2);
    it.ledger.onRunStarted(start, "up1", { "a", 0, 0 }, 1, need, "other", true);
    cr_assert_eq(it.ledger.violations().size(), 3U);
}

Test(ledger, startAfterAnAcknowledgedLeave)
{
    Fixture it;
    it.ledger.onLeavingAcknowledged(start, "up1");
    it.run("up1", "a", 0, start + std::chrono::seconds(1));
    cr_assert(it.ledger.violations().empty());
    it.run("up1", "a", 1, start + std::chrono::seconds(3));
    cr_assert_eq(it.ledger.violations().size(), 2U, "it is over the capacity as well");
}

Test(ledger, runsRemainingAtTheEnd)
{
    Fixture it;
    it.run("up1", "a", 0);
    it.ledger.checkAtEnd();
    cr_assert(onlyPromise(it.ledger) == "nothing runs for nobody");
}

Test(versionLedger, readsMayBeStaleOnlyWithinTheApplyLimit)
{
    VersionLedger it(std::chrono::seconds(2));
    it.onAcknowledged(start, 5);
    cr_assert(it.faultOf(start + std::chrono::seconds(1), 4).empty());
    cr_assert(!it.faultOf(start + std::chrono::seconds(2), 4).empty());
    cr_assert(it.faultOf(start + std::chrono::seconds(2), 6).empty());
    cr_assert_eq(it.acknowledged(), 5U);
}

// A check that looked only at the first moments, or that a repeated order put off, would miss starts in a drained domain.
Test(ledger, startsInADrainedDomain)
{
    Fixture it;
    it.ledger.onUpstreamDomain("up1", "d1");
    it.ledger.onUpstreamDomain("up2", "d2");
    it.ledger.onDomainDrainAcknowledged(start, "d1");
    const TimePoint bound = start + std::chrono::milliseconds(5000);
    it.run("up1", "a", 0, bound);
    it.end("up1", "a", 0, RunOutcome::Done);
    cr_assert_eq(it.ledger.startsBeforeDrains(), 1U);
    it.ledger.onDomainDrainAcknowledged(bound, "d1");
    const TimePoint later = bound + std::chrono::milliseconds(1);
    it.run("up2", "a", 1, later);
    cr_assert(it.ledger.violations().empty());
    it.run("up1", "b", 0, later);
    cr_assert_eq(onlyPromise(it.ledger), "no start in a drained domain");
    cr_assert_eq(it.ledger.startsBeforeDrains(), 1U);
}

// An upstream that carries out an order late, or after the withdrawal was sent, is not at fault; nor is its agent.
Test(ledger, lateOrdersAndWithdrawnDrains)
{
    Fixture it;
    it.ledger.onUpstreamDomain("up1", "d1");
    it.ledger.onDomainDrainAcknowledged(start, "d1");
    const TimePoint later = start + std::chrono::milliseconds(6000);
    it.ledger.onRunStarted(later, "up1", { "a", 0, 0 }, 1, need, "text", false);
    it.end("up1", "a", 0, RunOutcome::Done);
    it.ledger.onDomainReturnSent("d1");
    it.run("up1", "a", 1, later);
    cr_assert(it.ledger.violations().empty());
    it.end("up1", "a", 1, RunOutcome::Done);
    // A second drain has its own bound.
    it.ledger.onDomainDrainAcknowledged(later, "d1");
    it.run("up1", "b", 0, later + std::chrono::milliseconds(4000));
    cr_assert(it.ledger.violations().empty());
}

// A domain that gets no work after its drain was withdrawn would go unnoticed while others serve.
Test(ledger, aWithdrawnDomainIsUsedAgain)
{
    Fixture it;
    it.ledger.onUpstreamDomain("up1", "d1");
    it.ledger.onUpstreamDomain("up2", "d2");
    for (const char* domain : { "d1", "d2" }) {
        it.ledger.onDomainDrainAcknowledged(start, domain);
        it.ledger.onDomainReturnSent(domain);
        it.ledger.onDomainReturnAcknowledged(domain);
    }
    cr_assert_not(it.ledger.allDomainsReturned());
    it.run("up1", "a", 0);
    it.end("up1", "a", 0, RunOutcome::Done);
    cr_assert_not(it.ledger.allDomainsReturned());
    it.ledger.checkAtEnd();
    cr_assert_eq(onlyPromise(it.ledger), "service returns");
    it.run("up2", "b", 0);
    cr_assert(it.ledger.allDomainsReturned());
}

} // namespace fescuegw::soak
