// A JobTable against simulated agents. Each test reproduces the load or failure that its comment names.
#include <random>

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
                 for (const auto& it : message.cancelled_jobs())
                     cancelledJobs.emplace_back(agent, it);
                 demand[agent] = message.demand();
                 ++messages;
                 offerInterval[agent] = message.offer_interval_ms();
                 acked[agent] = message.acked_reports();
             },
                [this](uint64_t bound) { return drawsLargest ? bound - 1 : 0; }, {}, [this] { return goneCallers; } })
    {
    }

    // Returns a message of an agent with `cores` free, in thousandths of a core.
    wire::UpstreamToEntry message(const AgentId& agent, uint32_t cores) const
    {
        wire::UpstreamToEntry it;
        it.set_agent(agent.name);
        it.set_incarnation(agent.incarnation);
        it.set_clock_us(toMicros(now));
        it.set_seen_sequence(1000);
        it.set_first_report(1);
        it.mutable_offer()->set_service(service);
        if (const auto domain = domains.find(agent); domain != domains.end())
            it.mutable_offer()->set_domain(domain->second);
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
        uint32_t cores = 0, uint64_t process = 0)
    {
        auto it = message(agent, cores);
        it.set_first_report(++reports[agent]);
        wire::AttemptReport& added = *it.add_reports();
        *added.mutable_key() = start.key();
        added.set_state(state);
        added.set_reason(reason);
        added.set_process_ms(process);
        table.onAgent(now, it);
        table.flush(now);
    }

    void reportCancelledJob(const AgentId& agent, const std::string& job)
    {
        wire::StartTask noTask;
        noTask.mutable_key()->set_job(job);
        report(agent, noTask, wire::ATTEMPT_JOB_CANCELLED, "", 64000);
    }

    // The upstream's process crashes under an attempt, which is then lost.
    void crash(const AgentId& agent, const wire::StartTask& start, uint64_t process)
    {
        report(agent, start, wire::ATTEMPT_CRASHED, "", 0, process);
        report(agent, start, wire::ATTEMPT_LOST, "upstream_restarted", 64000);
    }

    static StepDemand step(uint32_t count, std::vector<uint32_t> after = {}, uint32_t estimateMs = 200)
    {
        StepDemand step;
        step.count = count;
        step.need = { 6000, 64, 0 };
        step.estimateMs = estimateMs;
        step.after = std::move(after);
        return step;
    }

    void submit(const std::string& id, uint32_t count, uint32_t priority = 0, uint32_t estimateMs = 200)
    {
        submitSteps(id, { step(count, {}, estimateMs) }, priority);
    }

    void submitSteps(const std::string& id, std::vector<StepDemand> steps, uint32_t priority = 0)
    {
        JobRequest request;
        request.id = id;
        request.route.set_service(service);
        request.route.set_priority(priority);
        request.route.set_attempts(2);
        request.route.set_stretch_percent(160);
        request.route.set_latency_target_ms(60);
        request.patience = ms(5000);
        request.exchange = ++exchange;
        request.job.steps = std::move(steps);
        table.submit(now, request, [this, id](const JobOutcome& outcome) { outcomes[id] = outcome; });
        table.flush(now);
    }

    void advance(int64_t milliseconds)
    {
        now += ms(milliseconds);
        table.tick(now);
        table.flush(now);
    }

    bool answered(const std::string& id) const { return outcomes.contains(id); }
    JobOutcome::Kind kind(const std::string& id) const { return outcomes.at(id).kind; }

    TimePoint now { std::chrono::hours(1) };
    // Of agents and jobs.
    std::string service = "s";
    // Random numbers are the largest possible ones instead of 0.
    bool drawsLargest = false;
    uint64_t exchange = 0;
    size_t messages = 0;
    std::vector<std::pair<AgentId, wire::StartTask>> starts;
    std::vector<std::pair<AgentId, wire::AttemptKey>> stops;
    std::vector<uint64_t> declined;
    std::vector<std::pair<AgentId, std::string>> cancelledJobs;
    std::map<AgentId, wire::Demand> demand;
    std::map<AgentId, uint32_t> offerInterval;
    std::map<AgentId, uint64_t> reports;
    std::map<AgentId, uint64_t> acked;
    std::map<AgentId, uint32_t> slowness;
    std::map<AgentId, std::string> domains;
    std::map<std::string, JobOutcome> outcomes;
    std::vector<uint64_t> goneCallers;
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
    entry.advance(20);
    cr_assert_eq(entry.table.size(), 0);
}

Test(JobTable, withoutUpstreamsAJobIsRefusedAtOnce)
{
    Entry entry;
    entry.submit("j", 1);
    cr_assert(entry.kind("j") == JobOutcome::Kind::NotRun);
    cr_assert_gt(entry.outcomes["j"].retryAfterS, 0);
}

