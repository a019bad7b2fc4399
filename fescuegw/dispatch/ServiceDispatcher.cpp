// Admission, waiting callers and the lifecycle of a submission. Recovery.cpp and Scheduling.cpp hold the rest of the class.
#include "fescuegw/dispatch/ServiceDispatcher.h"

#include <algorithm>

#include "fescuegw/logging/Log.h"

namespace fescuegw::dispatch {

namespace {

    constexpr int statusConflict = 409;
    constexpr int statusGone = 410;
    constexpr int statusUnprocessable = 422;
    constexpr int statusTooMany = 429;
    constexpr int statusUnavailable = 503;
    constexpr int statusNotFound = 404;
    constexpr Duration maintenanceInterval = std::chrono::milliseconds(100);
    constexpr double maxTokens = 10;
    constexpr double percent = 100;

    Reply refused(const Error& error) { return Reply { Reply::Kind::Refused, {}, error }; }

    // Returns the answer for a caller that submits content with `digest` when the key has been claimed earlier.
    Reply replyFor(const wire::StoredClaim& stored, const std::string& digest)
    {
        if (stored.claim().digest() != digest)
            return refused({ Verdict::NotRun, statusConflict, "this id was submitted with other content" });
        if (!stored.finished())
            return Reply { Reply::Kind::NotOwner, {}, {} };
        if (stored.answer_expired())
            return refused({ Verdict::Ran, statusGone, "finished earlier; its answer is no longer kept" });
        return Reply { Reply::Kind::Done, stored.outcome(), {} };
    }

