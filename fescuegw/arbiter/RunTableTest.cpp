// Tests of RunTable against a simulated upstream.
#include <criterion/criterion.h>

#include "fescuegw/arbiter/RunTable.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::arbiter;

Duration ms(int64_t n) { return std::chrono::milliseconds(n); }

// A run table that records the calls of its hooks.
struct Agent {
    explicit Agent(bool complete = true, bool announced = true)
        : table({}, 1,
            { [this](uint64_t serial, const StartOrder& order) { starts.emplace_back(serial, order); },
                [this](const StopOrder& order) { stops.push_back(order); },
                [this](const std::string& entry, const wire::AttemptReport& report) { reports.emplace_back(entry, report); },
                [this](const GrantBook::Granted& it) { grants.emplace_back(it.entry, it.grant); },
                [this](TimePoint, const wire::AttemptReport& report) { broadcasts.push_back(report); } })
    {
        if (!announced)
            return;
        announce(1, 1, false);
        list({}, {}, complete);
    }

    void announce(uint64_t born, uint64_t sequence, bool leaving, const std::string& instance = "i-1", Duration coldFor = {})
    {
        Announcement it;
        it.instance = instance;
        it.bornMs = born;
        it.sequence = sequence;
        it.service = "s";
        it.domain = "d1";
        it.capacity = { 64000, 262144, 0 };
        it.leaving = leaving;
        it.coldFor = coldFor;
        accepted = table.onAnnouncement(now, it);
        incarnation = std::max(incarnation, born);
    }

    void list(std::vector<RunningRow> running, std::vector<EndedRow> ended, bool complete = true)
    {
        table.onListing(now, now, Listing { incarnation, clock(), std::move(running), std::move(ended), complete });
        // The next hold renews the leases of current runs.
        hold = table.nextHold(now);
    }

    uint64_t clock() const
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    }

    // Returns a message of `entry` that has seen the current clock of the agent.
    wire::EntryToUpstream message(const std::string& entry) const
    {
        wire::EntryToUpstream it;
        it.set_entry(entry);
        it.set_seen_clock_us(toMicros(now));
        return it;
    }

    static void addStart(wire::EntryToUpstream& to, const std::string& job, uint32_t cores, TimePoint by, uint64_t grant = 0)
    {
        wire::StartTask& it = *to.add_starts();
        it.mutable_key()->set_job(job);
        it.mutable_key()->set_attempt(1);
        it.mutable_need()->set_cores_milli(cores);
        it.set_estimate_ms(200);
        it.set_start_by_us(toMicros(by));
        it.set_grant(grant);
    }

    void start(const std::string& entry, const std::string& job, uint32_t cores = 6000, uint64_t grant = 0)
    {
        auto it = message(entry);
        addStart(it, job, cores, now + ms(200), grant);
        table.onEntry(now, it);
    }

    void stop(const std::string& entry, const std::string& job)
    {
        auto it = message(entry);
        it.add_stops()->set_job(job);
        it.mutable_stops(0)->set_attempt(1);
        table.onEntry(now, it);
    }

    // Accepts the last start.
    void confirm() { table.onStartReply(now, starts.back().first, StartVerdict::Accepted); }

    void advance(Duration duration) { now += duration; }

    wire::AttemptState lastState() const { return reports.back().second.state(); }
    std::string lastReason() const { return reports.back().second.reason(); }

    TimePoint now { std::chrono::hours(1) };
    uint64_t incarnation = 0;
    bool accepted = false;
    std::vector<std::pair<uint64_t, StartOrder>> starts;
    std::vector<StopOrder> stops;
    HoldOrder hold;
    std::vector<std::pair<std::string, wire::AttemptReport>> reports;
    std::vector<std::pair<std::string, wire::Grant>> grants;
    std::vector<wire::AttemptReport> broadcasts;
    RunTable table;
};

RunningRow row(const std::string& job, uint64_t run, uint32_t percent = 10) { return { { job, 0, 0 }, run, percent }; }

EndedRow ended(uint64_t number, const std::string& job, uint64_t run, RunEnd how) { return { number, { job, 0, 0 }, run, how }; }

} // namespace

// Entries that don't know of each other send more tasks than the upstream has capacity for.
Test(RunTable, startsAreLimitedByTheCapacity)
{
    Agent agent;
    for (int n = 0; n < 11; ++n)
        agent.start(n % 2 == 0 ? "e1" : "e2", "job" + std::to_string(n));
    cr_assert_eq(agent.starts.size(), 10);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
    cr_assert_eq(agent.lastReason(), "no_room");
}

// A run that has been ordered to stop keeps its resources until its end is listed.
Test(RunTable, stoppingRunsKeepTheirResources)
{
    Agent agent;
    for (int n = 0; n < 10; ++n) {
        agent.start("e1", "job" + std::to_string(n));
        agent.confirm();
    }
    agent.stop("e1", "job0");
    cr_assert_eq(agent.stops.size(), 1);
    agent.start("e1", "next");
    cr_assert_eq(agent.starts.size(), 10);
    std::vector<RunningRow> rest;
    for (int n = 1; n < 10; ++n)
        rest.push_back(row("job" + std::to_string(n), 1));
    agent.list(rest, { ended(1, "job0", 1, RunEnd::Stopped) });
    agent.start("e1", "again");
    cr_assert_eq(agent.starts.size(), 11);
}

// A start without an answer may be carried out seconds later, so its resources stay reserved for that time.
Test(RunTable, unansweredStartsKeepTheirResourcesUntilTheLeaseExpires)
{
    Agent agent;
    agent.start("e1", "big", 60000);
    for (int n = 0; n < 3; ++n)
        agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unanswered);
    cr_assert_eq(agent.starts.size(), 3, "two retries under the same number");
    cr_assert_eq(agent.starts[0].second.run, agent.starts[2].second.run);
    agent.advance(ms(100));
    agent.list({}, {});
    agent.start("e1", "small", 6000);
    cr_assert_eq(agent.lastReason(), "no_room");
    agent.advance(ms(400));
    agent.list({}, {});
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
    cr_assert_eq(agent.lastReason(), "start_unanswered");
}

// An entry is killed, and its callers retry their jobs after 1,300 ms; the old runs must have been stopped by then.
Test(RunTable, runsOfAnUnresponsiveEntryAreStopped)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    for (int n = 0; n < 8; ++n) {
        agent.advance(ms(100));
        agent.list({ row("job", 1) }, {});
    }
    cr_assert_eq(agent.stops.size(), 1);
    cr_assert_eq(agent.stops[0].run, 1);
}

// The lease starts at the clock that the entry has seen, not at the arrival of its message.
Test(RunTable, delayedMessagesDoNotRenewTheEntryLease)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    const auto old = agent.message("e1");
    for (int n = 0; n < 8; ++n) {
        agent.advance(ms(100));
        agent.table.onEntry(agent.now, old);
        agent.list({ row("job", 1) }, {});
    }
    cr_assert_eq(agent.stops.size(), 1);
}

Test(RunTable, lateStartsAreRefused)
{
    Agent agent;
    auto it = agent.message("e1");
    Agent::addStart(it, "job", 6000, agent.now + ms(200));
    agent.advance(ms(300));
    agent.list({}, {});
    agent.table.onEntry(agent.now, it);
    cr_assert(agent.starts.empty());
    cr_assert_eq(agent.lastReason(), "too_late");
}

// An upstream crashes and restarts under the same name, without a record of earlier runs.
Test(RunTable, aRestartOfTheUpstreamLosesAllRuns)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.list({ row("job", 1) }, {});
    agent.announce(2, 1, false);
    cr_assert(agent.accepted);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "an announcement does not prove that another process is there");
    agent.incarnation = 2;
    agent.table.onListing(agent.now, agent.now, Listing { 2, agent.clock(), {}, {} });
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
    cr_assert_eq(agent.lastReason(), "upstream_restarted");
    agent.list({}, {});
    agent.start("e1", "after");
    cr_assert_eq(agent.starts.size(), 2);
}

