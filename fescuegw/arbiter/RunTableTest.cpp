// An agent's decisions against an upstream that is played by hand.
#include <criterion/criterion.h>

#include "fescuegw/arbiter/RunTable.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::arbiter;

Duration ms(int64_t n) { return std::chrono::milliseconds(n); }

// A run table with everything that it asks for.
struct Agent {
    Agent()
        : table({}, 1,
            { [this](uint64_t serial, const StartOrder& order) { starts.emplace_back(serial, order); },
                [this](const StopOrder& order) { stops.push_back(order); },
                [this](const std::string& entry, const wire::AttemptReport& report) { reports.emplace_back(entry, report); },
                [this](const std::string& entry, const wire::Grant& grant) { grants.emplace_back(entry, grant); } })
    {
        announce(1, 1, false);
        list({}, {});
    }

    void announce(uint64_t born, uint64_t sequence, bool leaving)
    {
        Announcement it;
        it.instance = "i-1";
        it.bornMs = born;
        it.sequence = sequence;
        it.service = "s";
        it.capacity = { 64000, 262144, 0 };
        it.leaving = leaving;
        accepted = table.onAnnouncement(now, it);
        life = std::max(life, born);
    }

    void list(std::vector<RunningRow> running, std::vector<EndedRow> ended)
    {
        table.onListing(now, now, Listing { life, clock(), std::move(running), std::move(ended) });
        // The next hold renews the lease of what runs.
        table.nextHold(now);
    }

    uint64_t clock() const
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    }

    // A message of `entry` with the newest clock of the agent.
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

    // Lets the newest start succeed.
    void confirm() { table.onStartReply(now, starts.back().first, StartVerdict::Accepted, clock()); }

    void pass(Duration duration) { now += duration; }

    wire::AttemptState lastState() const { return reports.back().second.state(); }
    std::string lastReason() const { return reports.back().second.reason(); }

    TimePoint now { std::chrono::hours(1) };
    uint64_t life = 0;
    bool accepted = false;
    std::vector<std::pair<uint64_t, StartOrder>> starts;
    std::vector<StopOrder> stops;
    std::vector<std::pair<std::string, wire::AttemptReport>> reports;
    std::vector<std::pair<std::string, wire::Grant>> grants;
    RunTable table;
};

RunningRow row(const std::string& job, uint64_t run, uint32_t percent = 10) { return { { job, 0, 0 }, run, percent }; }

EndedRow ended(uint64_t number, const std::string& job, uint64_t run, RunEnd how) { return { number, { job, 0, 0 }, run, how }; }

} // namespace

// Pattern: more tasks than room, sent by entries that can't know of each other.
Test(RunTable, nothingStartsBeyondTheCapacity)
{
    Agent agent;
    for (int n = 0; n < 11; ++n)
        agent.start(n % 2 == 0 ? "e1" : "e2", "job" + std::to_string(n));
    cr_assert_eq(agent.starts.size(), 10);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
    cr_assert_eq(agent.lastReason(), "no_room");
}

// A run that was told to stop still fills its room until its end is listed.
Test(RunTable, whatIsBeingStoppedStillCounts)
{
    Agent agent;
    for (int n = 0; n < 10; ++n) {
        agent.start("e1", "job" + std::to_string(n));
        agent.confirm();
    }
    auto stop = agent.message("e1");
    stop.add_stops()->set_job("job0");
    stop.mutable_stops(0)->set_attempt(1);
    agent.table.onEntry(agent.now, stop);
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

// Pattern: an order without an answer that may be carried out seconds later.
Test(RunTable, roomOfAnUnansweredStartIsFreeOnlyAfterItsLease)
{
    Agent agent;
    agent.start("e1", "big", 60000);
    for (int n = 0; n < 3; ++n)
        agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Unanswered, std::nullopt);
    cr_assert_eq(agent.starts.size(), 3, "sent again under the same number, then no more");
    cr_assert_eq(agent.starts[0].second.run, agent.starts[2].second.run);
    agent.pass(ms(100));
    agent.list({}, {});
    agent.start("e1", "small", 6000);
    cr_assert_eq(agent.lastReason(), "no_room");
    agent.pass(ms(400));
    agent.list({}, {});
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_NOT_STARTED);
    cr_assert_eq(agent.lastReason(), "start_unanswered");
}