// Total overload: a job that can't start within its slack is refused without having run.
Test(JobTable, aJobThatFindsNoCapacityWithinItsSlackIsRefused)
{
    Entry entry;
    entry.offer(a1, 0);
    entry.submit("j", 1);
    cr_assert_not(entry.answered("j"));
    cr_assert_eq(entry.demand[a1].tasks(), 1);
    for (int n = 0; n < 8; ++n) {
        entry.advance(20);
        entry.offer(a1, 0);
    }
    cr_assert_not(entry.answered("j"), "0.6 x 200 ms + 60 ms - 15 ms");
    entry.advance(20);
    cr_assert(entry.kind("j") == JobOutcome::Kind::NotRun);
    cr_assert(entry.starts.empty());
}

// With tasks queued, a new job that would wait longer than its slack is refused on submission.
Test(JobTable, aJobBehindALongQueueIsRefusedAtOnce)
{
    Entry entry;
    entry.offer(a1, 0);
    entry.submit("patient", 1, 0, 2000);
    entry.advance(300);
    entry.offer(a1, 0);
    entry.submit("hasty", 1, 0, 100);
    cr_assert(entry.answered("hasty"));
    cr_assert(entry.kind("hasty") == JobOutcome::Kind::NotRun);
    cr_assert_not(entry.answered("patient"));
    entry.submit("urgent", 1, 0, 2000);
    cr_assert_not(entry.answered("urgent"));
}

// A burst of less urgent jobs must not delay urgent tasks.
Test(JobTable, capacityGoesToTheMoreUrgentPriorityFirst)
{
    Entry entry;
    entry.offer(a1, 0);
    entry.submit("later", 1, 2);
    entry.submit("first", 1, 0);
    entry.offer(a1, 6000);
    cr_assert_eq(entry.starts.size(), 1);
    cr_assert_eq(entry.starts[0].second.key().job(), "first");
}

// Several jobs with many tasks: once a task of one has started, its other tasks precede jobs that have not started.
Test(JobTable, aStartedJobPrecedesOneThatHasNotStarted)
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

// Tasks fail because of their upstream, so the next attempt has to run elsewhere.
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

// A task crashes each upstream that starts it. Started until its caller gives up, it would take them down one after another.
Test(JobTable, aTaskThatCrashesItsUpstreamsIsGivenUp)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.offer(a2, 60000);
    entry.submit("j", 1);
    entry.crash(a1, entry.starts[0].second, 1);
    cr_assert_eq(entry.starts.size(), 2, "an upstream may have crashed for another reason");
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_CRASHED, "", 0, 1);
    cr_assert(!entry.answered("j"), "a repeated report is not another crash");
    entry.crash(a2, entry.starts[1].second, 1);
    cr_assert_eq(entry.starts.size(), 3);
    entry.crash(entry.starts[2].first, entry.starts[2].second, 2);
    cr_assert(entry.kind("j") == JobOutcome::Kind::MayHaveRun);
    entry.advance(100);
    cr_assert_eq(entry.starts.size(), 3);
    cr_assert_eq(entry.table.size(), 0);
}

// The caller of a job with such a task is cut off and submits it again, here or, after the first entry's end, at another one.
Test(JobTable, crashesCountAcrossTheSubmissionsOfAJob)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.offer(a2, 60000);
    entry.submit("j", 1);
    entry.crash(a1, entry.starts[0].second, 1);
    entry.table.abandon(entry.now, entry.exchange);
    entry.report(a2, entry.starts[1].second, wire::ATTEMPT_LOST, "withdrawn", 60000);
    entry.advance(1300);
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    cr_assert_eq(entry.starts.size(), 3);
    entry.crash(a1, entry.starts[2].second, 2);
    cr_assert_eq(entry.starts.size(), 4);
    entry.crash(entry.starts[3].first, entry.starts[3].second, 3);
    cr_assert(entry.kind("j") == JobOutcome::Kind::MayHaveRun);
    entry.advance(1300);
    entry.submit("j", 1);
    cr_assert_eq(entry.starts.size(), 4, "not started again at the next submission");

    Entry other;
    other.offer(a1, 64000);
    wire::StartTask elsewhere;
    elsewhere.mutable_key()->set_job("j");
    elsewhere.mutable_key()->set_attempt(1);
    other.report(a1, elsewhere, wire::ATTEMPT_CRASHED, "", 0, 1);
    other.report(a2, elsewhere, wire::ATTEMPT_CRASHED, "", 0, 1);
    other.report(a2, elsewhere, wire::ATTEMPT_CRASHED, "", 0, 2);
    other.submit("j", 1);
    cr_assert(other.starts.empty());
    cr_assert(other.kind("j") == JobOutcome::Kind::MayHaveRun);
    other.offer(a1, 64000);
    other.submit("k", 1);
    cr_assert_eq(other.starts.size(), 1, "other jobs are not affected");
}