// Any process can send an announcement. One of another writer, with a later time of birth, was taken for the next process: runs
// that went on were reported as lost and started a second time elsewhere, and the upstream was never used again.
Test(RunTable, anAnnouncementOfAnotherWriterEndsNoRun)
{
    for (const std::string instance : { "x-4417", "i-1" }) {
        Agent agent;
        agent.start("e1", "job");
        agent.confirm();
        agent.list({ row("job", 1) }, {});
        Announcement other;
        other.instance = instance;
        other.bornMs = 5000;
        other.sequence = 1;
        other.service = "thermograph";
        other.capacity = { 8000, 16384, 0 };
        agent.table.onAnnouncement(agent.now, other);
        cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "%s", agent.lastReason().c_str());
        // The upstream goes on.
        for (uint64_t n = 2; n < 12; ++n) {
            agent.advance(ms(100));
            agent.table.onEntry(agent.now, agent.message("e1"));
            agent.announce(1, n, false);
            agent.list({ row("job", 1) }, {});
            cr_assert(agent.hold.leaseUntilMs.has_value(), "its lease is renewed");
        }
        cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "%s", agent.lastReason().c_str());
        cr_assert(agent.table.accepting(agent.now));
        cr_assert_eq(agent.table.offer(agent.now).service(), "s");
        cr_assert_eq(agent.table.offer(agent.now).capacity().cores_milli(), 64000);
        agent.start("e1", "next");
        cr_assert_eq(agent.starts.size(), 2);
        cr_assert_eq(agent.starts.back().second.instance, "i-1");
    }
}

// Before the upstream has announced itself, another writer has.
Test(RunTable, anAnnouncementOfAnotherWriterDoesNotKeepTheUpstreamOutOfUse)
{
    for (const uint64_t born : { 1, 2, 5000 }) {
        Agent agent(true, false);
        agent.announce(born, 900, false, "x-4417");
        agent.incarnation = 2;
        agent.list({}, {});
        agent.announce(2, 1, false);
        agent.list({}, {});
        cr_assert(agent.table.accepting(agent.now), "born %d", static_cast<int>(born));
        agent.start("e1", "job");
        cr_assert_eq(agent.starts.size(), 1);
        cr_assert_eq(agent.starts.back().second.instance, "i-1");
    }
}

// The wall clock is set back between two starts of the upstream, so its next process seems to be the older one. It was ignored.
Test(RunTable, aProcessWithAnEarlierTimeOfBirthIsUsed)
{
    Agent agent;
    agent.announce(5000, 1, false);
    agent.list({}, {});
    agent.start("e1", "job");
    agent.confirm();
    agent.list({ row("job", 1) }, {});
    agent.announce(4000, 1, false);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "%s", agent.lastReason().c_str());
    agent.incarnation = 4000;
    agent.list({}, {});
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
    cr_assert_eq(agent.lastReason(), "upstream_restarted");
    cr_assert(agent.table.accepting(agent.now));
}

// A listing of the process before that was asked for before the next one answered.
Test(RunTable, aListingOfAnEarlierProcessDoesNotBringItBack)
{
    Agent agent;
    const TimePoint sent = agent.now;
    agent.advance(ms(20));
    agent.announce(2, 1, false);
    agent.list({}, {});
    agent.start("e1", "job");
    agent.confirm();
    agent.list({ row("job", 1) }, {});
    agent.table.onListing(agent.now, sent, Listing { 1, agent.clock(), {}, {} });
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "%s", agent.lastReason().c_str());
    cr_assert(agent.table.accepting(agent.now));
}

// An announcement may be that of the next process, which answers no hold with another name and must not forget its ends.
Test(RunTable, aClaimIsVerifiedByAHoldThatAnyProcessAnswers)
{
    Agent agent;
    agent.start("e1", "job");
    agent.list({ row("job", 1) }, { ended(1, "earlier", 1, RunEnd::Done) });
    const uint64_t fence = agent.hold.fence;
    agent.announce(2, 1, false, "i-2");
    const HoldOrder verification = agent.table.nextHold(agent.now);
    cr_assert_eq(verification.instance, "");
    cr_assert_eq(verification.acknowledged, 0);
    cr_assert_gt(verification.fence, fence, "the next process refuses the orders for the one before from then on");
    agent.incarnation = 1;
    agent.list({ row("job", 1) }, {});
    agent.announce(2, 2, false, "i-2");
    cr_assert_eq(agent.table.nextHold(agent.now).instance, "i-1", "the same claim is verified once");
    cr_assert_eq(agent.hold.acknowledged, 1);
}

// An announcement delayed by a partition arrives after its sender has restarted.
Test(RunTable, announcementsOfAnEarlierIncarnationAreIgnored)
{
    Agent agent;
    agent.announce(5, 1, false);
    agent.list({}, {});
    agent.announce(1, 9, true);
    cr_assert_not(agent.accepted);
    agent.list({}, {});
    cr_assert(agent.table.accepting(agent.now));
    agent.announce(5, 1, true);
    cr_assert_not(agent.accepted, "the same sequence again");
}

Test(RunTable, aLeavingUpstreamStartsNothing)
{
    Agent agent;
    agent.announce(1, 2, true);
    agent.start("e1", "job");
    cr_assert(agent.starts.empty());
    cr_assert_eq(agent.lastReason(), "not_accepting");
}

// The agent was killed and restarts while runs of its earlier process are still in progress.
Test(RunTable, orphanedRunsBlockStarts)
{
    Agent agent;
    agent.list({ row("unknown", 3) }, {});
    cr_assert_eq(agent.stops.size(), 1);
    agent.start("e1", "job");
    cr_assert_eq(agent.lastReason(), "not_accepting");
    agent.advance(ms(50));
    agent.list({}, { ended(1, "unknown", 3, RunEnd::Stopped) });
    agent.start("e1", "again");
    cr_assert_eq(agent.starts.size(), 1);
}

// The upstream is partitioned from the agent and continues its runs until their lease expires.
Test(RunTable, runsOfAnUnreachableUpstreamAreLostWhenTheirLeaseExpires)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.list({ row("job", 1) }, {});
    const size_t before = agent.reports.size();
    agent.advance(ms(450));
    agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    cr_assert_eq(agent.reports.size(), before, "it may still run");
    agent.advance(ms(50));
    agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
    cr_assert_eq(agent.lastReason(), "lease_lapsed");
}

// An upstream that fails every task at once always has free capacity and would attract ever more work.
Test(RunTable, aFailingUpstreamIsProbedWithOneTask)
{
    Agent agent;
    for (uint64_t n = 1; n <= 3; ++n) {
        const std::string job = "job" + std::to_string(n);
        agent.start("e1", job);
        agent.confirm();
        agent.list({}, { ended(n, job, 1, RunEnd::Failed) });
    }
    agent.start("e1", "next");
    cr_assert_eq(agent.lastReason(), "ejected");
    cr_assert_not(agent.table.offer(agent.now).accepting());
    for (int n = 0; n < 5; ++n) {
        agent.advance(ms(100));
        agent.list({}, {});
    }
    agent.start("e1", "probe");
    cr_assert_eq(agent.starts.size(), 4);
    agent.start("e1", "second");
    cr_assert_eq(agent.lastReason(), "ejected", "one probe at a time");
    agent.confirm();
    agent.list({}, { ended(4, "probe", 1, RunEnd::Done) });
    agent.start("e1", "well");
    agent.start("e1", "again");
    cr_assert_eq(agent.starts.size(), 6);
}

// The whole system is at capacity, and tasks of different urgency queue at the entries.
Test(RunTable, freedResourcesAreGrantedToTheMostUrgentTask)
{
    Agent agent;
    agent.start("e1", "full", 64000);
    agent.confirm();
    const auto demand = [&](const std::string& entry, uint32_t priority, uint32_t waited) {
        auto it = agent.message(entry);
        it.mutable_demand()->set_tasks(1);
        it.mutable_demand()->set_priority(priority);
        it.mutable_demand()->set_waited_ms(waited);
        it.mutable_demand()->mutable_need()->set_cores_milli(40000);
        agent.table.onEntry(agent.now, it);
    };
    demand("e2", 2, 500);
    demand("e3", 1, 10);
    demand("e4", 1, 20);
    cr_assert(agent.grants.empty());
    agent.list({}, { ended(1, "full", 1, RunEnd::Done) });
    cr_assert_eq(agent.grants.size(), 1);
    cr_assert_eq(agent.grants[0].first, "e4");
    agent.start("e1", "other", 40000);
    cr_assert_eq(agent.lastReason(), "no_room", "granted resources stay reserved");
    agent.start("e4", "granted", 40000, agent.grants[0].second.id());
    cr_assert_eq(agent.starts.size(), 2);
}

Test(RunTable, unusedGrantsExpire)
{
    Agent agent;
    auto it = agent.message("e2");
    it.mutable_demand()->set_tasks(1);
    it.mutable_demand()->mutable_need()->set_cores_milli(60000);
    agent.table.onEntry(agent.now, it);
    cr_assert_eq(agent.grants.size(), 1);
    agent.advance(ms(100));
    agent.list({}, {});
    agent.start("e1", "job", 60000);
    cr_assert_eq(agent.starts.size(), 1);
}