// Pattern: an entry is killed; its callers send their jobs again after 1,300 ms.
Test(RunTable, runsOfAnEntryThatIsNotHeardAreStopped)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    for (int n = 0; n < 8; ++n) {
        agent.pass(ms(100));
        agent.list({ row("job", 1) }, {});
    }
    cr_assert_eq(agent.stops.size(), 1);
    cr_assert_eq(agent.stops[0].run, 1);
}

// The lease counts from the clock that the entry has seen, not from the arrival of its message.
Test(RunTable, aMessageThatWasHeldUpRenewsNothing)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    const auto old = agent.message("e1");
    for (int n = 0; n < 8; ++n) {
        agent.pass(ms(100));
        agent.table.onEntry(agent.now, old);
        agent.list({ row("job", 1) }, {});
    }
    cr_assert_eq(agent.stops.size(), 1);
}

Test(RunTable, aStartThatComesLateIsRefused)
{
    Agent agent;
    auto it = agent.message("e1");
    Agent::addStart(it, "job", 6000, agent.now + ms(200));
    agent.pass(ms(300));
    agent.list({}, {});
    agent.table.onEntry(agent.now, it);
    cr_assert(agent.starts.empty());
    cr_assert_eq(agent.lastReason(), "too_late");
}

// Pattern: an upstream crashes and is back under its name, knowing nothing of before.
Test(RunTable, aNewLifeHasForgottenAllRuns)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.announce(2, 1, false);
    cr_assert(agent.accepted);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
    cr_assert_eq(agent.lastReason(), "upstream_restarted");
    agent.start("e1", "next");
    cr_assert_eq(agent.lastReason(), "not_accepting", "nothing is known of the new life yet");
    agent.list({}, {});
    agent.start("e1", "after");
    cr_assert_eq(agent.starts.size(), 2);
}

// Pattern: an announcement that was held up by a partition comes after its sender has started anew.
Test(RunTable, announcementsOfAnEarlierLifeAreIgnored)
{
    Agent agent;
    agent.announce(5, 1, false);
    agent.announce(1, 9, true);
    cr_assert_not(agent.accepted);
    agent.list({}, {});
    cr_assert(agent.table.accepting(agent.now));
    agent.announce(5, 1, true);
    cr_assert_not(agent.accepted, "the same sequence again");
}

Test(RunTable, anUpstreamThatLeavesStartsNothing)
{
    Agent agent;
    agent.announce(1, 2, true);
    agent.start("e1", "job");
    cr_assert(agent.starts.empty());
    cr_assert_eq(agent.lastReason(), "not_accepting");
}

// Pattern: this agent was killed and is back while runs of before are still there.
Test(RunTable, nothingStartsBesideRunsOfAnEarlierProcess)
{
    Agent agent;
    agent.list({ row("unknown", 3) }, {});
    cr_assert_eq(agent.stops.size(), 1);
    agent.start("e1", "job");
    cr_assert_eq(agent.lastReason(), "not_accepting");
    agent.pass(ms(50));
    agent.list({}, { ended(1, "unknown", 3, RunEnd::Stopped) });
    agent.start("e1", "again");
    cr_assert_eq(agent.starts.size(), 1);
}

// Pattern: the upstream is cut off and runs on until its lease ends.
Test(RunTable, runsOfAnUnreachableUpstreamAreLostOnceTheirLeaseHasEnded)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    const size_t before = agent.reports.size();
    agent.pass(ms(450));
    agent.table.onHoldFailure(agent.now, false);
    cr_assert_eq(agent.reports.size(), before, "it may still run");
    agent.pass(ms(50));
    agent.table.onHoldFailure(agent.now, false);
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_LOST);
    cr_assert_eq(agent.lastReason(), "lease_lapsed");
}