// Upstreams are lost under a task again and again without a report of a crash. Each loss may be one, and after three crashes a
// task may be started twice more.
Test(JobTable, aTaskWhoseAttemptsAreAllLostIsStartedFiveTimesAtMost)
{
    Entry entry;
    for (uint64_t n = 0; n < 10; ++n) {
        const AgentId agent { "b" + std::to_string(n), 7 };
        entry.offer(agent, 64000);
        if (n == 0)
            entry.submit("j", 1);
        if (entry.starts.size() > n)
            entry.report(agent, entry.starts[n].second, wire::ATTEMPT_LOST, "lease_lapsed");
    }
    cr_assert_eq(entry.starts.size(), 5);
    cr_assert(entry.kind("j") == JobOutcome::Kind::MayHaveRun);
}

// An upstream becomes slow or makes no progress: the second attempt starts only after the first is known to have ended.
Test(JobTable, aTaskOnASlowUpstreamIsMovedOnceItsEndIsKnown)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    entry.slowness[a1] = 2000;
    entry.offer(a1, 64000);
    entry.offer(a2, 64000);
    entry.advance(50);
    cr_assert_eq(entry.stops.size(), 1);
    cr_assert_eq(entry.starts.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_LOST, "withdrawn", 64000);
    cr_assert_eq(entry.starts.size(), 2);
    cr_assert(entry.starts[1].first == a2);
    cr_assert_eq(entry.starts[1].second.key().attempt(), 2);
}

// An agent's host loses power: its tasks are not started again before all leases have expired.
Test(JobTable, attemptsOfASilentAgentAreLostOnlyAfterAllLeases)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    for (int n = 0; n < 12; ++n) {
        entry.advance(100);
        entry.offer(a2, 64000);
    }
    cr_assert_eq(entry.starts.size(), 1);
    entry.advance(100);
    entry.offer(a2, 64000);
    cr_assert_eq(entry.starts.size(), 2);
    cr_assert(entry.starts[1].first == a2);
}

// An agent is killed and restarts immediately: its new process accepts tasks only once nothing from before still runs.
Test(JobTable, aRestartedAgentThatAcceptsTasksHasEndedItsPreviousAttempts)
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

// A caller disconnects before its job has ended.
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

// Guards against a job that goes on after its cancellation: a caller's next connection may reach another entry than the one on
// which it waits.
Test(JobTable, aCancellationAtAnotherEntryEndsTheJob)
{
    Entry other;
    other.offer(a1, 64000);
    cr_assert_not(other.table.cancel(other.now, "j"));
    other.table.flush(other.now);
    cr_assert_eq(other.cancelledJobs.size(), 1);

    Entry entry;
    entry.offer(a1, 64000);
    entry.submitSteps("j", { Entry::step(2), Entry::step(1, { 0 }) });
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    entry.reportCancelledJob(a1, other.cancelledJobs[0].second);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Abandoned);
    cr_assert_eq(entry.stops.size(), 2);
    cr_assert_eq(entry.table.counters().cancelledElsewhere, 1);
    cr_assert(entry.cancelledJobs.empty(), "only the entry that was asked to cancel tells the agents");
}

// Messages are lost, and an entry that has just started knows no agents yet.
Test(JobTable, aCancellationIsRepeatedToEachAgentUntilItIsReported)
{
    Entry entry;
    entry.offer(a1, 64000);
    cr_assert_not(entry.table.cancel(entry.now, "j"));
    entry.advance(10);
    cr_assert_eq(entry.cancelledJobs.size(), 1);
    entry.offer(a2, 64000);
    entry.advance(10);
    cr_assert_eq(entry.cancelledJobs.size(), 2);
    cr_assert(entry.cancelledJobs[1].first == a2);
    entry.reportCancelledJob(a1, "j");
    entry.advance(110);
    cr_assert_eq(entry.cancelledJobs.size(), 3);
    cr_assert(entry.cancelledJobs[2].first == a2);
    entry.advance(3000);
    entry.offer(a2, 64000);
    entry.advance(110);
    cr_assert_eq(entry.cancelledJobs.size(), 3, "no caller waits for it any more");
}

// Callers may cancel any number of jobs that do not exist.
Test(JobTable, forwardedCancelsAreBounded)
{
    constexpr size_t cancellations = 10000;
    Entry entry;
    entry.offer(a1, 64000);
    for (size_t i = 0; i < cancellations; ++i)
        cr_assert_not(entry.table.cancel(entry.now, "j" + std::to_string(i)));
    entry.table.flush(entry.now);
    cr_assert_eq(entry.cancelledJobs.size(), JobTableOptions().maxForwardedCancels);
}

