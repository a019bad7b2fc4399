// An entry's decisions against agents that are played by hand; each test replays the pattern of load or failure it names.
#include <criterion/criterion.h>

#include "fescuegw/direct/JobTable.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::direct;

Duration ms(int64_t n) { return std::chrono::milliseconds(n); }

const AgentId a1 { "a1", 7 };
const AgentId a2 { "a2", 7 };

struct Entry {
    Entry()
        : table({},
            { [this](const AgentId& agent, const wire::EntryToUpstream& message) {
                 for (const auto& it : message.starts())
                     starts.emplace_back(agent, it);
                 for (const auto& it : message.stops())
                     stops.emplace_back(agent, it);
                 for (const uint64_t it : message.declined_grants())
                     declined.push_back(it);
                 demand[agent] = message.demand();
                 ++messages;
                 offerInterval[agent] = message.offer_interval_ms();
                 acked[agent] = message.acked_reports();
             },
                [](uint64_t) { return 0; }, {} })
    {
    }

    // A message of an agent with room for `cores`, and reports.
    wire::UpstreamToEntry message(const AgentId& agent, uint32_t cores) const
    {
        wire::UpstreamToEntry it;
        it.set_agent(agent.name);
        it.set_incarnation(agent.incarnation);
        it.set_clock_us(toMicros(now));
        it.set_seen_sequence(1000);
        it.set_first_report(1);
        it.mutable_offer()->set_service("s");
        it.mutable_offer()->set_accepting(true);
        it.mutable_offer()->set_slowness_percent(slowness.contains(agent) ? slowness.at(agent) : 100);
        it.mutable_offer()->mutable_capacity()->set_cores_milli(64000);
        it.mutable_offer()->mutable_capacity()->set_memory_mb(262144);
        it.mutable_offer()->mutable_free()->set_cores_milli(cores);
        it.mutable_offer()->mutable_free()->set_memory_mb(262144);
        return it;
    }

    void offer(const AgentId& agent, uint32_t cores)
    {
        table.onAgent(now, message(agent, cores));
        table.flush(now);
    }

    void report(const AgentId& agent, const wire::StartTask& start, wire::AttemptState state, const std::string& reason = "",
        uint32_t cores = 0)
    {
        auto it = message(agent, cores);
        it.set_first_report(++reports[agent]);
        wire::AttemptReport& added = *it.add_reports();
        *added.mutable_key() = start.key();
        added.set_state(state);
        added.set_reason(reason);
        table.onAgent(now, it);
        table.flush(now);
    }

    void submit(const std::string& id, uint32_t count, uint32_t priority = 0, uint32_t estimateMs = 200)
    {
        JobRequest request;
        request.id = id;
        request.route.set_service("s");
        request.route.set_priority(priority);
        request.route.set_attempts(2);
        request.route.set_stretch_percent(160);
        request.route.set_latency_target_ms(60);
        request.patience = ms(5000);
        request.exchange = ++exchange;
        StepDemand step;
        step.count = count;
        step.need = { 6000, 64, 0 };
        step.estimateMs = estimateMs;
        request.job.steps = { step };
        table.submit(now, request, [this, id](const JobOutcome& outcome) { outcomes[id] = outcome; });
        table.flush(now);
    }

    void pass(int64_t milliseconds)
    {
        now += ms(milliseconds);
        table.tick(now);
        table.flush(now);
    }

    bool answered(const std::string& id) const { return outcomes.contains(id); }
    JobOutcome::Kind kind(const std::string& id) const { return outcomes.at(id).kind; }

    TimePoint now { std::chrono::hours(1) };
    uint64_t exchange = 0;
    size_t messages = 0;
    std::vector<std::pair<AgentId, wire::StartTask>> starts;
    std::vector<std::pair<AgentId, wire::AttemptKey>> stops;
    std::vector<uint64_t> declined;
    std::map<AgentId, wire::Demand> demand;
    std::map<AgentId, uint32_t> offerInterval;
    std::map<AgentId, uint64_t> reports;
    std::map<AgentId, uint64_t> acked;
    std::map<AgentId, uint32_t> slowness;
    std::map<std::string, JobOutcome> outcomes;
    JobTable table;
};

} // namespace

