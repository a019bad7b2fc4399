// Grants of freed capacity among entries whose tasks differ in urgency and number.
#include <criterion/criterion.h>

#include "fescuegw/arbiter/GrantBook.h"
#include "fescuegw/wire/Direct.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::arbiter;

constexpr int64_t taskCores = 4000;

struct LevelOf {
    uint32_t priority = 0;
    uint32_t tasks = 0;
    uint32_t waitedMs = 0;
    uint32_t cores = taskCores;
};

wire::Demand demandOf(const std::vector<LevelOf>& levels)
{
    wire::Demand demand;
    for (const auto& it : levels) {
        wire::DemandLevel& level = *demand.add_levels();
        level.set_priority(it.priority);
        level.set_tasks(it.tasks);
        level.set_waited_ms(it.waitedMs);
        level.mutable_need()->set_cores_milli(it.cores);
        level.mutable_largest_need()->set_cores_milli(it.cores);
    }
    return demand;
}

Resources roomFor(int64_t tasks) { return { tasks * taskCores, 1000, 0 }; }

// Returns the entries of the grants, in their order.
std::string entriesOf(const std::vector<GrantBook::Granted>& granted)
{
    std::string entries;
    for (const auto& it : granted)
        entries += it.entry;
    return entries;
}

constexpr TimePoint now { std::chrono::hours(1) };
constexpr size_t unlimited = 1000;
// Of an upstream.
constexpr Resources capacity { 8 * taskCores, 100000, 0 };

} // namespace

// Guards against an entry with one urgent task that gets grants for its other tasks before the urgent tasks of another entry.
Test(GrantBook, urgentTasksOfAllEntriesComeFirst)
{
    GrantBook book;
    book.onDemand(now, "a", demandOf({ { 0, 1, 50 }, { 2, 10, 900 } }));
    book.onDemand(now, "b", demandOf({ { 0, 3, 10 } }));
    const auto granted = book.grant(now, roomFor(5), capacity, unlimited);
    cr_assert_eq(entriesOf(granted), "abbba");
    cr_assert_eq(granted[3].priority, 0);
    cr_assert_eq(granted[4].priority, 2);
}

// Guards against an entry with many tasks, the first of which has waited longest, that gets all grants before one with few.
Test(GrantBook, entriesWithinAPriorityTakeTurns)
{
    GrantBook book;
    book.onDemand(now, "a", demandOf({ { 1, 4, 100 } }));
    book.onDemand(now, "b", demandOf({ { 1, 2, 10 } }));
    cr_assert_eq(entriesOf(book.grant(now, roomFor(3), capacity, unlimited)), "aba");
    cr_assert_eq(entriesOf(book.grant(now, roomFor(10), capacity, unlimited)), "aba");
}

// Guards against a starved entry: one whose task does not fit must not keep smaller tasks from the capacity that is there.
Test(GrantBook, aTaskThatDoesNotFitLeavesTheCapacityToOthers)
{
    GrantBook book;
    book.onDemand(now, "a", demandOf({ { 0, 1, 50, 9 * taskCores }, { 1, 1, 20 } }));
    book.onDemand(now, "b", demandOf({ { 2, 1, 10 } }));
    cr_assert_eq(entriesOf(book.grant(now, roomFor(2), capacity, unlimited)), "ab");
}

// Guards against capacity that is used up piece by piece while a larger urgent task of the same entry waits for it.
Test(GrantBook, aLargerUrgentTaskKeepsTheLessUrgentOnesOfItsEntryWaiting)
{
    GrantBook book;
    book.onDemand(now, "a", demandOf({ { 0, 1, 50, 3 * taskCores }, { 1, 8, 900 } }));
    cr_assert(book.grant(now, roomFor(2), capacity, unlimited).empty());
    cr_assert_eq(entriesOf(book.grant(now, roomFor(4), capacity, unlimited)), "aa");
}

// Guards against entries of an earlier version, whose demand has no levels, being ignored during an upgrade.
Test(GrantBook, demandWithoutLevelsIsOneLevel)
{
    GrantBook book;
    wire::Demand demand;
    demand.set_tasks(2);
    demand.set_priority(1);
    demand.set_waited_ms(30);
    demand.mutable_need()->set_cores_milli(taskCores);
    book.onDemand(now, "a", demand);
    book.onDemand(now, "b", demandOf({ { 0, 1, 10 } }));
    cr_assert_eq(entriesOf(book.grant(now, roomFor(5), capacity, unlimited)), "baa");
}

// Guards against an entry that gets several turns within a priority because its message has several levels of it.
Test(GrantBook, levelsOfOnePriorityCountAsOne)
{
    GrantBook book;
    book.onDemand(now, "a", demandOf({ { 1, 1, 50 }, { 1, 1, 100 }, { 1, 1, 20, 2 * taskCores }, { 1, 1, 10 } }));
    book.onDemand(now, "b", demandOf({ { 1, 4, 60 } }));
    // A grant of either entry is for the largest need, that of entry a for two tasks of b.
    cr_assert_eq(entriesOf(book.grant(now, roomFor(6), capacity, unlimited)), "abab");
}

// Guards against an agent that issues grants without end for a malformed message, since a task without a need always fits.
Test(GrantBook, tasksOfALevelAreBounded)
{
    GrantBook book;
    book.onDemand(now, "a", demandOf({ { 0, 1000000, 10, 0 } }));
    cr_assert_leq(book.grant(now, roomFor(2), capacity, unlimited * unlimited * unlimited).size(), 1024);
}

// Guards against products of the numbers of tasks that overflow, and against an entry without grants beside one that asks for a
// huge number.
Test(GrantBook, aHugeNumberOfTasksLeavesGrantsToOthers)
{
    GrantBook book;
    book.onDemand(now, "a", demandOf({ { 0, UINT32_MAX, UINT32_MAX } }));
    book.onDemand(now, "b", demandOf({ { 0, 2, 10 } }));
    cr_assert_eq(entriesOf(book.grant(now, roomFor(3), capacity, unlimited)), "aba");
}

// Guards against capacity that stays reserved for an entry whose messages no longer arrive.
Test(GrantBook, demandAndGrantsOfASilentEntryExpire)
{
    const GrantOptions options;
    GrantBook book(options);
    book.onDemand(now, "a", demandOf({ { 0, 8, 10 } }));
    cr_assert_eq(book.grant(now, roomFor(2), capacity, unlimited).size(), 2);
    cr_assert_eq(book.reservationCount(), 2);
    book.expire(now + options.grantLifetime);
    cr_assert_eq(book.reservationCount(), 0);
    const TimePoint later = now + options.demandLifetime + std::chrono::milliseconds(1);
    cr_assert(book.grant(later, roomFor(2), capacity, unlimited).empty());
    book.expire(later);
    cr_assert_eq(book.reservationCount(), 0);
}

// Guards against a message with countless levels, and against levels in any order.
Test(GrantBook, malformedLevelsAreBoundedAndOrdered)
{
    GrantBook book;
    std::vector<LevelOf> levels;
    for (uint32_t n = 0; n < 1000; ++n)
        levels.push_back({ 1000 - n, 1, 10 });
    book.onDemand(now, "a", demandOf(levels));
    const auto granted = book.grant(now, roomFor(2000), capacity, unlimited);
    cr_assert_eq(granted.size(), wire::maxDemandLevels);
    for (size_t n = 1; n < granted.size(); ++n)
        cr_assert_lt(granted[n - 1].priority, granted[n].priority);
}