// A caller cancels a job that has just been cancelled, while its attempts are being stopped.
Test(JobTable, theCancelOfACancelledJobIsNotForwarded)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    cr_assert(entry.table.cancel(entry.now, "j"));
    cr_assert_not(entry.table.cancel(entry.now, "j"));
    entry.table.flush(entry.now);
    cr_assert(entry.cancelledJobs.empty());
}

// The link to an agent breaks as a job is given up. A lost stop must not leave its run going while the entry renews the agent's
// lease for it: the caller sends the job again, and its task would run twice.
Test(JobTable, stopsAreRepeatedUntilTheEndOfTheAttemptIsKnown)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    wire::EntryToUpstream lost;
    lost.add_stops()->set_job("j");
    lost.mutable_stops(0)->set_attempt(1);
    entry.table.abandon(entry.now, 1);
    entry.table.flush(entry.now);
    cr_assert_eq(entry.stops.size(), 1);
    entry.table.onUndeliverable(entry.now, a1, lost);
    entry.advance(110);
    cr_assert_eq(entry.stops.size(), 2, "without any message of the agent");
    cr_assert_eq(entry.stops[1].second.job(), "j");
    entry.offer(a1, 64000);
    // Each message renews the lease, so each carries the stop.
    entry.submit("other", 1);
    cr_assert_eq(entry.starts.size(), 2);
    cr_assert_eq(entry.stops.size(), 3);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_LOST, "withdrawn", 64000);
    const size_t before = entry.stops.size();
    entry.advance(500);
    entry.offer(a1, 64000);
    cr_assert_eq(entry.stops.size(), before);
}

// The agent of a stopped attempt is lost: its new process is not asked to stop what it never started.
Test(JobTable, stopsEndWithTheirAgent)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    entry.table.abandon(entry.now, 1);
    entry.table.flush(entry.now);
    entry.advance(1300);
    const size_t before = entry.stops.size();
    entry.offer(a1, 64000);
    entry.advance(200);
    cr_assert_eq(entry.stops.size(), before);
    cr_assert_eq(entry.table.size(), 0);
}

// The start and every report of an attempt were lost with a link. Once the agent has answered its stop, the job can be submitted
// again.
Test(JobTable, aJobWithALostStartIsForgottenWhenItsStopIsAnswered)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.table.abandon(entry.now, 1);
    entry.advance(150);
    cr_assert_eq(entry.table.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_LOST, "unknown_attempt", 64000);
    entry.advance(20);
    cr_assert_eq(entry.table.size(), 0);
    entry.submit("j", 1);
    cr_assert_eq(entry.starts.size(), 2);
}

// At full load, capacity becomes free in the moment in which a job reaches its deadline: its waiting tasks are placed and given
// up in one pass. Their starts must not leave this host, since agents used to carry them out after their stops.
Test(JobTable, aStartThatIsGivenUpBeforeItIsSentNeverLeaves)
{
    Entry entry;
    entry.offer(a1, 6000);
    entry.submit("j", 2);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    for (int n = 0; n < 49; ++n) {
        entry.advance(100);
        entry.offer(a1, 0);
    }
    entry.now += ms(100);
    entry.table.onAgent(entry.now, entry.message(a1, 64000));
    entry.table.tick(entry.now);
    entry.table.flush(entry.now);
    cr_assert(entry.kind("j") == JobOutcome::Kind::MayHaveRun);
    cr_assert_eq(entry.starts.size(), 1);
    cr_assert_eq(entry.stops.size(), 1);
    cr_assert_eq(entry.stops[0].second.index(), entry.starts[0].second.key().index());
    cr_assert_eq(entry.table.offers().agents().at(a1).free.coresMilli, 64000, "the capacity is free again");
}

// As above, for a job of which nothing has started: its only attempt is given back at its deadline, with a grant for another one.
// It has not run, and its caller can be told so.
Test(JobTable, aJobWhoseOnlyStartIsWithdrawnHasNotRun)
{
    Entry entry;
    entry.offer(a1, 6000);
    entry.submit("j", 1);
    for (int n = 0; n < 49; ++n) {
        entry.advance(100);
        entry.offer(a1, 0);
    }
    cr_assert_not(entry.answered("j"), "its attempt is outstanding");
    entry.now += ms(100);
    auto it = entry.message(a1, 0);
    it.add_grants()->set_id(11);
    it.mutable_grants(0)->mutable_room()->set_cores_milli(6000);
    it.mutable_grants(0)->mutable_room()->set_memory_mb(64);
    *it.add_reports()->mutable_key() = entry.starts[0].second.key();
    it.mutable_reports(0)->set_reason("no_room");
    entry.table.onAgent(entry.now, it);
    entry.table.tick(entry.now);
    entry.table.flush(entry.now);
    cr_assert(entry.kind("j") == JobOutcome::Kind::NotRun);
    cr_assert_eq(entry.starts.size(), 1);
    cr_assert(entry.stops.empty());
    cr_assert_eq(entry.declined.size(), 1, "its grant is given back");
    entry.advance(20);
    cr_assert_eq(entry.table.size(), 0);
}