// Pattern: an upstream fails all that it starts and is always free.
Test(RunTable, anUpstreamThatFailsEverythingIsTriedWithOneTask)
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
        agent.pass(ms(100));
        agent.list({}, {});
    }
    agent.start("e1", "probe");
    cr_assert_eq(agent.starts.size(), 4);
    agent.start("e1", "second");
    cr_assert_eq(agent.lastReason(), "ejected", "one at a time");
    agent.confirm();
    agent.list({}, { ended(4, "probe", 1, RunEnd::Done) });
    agent.start("e1", "well");
    agent.start("e1", "again");
    cr_assert_eq(agent.starts.size(), 6);
}

// Pattern: the whole system is full; entries wait with tasks of different urgency.
Test(RunTable, freeRoomIsGrantedToTheMostUrgentTask)
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
    cr_assert_eq(agent.lastReason(), "no_room", "granted room is kept");
    agent.start("e4", "granted", 40000, agent.grants[0].second.id());
    cr_assert_eq(agent.starts.size(), 2);
}

Test(RunTable, aGrantThatIsNotUsedIsVoid)
{
    Agent agent;
    auto it = agent.message("e2");
    it.mutable_demand()->set_tasks(1);
    it.mutable_demand()->mutable_need()->set_cores_milli(60000);
    agent.table.onEntry(agent.now, it);
    cr_assert_eq(agent.grants.size(), 1);
    agent.pass(ms(100));
    agent.list({}, {});
    agent.start("e1", "job", 60000);
    cr_assert_eq(agent.starts.size(), 1);
}

// An upstream refuses numbers that aren't higher than one that ended there: a job that is sent again gets the next.
Test(RunTable, runNumbersRise)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    agent.list({}, { ended(1, "job", 1, RunEnd::Stopped) });
    agent.start("e2", "job");
    cr_assert_eq(agent.starts.back().second.run, 2);
    agent.table.onStartReply(agent.now, agent.starts.back().first, StartVerdict::Superseded, std::nullopt);
    cr_assert_eq(agent.starts.back().second.run, 3);
}

// Pattern: a part of the upstream's answers is lost. Runs of some 60 ms must not keep their room for hundreds of milliseconds.
Test(RunTable, lostAnswersShortenTheNextHolds)
{
    Agent agent;
    agent.start("e1", "job");
    agent.confirm();
    const Duration usual = agent.table.nextHold(agent.now).wait;
    agent.table.onHoldFailure(agent.now, false);
    cr_assert_leq(agent.table.nextHold(agent.now).wait, ms(30));
    // One answer in three is lost.
    for (int n = 0; n < 30; ++n) {
        agent.pass(ms(60));
        agent.table.onEntry(agent.now, agent.message("e1"));
        if (n % 3 == 2)
            agent.table.onHoldFailure(agent.now, false);
        else
            agent.list({ row("job", 1) }, {});
        cr_assert_leq(agent.table.nextHold(agent.now).wait, ms(30));
    }
    for (int n = 0; n < 5; ++n) {
        agent.pass(ms(201));
        agent.table.onEntry(agent.now, agent.message("e1"));
        agent.list({ row("job", 1) }, {});
    }
    cr_assert_eq(agent.table.nextHold(agent.now).wait, usual);
}

// Pattern: lost answers. A start whose answer was lost has run to its end by the time that it is sent again.
Test(RunTable, aRepeatedStartThatIsSupersededHasRun)
{
    Agent agent;
    agent.start("e1", "job");
    const uint64_t serial = agent.starts.back().first;
    agent.table.onStartReply(agent.now, serial, StartVerdict::Unanswered, std::nullopt);
    cr_assert_eq(agent.starts.size(), 2, "the same number is sent again");
    agent.pass(ms(5));
    agent.table.onStartReply(agent.now, serial, StartVerdict::Superseded, agent.clock());
    cr_assert_eq(agent.starts.size(), 2, "not a second time under a new number");
    cr_assert(agent.reports.empty(), "nothing is certain yet");
    agent.list({}, { ended(1, "job", 1, RunEnd::Done) });
    cr_assert_eq(agent.lastState(), wire::ATTEMPT_DONE);
}