Test(JobTable, aJobIsAnsweredWhenAllItsTasksHaveEnded)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 2);
    cr_assert_eq(entry.starts.size(), 2);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_DONE);
    cr_assert_not(entry.answered("j"));
    entry.report(a1, entry.starts[1].second, wire::ATTEMPT_DONE);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Completed);
    entry.pass(20);
    cr_assert_eq(entry.table.size(), 0);
}

Test(JobTable, withoutUpstreamsAJobIsRefusedAtOnce)
{
    Entry entry;
    entry.submit("j", 1);
    cr_assert(entry.kind("j") == JobOutcome::Kind::NotRun);
    cr_assert_gt(entry.outcomes["j"].retryAfterS, 0);
}

// Pattern: everything at more than the whole capacity. What can't start within its slack is refused, truly not run.
Test(JobTable, aJobThatFindsNoRoomWithinItsSlackIsRefused)
{
    Entry entry;
    entry.offer(a1, 0);
    entry.submit("j", 1);
    cr_assert_not(entry.answered("j"));
    cr_assert_eq(entry.demand[a1].tasks(), 1);
    for (int n = 0; n < 8; ++n) {
        entry.pass(20);
        entry.offer(a1, 0);
    }
    cr_assert_not(entry.answered("j"), "0.6 x 200 ms + 60 ms - 15 ms");
    entry.pass(20);
    cr_assert(entry.kind("j") == JobOutcome::Kind::NotRun);
    cr_assert(entry.starts.empty());
}

// Pattern: a line has formed. A newcomer that would wait longer than it can is refused at once.
Test(JobTable, aNewcomerBehindALongLineIsRefusedAtOnce)
{
    Entry entry;
    entry.offer(a1, 0);
    entry.submit("patient", 1, 0, 2000);
    entry.pass(300);
    entry.offer(a1, 0);
    entry.submit("hasty", 1, 0, 100);
    cr_assert(entry.answered("hasty"));
    cr_assert(entry.kind("hasty") == JobOutcome::Kind::NotRun);
    cr_assert_not(entry.answered("patient"));
    entry.submit("urgent", 1, 0, 2000);
    cr_assert_not(entry.answered("urgent"));
}

// Pattern: a burst of one kind beside urgent tasks.
Test(JobTable, roomGoesToTheMoreUrgentPriorityFirst)
{
    Entry entry;
    entry.offer(a1, 0);
    entry.submit("later", 1, 2);
    entry.submit("first", 1, 0);
    entry.offer(a1, 6000);
    cr_assert_eq(entry.starts.size(), 1);
    cr_assert_eq(entry.starts[0].second.key().job(), "first");
}

// Pattern: wide jobs at once. Once a task of one has started, its others go before jobs that have used nothing.
Test(JobTable, aStartedJobGoesBeforeAFreshOne)
{
    Entry entry;
    entry.offer(a1, 6000);
    entry.submit("wide", 2);
    cr_assert_eq(entry.starts.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_NOT_STARTED, "no_room");
    entry.submit("other", 1);
    entry.offer(a1, 6000);
    cr_assert_eq(entry.starts[1].second.key().job(), "wide");
    entry.report(a1, entry.starts[1].second, wire::ATTEMPT_STARTED);
    entry.offer(a1, 6000);
    cr_assert_eq(entry.starts[2].second.key().job(), "wide");
    cr_assert_not(entry.answered("other"));
}

Test(JobTable, aGrantIsUsedOrDeclined)
{
    Entry entry;
    entry.offer(a1, 0);
    entry.submit("j", 1);
    auto it = entry.message(a1, 0);
    for (const uint64_t id : { 11, 12 }) {
        it.add_grants()->set_id(id);
        it.mutable_grants(it.grants_size() - 1)->mutable_room()->set_cores_milli(6000);
        it.mutable_grants(it.grants_size() - 1)->mutable_room()->set_memory_mb(64);
    }
    entry.table.onAgent(entry.now, it);
    entry.table.flush(entry.now);
    cr_assert_eq(entry.starts.size(), 1);
    cr_assert_eq(entry.starts[0].second.grant(), 11);
    cr_assert_eq(entry.declined.size(), 1);
    cr_assert_eq(entry.declined[0], 12);
}