// An upstream refuses a run number unless it is higher than those that have ended there, so a retried job gets the next one.
Test(RunTable, runNumbersIncrease)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.list({}, { ended(1, "job", 1, RunEnd::Stopped) });
    agent.start("e2", "job");
    cr_assert_eq(agent.starts.back().second.run, 2);
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Superseded);
    cr_assert_eq(agent.starts.back().second.run, 3);
}

// Some answers of the upstream are lost. Runs of about 60 ms must not keep their resources for hundreds of milliseconds.
Test(RunTable, lostAnswersShortenTheNextHolds)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    const Duration usual = agent.table.nextHold(agent.now).wait;
    agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    cr_assert_leq(agent.table.nextHold(agent.now).wait, ms(30));
    // One answer in three is lost.
    for (int n = 0; n < 30; ++n) {
        agent.advance(ms(60));
        agent.table.onEntry(agent.now, agent.message("e1"));
        if (n % 3 == 2)
            agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
        else
            agent.list({ row("job", 1) }, {});
        cr_assert_leq(agent.table.nextHold(agent.now).wait, ms(30));
    }
    for (int n = 0; n < 5; ++n) {
        agent.advance(ms(201));
        agent.table.onEntry(agent.now, agent.message("e1"));
        agent.list({ row("job", 1) }, {});
    }
    cr_assert_eq(agent.table.nextHold(agent.now).wait, usual);
}

// The answer to a start is lost, and the task has run to its end by the time of the retry.
Test(RunTable, aSupersededRetryOfAStartHasRun)
{
    Agent agent;
    agent.start("e1", "job");
    const uint64_t serial = agent.starts.back().first;
    agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered);
    cr_assert_eq(agent.starts.size(), 2, "the same number is sent again");
    agent.advance(ms(5));
    agent.table.onStartReply(agent.now, serial, StartVerdict::Superseded);
    cr_assert_eq(agent.starts.size(), 2, "not a second time under a new number");
    cr_assert(agent.reports.empty(), "nothing is certain yet");
    agent.list({}, { ended(1, "job", 1, RunEnd::Done) });
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_DONE);
}

// The answer to a start is lost and its repeat is refused: the task, which runs, must not be reported as not started, since its
// entry would start it elsewhere at once.
Test(RunTable, aRefusedRepeatDoesNotEndAnUnansweredStart)
{
    for (const StartVerdict refusal : { StartVerdict::Unhealthy, StartVerdict::NoRoom, StartVerdict::Invalid, StartVerdict::Late,
             StartVerdict::Fenced, StartVerdict::Superseded }) {
        Agent agent;
        agent.start("e1", "job", 60000);
        const uint64_t serial = agent.starts.back().first;
        agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered);
        // Late and fenced sends are repeated once more.
        for (size_t n = 1; n < 3; ++n)
            agent.table.onStartReply(agent.now, serial, refusal);
        cr_assert(agent.reports.empty(), "%s", std::string(toString(refusal)).c_str());
        agent.start("e1", "other", 6000);
        cr_assert_eq(agent.lastReason(), "no_room", "the run may hold its resources");
        agent.advance(ms(20));
        agent.list({ row("job", 1) }, {});
        cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED);
        agent.list({}, { ended(1, "job", 1, RunEnd::Done) });
        cr_assert_eq(agent.lastState(), wire::ATTEMPT_DONE);
    }
}

// An unanswered start with a refused repeat that was not carried out either is settled by the first listing after its lease.
Test(RunTable, anUndecidedStartIsSettledByItsLease)
{
    Agent agent;
    agent.start("e1", "job");
    const uint64_t serial = agent.starts.back().first;
    agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered);
    agent.table.onStartReply(agent.now, serial, StartVerdict::Unhealthy);
    for (int n = 0; n < 4; ++n) {
        agent.advance(ms(100));
        agent.list({}, {});
        cr_assert(agent.reports.empty(), "it may still be carried out");
    }
    agent.advance(ms(100));
    agent.list({}, {});
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
}

// An upstream crashes under an unanswered start. The listings of its next process know nothing of what ran before; taken for
// proof that the task never started, they would let its caller be told so.
Test(RunTable, anUnansweredStartIsLostWithARestartOfTheUpstream)
{
    for (const int64_t downtime : { 50, 2000 }) {
        Agent agent;
        agent.start("e1", "job");
        const uint64_t serial = agent.starts.back().first;
        agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered);
        agent.table.onStartReply(agent.now, serial, StartVerdict::Unhealthy);
        agent.advance(ms(downtime));
        agent.announce(2, 1, false);
        for (int n = 0; n < 10; ++n) {
            agent.list({}, {});
            agent.advance(ms(100));
        }
        cr_assert_eq(agent.reports.size(), 1);
        cr_assert_eq(
            agent.lastState(), wire::ATTEMPT_LOST, "%s after %d ms", agent.lastReason().c_str(), static_cast<int>(downtime));
        agent.start("e1", "other", 60000);
        cr_assert_eq(agent.starts.back().second.task.job, "other", "its resources are free again");
    }
}

// Entries count the crashes under a task, so each one must be told, also of attempts whose leases ended before the upstream was
// back, and none of attempts that cannot have been there.
Test(RunTable, aCrashIsReportedForTheAttemptsUnderIt)
{
    Agent agent;
    agent.start("e1", "running");
    agent.confirm();
    agent.start("e2", "undecided");
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unanswered);
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unhealthy);
    agent.start("e1", "refused");
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unhealthy);
    agent.list({ row("running", 1) }, {});
    agent.announce(2, 1, false);
    cr_assert(agent.broadcasts.empty(), "no answer of the next process yet");
    agent.list({}, {});
    cr_assert_eq(agent.broadcasts.size(), 1, "the next process may still carry the other one out");
    cr_assert_eq(agent.broadcasts[0].key().job(), "running");
    cr_assert_eq(agent.broadcasts[0].state(), wire::ATTEMPT_CRASHED);
    cr_assert_eq(agent.broadcasts[0].process_ms(), 1);
    agent.list({}, {});
    cr_assert_eq(agent.broadcasts.size(), 2);
    cr_assert_eq(agent.broadcasts[1].key().job(), "undecided");
    cr_assert_eq(agent.broadcasts[1].state(), wire::ATTEMPT_CRASHED);
    cr_assert_eq(agent.broadcasts[1].process_ms(), 1);

    agent.advance(ms(1000));
    agent.list({}, {});
    agent.start("e1", "lapsed");
    agent.confirm();
    agent.list({ row("lapsed", 1) }, {});
    agent.advance(ms(1000));
    agent.table.tick(agent.now);
    cr_assert_eq(agent.lastReason(), "lease_lapsed");
    agent.announce(3, 1, false);
    agent.list({}, {});
    cr_assert_eq(agent.broadcasts.size(), 3);
    cr_assert_eq(agent.broadcasts[2].key().job(), "lapsed");
}

// An upstream that was only out of reach has not crashed.
Test(RunTable, noCrashIsReportedForAnUpstreamThatLivesOn)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.list({ row("job", 1) }, {});
    agent.advance(ms(1000));
    agent.table.tick(agent.now);
    cr_assert_eq(agent.lastReason(), "lease_lapsed");
    agent.list({}, {});
    agent.announce(2, 1, false);
    agent.list({}, {});
    cr_assert(agent.broadcasts.empty());
}

// A start that was refused each time has not run, so its task can be started elsewhere at once.
Test(RunTable, aStartThatIsAlwaysRefusedIsGivenBackAtOnce)
{
    Agent agent;
    agent.start("e1", "job");
    const uint64_t serial = agent.starts.back().first;
    agent.table.onStartReply(agent.now, serial, StartVerdict::Fenced);
    agent.table.onStartReply(agent.now, serial, StartVerdict::Unhealthy);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
}

// The start of an attempt was lost with a link. Unless its stop is answered, the entry waits for its end for ever, and refuses
// every later submission of the job.
Test(RunTable, theStopOfAnUnknownAttemptIsAnswered)
{
    Agent agent;
    agent.stop("e1", "lost");
    cr_assert_eq(agent.reports.size(), 1);
    cr_assert_eq(agent.reports[0].first, "e1");
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST, "it may have run, as far as this agent knows");
    cr_assert_eq(agent.lastReason(), "unknown_attempt");
    agent.stop("e1", "lost");
    cr_assert_eq(agent.reports.size(), 1, "repeated stops are not answered again at once");
    agent.advance(ms(3000));
    agent.list({}, {});
    agent.stop("e1", "lost");
    cr_assert_eq(agent.reports.size(), 2, "the report may have been discarded with its link");
}