// A refusal states that nothing has run, so with a start outstanding it waits for the agent's report.
Test(JobTable, aRefusalWaitsUntilNothingCanHaveRun)
{
    Entry entry;
    entry.offer(a1, 6000);
    entry.submit("j", 1);
    for (int n = 0; n < 20; ++n) {
        entry.advance(20);
        entry.offer(a1, 0);
    }
    cr_assert_not(entry.answered("j"));
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_LOST, "upstream_restarted");
    entry.advance(5000);
    cr_assert(entry.kind("j") == JobOutcome::Kind::MayHaveRun);
}

// SIGTERM while callers keep using open connections.
Test(JobTable, aDrainAcceptsOnlyJobsThatFitAndAnswersTheRest)
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
    entry.advance(1000);
    cr_assert(entry.kind("running") == JobOutcome::Kind::MayHaveRun);
    cr_assert_eq(entry.table.unanswered(), 0);
}

Test(JobTable, aJobSubmittedAgainJoinsTheOneInFlight)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.submit("j", 1);
    cr_assert_eq(entry.starts.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_DONE);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Completed);
}

// Agents discard acknowledged reports, so a report that has not arrived must not be acknowledged.
Test(JobTable, onlyReportsThatHaveArrivedAreAcknowledged)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 2);
    cr_assert_eq(entry.acked[a1], 0, "a message without reports says which number comes next");
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_DONE);
    entry.advance(200);
    cr_assert_eq(entry.acked[a1], 1);
    auto later = entry.message(a1, 64000);
    later.set_first_report(3);
    entry.table.onAgent(entry.now, later);
    entry.advance(200);
    cr_assert_eq(entry.acked[a1], 1, "number 2 is missing");
}

// An entry that has forgotten an agent adopts the agent's report numbers; otherwise the agent would repeat its reports for
// ever.
Test(JobTable, acknowledgementsOfAForgottenAgentContinueAtItsReportNumbers)
{
    Entry entry;
    auto it = entry.message(a1, 64000);
    it.set_first_report(50);
    it.add_reports()->mutable_key()->set_job("gone");
    entry.table.onAgent(entry.now, it);
    entry.advance(200);
    cr_assert_eq(entry.acked[a1], 50);
}

// A burst beyond the capacity of 75 upstreams. Notifying every agent of the demand would take 1,500 messages a second from one
// entry, so a few agents at a time are notified in turn, and all of them are notified when nothing waits any more.
Test(JobTable, aFewAgentsAtATimeAreNotifiedOfALongQueue)
{
    constexpr uint32_t agents = 75;
    Entry entry;
    const auto agent = [](uint32_t n) { return AgentId { "agent" + std::to_string(n), 7 }; };
    for (uint32_t n = 0; n < agents; ++n)
        entry.offer(agent(n), 0);
    // Every agent is sent its offer interval.
    entry.advance(200);
    for (uint32_t n = 0; n < agents; ++n)
        entry.offer(agent(n), 0);
    entry.messages = 0;
    for (int n = 0; n < 200; ++n)
        entry.submit("j" + std::to_string(n), 2, 2, 900);
    for (int n = 0; n < 50; ++n) {
        entry.advance(10);
        for (uint32_t it = 0; it < agents; ++it)
            entry.offer(agent(it), 0);
    }
    cr_assert_gt(entry.table.waiting(), 300U);
    // Half a second is ten rounds of 16 agents; agents without attempts of this entry need no lease renewals.
    cr_assert_leq(entry.messages, 176U);
    cr_assert_eq(entry.demand.size(), agents, "every agent has its turn");
    for (int n = 0; n < 200; ++n)
        entry.table.abandon(entry.now, static_cast<uint64_t>(n) + 1);
    for (uint32_t it = 0; it < agents; ++it)
        entry.demand[agent(it)].Clear();
    entry.messages = 0;
    entry.advance(10);
    cr_assert_leq(entry.messages, 48U);
    for (const auto& it : entry.demand)
        cr_assert_eq(it.second.tasks(), 0);
}

