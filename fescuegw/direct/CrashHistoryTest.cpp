// Tests of the counts of crashes by task.
#include <criterion/criterion.h>

#include "fescuegw/direct/CrashHistory.h"

using namespace fescuegw;
using namespace fescuegw::direct;

namespace {

const StepTask first { "job", 0, 0 };
const StepTask second { "job", 0, 1 };

} // namespace

Test(CrashHistory, countsEachCrashOnceForEachTask)
{
    CrashHistory history;
    const TimePoint now { std::chrono::hours(1) };
    cr_assert_eq(history.add(now, first, { "a1", 1 }), 1);
    cr_assert_eq(history.add(now, first, { "a1", 1 }), 1);
    cr_assert_eq(history.add(now, first, { "a1", 2 }), 2, "the same upstream, crashed again");
    cr_assert_eq(history.add(now, first, { "a2", 1 }), 3);
    cr_assert_eq(history.add(now, second, { "a1", 1 }), 1);
    cr_assert_eq(history.count(now, { "job", 1, 0 }), 0);
}

// Reports of one crash are repeated until they are acknowledged, which must not keep a task for ever.
Test(CrashHistory, forgetsATaskAfterItsLastCrash)
{
    CrashHistory history({ std::chrono::seconds(30), 100 });
    TimePoint now { std::chrono::hours(1) };
    history.add(now, first, { "a1", 1 });
    now += std::chrono::seconds(20);
    history.add(now, first, { "a2", 1 });
    now += std::chrono::seconds(20);
    history.add(now, first, { "a2", 1 });
    cr_assert_eq(history.count(now, first), 2);
    now += std::chrono::seconds(11);
    cr_assert_eq(history.count(now, first), 0);
    history.add(now, second, { "a1", 1 });
    cr_assert_eq(history.size(), 1);
}

// Crashes in quick succession must not use up the memory of an entry.
Test(CrashHistory, keepsTheLatestTasks)
{
    CrashHistory history({ std::chrono::seconds(30), 100 });
    TimePoint now { std::chrono::hours(1) };
    for (uint32_t n = 0; n < 1000; ++n) {
        now += std::chrono::milliseconds(1);
        history.add(now, { "job", 0, n }, { "a1", n });
    }
    cr_assert_leq(history.size(), 100);
    cr_assert_eq(history.count(now, { "job", 0, 999 }), 1);
    cr_assert_eq(history.count(now, { "job", 0, 901 }), 1);
    cr_assert_eq(history.count(now, { "job", 0, 0 }), 0);
}