// Entries repeat a stop until they have the report of the end; the report that is on its way is not contradicted by another.
Test(RunTable, aRepeatedStopOfAnEndedAttemptIsIgnored)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.stop("e1", "job");
    agent.stop("e1", "job");
    cr_assert_eq(agent.stops.size(), 1);
    agent.list({}, { ended(1, "job", 1, RunEnd::Done) });
    const size_t before = agent.reports.size();
    agent.stop("e1", "job");
    cr_assert_eq(agent.reports.size(), before);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_DONE);
}

// A job is given up in the moment in which its task is dispatched, so start and stop come in one message. The task must not run
// for a caller who has gone.
Test(RunTable, aStartThatComesWithItsStopIsNotCarriedOut)
{
    Agent agent;
    auto it = agent.message("e1");
    Agent::addStart(it, "job", 6000, agent.now + ms(200));
    *it.add_stops() = it.starts(0).key();
    agent.table.onEntry(agent.now, it);
    cr_assert(agent.starts.empty());
    cr_assert_eq(agent.reports.size(), 1);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
}

// Messages of a former link may arrive after those of the next one.
Test(RunTable, aStartThatArrivesAfterItsStopIsNotCarriedOut)
{
    Agent agent;
    agent.stop("e1", "job");
    agent.start("e1", "job");
    cr_assert(agent.starts.empty());
    agent.start("e2", "job");
    cr_assert_eq(agent.starts.size(), 1, "the same attempt number of another entry");
}

// An upstream leaves requests undone, so a stop has no effect. Its run must end within 1,300 ms, when the caller submits the job
// again; the lease ends it unless it is renewed for the sake of the other runs.
Test(RunTable, aStopWithoutEffectEndsTheRenewalOfLeases)
{
    Agent agent;
    agent.start("e1", "stopped");
    agent.confirm();
    agent.start("e2", "other");
    agent.confirm();
    agent.stop("e1", "stopped");
    const TimePoint stopped = agent.now;
    uint64_t leaseUntilMs = 0;
    for (int n = 0; n < 12; ++n) {
        agent.advance(ms(100));
        for (const char* it : { "e1", "e2" })
            agent.table.onEntry(agent.now, agent.message(it));
        agent.table.onStopReply(agent.now, agent.stops.back(), false);
        agent.list({ row("stopped", 1), row("other", 1) }, {});
        leaseUntilMs = std::max(leaseUntilMs, agent.hold.leaseUntilMs.value_or(0));
        if (agent.table.running() == 0)
            break;
        const bool withheld = agent.now - stopped >= RunTableOptions().stopGrace;
        cr_assert_eq(agent.hold.leaseUntilMs.has_value(), !withheld);
        cr_assert_eq(agent.table.offer(agent.now).accepting(), !withheld, "a start would renew the lease");
    }
    cr_assert_lt(leaseUntilMs, static_cast<uint64_t>(toMs(stopped.time_since_epoch())) + 1100);
    cr_assert_eq(agent.table.running(), 0, "the agent knows that the lease is over");
    agent.list({}, { ended(1, "stopped", 1, RunEnd::Lapsed), ended(2, "other", 1, RunEnd::Lapsed) });
    agent.start("e1", "next");
    cr_assert_eq(agent.starts.size(), 3);
    agent.confirm();
    agent.list({ row("next", 1) }, {});
    cr_assert(agent.hold.leaseUntilMs.has_value());
}

// The entry of a run is dead or cut off, and the stops of the agent have no effect.
Test(RunTable, runsOfADeadEntryAreNotRenewed)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.start("e2", "other");
    agent.confirm();
    for (int n = 0; n < 10; ++n) {
        agent.advance(ms(100));
        agent.table.onEntry(agent.now, agent.message("e2"));
        agent.list({ row("job", 1), row("other", 1) }, {});
        const bool leased = ms(100) * (n + 1) < RunTableOptions().entryLease;
        cr_assert_eq(agent.hold.leaseUntilMs.has_value(), leased);
    }
}

// A run that the agent does not know is listed beside its own runs.
Test(RunTable, orphanedRunsAreNotRenewed)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.list({ row("job", 1), row("unknown", 3) }, {});
    cr_assert_not(agent.hold.leaseUntilMs.has_value());
    agent.advance(ms(20));
    agent.list({ row("job", 1) }, { ended(1, "unknown", 3, RunEnd::Stopped) });
    cr_assert(agent.hold.leaseUntilMs.has_value());
}

// A foreign run was listed, and the next listing has a row that cannot be read: its own.
Test(RunTable, aForeignRunIsForgottenWhenItsRowCannotBeRead)
{
    Agent agent;
    agent.advance(ms(10));
    agent.list({ row("foreign", 3) }, {});
    cr_assert_not(agent.table.accepting(agent.now));
    agent.advance(ms(20));
    agent.list({}, {}, false);
    cr_assert_not(agent.table.accepting(agent.now), "the run may be there");
}

// A hold without an answer is carried out seconds later, when its agent has died, and renews the leases of its runs.
Test(RunTable, anOrderWithoutAnAnswerIsFencedOffByTheNextOne)
{
    Agent agent;
    agent.start("e1", "job");
    const uint64_t first = agent.starts.back().second.fence;
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unanswered);
    const uint64_t repeated = agent.starts.back().second.fence;
    cr_assert_gt(repeated, first);
    agent.confirm();
    agent.list({ row("job", 1) }, {});
    cr_assert_eq(agent.hold.fence, repeated, "an answered order needs no higher token");
    agent.advance(ms(160));
    agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    cr_assert_gt(agent.table.nextHold(agent.now).fence, repeated);
}

// A repeat of a start has no answer, while a listing shows that the task runs, or has ended.
Test(RunTable, aRepeatWithoutAnAnswerIsFencedOffAlthoughItsTaskRuns)
{
    for (const bool ended : { false, true }) {
        Agent agent;
        agent.start("e1", "job");
        if (ended)
            agent.list({}, { EndedRow { 1, { "job", 0, 0 }, 1, RunEnd::Done } });
        else
            agent.list({ row("job", 1) }, {});
        agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unanswered);
        cr_assert_gt(agent.table.nextHold(agent.now).fence, agent.starts.back().second.fence);
    }
}

// An order is refused since a later one of the same agent has overtaken it. Raising the token beyond that would fence off orders
// of the next process of the agent, whose token is a wall clock.
Test(RunTable, anOvertakenOrderIsRepeatedWithTheCurrentToken)
{
    Agent agent;
    agent.start("e1", "job");
    const auto overtaken = agent.starts.back();
    agent.advance(ms(160));
    agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    agent.hold = agent.table.nextHold(agent.now);
    agent.table.onStartReply(agent.now, overtaken.first, StartVerdict::Fenced);
    cr_assert_eq(agent.starts.size(), 2);
    cr_assert_eq(agent.starts.back().second.fence, agent.hold.fence);
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unanswered);
    agent.table.onHoldFailure(agent.now, HoldFailure::Fenced);
    cr_assert_eq(agent.table.nextHold(agent.now).fence, agent.hold.fence + 1, "the hold was overtaken by the repeat");
}

// An overtaken stop is refused, and answered.
Test(RunTable, aStopThatMayHaveBeenOvertakenIsSentAgainSoon)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.stop("e1", "job");
    agent.advance(ms(20));
    agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    agent.table.onStopReply(agent.now, agent.stops.back(), true);
    agent.advance(ms(40));
    agent.table.tick(agent.now);
    cr_assert_eq(agent.stops.size(), 2);
    cr_assert_gt(agent.stops[1].fence, agent.stops[0].fence);
}

// A row of a listing cannot be read. It may be the row of a run that is missing from the others, which must not be started
// elsewhere for that reason.
Test(RunTable, anIncompleteListingEndsNoRun)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.advance(ms(50));
    const size_t before = agent.reports.size();
    Listing listing { 1, agent.clock(), {}, {}, false };
    agent.table.onListing(agent.now, agent.now, listing);
    cr_assert_eq(agent.reports.size(), before);
    listing.complete = true;
    agent.table.onListing(agent.now, agent.now, listing);
    cr_assert_eq(agent.lastReason(), "vanished");
}