// The agents of one round together are asked for a small multiple of the waiting tasks.
Test(DemandNotifier, asksNoAgentForMoreThanItsShare)
{
    OfferTable offers;
    const TimePoint now { std::chrono::hours(1) };
    for (int n = 0; n < 75; ++n) {
        wire::UpstreamToEntry message;
        message.set_agent("agent" + std::to_string(n));
        message.mutable_offer()->set_service("s");
        message.mutable_offer()->set_accepting(true);
        offers.onMessage(now, message);
    }
    for (uint32_t tasks = 1; tasks < 200; ++tasks) {
        DemandNotifier notifier;
        wire::Demand waiting;
        waiting.set_tasks(tasks);
        uint64_t asked = 0;
        for (const auto& it : notifier.update(now, offers, "s", waiting)) {
            const uint32_t share = notifier.demandFor(now, *offers.find(it)).tasks();
            cr_assert_leq(share, tasks);
            asked += share;
        }
        cr_assert_geq(asked, tasks);
        cr_assert_leq(asked, std::max<uint64_t>(8, 4 * tasks + 16));
    }
}

// A large idle fleet: the offer interval grows with the number of agents, which limits the cost of offers to an entry.
Test(JobTable, theOfferIntervalGrowsWithTheNumberOfAgents)
{
    const auto intervalFor = [](uint32_t agents) {
        Entry entry;
        for (uint32_t n = 0; n < agents; ++n)
            entry.offer({ "agent" + std::to_string(n), 7 }, 64000);
        entry.advance(200);
        return entry.offerInterval[{ "agent0", 7 }];
    };
    cr_assert_lt(intervalFor(11), intervalFor(75));
    cr_assert_leq(intervalFor(75), intervalFor(200));
    // Agents whose last offer is older are not used.
    cr_assert_lt(intervalFor(200) + 100, toMs(OfferTableOptions().maxOfferAge));
    const double offersPerSecond = OfferPaceOptions().maxOffersPerSecond;
    cr_assert_leq(11 * 1000.0 / intervalFor(11), offersPerSecond);
    cr_assert_leq(75 * 1000.0 / intervalFor(75), offersPerSecond);
}

// Upstreams that crash under a task report it when they are back, some seconds later. The losses bound the starts until then,
// but the caller is answered and submits the job again.
Test(JobTable, lossesCountAcrossTheSubmissionsOfAJob)
{
    Entry entry;
    for (uint64_t n = 0; n < 10; ++n) {
        const AgentId agent { "b" + std::to_string(n), 7 };
        entry.offer(agent, 64000);
        if (n == 0)
            entry.submit("j", 1);
        if (n == 5) {
            cr_assert(entry.kind("j") == JobOutcome::Kind::MayHaveRun);
            entry.advance(1300);
            entry.offer(agent, 64000);
            entry.submit("j", 1);
        }
        if (entry.starts.size() > n)
            entry.report(agent, entry.starts[n].second, wire::ATTEMPT_LOST, "lease_lapsed");
    }
    cr_assert_leq(entry.starts.size(), 5, "started %zu times", entry.starts.size());
}

// Two upstreams are lost under a task, and it is done on a third one. When the two are back, their crashes are reported, while
// another task of the job still runs.
Test(JobTable, lateReportsOfCrashesDoNotFailAJobWhoseTaskIsDone)
{
    Entry entry;
    const AgentId a3 { "a3", 7 };
    entry.offer(a1, 6000);
    entry.submit("j", 2);
    entry.offer(a2, 6000);
    const wire::StartTask first = entry.starts[0].second;
    const wire::StartTask other = entry.starts[1].second;
    entry.report(a2, other, wire::ATTEMPT_STARTED);
    entry.report(a1, first, wire::ATTEMPT_LOST, "lease_lapsed");
    entry.offer(a3, 6000);
    cr_assert_eq(entry.starts.size(), 3);
    entry.report(a3, entry.starts[2].second, wire::ATTEMPT_DONE);
    entry.report(a1, first, wire::ATTEMPT_CRASHED, "", 0, 1);
    entry.report({ "a4", 7 }, first, wire::ATTEMPT_CRASHED, "", 0, 1);
    entry.report({ "a5", 7 }, first, wire::ATTEMPT_CRASHED, "", 0, 1);
    cr_assert_not(entry.answered("j"), "%s", entry.outcomes["j"].reason.c_str());
    entry.report(a2, other, wire::ATTEMPT_DONE);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Completed);
}

// An agent repeats a report until it has the acknowledgement. By then the job may have been submitted again, and its first
// attempt has the number of the one that was reported: called not started, it is started a second time.
Test(JobTable, aRepeatedReportDoesNotEndAnAttemptOfTheNextSubmission)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_NOT_STARTED, "no_room");
    entry.advance(400);
    cr_assert(entry.kind("j") == JobOutcome::Kind::NotRun);
    entry.advance(20);
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    cr_assert_eq(entry.starts.size(), 2);
    --entry.reports[a1];
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_NOT_STARTED, "no_room", 64000);
    cr_assert_eq(entry.starts.size(), 2);
}