    const wire::ServiceConfiguration* findService(const wire::TeamConfiguration& team, const std::string& service)
    {
        for (const auto& it : team.services())
            if (it.name() == service)
                return &it;
        return nullptr;
    }

} // namespace

ServiceDispatcher::ServiceDispatcher(
    TimePoint now, DispatchOptions options, std::string service, uint64_t epoch, std::set<AgentId> enrolled, DispatchHooks hooks)
    : m_options(std::move(options))
    , m_service(std::move(service))
    , m_epoch(epoch)
    , m_hooks(std::move(hooks))
    , m_takeoverTime(now)
    , m_awaitedAgents(enrolled)
    , m_enrolledAgents(std::move(enrolled))
    , m_nextMaintenance(now)
{
    load(now);
}

ServiceDispatcher::TrackedSubmission* ServiceDispatcher::find(const SubmissionKey& key)
{
    const auto it = m_submissions.find(key);
    return it == m_submissions.end() ? nullptr : &it->second;
}

size_t ServiceDispatcher::queuedTasks() const
{
    size_t n = 0;
    for (const auto& it : m_submissions)
        n += it.second.submission.queuedCount();
    return n;
}

size_t ServiceDispatcher::runningTasks() const
{
    size_t n = 0;
    for (const auto& it : m_upstreams)
        n += it.second.allocations().size();
    return n;
}

std::optional<Error> ServiceDispatcher::checkAdmission(
    const SubmissionSpec& spec, const wire::TeamConfiguration& team, const wire::ServiceConfiguration* service) const
{
    if (service == nullptr)
        return Error { Verdict::NotRun, statusNotFound, "team " + spec.key.team + " has no service " + spec.service };
    size_t queued = 0;
    size_t teamInFlight = 0;
    for (const auto& it : m_submissions) {
        queued += it.second.submission.queuedCount();
        teamInFlight += it.first.team == spec.key.team ? it.second.submission.unsettledCount() : 0;
    }
    if (teamInFlight + spec.tasks.size() > team.tasks_in_flight_limit())
        return Error { Verdict::NotRun, statusTooMany,
            "over quota: " + std::to_string(teamInFlight) + " of " + std::to_string(team.tasks_in_flight_limit())
                + " tasks are in flight" };
    if (queued + spec.tasks.size() > service->queue_limit())
        return Error { Verdict::NotRun, statusUnavailable, std::to_string(queued) + " tasks are waiting; the queue is full" };
    if (m_upstreams.empty())
        return std::nullopt;
    for (const auto& task : spec.tasks) {
        const TaskResources resources { task.cores_milli(), task.memory_mb() };
        const bool fits = std::any_of(
            m_upstreams.begin(), m_upstreams.end(), [&resources](const auto& it) { return it.second.fitsWhenIdle(resources); });
        if (!fits)
            return Error { Verdict::NotRun, statusUnprocessable,
                "task " + std::to_string(task.index()) + " is larger than every worker of the service" };
    }
    return std::nullopt;
}

void ServiceDispatcher::submit(
    TimePoint now, SubmissionSpec spec, const wire::TeamConfiguration& team, TimePoint due, ReplyHook reply)
{
    if (m_state == State::Superseded) {
        reply(Reply { Reply::Kind::NotOwner, {}, {} });
        return;
    }
    if (m_state == State::Loading) {
        m_pending.push_back(PendingSubmission { std::move(spec), team, due, std::move(reply) });
        return;
    }
    if (TrackedSubmission* running = find(spec.key)) {
        if (running->submission.spec().digest != spec.digest) {
            reply(refused({ Verdict::NotRun, statusConflict, "this id was submitted with other content" }));
            return;
        }
        running->waiters.push_back(Waiter { due, std::move(reply) });
        return;
    }
    const wire::ServiceConfiguration* service = findService(team, spec.service);
    if (const auto error = checkAdmission(spec, team, service)) {
        refuseUnlessKnown(spec, *error, reply);
        return;
    }
    const SubmissionKey key = spec.key;
    TrackedSubmission tracked { Submission(now, std::move(spec)), *service, team.share(), {} };
    tracked.waiters.push_back(Waiter { due, std::move(reply) });
    TrackedSubmission& added = m_submissions.try_emplace(key, std::move(tracked)).first->second;
    if (added.submission.spec().durable) {
        startClaim(now, added);
        return;
    }
    double& tokens = m_retryTokens[key.team];
    tokens = std::min(maxTokens, tokens + service->retry_budget_percent() / percent);
    double& hedges = m_hedgeTokens[key.team];
    hedges = std::min(maxTokens, hedges + service->hedge_budget_percent() / percent);
    added.submission.setPhase(Phase::Running);
    enqueue(added);
    schedule(now);
}

// The same submission may have been admitted and run earlier. Its stored outcome then stands, and answering NotRun would be
// wrong.
void ServiceDispatcher::refuseUnlessKnown(const SubmissionSpec& spec, const Error& error, const ReplyHook& reply)
{
    if (!spec.durable) {
        reply(refused(error));
        return;
    }
    m_hooks.lookup(spec.key, [reply, error, digest = spec.digest](TimePoint, const wire::LookupReply& found) {
        if (!found.found())
            reply(refused(error));
        else
            reply(replyFor(found.claim(), digest));
    });
}

void ServiceDispatcher::startClaim(TimePoint /*now*/, TrackedSubmission& tracked)
{
    const SubmissionSpec& spec = tracked.submission.spec();
    wire::Command command;
    wire::Claim& claim = *command.mutable_claim();
    claim.set_team(spec.key.team);
    claim.set_id(spec.key.id);
    claim.set_digest(spec.digest);
    claim.set_service(spec.service);
    claim.set_owner(m_options.entry);
    claim.set_epoch(m_epoch);
    claim.set_traceparent(spec.traceparent);
    for (const auto& it : spec.tasks)
        *claim.add_tasks() = it;
    propose(command,
        [this, key = spec.key](TimePoint then, const wire::CommandResult& result) { onClaimDecided(then, key, result); });
}

void ServiceDispatcher::onClaimDecided(TimePoint now, const SubmissionKey& key, const wire::CommandResult& result)
{
    TrackedSubmission* tracked = find(key);
    if (tracked == nullptr || tracked->submission.phase() != Phase::Claiming)
        return;
    // OPEN with our own epoch means that the claim was sent twice. Claims of earlier epochs were loaded at the takeover.
    const bool claimed = result.code() == wire::ACCEPTED || (result.code() == wire::OPEN && result.epoch() == m_epoch);
    switch (claimed ? wire::ACCEPTED : result.code()) {
    case wire::ACCEPTED:
        tracked->submission.setPhase(Phase::Running);
        enqueue(*tracked);
        schedule(now);
        onTasksChanged(now, *tracked);
        return;
    case wire::FINISHED:
        complete(*tracked, result.outcome());
        return;
    case wire::EXPIRED:
        refuse(key, { Verdict::Ran, statusGone, "finished earlier; its answer is no longer kept" });
        return;
    case wire::CONFLICT:
        refuse(key, { Verdict::NotRun, statusConflict, result.detail() });
        return;
    default:
        relinquish();
        return;
    }
}

void ServiceDispatcher::refuse(const SubmissionKey& key, const Error& error)
{
    answerWaiters(*find(key), refused(error));
    erase(key);
}

void ServiceDispatcher::answerWaiters(TrackedSubmission& tracked, const Reply& reply)
{
    std::vector<Waiter> waiters;
    waiters.swap(tracked.waiters);
    for (const auto& it : waiters)
        it.reply(reply);
}

bool ServiceDispatcher::attach(TimePoint /*now*/, const SubmissionKey& key, TimePoint due, ReplyHook reply)
{
    TrackedSubmission* tracked = find(key);
    if (tracked == nullptr)
        return false;
    tracked->waiters.push_back(Waiter { due, std::move(reply) });
    return true;
}

bool ServiceDispatcher::cancel(TimePoint now, const SubmissionKey& key)
{
    TrackedSubmission* tracked = find(key);
    if (tracked == nullptr)
        return false;
    if (tracked->submission.phase() != Phase::Running)
        return true;
    cancelAttempts(*tracked);
    tracked->submission.abandon("cancelled");
    onTasksChanged(now, *tracked);
    return true;
}

void ServiceDispatcher::cancelAttempts(const TrackedSubmission& tracked)
{
    const Submission& submission = tracked.submission;
    for (size_t i = 0; i < submission.spec().tasks.size(); ++i) {
        const int position = static_cast<int>(i);
        for (const auto& it : submission.attempts(position))
            sendCancel(it.agent, AttemptRef { submission.key(), submission.input(position).index(), it.number });
    }
}

bool ServiceDispatcher::consumeRetryToken(const TrackedSubmission& tracked)
{
    if (tracked.submission.spec().durable)
        return false;
    double& tokens = m_retryTokens[tracked.submission.key().team];
    if (tokens < 1)
        return false;
    tokens -= 1;
    ++m_counters.retried;
    return true;
}

void ServiceDispatcher::onTasksChanged(TimePoint now, TrackedSubmission& tracked)
{
    Submission& submission = tracked.submission;
    if (submission.phase() != Phase::Running)
        return;
    if (submission.failed() && !submission.settled()) {
        // The outcome can no longer be complete, so the remaining tasks are not started.
        cancelAttempts(tracked);
        submission.abandon("another task of the submission failed");
    }
    if (submission.settled())
        finish(now, tracked);
    else if (!submission.hasQueued())
        m_queue.remove(submission.key());
}

void ServiceDispatcher::finish(TimePoint /*now*/, TrackedSubmission& tracked)
{
    Submission& submission = tracked.submission;
    m_queue.remove(submission.key());
    submission.setPhase(Phase::Finishing);
    wire::Outcome outcome = submission.outcome();
    if (!submission.spec().durable) {
        cancelAttempts(tracked);
        complete(tracked, outcome);
        return;
    }
    outcome.set_owner(m_options.entry);
    outcome.set_epoch(m_epoch);
    wire::Command command;
    *command.mutable_outcome() = outcome;
    propose(command, [this, key = submission.key()](TimePoint then, const wire::CommandResult& result) {
        onOutcomeDecided(then, key, result);
    });
}

void ServiceDispatcher::onOutcomeDecided(TimePoint /*now*/, const SubmissionKey& key, const wire::CommandResult& result)
{
    TrackedSubmission* tracked = find(key);
    if (tracked == nullptr)
        return;
    if (result.code() == wire::ACCEPTED) {
        complete(*tracked, tracked->submission.outcome());
    } else if (result.code() == wire::FINISHED) {
        complete(*tracked, result.outcome());
    } else {
        relinquish();
    }
}

void ServiceDispatcher::complete(TrackedSubmission& tracked, const wire::Outcome& outcome)
{
    const SubmissionKey key = tracked.submission.key();
    for (const auto& it : tracked.submission.agents())
        release(it, key);
    answerWaiters(tracked, Reply { Reply::Kind::Done, outcome, {} });
    erase(key);
}

void ServiceDispatcher::erase(const SubmissionKey& key)
{
    m_queue.remove(key);
    m_submissions.erase(key);
}

void ServiceDispatcher::relinquish()
{
    m_state = State::Superseded;
    const Reply notOwner { Reply::Kind::NotOwner, {}, {} };
    for (auto& it : m_submissions)
        answerWaiters(it.second, notOwner);
    for (const auto& it : m_pending)
        it.reply(notOwner);
    m_submissions.clear();
    m_pending.clear();
    m_outboxes.clear();
}

void ServiceDispatcher::tick(TimePoint now)
{
    if (now < m_nextMaintenance || m_state == State::Superseded)
        return;
    m_nextMaintenance = now + maintenanceInterval;
    for (auto& it : m_submissions) {
        auto& waiters = it.second.waiters;
        for (size_t i = 0; i < waiters.size();) {
            if (waiters[i].due > now) {
                ++i;
                continue;
            }
            const ReplyHook reply = std::move(waiters[i].reply);
            waiters.erase(waiters.begin() + static_cast<std::ptrdiff_t>(i));
            reply(Reply { Reply::Kind::Pending, {}, {} });
        }
    }
    std::vector<AgentId> lost;
    for (const auto& it : m_upstreams)
        if (it.second.isLost(now))
            lost.push_back(it.first);
    for (const auto& it : lost)
        onAgentLost(now, it, "the worker was lost");
    retireLostAgents(now);
    finishCollecting(now);
    hedgeSlowRequests(now);
    schedule(now);
}

} // namespace fescuegw::dispatch