// Entries take it for the end of all runs of an agent's earlier process when the next one accepts starts. A row of its first
// listings cannot be read.
Test(RunTable, aNewAgentStartsNothingBesideARunThatItCannotRead)
{
    Agent agent(false);
    for (int n = 0; n < 10; ++n) {
        cr_assert_not(agent.table.accepting(agent.now));
        agent.start("e1", "job" + std::to_string(n));
        cr_assert_eq(agent.lastReason(), "not_accepting");
        agent.advance(ms(100));
        agent.list({}, {}, false);
        cr_assert_not(agent.hold.leaseUntilMs.has_value());
    }
    agent.advance(ms(100));
    agent.list({}, {}, false);
    cr_assert(agent.table.accepting(agent.now), "the longest lease of an earlier agent is over");

    Agent other(false);
    other.advance(ms(100));
    other.list({}, {});
    cr_assert(other.table.accepting(other.now), "all rows could be read");
}

// A stop that takes effect within its grace costs the other runs nothing.
Test(RunTable, aStopInTimeDoesNotEndTheRenewalOfLeases)
{
    Agent agent;
    agent.start("e1", "stopped");
    agent.confirm();
    agent.start("e1", "other");
    agent.confirm();
    agent.stop("e1", "stopped");
    agent.advance(ms(60));
    agent.list({ row("stopped", 1), row("other", 1) }, {});
    cr_assert(agent.hold.leaseUntilMs.has_value());
    agent.list({ row("other", 1) }, { ended(1, "stopped", 1, RunEnd::Stopped) });
    for (int n = 0; n < 8; ++n) {
        agent.advance(ms(100));
        agent.table.onEntry(agent.now, agent.message("e1"));
        agent.list({ row("other", 1) }, {});
        cr_assert(agent.hold.leaseUntilMs.has_value());
    }
}

// Many runs are stopped at once on an upstream that leaves requests undone. Copies of orders that wait for their turn would delay
// the other stops.
Test(RunTable, aStopInFlightIsNotSentAgain)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.stop("e1", "job");
    const auto later = [&](int64_t milliseconds) {
        agent.advance(ms(milliseconds));
        agent.table.onEntry(agent.now, agent.message("e1"));
        agent.list({ row("job", 1) }, {});
    };
    later(200);
    later(200);
    cr_assert_eq(agent.stops.size(), 1);
    agent.table.onStopReply(agent.now, agent.stops.back(), false);
    agent.table.tick(agent.now);
    cr_assert_eq(agent.stops.size(), 1, "an upstream that is down refuses each order at once");
    later(40);
    cr_assert_eq(agent.stops.size(), 2, "soon after a missing answer");
    agent.table.onStopReply(agent.now, agent.stops.back(), true);
    later(100);
    cr_assert_eq(agent.stops.size(), 2, "an answered stop has some time to take effect");
    later(100);
    cr_assert_eq(agent.stops.size(), 3);
}

// The end of a task is listed in a row that can't be read, and is acknowledged with a later one. The listings after that do not
// show whether the task has run.
Test(RunTable, anUnansweredStartIsLostWithAnUnreadableEnd)
{
    Agent agent;
    agent.start("e1", "job");
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unanswered);
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unhealthy);
    agent.advance(ms(20));
    agent.table.onListing(
        agent.now, agent.now, Listing { agent.incarnation, agent.clock(), {}, { ended(2, "other", 1, RunEnd::Done) }, false });
    for (int n = 0; n < 10; ++n) {
        agent.advance(ms(100));
        agent.list({}, {});
    }
    cr_assert_eq(agent.reports.size(), 1);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
}

// An upstream shuts down for planned work. Counted as a crash, two such ends would fail the job of a task that crashes nothing.
Test(RunTable, noCrashIsReportedForAnUpstreamThatDeparted)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.announce(1, 2, true);
    agent.table.onDeparture(agent.now, "i-1");
    agent.advance(ms(1000));
    agent.table.tick(agent.now);
    agent.announce(2, 1, false);
    agent.list({}, {});
    cr_assert(agent.broadcasts.empty());
}

// An upstream is back within milliseconds and accepts a start before its agent knows of the new process. Called lost with the
// process before, the task would be started elsewhere beside this run.
Test(RunTable, aRunThatTheNextProcessAcceptedIsNotLostWithTheOneBefore)
{
    for (const bool refusedOnce : { false, true }) {
        Agent agent;
        agent.start("e1", "job");
        const uint64_t serial = agent.starts.back().first;
        if (refusedOnce)
            agent.table.onStartReply(agent.now, serial, StartVerdict::Late);
        agent.confirm();
        agent.advance(ms(9));
        agent.announce(2, 1, false);
        cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "%s", agent.lastReason().c_str());
        agent.advance(ms(70));
        agent.list({ row("job", 1) }, {});
        cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "%s", agent.lastReason().c_str());
        cr_assert(agent.stops.empty(), "it is no foreign run");
        agent.advance(ms(70));
        agent.list({}, { ended(1, "job", 1, RunEnd::Done) });
        cr_assert_eq(agent.lastState(), wire::ATTEMPT_DONE);
        cr_assert(agent.broadcasts.empty(), "no crash under it");
    }
}

// The reply to a start does not tell which process gave it; the first listing of the next process does.
Test(RunTable, aRunThatTheProcessBeforeAcceptedIsLostWithAListingOfTheNext)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.advance(ms(20));
    agent.announce(2, 1, false);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED);
    cr_assert(agent.broadcasts.empty());
    agent.list({}, {});
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
    cr_assert_eq(agent.lastReason(), "upstream_restarted");
    cr_assert_eq(agent.broadcasts.size(), 1);
    cr_assert_eq(agent.broadcasts[0].process_ms(), 1);
}

// An order without an answer may be carried out by the next process. It no longer can be once that process has answered a hold
// with a higher fencing token.
Test(RunTable, anUnansweredStartIsLostOnceTheNextProcessRefusesIt)
{
    for (const bool carriedOut : { false, true }) {
        Agent agent;
        agent.start("e1", "job");
        const uint64_t serial = agent.starts.back().first;
        agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered);
        agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered);
        agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered);
        agent.advance(ms(20));
        agent.announce(2, 1, false);
        cr_assert_lt(agent.starts.back().second.fence, agent.table.nextHold(agent.now).fence);

        Agent early;
        early.start("e1", "job");
        for (int n = 0; n < 3; ++n)
            early.table.onStartReply(early.now, early.starts.back().first, StartVerdict::Unanswered);
        early.advance(ms(20));
        early.announce(2, 1, false);
        early.advance(ms(20));
        early.list({}, {});
        cr_assert(early.reports.empty(), "that hold was sent before the restart was known");

        agent.advance(ms(20));
        if (carriedOut) {
            agent.list({ row("job", 1) }, {});
            cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED);
        } else {
            agent.list({}, {});
            cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
            cr_assert_eq(agent.broadcasts.size(), 1);
        }
    }
}

// A start that a listing has shown on the process before, with a repeat that has no answer: the repeat may reach the next one.
Test(RunTable, anUnansweredRepeatMayRunOnTheNextProcess)
{
    Agent agent;
    agent.start("e1", "job");
    const uint64_t serial = agent.starts.back().first;
    agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered);
    agent.advance(ms(10));
    agent.list({ row("job", 1) }, {});
    agent.advance(ms(70));
    agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered);
    agent.announce(2, 1, false);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "%s", agent.lastReason().c_str());
    agent.advance(ms(10));
    agent.list({ row("job", 1) }, {});
    agent.list({}, { ended(1, "job", 1, RunEnd::Done) });
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_DONE);
}

// A start that the next process refuses is given back at once, and does not raise the fencing token a second time.
Test(RunTable, aStartThatTheNextProcessRefusesIsGivenBackAtOnce)
{
    Agent agent;
    agent.start("e1", "job");
    const uint64_t serial = agent.starts.back().first;
    agent.announce(2, 1, false);
    agent.list({}, {});
    const uint64_t fence = agent.hold.fence;
    agent.table.onStartReply(agent.now, serial, StartVerdict::Fenced);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
    cr_assert_eq(agent.starts.size(), 1);
    cr_assert_eq(agent.table.nextHold(agent.now).fence, fence);
}