// Pattern: tasks that fail by their upstream's fault.
Test(JobTable, aFailedTaskIsStartedElsewhereUntilItsAttemptsAreUsedUp)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.offer(a2, 60000);
    entry.submit("j", 1);
    cr_assert(entry.starts[0].first == a1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_FAILED, "", 64000);
    cr_assert_eq(entry.starts.size(), 2);
    cr_assert(entry.starts[1].first == a2);
    entry.report(a2, entry.starts[1].second, wire::ATTEMPT_FAILED, "", 64000);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Failed);
    cr_assert_eq(entry.starts.size(), 2);
}

// Pattern: an upstream turns slow or stands still. The second start follows only after the end of the first is known.
Test(JobTable, aTaskOnASlowUpstreamIsMovedOnceItsEndIsKnown)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    entry.slowness[a1] = 2000;
    entry.offer(a1, 64000);
    entry.offer(a2, 64000);
    entry.pass(50);
    cr_assert_eq(entry.stops.size(), 1);
    cr_assert_eq(entry.starts.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_LOST, "withdrawn", 64000);
    cr_assert_eq(entry.starts.size(), 2);
    cr_assert(entry.starts[1].first == a2);
    cr_assert_eq(entry.starts[1].second.key().attempt(), 2);
}

// Pattern: an agent's host loses power. Nothing is started again before leases have run out everywhere.
Test(JobTable, attemptsOfASilentAgentAreLostOnlyAfterAllLeases)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    for (int n = 0; n < 12; ++n) {
        entry.pass(100);
        entry.offer(a2, 64000);
    }
    cr_assert_eq(entry.starts.size(), 1);
    entry.pass(100);
    entry.offer(a2, 64000);
    cr_assert_eq(entry.starts.size(), 2);
    cr_assert(entry.starts[1].first == a2);
}

// Pattern: an agent is killed and back at once; its new process offers room only when nothing of before runs.
Test(JobTable, aRestartedAgentThatOffersRoomHasEndedWhatRanBefore)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    const AgentId again { "a1", 8 };
    auto closed = entry.message(again, 64000);
    closed.mutable_offer()->set_accepting(false);
    entry.table.onAgent(entry.now, closed);
    cr_assert_eq(entry.starts.size(), 1);
    entry.offer(again, 64000);
    cr_assert_eq(entry.starts.size(), 2);
    cr_assert(entry.starts[1].first == again);
}

// Pattern: callers leave early.
Test(JobTable, aJobWhoseCallerHasGoneIsStopped)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 2);
    entry.table.abandon(entry.now, 1);
    entry.table.flush(entry.now);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Abandoned);
    cr_assert_eq(entry.stops.size(), 2);
}

// A refusal says that nothing has run: with a start under way it waits for the agent's word.
Test(JobTable, aRefusalIsTrue)
{
    Entry entry;
    entry.offer(a1, 6000);
    entry.submit("j", 1);
    for (int n = 0; n < 20; ++n) {
        entry.pass(20);
        entry.offer(a1, 0);
    }
    cr_assert_not(entry.answered("j"));
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_LOST, "upstream_restarted");
    entry.pass(5000);
    cr_assert(entry.kind("j") == JobOutcome::Kind::MayHaveRun);
}

// Pattern: SIGTERM while callers keep using open connections.
Test(JobTable, aDrainTakesOnlyWhatFitsAndAnswersTheRest)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("running", 1, 0, 3000);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    entry.table.drain(entry.now + ms(1000));
    entry.submit("short", 1, 0, 200);
    entry.submit("long", 1, 0, 2000);
    cr_assert_not(entry.answered("short"));
    cr_assert(entry.kind("long") == JobOutcome::Kind::NotRun);
    entry.pass(1000);
    cr_assert(entry.kind("running") == JobOutcome::Kind::MayHaveRun);
    cr_assert_eq(entry.table.unanswered(), 0);
}

Test(JobTable, theSameJobAgainJoinsTheOneInFlight)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.submit("j", 1);
    cr_assert_eq(entry.starts.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_DONE);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Completed);
}

