#include <set>

#include <criterion/criterion.h>

#include "fescuegw/soak/StallLog.h"

namespace fescuegw::soak {

namespace {

    const TimePoint start { std::chrono::seconds(100) };
    constexpr Duration second = std::chrono::seconds(1);

    struct Fixture {
        std::set<std::string> running;
        StallLog log { [this](const std::string& job) { return running.contains(job); } };
    };

} // namespace

Test(stallLog, aRequestSentToAnEntryThatStandsStillIsUnread)
{
    Fixture it;
    it.log.onStopped(start, 1);
    it.log.onCallerLeft(start + second, 1, "a");
    it.log.onCallerLeft(start + second, 0, "b");
    it.log.onContinues(1);
    it.log.onCallerLeft(start + second, 1, "c");
    cr_assert((it.log.counts() == StallCounts { 1, 0, 0 }));
}

Test(stallLog, aJobThatRunsElsewhereIsCountedWhenTheEntryGoesOn)
{
    Fixture it;
    it.log.onStopped(start, 0);
    it.log.onCallerLeft(start + second, 0, "a");
    it.log.onCallerLeft(start + second, 0, "b");
    it.running = { "a" };
    it.log.onContinues(0);
    it.log.onContinues(0);
    cr_assert((it.log.counts() == StallCounts { 2, 1, 0 }));
}

// Between the signal and the standstill, a request may have been read or not.
Test(stallLog, whatIsUncertainIsNotCounted)
{
    Fixture it;
    it.log.onStopped(start, 0);
    it.log.onCallerLeft(start + std::chrono::milliseconds(5), 0, "a");
    it.log.onCallerLeft(start - std::chrono::milliseconds(5), 0, "a");
    cr_assert((it.log.counts() == StallCounts {}));
    it.log.onCallerLeft(start - second, 0, "a");
    cr_assert((it.log.counts() == StallCounts { 0, 0, 1 }));
}

} // namespace fescuegw::soak