// The ends of the known process are numbered from 1, as are those of the next one. A hold that reaches the next process unawares
// must not make it forget ends that nobody has seen.
Test(RunTable, nothingIsAcknowledgedToAProcessThatMayBeAnother)
{
    Agent agent;
    agent.list({}, { ended(57, "before", 1, RunEnd::Done) });
    cr_assert_eq(agent.hold.acknowledged, 57);
    agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    cr_assert_eq(agent.table.nextHold(agent.now).acknowledged, 0);
    agent.list({}, { ended(57, "before", 1, RunEnd::Done) });
    cr_assert_eq(agent.hold.acknowledged, 57);
}

// Only a reply has shown the run. The process that gave it may be another than the known one, and its lease is then bounded only
// by what an upstream grants at most.
Test(RunTable, aRunThatNoListingHasShownMayHaveTheLongestLease)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    for (int n = 0; n < 10; ++n) {
        agent.advance(ms(100));
        agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    }
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "%s", agent.lastReason().c_str());
    agent.advance(ms(200));
    agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
    cr_assert_eq(agent.lastReason(), "lease_lapsed");
}

// The farewell of an upstream is delayed until its next process has announced itself. Taken for that of the next process, it
// would keep it out of use for good.
Test(RunTable, aLateDepartureDoesNotEndTheUseOfTheNextProcess)
{
    Agent agent;
    agent.announce(2, 1, false);
    agent.table.onDeparture(agent.now, "i-1");
    agent.list({}, {});
    cr_assert_not(agent.table.accepting(agent.now));
    agent.announce(2, 2, true);
    cr_assert_not(agent.table.accepting(agent.now));
    agent.announce(2, 3, false);
    cr_assert(agent.table.accepting(agent.now));
}

// An upstream whose connections are refused has no process, and the next one may be there at any moment.
Test(RunTable, nothingIsStartedAtAnUpstreamThatRefusesConnections)
{
    Agent agent;
    agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    cr_assert(agent.table.accepting(agent.now));
    agent.table.onHoldFailure(agent.now, HoldFailure::Refused);
    cr_assert_not(agent.table.accepting(agent.now));
    agent.start("e1", "job");
    cr_assert_eq(agent.lastReason(), "not_accepting");
    agent.list({}, {});
    cr_assert(agent.table.accepting(agent.now));
}

// The next process has accepted a start whose lease is a time on the clock of the process before, and grants it the longest
// lease.
Test(RunTable, aLeaseByTheClockOfTheProcessBeforeOutlastsItsListing)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.announce(2, 1, false);
    agent.list({ row("job", 1) }, {});
    // A foreign run is listed too, so no lease is renewed.
    for (int n = 0; n < 8; ++n) {
        agent.advance(ms(100));
        agent.table.onEntry(agent.now, agent.message("e1"));
        agent.list({ row("job", 1), row("foreign", 7) }, {});
        cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "listed %d ms after the start, but: %s", (n + 1) * 100,
            agent.lastReason().c_str());
    }
}

// A start leaves the queue of orders up to 450 ms after it was sent, and the next process may grant it the longest lease from
// then.
Test(RunTable, aStartThatWaitedInTheQueueMayHaveTheLongestLease)
{
    Agent agent;
    agent.start("e1", "job");
    agent.advance(ms(500));
    agent.table.onEntry(agent.now, agent.message("e1"));
    agent.confirm();
    for (int n = 0; n < 7; ++n) {
        agent.advance(ms(100));
        agent.table.onEntry(agent.now, agent.message("e1"));
        agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
    }
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "700 ms after its acceptance: %s", agent.lastReason().c_str());
}

// Two restarts. The start is accepted by the second next process, and the reply overtakes a listing of the one between.
Test(RunTable, aReplyAfterTheHoldMayBeThatOfAYetLaterProcess)
{
    Agent agent;
    agent.start("e1", "job");
    agent.announce(2, 1, false);
    agent.hold = agent.table.nextHold(agent.now);
    const TimePoint sent = agent.now;
    agent.advance(ms(20));
    agent.confirm();
    agent.advance(ms(5));
    agent.table.onListing(agent.now, sent, Listing { 2, agent.clock(), {}, {} });
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_STARTED, "%s", agent.lastReason().c_str());
}

// A late departure of the process before must not hide the crash of the known one.
Test(RunTable, aLateDepartureDoesNotHideACrash)
{
    Agent agent;
    agent.announce(2, 1, false);
    agent.list({}, {});
    agent.start("e1", "job");
    agent.confirm();
    agent.list({ row("job", 1) }, {});
    agent.table.onDeparture(agent.now, "i-1");
    agent.announce(3, 1, false);
    agent.list({}, {});
    cr_assert_eq(agent.broadcasts.size(), 1);
}

// A start waits in the queue of orders, or its connection is slow, while its upstream restarts. The clock of the next process
// does not compare with the lease of the order, so that process may still carry it out: called lost now, the task would run
// twice at the same time.
Test(RunTable, aStartThatIsStillOnItsWayIsNotLostWithARestartOfTheUpstream)
{
    Agent agent;
    agent.start("e1", "job");
    agent.announce(2, 1, false);
    for (int n = 0; n < 10; ++n) {
        agent.advance(ms(100));
        agent.list({}, {});
    }
    cr_assert(agent.reports.empty(), "its order has no answer yet: %s", agent.lastReason().c_str());
}

// A late order was carried out by the next process of the upstream.
Test(RunTable, ordersNameTheProcessThatTheyAreMeantFor)
{
    Agent agent;
    agent.start("e1", "job");
    cr_assert_eq(agent.starts.back().second.instance, "i-1");
    agent.confirm();
    agent.stop("e1", "job");
    cr_assert_eq(agent.stops.back().instance, "i-1");
    cr_assert_eq(agent.table.nextHold(agent.now).instance, "i-1");
    agent.announce(2, 1, false, "i-2");
    agent.list({}, {});
    cr_assert_eq(agent.hold.instance, "i-2");
    agent.start("e1", "next");
    cr_assert_eq(agent.starts.back().second.instance, "i-2");
}

// A process is listed before it has told its name.
Test(RunTable, ordersNameNoProcessWhileItsNameIsNotKnown)
{
    Agent agent;
    agent.incarnation = 2;
    agent.list({}, {});
    cr_assert_eq(agent.hold.instance, "");
    agent.announce(2, 1, false, "i-2");
    cr_assert_eq(agent.table.nextHold(agent.now).instance, "i-2");
}

Test(RunTable, aStartThatMeetsAnotherProcessIsGivenBack)
{
    Agent agent;
    agent.start("e1", "job");
    agent.list({ row("job", 1) }, { ended(1, "earlier", 1, RunEnd::Done) });
    agent.start("e1", "next");
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::OtherProcess);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
    cr_assert_eq(agent.lastReason(), "other_process");
    cr_assert_eq(agent.table.running(), 1, "the other run may be with either process");
    cr_assert(!agent.table.accepting(agent.now));
    const HoldOrder hold = agent.table.nextHold(agent.now);
    cr_assert_eq(hold.instance, "");
    cr_assert_eq(hold.acknowledged, 0);
    cr_assert(!hold.leaseUntilMs, "the clock of the other process is not known");
}

// Its earlier send may have been carried out.
Test(RunTable, anUnansweredStartWhoseRepeatMeetsAnotherProcessMayRun)
{
    Agent agent;
    agent.start("e1", "job");
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unanswered);
    cr_assert_eq(agent.starts.size(), 2);
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::OtherProcess);
    cr_assert(agent.reports.empty());
    cr_assert_eq(agent.table.running(), 1);
}

Test(RunTable, aHoldThatMeetsAnotherProcessIsRepeatedWithoutAName)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.table.onHoldFailure(agent.now, HoldFailure::OtherProcess);
    cr_assert(!agent.table.accepting(agent.now));
    cr_assert_eq(agent.table.nextHold(agent.now).instance, "");
    agent.announce(2, 1, false, "i-2");
    agent.list({}, {});
    cr_assert_eq(agent.hold.instance, "i-2");
    cr_assert(agent.table.accepting(agent.now));
}

// The process before has answered a hold that arrives after the next one has refused a start.
Test(RunTable, aListingOfAReplacedProcessDoesNotLetStartsGoOn)
{
    Agent agent;
    agent.start("e1", "job");
    const TimePoint sent = agent.now;
    agent.advance(ms(1));
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::OtherProcess);
    agent.table.onListing(agent.now, sent, Listing { 1, agent.clock(), {}, {} });
    cr_assert(!agent.table.accepting(agent.now));
}

