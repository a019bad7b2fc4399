// Tests which dispatches an agent refuses and which results and slots it keeps.
#include <criterion/criterion.h>

#include "fescuegw/agent/TaskTable.h"

namespace fescuegw::agent {

namespace {

    constexpr uint64_t incarnation = 5;
    constexpr uint64_t clockUs = 1000;
    const Capacity capacity { "pondkeep", 2, true };

    wire::EntryToAgent message(uint64_t epoch, uint64_t sequence)
    {
        wire::EntryToAgent message;
        message.set_service("pondkeep");
        message.set_epoch(epoch);
        message.set_sequence(sequence);
        message.set_incarnation(incarnation);
        return message;
    }

    void addTask(wire::EntryToAgent& message, uint32_t index, uint64_t startByUs = clockUs)
    {
        wire::TaskDispatch& task = *message.add_dispatches();
        task.mutable_key()->set_team("mizutama");
        task.mutable_key()->set_submission("job");
        task.mutable_key()->set_index(index);
        task.set_attempt(1);
        task.set_start_by_us(startByUs);
        task.set_durable(true);
    }

    TaskId id(uint32_t index) { return TaskId { { "mizutama", "job" }, index }; }

} // namespace

Test(taskTable, refusesOlderEpochAndOtherIncarnation)
{
    TaskTable table(incarnation);
    wire::EntryToAgent collect = message(3, 1);
    collect.set_collect(true);
    cr_assert(table.decide(clockUs, collect, capacity).collect);
    wire::EntryToAgent stale = message(2, 9);
    addTask(stale, 0);
    const Decision refused = table.decide(clockUs, stale, capacity);
    cr_assert(refused.starts.empty());
    cr_assert_eq(refused.refusals.size(), 1U);
    cr_assert_eq(refused.refusals[0].verdict(), wire::NOT_RUN);
    wire::EntryToAgent otherIncarnation = message(3, 2);
    otherIncarnation.set_incarnation(incarnation - 1);
    addTask(otherIncarnation, 0);
    cr_assert(table.decide(clockUs, otherIncarnation, capacity).ignored);
}

Test(taskTable, startsATaskOnceAndIgnoresReorderedMessages)
{
    TaskTable table(incarnation);
    wire::EntryToAgent first = message(1, 2);
    addTask(first, 0);
    cr_assert_eq(table.decide(clockUs, first, capacity).starts.size(), 1U);
    cr_assert(table.decide(clockUs, first, capacity).ignored);
    wire::EntryToAgent reordered = message(1, 1);
    addTask(reordered, 1);
    cr_assert(table.decide(clockUs, reordered, capacity).ignored);
    wire::EntryToAgent again = message(1, 3);
    addTask(again, 0);
    const Decision duplicate = table.decide(clockUs, again, capacity);
    cr_assert(duplicate.starts.empty());
    cr_assert_eq(duplicate.refusals[0].verdict(), wire::MAY_HAVE_RUN);
}

Test(taskTable, refusesLateStartsFullSlotsAndLeavingUpstreams)
{
    TaskTable table(incarnation);
    wire::EntryToAgent late = message(1, 1);
    addTask(late, 0, clockUs - 1);
    cr_assert_eq(table.decide(clockUs, late, capacity).refusals.size(), 1U);
    wire::EntryToAgent three = message(1, 2);
    for (uint32_t i = 0; i < 3; ++i)
        addTask(three, i);
    const Decision full = table.decide(clockUs, three, capacity);
    cr_assert_eq(full.starts.size(), 2U);
    cr_assert_eq(full.refusals[0].reason(), "no free slot");
    table.finish(id(0), true, Verdict::Ran, "", "out", 1);
    wire::EntryToAgent leaving = message(1, 3);
    addTask(leaving, 7);
    cr_assert_eq(table.decide(clockUs, leaving, Capacity { "pondkeep", 2, false }).refusals.size(), 1U);
}

Test(taskTable, keepsResultsUntilReleasedAndSlotsUntilKnownFree)
{
    TaskTable table(incarnation);
    wire::EntryToAgent two = message(1, 1);
    addTask(two, 0);
    addTask(two, 1);
    table.decide(clockUs, two, capacity);
    table.finish(id(0), true, Verdict::Ran, "", "out", 1);
    table.finish(id(1), false, Verdict::MayHaveRun, "timeout", "", 1);
    cr_assert_eq(table.held().tasks_size(), 2);
    cr_assert_eq(table.foreignRunning(), 1U);
    table.onUpstreamTasks({ { id(1), incarnation }, { id(9), incarnation - 1 } });
    cr_assert_eq(table.foreignRunning(), 2U);
    table.onUpstreamTasks({});
    cr_assert_eq(table.foreignRunning(), 0U);
    wire::EntryToAgent release = message(1, 2);
    release.add_releases()->set_team("mizutama");
    release.mutable_releases(0)->set_submission("job");
    table.decide(clockUs, release, capacity);
    cr_assert_eq(table.held().tasks_size(), 0);
}

} // namespace fescuegw::agent