// An entry stands still while a caller leaves, and its agents end its runs. The caller has sent the job again elsewhere when the
// entry goes on: the first thing that it learns may be the loss of an attempt.
Test(JobTable, noAttemptIsRepeatedForACallerThatLeftWhileTheEntryStoodStill)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    entry.now += ms(1400);
    entry.goneCallers = { 1 };
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_LOST, "entry_lease_over", 64000);
    cr_assert_eq(entry.starts.size(), 1);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Abandoned);
}

// The same for a request that waited to be read.
Test(JobTable, noJobIsStartedForACallerThatHasGone)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.now += ms(1400);
    entry.goneCallers = { 1 };
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    cr_assert_eq(entry.starts.size(), 0);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Abandoned);
}

Test(JobTable, aCallerThatLeavesIsNoticedWithinTheInterval)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submit("j", 1);
    entry.goneCallers = { 1 };
    entry.advance(50);
    entry.advance(60);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Abandoned);
    cr_assert_eq(entry.stops.size(), 1);
}

// One service is short of capacity. Jobs of another one, for which nothing waits, must not be refused with it.
Test(JobTable, aShortageOfOneServiceCostsNoJobsOfAnother)
{
    Entry entry;
    const auto offerBoth = [&] {
        entry.service = "idle";
        entry.offer(a2, 64000);
        entry.service = "s";
        entry.offer(a1, 0);
    };
    offerBoth();
    for (int n = 0; n < 40; ++n) {
        entry.submit("s" + std::to_string(n), 1);
        entry.advance(20);
        offerBoth();
    }
    entry.drawsLargest = true;
    entry.submit("refused", 1);
    cr_assert(entry.kind("refused") == JobOutcome::Kind::NotRun);
    cr_assert_lt(entry.table.admittedPercent(true), 100);
    entry.service = "idle";
    entry.submit("i", 1);
    cr_assert_not(entry.answered("i"));
    cr_assert_eq(entry.starts.size(), 1);
}

namespace {

const AgentId a3 { "a3", 7 };

void offerEjected(Entry& entry, const AgentId& agent, uint32_t percent, bool accepting, uint32_t cores)
{
    auto message = entry.message(agent, cores);
    message.mutable_offer()->set_accepting(accepting);
    message.mutable_offer()->set_ejected_percent(percent);
    entry.table.onAgent(entry.now, message);
    entry.table.flush(entry.now);
}

} // namespace

// All upstreams are ejected, one may be probed, and a job has no time for a further attempt.
Test(JobTable, aJobThatMayNotProbeUsesAnUpstreamDespiteItsEjection)
{
    Entry entry;
    offerEjected(entry, a1, 40, true, 64000);
    offerEjected(entry, a2, 30, false, 0);
    offerEjected(entry, a3, 100, false, 64000);
    entry.submit("j", 1, 0, 900);
    cr_assert_not(entry.answered("j"));
    cr_assert_eq(entry.starts.size(), 1);
    cr_assert(entry.starts[0].first == a1);
    cr_assert(entry.starts[0].second.despite_ejection());
}

// The only upstream of a service is ejected, and fails less than half of its tasks.
Test(JobTable, aJobWithAFurtherAttemptUsesTheOnlyUpstreamDespiteItsEjection)
{
    Entry entry;
    offerEjected(entry, a1, 30, false, 64000);
    entry.submit("j", 1, 0, 60);
    cr_assert_eq(entry.starts.size(), 1);
    cr_assert(entry.starts[0].second.despite_ejection());
    entry.submit("long", 1, 0, 900);
    cr_assert(entry.kind("long") == JobOutcome::Kind::NotRun);
}

// Guards against a failure domain that is avoided since one of its agents has refused a task, and against second attempts in the
// domain where the first one has failed.
Test(JobTable, onlyFailuresCountAgainstAFailureDomain)
{
    for (const auto state : { wire::ATTEMPT_NOT_STARTED, wire::ATTEMPT_FAILED }) {
        Entry entry;
        entry.slowness[a3] = 130;
        entry.domains = { { a1, "d1" }, { a2, "d1" }, { a3, "d2" } };
        entry.offer(a1, 64000);
        entry.submit("j", 1);
        entry.offer(a2, 64000);
        entry.offer(a3, 64000);
        cr_assert_eq(entry.starts.size(), 1);
        entry.report(a1, entry.starts[0].second, state, "probed", 64000);
        cr_assert_eq(entry.starts.size(), 2);
        cr_assert(entry.starts[1].first == (state == wire::ATTEMPT_FAILED ? a3 : a2));
    }
}

// Guards against the crash of the entry on a job with a step of no tasks: its first task was read on submission.
Test(JobTable, aJobWithAStepOfNoTasksIsAnsweredWhenItsOtherTasksHaveEnded)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submitSteps("j", { Entry::step(2), Entry::step(0, { 0 }) });
    cr_assert_eq(entry.starts.size(), 2);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_DONE);
    cr_assert_not(entry.answered("j"));
    entry.report(a1, entry.starts[1].second, wire::ATTEMPT_DONE);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Completed);
}