// The refusal of an order for the process before says nothing of the name of the next one.
Test(RunTable, aLateRefusalDoesNotOutdateTheNameOfTheNextProcess)
{
    Agent agent;
    agent.start("e1", "job");
    agent.announce(2, 1, false, "i-2");
    agent.list({}, {});
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::OtherProcess);
    cr_assert(agent.table.accepting(agent.now));
    cr_assert_eq(agent.table.nextHold(agent.now).instance, "i-2");
}

// Every process refuses the announced name, for example since an odd announcement has named another one.
Test(RunTable, anUpstreamThatRefusesItsAnnouncedNameIsUsedWithoutOne)
{
    Agent agent;
    agent.table.onHoldFailure(agent.now, HoldFailure::OtherProcess);
    agent.list({}, {});
    cr_assert(agent.table.accepting(agent.now));
    agent.start("e1", "job");
    cr_assert_eq(agent.starts.back().second.instance, "");
    agent.announce(1, 2, false);
    cr_assert_eq(agent.table.nextHold(agent.now).instance, "");
    agent.announce(1, 3, false, "i-3");
    cr_assert_eq(agent.table.nextHold(agent.now).instance, "i-3");
}

// The lease of an entry may end between two ticks. A start of another entry renewed the lease of its runs once more, since there
// is one for the whole upstream.
Test(RunTable, aStartDoesNotRenewTheRunsOfAnEntryWhoseLeaseIsOver)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    for (int n = 0; n < 6; ++n) {
        agent.advance(ms(115));
        agent.list({ row("job", 1) }, {});
    }
    cr_assert(agent.stops.empty());
    agent.advance(ms(310));
    agent.start("e2", "other");
    cr_assert_eq(agent.starts.size(), 1, "the start would renew the lease until 1,450 ms after the last word of e1");
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
    agent.table.tick(agent.now);
    cr_assert_eq(agent.stops.size(), 1);
}

// The lease of an entry is over by less, and a message of it may wait to be handled: the start gets what is left.
Test(RunTable, aStartLeavesTheRunsOfASilentEntryTheirBound)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    const uint64_t lastWord = agent.clock();
    for (int n = 0; n < 6; ++n) {
        agent.advance(ms(115));
        agent.list({ row("job", 1) }, {});
    }
    agent.advance(ms(110));
    agent.start("e2", "other");
    cr_assert_eq(agent.starts.size(), 2);
    cr_assert_leq(agent.starts.back().second.leaseUntilMs, lastWord + 700 + 450);
}

// A hold was answered by the process that has been replaced, and its answer was handled after the refusal. Starts were sent
// again, without a name and by the clock of that process.
Test(RunTable, aListingThatWasAskedForBeforeARefusalDoesNotEndIt)
{
    Agent agent;
    agent.start("e1", "job");
    agent.list({ row("job", 1) }, {});
    const TimePoint sent = agent.now;
    agent.start("e1", "next");
    agent.advance(ms(5));
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::OtherProcess);
    agent.advance(ms(1));
    agent.table.onListing(agent.now, sent, Listing { 1, agent.clock(), {}, { ended(1, "job", 1, RunEnd::Done) } });
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_DONE, "it still says what became of its runs");
    cr_assert(!agent.table.accepting(agent.now));
    agent.start("e1", "third");
    cr_assert_eq(agent.starts.size(), 2);
    agent.list({}, {});
    cr_assert(agent.table.accepting(agent.now));
}

// Ends were acknowledged no more, and an upstream lists 500 ends at most.
Test(RunTable, anUpstreamThatIsUsedWithoutANameHasItsEndsAcknowledged)
{
    Agent agent;
    agent.table.onHoldFailure(agent.now, HoldFailure::OtherProcess);
    agent.start("e1", "job");
    agent.list({}, { ended(1, "earlier", 1, RunEnd::Done) });
    cr_assert_eq(agent.hold.instance, "");
    cr_assert_eq(agent.hold.acknowledged, 1);
}

// The agent stood still between the upstream's answer and its handling.
Test(RunTable, aListingIsAsOldAsItsAnswerCanBe)
{
    Agent agent;
    const TimePoint sent = agent.now;
    const uint64_t clock = agent.clock();
    agent.advance(ms(3000));
    agent.table.onListing(agent.now, sent, Listing { 1, clock, {}, {} });
    cr_assert(!agent.table.accepting(agent.now));
    agent.start("e1", "job");
    cr_assert(agent.starts.empty());
    agent.list({}, {});
    cr_assert(agent.table.accepting(agent.now));
}

// The upstream's clock runs 2% slow and is read with listings only, so leases that are given without one last longer than meant.
Test(RunTable, leasesByAClockThatWasReadLongAgoLapseLater)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.list({ row("job", 1) }, {});
    const TimePoint readAt = agent.now;
    const uint64_t reading = agent.clock();
    const auto upstreamClock = [&] { return reading + static_cast<uint64_t>(toMs(agent.now - readAt)) * 98 / 100; };
    uint64_t leaseUntil = 0;
    const auto failHold = [&] {
        agent.advance(ms(70));
        agent.table.onHoldFailure(agent.now, HoldFailure::Unanswered);
        leaseUntil = std::max(leaseUntil, agent.table.nextHold(agent.now).leaseUntilMs.value_or(0));
    };
    while (agent.now - readAt < ms(3000)) {
        agent.table.onEntry(agent.now, agent.message("e1"));
        failHold();
    }
    // A stop without effect ends the renewal.
    agent.stop("e1", "job");
    while (upstreamClock() < leaseUntil) {
        cr_assert_eq(agent.table.running(), 1, "%d ms before its lease is over", static_cast<int>(leaseUntil - upstreamClock()));
        failHold();
    }
    for (int n = 0; n < 10; ++n)
        failHold();
    cr_assert_eq(agent.table.running(), 0);
    cr_assert_eq(agent.lastReason(), "lease_lapsed");
}

// A drained domain must get no new work, also through grants and repeated starts, while its runs go on.
Test(RunTable, aDrainedDomainStartsNothingAndKeepsItsRuns)
{
    Agent agent;
    agent.start("e1/1", "a");
    agent.confirm();
    agent.start("e1/1", "unanswered");
    const size_t sent = agent.starts.size();
    agent.table.setDrainedDomains(agent.now, { "d1", "d2" });
    cr_assert_not(agent.table.offer(agent.now).accepting());
    agent.start("e1/1", "b");
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
    cr_assert_eq(agent.lastReason(), "domain_drained");
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unanswered);
    cr_assert_eq(agent.starts.size(), sent, "a start was sent again");
    auto demand = agent.message("e2/1");
    demand.mutable_demand()->set_tasks(1);
    demand.mutable_demand()->mutable_need()->set_cores_milli(1000);
    agent.table.onEntry(agent.now, demand);
    cr_assert(agent.grants.empty());
    cr_assert(agent.stops.empty());
    cr_assert_geq(agent.table.running(), 1U);
    agent.table.setDrainedDomains(agent.now, { "d2" });
    cr_assert(agent.table.offer(agent.now).accepting());
    agent.start("e1/1", "c");
    cr_assert_eq(agent.starts.size(), sent + 1);
}

// A domain that comes back cold would be filled at once by the entries' backlog.
Test(RunTable, aColdUpstreamIsFilledInSteps)
{
    Agent agent;
    agent.announce(1, 2, false, "i-1", ms(400));
    const auto startsOf = [&](const std::string& prefix) {
        const size_t before = agent.starts.size();
        for (int n = 0; n < 10; ++n)
            agent.start("e1/1", prefix + std::to_string(n), 8000);
        return agent.starts.size() - before;
    };
    cr_assert_eq(startsOf("first"), 2U);
    agent.advance(ms(101));
    cr_assert_eq(startsOf("second"), 2U);
    agent.announce(1, 3, false, "i-1", Duration());
    cr_assert_eq(startsOf("warm"), 4U);
}

// Grants for the whole capacity of an idle cold upstream would all be refused but the last one, since they hold more than the
// first step of the warm-up. A task that needs more than that step must still get a grant.
Test(RunTable, grantsOfAnIdleColdUpstreamKeepToTheFirstStep)
{
    Agent agent;
    agent.announce(1, 2, false, "i-1", ms(4000));
    cr_assert_eq(agent.table.offer(agent.now).free().cores_milli(), 16000U);
    auto demand = agent.message("e1/1");
    demand.mutable_demand()->set_tasks(8);
    demand.mutable_demand()->mutable_need()->set_cores_milli(8000);
    agent.table.onEntry(agent.now, demand);
    cr_assert_eq(agent.grants.size(), 2U);
    for (int n = 0; n < 2; ++n)
        agent.start("e1/1", "granted" + std::to_string(n), 8000, agent.grants.at(static_cast<size_t>(n)).second.id());
    cr_assert_eq(agent.starts.size(), 2U);

    Agent other;
    other.announce(1, 2, false, "i-1", ms(4000));
    demand.mutable_demand()->mutable_need()->set_cores_milli(40000);
    other.table.onEntry(other.now, demand);
    cr_assert_eq(other.grants.size(), 1U);
    other.start("e1/1", "large", 40000, other.grants.front().second.id());
    cr_assert_eq(other.starts.size(), 1U);
}

