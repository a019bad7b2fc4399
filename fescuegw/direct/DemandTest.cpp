// What an entry tells agents of its waiting tasks.
#include <criterion/criterion.h>

#include "fescuegw/direct/DemandNotifier.h"
#include "fescuegw/direct/PendingTaskQueue.h"
#include "fescuegw/wire/Direct.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::direct;

constexpr TimePoint now { std::chrono::hours(1) };
const std::string service = "s";

class Queue {
public:
    void add(uint32_t priority, size_t tasks, int64_t coresMilli = 4000, Duration waited = {})
    {
        for (size_t n = 0; n < tasks; ++n) {
            const uint64_t job = ++m_lastJob;
            queue.add({ priority, true, job, 0, 0 },
                { { std::to_string(job), 0, 0 }, service, { coresMilli, 64, 0 }, now - waited, {} });
        }
    }

    PendingTaskQueue queue;

private:
    uint64_t m_lastJob = 0;
};

OfferTable offersOf(size_t agents)
{
    OfferTable offers;
    for (size_t n = 0; n < agents; ++n) {
        wire::UpstreamToEntry message;
        message.set_agent("agent" + std::to_string(n));
        message.set_incarnation(1);
        message.mutable_offer()->set_service(service);
        message.mutable_offer()->set_accepting(true);
        offers.onMessage(now, message);
    }
    return offers;
}

// Returns the number of tasks of `priority` that all notified agents together are asked for, and adds up those of other
// priorities in `others`.
size_t askedFor(const wire::Demand& waiting, size_t agents, uint32_t priority, size_t& others)
{
    OfferTable offers = offersOf(agents);
    DemandNotifier notifier;
    size_t asked = 0;
    for (const auto& id : notifier.update(now, offers, service, waiting)) {
        const wire::Demand demand = notifier.demandFor(now, *offers.find(id));
        for (const auto& it : demand.levels())
            (it.priority() == priority ? asked : others) += it.tasks();
    }
    return asked;
}

} // namespace

// Guards against an agent that does not learn how many of the tasks are urgent.
Test(Demand, hasALevelForEachPriority)
{
    Queue tasks;
    tasks.add(0, 2, 3000, std::chrono::milliseconds(20));
    tasks.add(2, 5, 9000, std::chrono::milliseconds(400));
    const wire::Demand demand = tasks.queue.demand(now, service);
    cr_assert_eq(demand.levels_size(), 2);
    cr_assert_eq(demand.levels(0).tasks(), 2);
    cr_assert_eq(demand.levels(0).waited_ms(), 20);
    cr_assert_eq(demand.levels(0).largest_need().cores_milli(), 3000);
    cr_assert_eq(demand.levels(1).priority(), 2);
    cr_assert_eq(demand.levels(1).tasks(), 5);
    // The fields that agents of earlier versions read.
    cr_assert_eq(demand.tasks(), 7);
    cr_assert_eq(demand.priority(), 0);
    cr_assert_eq(demand.waited_ms(), 20);
    cr_assert_eq(demand.largest_need().cores_milli(), 9000);
}

// Guards against messages that grow with the number of priorities that callers use.
Test(Demand, levelsAreBounded)
{
    Queue tasks;
    for (uint32_t priority = 0; priority < 100; ++priority)
        tasks.add(priority, 1);
    const wire::Demand demand = tasks.queue.demand(now, service);
    cr_assert_eq(demand.levels_size(), wire::maxDemandLevels);
    cr_assert_eq(demand.levels(wire::maxDemandLevels - 1).tasks(), 100 - wire::maxDemandLevels + 1);
    cr_assert_eq(demand.tasks(), 100);
}

// Guards against capacity that is granted for tasks that do not wait and stays unused.
Test(Demand, agentsTogetherAreAskedForTheWaitingTasks)
{
    Queue tasks;
    tasks.add(0, 6);
    tasks.add(1, 40);
    size_t others = 0;
    cr_assert_eq(askedFor(tasks.queue.demand(now, service), 50, 0, others), 6);
    // Each of 16 agents is asked for the same number, so that up to 15 tasks more are asked for.
    cr_assert_geq(others, 40);
    cr_assert_lt(others, 40 + 16);
}

// Guards against an urgent task that only one agent knows of, whose upstream may be full for long.
Test(Demand, aSingleUrgentTaskIsToldToSeveralAgents)
{
    Queue tasks;
    tasks.add(0, 1);
    tasks.add(3, 100);
    size_t others = 0;
    const DemandNotifierOptions options;
    cr_assert_eq(askedFor(tasks.queue.demand(now, service), 50, 0, others), options.minAgents);
}

// Guards against a division by the number of agents, in a message to one that was notified before all stopped accepting tasks.
Test(Demand, withoutAgentsNobodyIsTold)
{
    Queue tasks;
    tasks.add(0, 1);
    const wire::Demand waiting = tasks.queue.demand(now, service);
    OfferTable offers = offersOf(1);
    DemandNotifier notifier;
    const auto notified = notifier.update(now, offers, service, waiting);
    cr_assert_eq(notified.size(), 1);
    AgentView& view = *offers.find(notified.front());
    cr_assert_eq(notifier.demandFor(now, view).tasks(), 1);
    view.offer.set_accepting(false);
    cr_assert(notifier.update(now, offers, service, waiting).empty());
    cr_assert_eq(notifier.demandFor(now, view).tasks(), 0);
}