// Agents forget reports that are acknowledged: one that has not come must not be.
Test(JobTable, onlyReportsThatHaveComeAreAcknowledged)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 2);
    cr_assert_eq(entry.acked[a1], 0, "a message without reports says which number comes next");
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_DONE);
    entry.pass(200);
    cr_assert_eq(entry.acked[a1], 1);
    auto later = entry.message(a1, 64000);
    later.set_first_report(3);
    entry.table.onAgent(entry.now, later);
    entry.pass(200);
    cr_assert_eq(entry.acked[a1], 1, "number 2 is missing");
}

// An entry that has forgotten an agent takes up the count where the agent is, or the agent would repeat its reports for ever.
Test(JobTable, aForgottenAgentIsAcknowledgedFromWhereItIs)
{
    Entry entry;
    auto it = entry.message(a1, 64000);
    it.set_first_report(50);
    it.add_reports()->mutable_key()->set_job("gone");
    entry.table.onAgent(entry.now, it);
    entry.pass(200);
    cr_assert_eq(entry.acked[a1], 50);
}

// Pattern: a burst beyond the capacity of 75 upstreams. Telling every agent of what waits would be 1,500 messages a second of
// one entry; a few at a time are told, each of them in its turn, and all that were told hear when nothing waits any more.
Test(JobTable, aLongLineIsToldToAFewAgentsAtATime)
{
    constexpr uint32_t agents = 75;
    Entry entry;
    const auto agent = [](uint32_t n) { return AgentId { "agent" + std::to_string(n), 7 }; };
    for (uint32_t n = 0; n < agents; ++n)
        entry.offer(agent(n), 0);
    // All are told how often to report.
    entry.pass(200);
    for (uint32_t n = 0; n < agents; ++n)
        entry.offer(agent(n), 0);
    entry.messages = 0;
    for (int n = 0; n < 200; ++n)
        entry.submit("j" + std::to_string(n), 2, 2, 900);
    for (int n = 0; n < 50; ++n) {
        entry.pass(10);
        for (uint32_t it = 0; it < agents; ++it)
            entry.offer(agent(it), 0);
    }
    cr_assert_gt(entry.table.waiting(), 300U);
    // Half a second: ten rounds of 16 agents; acknowledgements of agents that have nothing of this entry aren't due.
    cr_assert_leq(entry.messages, 176U);
    cr_assert_eq(entry.demand.size(), agents, "every agent has its turn");
    for (int n = 0; n < 200; ++n)
        entry.table.abandon(entry.now, static_cast<uint64_t>(n) + 1);
    for (uint32_t it = 0; it < agents; ++it)
        entry.demand[agent(it)].Clear();
    entry.messages = 0;
    entry.pass(10);
    cr_assert_leq(entry.messages, 48U);
    for (const auto& it : entry.demand)
        cr_assert_eq(it.second.tasks(), 0);
}

// All that is asked of the agents of one round is a small multiple of what waits.
Test(DemandSpread, asksNoAgentForMoreThanItsShare)
{
    OfferBook book;
    const TimePoint now { std::chrono::hours(1) };
    for (int n = 0; n < 75; ++n) {
        wire::UpstreamToEntry message;
        message.set_agent("agent" + std::to_string(n));
        message.mutable_offer()->set_service("s");
        book.onMessage(now, message);
    }
    for (uint32_t tasks = 1; tasks < 200; ++tasks) {
        DemandSpread spread;
        wire::Demand waiting;
        waiting.set_tasks(tasks);
        uint64_t asked = 0;
        for (const auto& it : spread.update(now, book, "s", waiting)) {
            const uint32_t share = spread.told(now, *book.find(it)).tasks();
            cr_assert_leq(share, tasks);
            asked += share;
        }
        cr_assert_geq(asked, tasks);
        cr_assert_leq(asked, std::max<uint64_t>(8, 4 * tasks + 16));
    }
}

// Pattern: a large fleet at rest. What offers cost an entry does not grow with the number of agents.
Test(JobTable, agentsReportMoreRarelyTheMoreThereAre)
{
    const auto told = [](uint32_t agents) {
        Entry entry;
        for (uint32_t n = 0; n < agents; ++n)
            entry.offer({ "agent" + std::to_string(n), 7 }, 64000);
        entry.pass(200);
        return entry.offerInterval[{ "agent0", 7 }];
    };
    cr_assert_eq(told(11), 40);
    cr_assert_eq(told(75), 187);
    cr_assert_eq(told(200), 250);
}