// An upstream whose announced time does not pass must not keep a part of its capacity unused for ever.
Test(RunTable, anUpstreamThatAnnouncesTheSameColdTimeForEverIsUsedInFull)
{
    Agent agent;
    agent.start("e1/1", "running", 1000);
    uint64_t sequence = 1;
    for (int n = 0; n < 20; ++n) {
        agent.announce(1, ++sequence, false, "i-1", ms(4000));
        agent.advance(ms(500));
    }
    cr_assert_eq(agent.table.offer(agent.now).free().cores_milli(), 63000U);
}

// An upstream that says that it is cold while its domain is drained is still cold when the drain is withdrawn.
Test(RunTable, aWithdrawnDrainBeginsTheWarmUp)
{
    Agent agent;
    agent.table.setDrainedDomains(agent.now, { "d1" });
    uint64_t sequence = 1;
    for (int n = 0; n < 20; ++n) {
        agent.announce(1, ++sequence, false, "i-1", ms(4000));
        agent.advance(ms(500));
    }
    agent.table.setDrainedDomains(agent.now, {});
    cr_assert_eq(agent.table.offer(agent.now).free().cores_milli(), 16000U);
}

// Another writer with the same time of birth says nothing about whether the upstream is cold.
Test(RunTable, anotherWriterDoesNotEndTheWarmUp)
{
    Agent agent;
    agent.start("e1/1", "running", 1000);
    agent.announce(1, 2, false, "i-1", ms(4000));
    agent.announce(1, 3, false, "other", Duration());
    cr_assert_eq(agent.table.offer(agent.now).free().cores_milli(), 15000U);
}

namespace {

// Four runs of different jobs progress at a sixth of the expected speed.
void slowDown(Agent& agent)
{
    std::vector<RunningRow> rows;
    for (int n = 1; n <= 4; ++n) {
        const std::string job = "slow" + std::to_string(n);
        agent.start("e1", job);
        agent.confirm();
        rows.push_back(row(job, 1));
    }
    agent.advance(ms(300));
    agent.list(rows, {});
    cr_assert_geq(agent.table.offer(agent.now).slowness_percent(), 250);
}

void endSlowRuns(Agent& agent, RunEnd how)
{
    std::vector<EndedRow> rows;
    for (uint64_t n = 1; n <= 4; ++n)
        rows.push_back(ended(n, "slow" + std::to_string(n), 1, how));
    agent.list({}, rows);
}

void stayIdle(Agent& agent, int64_t milliseconds)
{
    for (int64_t n = 0; n < milliseconds; n += 100) {
        agent.advance(ms(100));
        agent.list({}, {});
    }
}

// Three jobs fail in a row.
void failUntilEjected(Agent& agent)
{
    for (uint64_t n = 1; n <= 3; ++n) {
        const std::string job = "failed" + std::to_string(n);
        agent.start("e1", job);
        agent.confirm();
        agent.list({}, { ended(n, job, 1, RunEnd::Failed) });
    }
    cr_assert(agent.table.ejected());
}

} // namespace

// Guards against an upstream whose answers get lost, or whose agent gets no processor time, and that is ejected as one that
// flaps.
Test(RunTable, silenceIsNoFlapping)
{
    Agent agent;
    for (int n = 0; n < 4; ++n) {
        agent.advance(ms(500));
        agent.table.tick(agent.now);
        cr_assert_not(agent.table.accepting(agent.now));
        agent.list({}, {});
    }
    cr_assert_not(agent.table.ejected());
    for (int n = 0; n < 2; ++n) {
        agent.table.onHoldFailure(agent.now, HoldFailure::Refused);
        agent.advance(ms(500));
        agent.list({}, {});
    }
    cr_assert(agent.table.ejected());
}

// Guards against an upstream that stays ejected for good, where no task may be used to probe it.
Test(RunTable, anOverdueProbeMayBeAnyTask)
{
    Agent agent;
    failUntilEjected(agent);
    stayIdle(agent, 500);
    cr_assert(agent.table.offer(agent.now).accepting());
    cr_assert_eq(agent.table.offer(agent.now).ejected_percent(), 100);
    stayIdle(agent, 2000);
    cr_assert(agent.table.offer(agent.now).accepting());
    cr_assert_eq(agent.table.offer(agent.now).ejected_percent(), 0);
    agent.start("e1", "probe");
    cr_assert_eq(agent.table.offer(agent.now).ejected_percent(), 100);
    agent.start("e1", "second");
    cr_assert_eq(agent.lastReason(), "ejected", "one probe at a time");
}

// Guards against a service with a single upstream that refuses all jobs while this one is probed for its slowness.
Test(RunTable, anUpstreamThatIsProbedForItsSlownessHasNoRoom)
{
    Agent agent;
    slowDown(agent);
    endSlowRuns(agent, RunEnd::Done);
    stayIdle(agent, 600);
    agent.start("e1", "probe");
    agent.confirm();
    agent.start("e1", "second");
    cr_assert_eq(agent.lastReason(), "probed");
    cr_assert(agent.table.offer(agent.now).accepting());
    cr_assert_eq(agent.table.offer(agent.now).free().cores_milli(), 0);
}

// Guards against a slow upstream that counts as fast since the start of the probe was not answered, and its end came first.
Test(RunTable, aProbeOfUnknownLengthShowsNoRecovery)
{
    Agent agent;
    slowDown(agent);
    endSlowRuns(agent, RunEnd::Done);
    stayIdle(agent, 600);
    cr_assert_eq(agent.table.offer(agent.now).slowness_percent(), 100, "a probe is due");
    agent.start("e1", "probe");
    agent.advance(ms(50));
    agent.list({}, { ended(5, "probe", 1, RunEnd::Done) });
    cr_assert_geq(agent.table.offer(agent.now).slowness_percent(), 250);
}

// Guards against a probe of an upstream whose tasks have just been stopped for its slowness.
Test(RunTable, anUpstreamIsNotProbedAsSoonAsItsTasksAreStopped)
{
    Agent agent;
    slowDown(agent);
    endSlowRuns(agent, RunEnd::Stopped);
    cr_assert_geq(agent.table.offer(agent.now).slowness_percent(), 250);
    stayIdle(agent, 500);
    cr_assert_eq(agent.table.offer(agent.now).slowness_percent(), 100);
}

// Guards against a backoff that grows with tasks from before the ejection whose starts are repeated after it.
Test(RunTable, aRepeatedStartIsFromBeforeTheEjection)
{
    Agent agent;
    agent.start("e1", "early");
    const uint64_t early = agent.starts.back().first;
    failUntilEjected(agent);
    agent.advance(ms(10));
    agent.table.onStartReply(agent.now, early, StartVerdict::Unanswered);
    agent.advance(ms(10));
    agent.table.onStartReply(agent.now, early, StartVerdict::Accepted);
    agent.list({}, { ended(4, "early", 1, RunEnd::Failed) });
    stayIdle(agent, 400);
    cr_assert(agent.table.offer(agent.now).accepting(), "the probe is due after the first backoff");
}

// Guards against starts during a drain that are sent despite an ejection.
Test(RunTable, aStartDespiteAnEjectionIsRefusedInADrainedDomain)
{
    Agent agent;
    failUntilEjected(agent);
    auto message = agent.message("e1");
    Agent::addStart(message, "despite", 6000, agent.now + ms(200));
    message.mutable_starts(0)->set_despite_ejection(true);
    agent.table.onEntry(agent.now, message);
    cr_assert_eq(agent.starts.size(), 4);
    agent.table.setDrainedDomains(agent.now, { "d1" });
    cr_assert_eq(agent.table.offer(agent.now).ejected_percent(), 0);
    message.mutable_starts(0)->mutable_key()->set_job("drained");
    agent.table.onEntry(agent.now, message);
    cr_assert_eq(agent.lastReason(), "domain_drained");
}
