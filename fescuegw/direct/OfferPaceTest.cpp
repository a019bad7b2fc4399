// Offers to entries of a large fleet, most of which place few tasks.
#include <criterion/criterion.h>

#include "fescuegw/direct/OfferPace.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::direct;

constexpr size_t agents = 52;

double offersPerSecond(const OfferPace& pace) { return agents * 1e6 / static_cast<double>(pace.interval(agents, false).count()); }

// Places `perSecond` tasks a second, for two seconds.
void place(OfferPace& pace, TimePoint& now, int perSecond)
{
    for (int window = 0; window < 4; ++window) {
        for (int n = 0; n < perSecond / 2; ++n)
            pace.onStart();
        now += std::chrono::milliseconds(500);
        pace.update(now);
    }
}

} // namespace

Test(offer_pace, followsTheRateOfStarts)
{
    OfferPace pace;
    TimePoint now { std::chrono::hours(1) };
    pace.update(now);
    place(pace, now, 0);
    const double idle = offersPerSecond(pace);
    place(pace, now, 200);
    const double usual = offersPerSecond(pace);
    place(pace, now, 1000);
    const double busy = offersPerSecond(pace);
    const OfferPaceOptions options;
    cr_assert_lt(idle, usual);
    cr_assert_lt(usual, busy);
    cr_assert_leq(busy, options.maxOffersPerSecond);
    for (int n = 0; n < 5; ++n)
        place(pace, now, 0);
    cr_assert_eq(offersPerSecond(pace), idle);
}

// A small change of the rate may not make the entry tell all its agents a new interval.
Test(offer_pace, keepsTheIntervalWhenTheRateChangesALittle)
{
    int changes = 0;
    OfferPace pace;
    TimePoint now { std::chrono::hours(1) };
    place(pace, now, 100);
    Duration last = pace.interval(agents, false);
    for (int n = 0; n < 20; ++n) {
        place(pace, now, n % 2 == 0 ? 96 : 104);
        changes += pace.interval(agents, false) != last ? 1 : 0;
        last = pace.interval(agents, false);
    }
    cr_assert_eq(changes, 0);
}

// The lease of an entry's attempts at an agent is renewed by echoes of the agent's clock, 700 ms at most.
Test(offer_pace, isFasterWithAttempts)
{
    const OfferPace pace;
    cr_assert_leq(pace.interval(agents, true), std::chrono::milliseconds(250));
    cr_assert_eq(pace.interval(1, false), OfferPaceOptions().minInterval);
}