// The same crash, with the step of no tasks as the first one. No upstream has the label that it requires.
Test(JobTable, aStepOfNoTasksNeedsNoUpstream)
{
    Entry entry;
    entry.offer(a1, 64000);
    StepDemand empty = Entry::step(0);
    empty.requiredLabel = "unknown";
    entry.submitSteps("j", { empty, Entry::step(1, { 0 }) });
    cr_assert_eq(entry.starts.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_DONE);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Completed);
}

// Guards against a start ahead of its order: steps of no tasks would count as complete from the beginning.
Test(JobTable, aStepOfNoTasksIsCompleteOnceTheStepsBeforeItAre)
{
    Entry entry;
    entry.offer(a1, 64000);
    entry.submitSteps(
        "j", { Entry::step(1), Entry::step(0, { 0 }), Entry::step(0, { 1 }), Entry::step(1, { 2 }), Entry::step(0, { 3 }) });
    cr_assert_eq(entry.starts.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_STARTED);
    cr_assert_eq(entry.starts.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_DONE, "", 64000);
    cr_assert_eq(entry.starts.size(), 2);
    cr_assert_eq(entry.starts[1].second.key().step(), 3);
    cr_assert_not(entry.answered("j"));
    entry.report(a1, entry.starts[1].second, wire::ATTEMPT_DONE);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Completed);
}

// Guards against a stack overflow: a body of the permitted size holds more steps than a recursion has room for.
Test(JobTable, aLongChainOfStepsOfNoTasksIsFollowed)
{
    constexpr uint32_t emptySteps = 80000;
    Entry entry;
    entry.offer(a1, 64000);
    std::vector<StepDemand> steps { Entry::step(1) };
    for (uint32_t it = 0; it < emptySteps; ++it)
        steps.push_back(Entry::step(0, { it }, 0));
    steps.push_back(Entry::step(1, { emptySteps }));
    entry.submitSteps("j", steps);
    cr_assert_eq(entry.starts.size(), 1);
    entry.report(a1, entry.starts[0].second, wire::ATTEMPT_DONE, "", 64000);
    cr_assert_eq(entry.starts.size(), 2);
    entry.report(a1, entry.starts[1].second, wire::ATTEMPT_DONE);
    cr_assert(entry.kind("j") == JobOutcome::Kind::Completed);
}

// Guards against an objective that counts the estimates of tasks that do not exist: such a job would be waited for and placed as
// if it had more time.
Test(JobTable, aStepOfNoTasksTakesNoTime)
{
    JobRequest request;
    request.route.set_stretch_percent(100);
    request.job.steps = { Entry::step(1), Entry::step(0, { 0 }, 60000), Entry::step(1, { 1 }) };
    const Entry entry;
    cr_assert(entry.table.objective(request) == ms(400));
}

// Jobs of any shape, with steps of no tasks in any place: no task starts before all steps that its own depends on, directly or
// not, have ended, and each job completes.
Test(JobTable, jobsOfAnyShapeAreRunInOrder)
{
    constexpr uint64_t seeds = 500;
    constexpr uint32_t maxSteps = 8;
    constexpr uint32_t maxCount = 3;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<StepDemand> steps;
        std::vector<std::set<uint32_t>> before;
        size_t tasks = 0;
        const uint64_t n = 1 + random() % maxSteps;
        for (uint32_t step = 0; step < n; ++step) {
            StepDemand added = Entry::step(static_cast<uint32_t>(random() % maxCount));
            std::set<uint32_t> all;
            for (uint32_t it = 0; it < step; ++it) {
                if (random() % 3 != 0)
                    continue;
                added.after.push_back(it);
                all.insert(it);
                all.insert(before[it].begin(), before[it].end());
            }
            tasks += added.count;
            steps.push_back(added);
            before.push_back(all);
        }
        if (tasks == 0)
            continue;
        Entry entry;
        entry.offer(a1, 64000);
        entry.submitSteps("j", steps);
        std::vector<uint32_t> done(steps.size());
        for (size_t i = 0; i < tasks; ++i) {
            cr_assert_gt(entry.starts.size(), i, "seed %llu", static_cast<unsigned long long>(seed));
            const wire::StartTask start = entry.starts[i].second;
            for (const uint32_t it : before[start.key().step()])
                cr_assert_eq(done[it], steps[it].count, "seed %llu", static_cast<unsigned long long>(seed));
            entry.report(a1, start, wire::ATTEMPT_DONE, "", 64000);
            ++done[start.key().step()];
        }
        cr_assert(entry.answered("j") && entry.kind("j") == JobOutcome::Kind::Completed, "seed %llu",
            static_cast<unsigned long long>(seed));
    }
}
