#include "fescuegw/arbiter/RunTable.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "fescuegw/logging/Log.h"
#include "fescuegw/wire/Direct.h"

namespace fescuegw::arbiter {

using logging::Event;
using logging::Level;

namespace {

    // Increment of a refused fencing token. Tokens are wall-clock milliseconds, and that clock may step by seconds.
    constexpr uint64_t fenceIncrementMs = 10000;
    // Longer than any caller keeps retrying the same job.
    constexpr Duration runNumberRetention = std::chrono::seconds(30);

    // Entries repeat stops until they have the final report of the attempt. This covers its way there and several repeats of it.
    constexpr Duration settledRetention = std::chrono::seconds(2);

    // Shortest lease of a start. Exceeds the time until the next hold, which renews it.
    constexpr Duration minStartLease = std::chrono::milliseconds(200);

    // An order without an answer after this time has been carried out, or is late.
    constexpr Duration maxOrderTime = std::chrono::milliseconds(100);

    Duration fromMs(uint64_t ms) { return std::chrono::milliseconds(ms); }

    TimePoint fromMicros(uint64_t us) { return TimePoint(Duration(static_cast<int64_t>(us))); }

} // namespace

RunTable::RunTable(RunTableOptions options, uint64_t fence, RunTableHooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_fence(fence)
    , m_grants(options.grants)
{
}

// An announcement is a claim: it may have another writer, or arrive after its sender has ended. It never ends a process or its
// runs; the process that is there says in its listings which one it is.
bool RunTable::onAnnouncement(TimePoint now, const Announcement& next)
{
    const AnnouncementBook::Outcome outcome = m_announcements.add(next);
    if (outcome == AnnouncementBook::Outcome::Outdated)
        return false;
    if (outcome == AnnouncementBook::Outcome::New && next.bornMs != m_bornMs) {
        m_claimedBornMs = next.bornMs;
        Event(Level::Info, "upstream_claimed")
            .with("instance", next.instance)
            .with("born", next.bornMs)
            .with("known", m_bornMs)
            .with("service", next.service)
            .with("address", next.address);
    }
    adoptAnnouncement();
    // An announcement of another writer is not adopted, and says nothing about this process.
    if (m_announcement && *m_announcement == next)
        m_warmUp.onAnnouncement(now, next.coldFor);
    logDomainDrain();
    tick(now);
    return true;
}

// Uses what the known process has announced, if it has.
void RunTable::adoptAnnouncement()
{
    const AnnouncementBook::Claim* claim = m_announcements.find(m_bornMs);
    if (claim == nullptr)
        return;
    const Announcement& next = claim->announcement;
    m_departed = claim->departed;
    const bool renamed = !m_announcement || m_announcement->instance != next.instance;
    const bool changed = renamed || m_announcement->leaving != next.leaving || m_announcement->bornMs != next.bornMs
        || m_announcement->service != next.service;
    if (renamed)
        m_instanceOutdated = false;
    m_announcement = next;
    if (changed)
        Event(Level::Info, "upstream_announced")
            .with("instance", next.instance)
            .with("born", next.bornMs)
            .with("sequence", next.sequence)
            .with("service", next.service)
            .with("leaving", next.leaving ? "yes" : "no")
            .with("cores_milli", next.capacity.coresMilli);
}

void RunTable::onDeparture(TimePoint now, const std::string& instance)
{
    m_announcements.depart(instance);
    const bool departed = m_departed;
    adoptAnnouncement();
    if (m_departed && !departed)
        Event(Level::Info, "upstream_departed").with("instance", instance).with("runs", running());
    tick(now);
}

// A restarted upstream has no record of earlier runs, run numbers and fencing tokens. Once it has carried out an order with the
// raised token, it refuses those that were meant for an earlier process.
void RunTable::beginIncarnation(TimePoint now, uint64_t bornMs)
{
    if (m_bornMs != 0) {
        const auto count = [&](const auto& matches) {
            return static_cast<uint64_t>(
                std::count_if(m_runs.begin(), m_runs.end(), [&](const auto& it) { return matches(it.second); }));
        };
        Event(Level::Warn, "upstream_restarted")
            .with("born", bornMs)
            .with("before", m_bornMs)
            .with("runs", running())
            .with("starting", count([](const Run& it) { return it.state == State::Starting; }))
            .with("undecided", count([](const Run& it) { return it.state == State::Starting && it.mayRun; }))
            .with("listed", count(isKnownToBeThere));
        endProcess(now);
        m_wentDown = true;
        m_announcements.endProcess(m_bornMs);
        ++m_fence;
        // The next process may have got leases by the clock of the one before.
        m_leasesExpireAt = m_longestLeasesExpireAt;
    }
    m_bornMs = bornMs;
    m_instanceOutdated = false;
    m_acknowledged = 0;
    m_orphans.clear();
    m_departed = false;
    m_lastListingAt = std::nullopt;
    m_clock.reset();
    m_slowness.reset();
    m_health.onRestart();
    m_replyLoss.reset();
    m_warmUp.reset();
    if (m_claimedBornMs == bornMs)
        m_claimedBornMs = std::nullopt;
    adoptAnnouncement();
    if (const AnnouncementBook::Claim* claim = m_announcements.find(m_bornMs); claim != nullptr)
        m_warmUp.onAnnouncement(now, claim->announcement.coldFor);
}

// Runs that were listed by the process that has ended are lost with it. The others may be at work in the next one: it may have
// accepted a start before this agent knew of it, and an order without an answer may still reach it.
void RunTable::endProcess(TimePoint now)
{
    // Planned work ends what still runs. A departure without a notice may be a late one of an earlier process.
    const bool crashed = !m_departed || !m_announcement->leaving;
    for (const auto& it : std::exchange(m_possiblyCrashed, {}))
        if (crashed)
            reportCrash(now, it, m_bornMs);
    std::vector<uint64_t> lost;
    for (auto& it : m_runs) {
        Run& run = it.second;
        if (isKnownToBeThere(run)) {
            lost.push_back(it.first);
            if (crashed)
                reportCrash(now, run.request.key(), m_bornMs);
            continue;
        }
        run.listed = false;
        run.processUnknown = true;
        if (crashed && !run.crashedProcess)
            run.crashedProcess = m_bornMs;
    }
    for (const uint64_t it : lost)
        finish(now, m_runs.find(it), wire::ATTEMPT_LOST, "upstream_restarted");
}

// Returns whether the known process, and no other, has carried out the start.
bool RunTable::isKnownToBeThere(const Run& run) { return run.listed && !run.mayRun && run.sendsInFlight == 0; }

// Sent before the end of the attempt is reported, so that an entry knows of the crash when it decides about the next attempt.
void RunTable::reportCrash(TimePoint now, const wire::AttemptKey& key, uint64_t process)
{
    if (!m_hooks.broadcast)
        return;
    wire::AttemptReport report;
    *report.mutable_key() = key;
    report.set_state(wire::ATTEMPT_CRASHED);
    report.set_process_ms(process);
    m_hooks.broadcast(now, report);
}

void RunTable::onEntry(TimePoint now, const wire::EntryToUpstream& message)
{
    const TimePoint until = fromMicros(message.seen_clock_us()) + m_options.entryLease;
    TimePoint& lease = m_entryLeases[message.entry()];
    lease = std::max(lease, until);
    for (const uint64_t it : message.declined_grants())
        m_grants.release(it);
    m_grants.onDemand(now, message.entry(), message.demand());
    for (const auto& it : message.stops())
        onStop(now, message.entry(), it);
    for (const auto& it : message.starts())
        onStart(now, message.entry(), it);
    issueGrants(now);
}

void RunTable::onStart(TimePoint now, const std::string& entry, const wire::StartTask& request)
{
    Run run;
    run.entry = entry;
    run.request = request;
    run.task = wire::toStepTask(request.key());
    run.need = wire::toResources(request.need());
    run.receivedAt = now;
    run.startBy = fromMicros(request.start_by_us());
    const bool duplicate = std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& it) {
        return it.second.entry == entry && it.second.task == run.task
            && it.second.request.key().attempt() == request.key().attempt();
    });
    if (duplicate)
        return;
    m_grants.release(request.grant());
    // Stopped before it arrived, or delivered twice: its final report has been given.
    if (m_settled.contains({ entry, run.task, request.key().attempt() })) {
        Event(Level::Warn, "settled_start_ignored")
            .with("request", run.task.job)
            .with("task", std::to_string(run.task.step) + "/" + std::to_string(run.task.index))
            .with("attempt", request.key().attempt())
            .with("entry", entry);
        return;
    }
    const std::string reason = refusalReason(now, run);
    const auto added = m_runs.emplace(++m_lastSerial, std::move(run)).first;
    if (!reason.empty()) {
        finish(now, added, wire::ATTEMPT_NOT_STARTED, reason);
        return;
    }
    added->second.run = nextRunNumber(now, added->second.task, request.key().attempt());
    if (m_slowness.isProbeDue(now, running() - 1))
        m_slowness.beginProbe();
    if (m_health.ejected())
        Event(Level::Info, "upstream_probed")
            .with("request", added->second.task.job)
            .with("despite_ejection", request.despite_ejection() ? "yes" : "no")
            .with("failed_percent", m_health.failedPercent())
            .with("jobs", m_health.countedJobs());
    sendStart(now, added->first, added->second);
}

// Returns why a task can't be started now, or an empty string if it can.
std::string RunTable::refusalReason(TimePoint now, const Run& run)
{
    if (!accepting(now))
        return isDomainDrained() ? "domain_drained" : "not_accepting";
    if (!m_health.admits(now, running()) && !run.request.despite_ejection())
        return "ejected";
    if (m_slowness.probing())
        return "probed";
    if (m_entryLeases[run.entry] <= now)
        return "entry_lease_over";
    if (now > run.startBy)
        return "too_late";
    if (startLease(now) < minStartLease)
        return "leases_ending";
    const bool fits = run.need.fitsInto(free(now)) || (isUnused() && run.need.fitsInto(m_announcement->capacity));
    return fits ? "" : "no_room";
}

void RunTable::onStop(TimePoint now, const std::string& entry, const wire::AttemptKey& key)
{
    const StepTask task = wire::toStepTask(key);
    for (auto& it : m_runs) {
        Run& run = it.second;
        if (run.entry != entry || run.task != task || run.request.key().attempt() != key.attempt())
            continue;
        if (run.state != State::Stopping)
            beginStop(now, run, "withdrawn", m_options.stopGrace);
        return;
    }
    if (m_settled.contains({ entry, task, key.attempt() }))
        return;
    // The start or the final report of the attempt was lost with a link. Nothing runs, but the attempt may have run.
    Event(Level::Warn, "unknown_attempt_stopped")
        .with("request", task.job)
        .with("task", std::to_string(task.step) + "/" + std::to_string(task.index))
        .with("attempt", key.attempt())
        .with("entry", entry);
    settle(now, entry, key);
    wire::AttemptReport report;
    *report.mutable_key() = key;
    report.set_state(wire::ATTEMPT_LOST);
    report.set_reason("unknown_attempt");
    m_hooks.report(entry, report);
}

void RunTable::settle(TimePoint now, const std::string& entry, const wire::AttemptKey& key)
{
    const EntryAttempt attempt { entry, wire::toStepTask(key), key.attempt() };
    if (m_settled.insert(attempt).second)
        m_settledOrder.emplace_back(now, attempt);
}

void RunTable::forgetSettled(TimePoint now)
{
    while (!m_settledOrder.empty() && now - m_settledOrder.front().first > settledRetention) {
        m_settled.erase(m_settledOrder.front().second);
        m_settledOrder.pop_front();
    }
}

uint64_t RunTable::nextRunNumber(TimePoint now, const StepTask& task, uint32_t attempt)
{
    std::erase_if(m_runNumbers, [&](const auto& it) { return now - it.second.second > runNumberRetention; });
    auto& last = m_runNumbers[task];
    last = { std::max<uint64_t>(last.first + 1, attempt), now };
    return last.first;
}

// A start renews the lease of all runs. Those of an entry that has gone silent end with the next tick, unless a message of it
// waits to be handled; until then, no start takes the lease beyond what the entry's own lease allows.
Duration RunTable::startLease(TimePoint now) const
{
    Duration lease = m_options.upstreamLease;
    for (const auto& it : m_runs) {
        const auto entryLease = m_entryLeases.find(it.second.entry);
        if (entryLease != m_entryLeases.end())
            lease = std::min(lease, entryLease->second + m_options.upstreamLease - now);
    }
    return lease;
}

void RunTable::sendStart(TimePoint now, uint64_t serial, Run& run)
{
    const Duration lease = startLease(now);
    run.state = State::Starting;
    run.sentAt = now;
    run.fence = m_fence;
    run.process = m_bornMs;
    ++run.sendCount;
    ++run.sendsInFlight;
    run.leaseUntilMs = m_clock.at(now) + toMs(lease);
    run.leaseOverAt = UpstreamClock::latestLeaseExpiry(now, lease) + m_clock.unreadDrift(now);
    onLeaseGiven(now);
    m_hooks.start(serial,
        StartOrder { run.task, run.run, run.request.specification(), run.leaseUntilMs, m_fence, now + lease, knownInstance() });
}

void RunTable::beginStop(TimePoint now, Run& run, const std::string& reason, Duration grace)
{
    run.state = State::Stopping;
    run.stopReason = reason;
    run.notRenewedFrom = now + grace;
    sendDueStop(now, { run.task, run.run }, run.stop);
}

// An order that waits for its turn at the upstream, or for its answer, is not sent a second time: the copies would delay the
// stops of other runs.
void RunTable::sendDueStop(TimePoint now, const RunId& run, Stop& stop)
{
    if (stop.inFlight || now < stop.due)
        return;
    stop.inFlight = true;
    m_hooks.stop(StopOrder { run.first, run.second, m_fence, knownInstance() });
}

void RunTable::onStopReply(TimePoint now, const StopOrder& order, bool answered)
{
    Stop* stop = nullptr;
    if (const auto run = find(order.task, order.run); run != m_runs.end())
        stop = &run->second.stop;
    else if (const auto orphan = m_orphans.find({ order.task, order.run }); orphan != m_orphans.end())
        stop = &orphan->second.stop;
    if (stop == nullptr)
        return;
    stop->inFlight = false;
    // A stop with a lower token than a later order may have been refused for it.
    const bool effective = answered && order.fence == m_fence;
    stop->due = now + (effective ? m_options.stopRetryInterval : m_options.unansweredStopRetryInterval);
}

void RunTable::confirm(TimePoint now, Run& run)
{
    if (run.confirmed)
        return;
    run.confirmed = true;
    run.confirmedAt = now;
    if (run.state == State::Starting)
        run.state = State::Running;
    wire::AttemptReport report;
    *report.mutable_key() = run.request.key();
    report.set_state(wire::ATTEMPT_STARTED);
    m_hooks.report(run.entry, report);
}

void RunTable::onStartReply(TimePoint now, uint64_t serial, StartVerdict verdict)
{
    const auto it = m_runs.find(serial);
    m_replyLoss.onReply(now, verdict != StartVerdict::Unanswered);
    // Also if its run has ended or is listed: the lease of the order is for all runs.
    if (verdict == StartVerdict::Unanswered)
        fenceOff(it == m_runs.end() ? m_fence : it->second.fence);
    if (it == m_runs.end())
        return;
    Run& run = it->second;
    --run.sendsInFlight;
    run.repliedAt = now;
    // The order may have waited in a queue, and its lease may be by another clock than the one that was meant.
    m_longestLeasesExpireAt
        = std::max(m_longestLeasesExpireAt, UpstreamClock::latestLeaseExpiry(now, m_options.maxUpstreamLease));
    if (run.confirmed)
        return;
    switch (verdict) {
    case StartVerdict::Accepted:
        confirm(now, run);
        break;
    case StartVerdict::Fenced:
        // With the current token, a process of another agent has used a higher one. Otherwise a later order has overtaken this
        // one, which does not use up a retry.
        if (run.fence == m_fence)
            m_fence += fenceIncrementMs;
        else
            --run.sendCount;
        retryOrGiveUp(now, it, "fenced");
        break;
    case StartVerdict::Superseded:
        // An earlier start without an answer may have run to its end already; the next listing shows it.
        if (run.mayRun)
            break;
        // This number was used for a run of an earlier agent or entry.
        run.run = nextRunNumber(now, run.task, run.request.key().attempt());
        retryOrGiveUp(now, it, "superseded");
        break;
    case StartVerdict::Late:
        retryOrGiveUp(now, it, "order_late");
        break;
    case StartVerdict::NoRoom:
    case StartVerdict::Invalid:
        giveUpStart(now, it, std::string(toString(verdict)));
        break;
    case StartVerdict::Unhealthy:
        recordFailure(now, run);
        giveUpStart(now, it, "unhealthy");
        break;
    case StartVerdict::OtherProcess:
        onOtherProcess(now, run.process);
        giveUpStart(now, it, "other_process");
        break;
    case StartVerdict::Unanswered:
        // The task may be running, so a retry has to use the same number; without one, the lease bounds the run.
        run.mayRun = true;
        if (mayResend(now, run))
            sendStart(now, serial, run);
        break;
    }
    issueGrants(now);
}

// A start that may be with another process than the known one is not sent to that one as well.
bool RunTable::mayResend(TimePoint now, const Run& run) const
{
    return run.state == State::Starting && !run.processUnknown && run.sendCount <= m_options.maxStartRetries && accepting(now)
        && startLease(now) >= minStartLease;
}

// For a send of a start that the upstream has refused.
void RunTable::retryOrGiveUp(TimePoint now, Runs::iterator it, const std::string& reason)
{
    Run& run = it->second;
    if (now <= run.startBy && mayResend(now, run))
        sendStart(now, it->first, run);
    else
        giveUpStart(now, it, reason);
}

// A refusal speaks only of the send that it answers. After an unanswered send the run keeps its resources until a listing shows
// it, or is newer than its lease.
void RunTable::giveUpStart(TimePoint now, Runs::iterator it, const std::string& reason)
{
    const Run& run = it->second;
    if (!run.mayRun) {
        finish(now, it, wire::ATTEMPT_NOT_STARTED, reason);
        return;
    }
    Event(Level::Warn, "start_undecided")
        .with("request", run.task.job)
        .with("task", std::to_string(run.task.step) + "/" + std::to_string(run.task.index))
        .with("run", run.run)
        .with("entry", run.entry)
        .with("sends", run.sendCount)
        .with("refused", reason);
}

RunTable::Runs::iterator RunTable::find(const StepTask& task, uint64_t number)
{
    return std::find_if(
        m_runs.begin(), m_runs.end(), [&](const auto& it) { return it.second.run == number && it.second.task == task; });
}

void RunTable::applyEnd(TimePoint now, const EndedRow& row)
{
    if (row.number <= m_acknowledged)
        return;
    m_acknowledged = row.number;
    const auto it = find(row.task, row.run);
    if (it == m_runs.end())
        return;
    Run& run = it->second;
    const bool measured = run.confirmed;
    confirm(now, run);
    const Duration took = now - run.confirmedAt;
    switch (row.how) {
    case RunEnd::Done:
        recordSuccess(now, run);
        // Without an answer to the start, the run time is not known, and would look like that of a fast upstream.
        if (!measured)
            m_slowness.onStop(now);
        m_slowness.onEnd(now, fromMs(run.request.estimate_ms()), took);
        finish(now, it, wire::ATTEMPT_DONE, "");
        break;
    case RunEnd::Failed:
        recordFailure(now, run);
        finish(now, it, wire::ATTEMPT_FAILED, "task_failed");
        break;
    case RunEnd::Stopped:
    case RunEnd::Lapsed:
    case RunEnd::Other:
        finish(now, it, wire::ATTEMPT_LOST, run.stopReason.empty() ? std::string(toString(row.how)) : run.stopReason);
        break;
    }
}

// The last send of a start may be a repeat after an ejection, so the time at which it was received counts.
void RunTable::recordSuccess(TimePoint now, const Run& run)
{
    const bool ejected = m_health.ejected();
    m_health.onSuccess(now, run.task.job, run.receivedAt);
    if (ejected && !m_health.ejected())
        Event(Level::Info, "upstream_accepted").with("cause", toString(m_health.cause()));
}

void RunTable::recordFailure(TimePoint now, const Run& run)
{
    const bool ejected = m_health.ejected();
    m_health.onFailure(now, run.task.job, run.receivedAt);
    if (!ejected)
        reportEjection();
}

// Called when the upstream was not ejected before.
void RunTable::reportEjection()
{
    if (!m_health.ejected())
        return;
    Event(Level::Warn, "upstream_ejected")
        .with("cause", toString(m_health.cause()))
        .with("failed_percent", m_health.failedPercent())
        .with("jobs", m_health.countedJobs())
        .with("runs", running());
    if (m_hooks.ejected)
        m_hooks.ejected(m_health.cause());
}

void RunTable::onListing(TimePoint now, TimePoint sent, const Listing& listing)
{
    m_replyLoss.onReply(now, true);
    if (listing.bornMs != m_bornMs) {
        // A listing that was asked for before the last one of the known process was handled may be that of an earlier process.
        // Times of birth don't tell, since the upstream's wall clock may have been set back.
        if (listing.bornMs == 0 || (m_bornMs != 0 && sent < m_lastListingHandledAt)) {
            Event(Level::Warn, "listing_ignored").with("born", listing.bornMs).with("known", m_bornMs);
            return;
        }
        beginIncarnation(now, listing.bornMs);
    }
    m_lastListingHandledAt = now;
    // A listing that was asked for before the process was found to be replaced tells only what became of its runs.
    if (!m_instanceOutdated || sent >= m_instanceOutdatedAt) {
        m_holdFailed = false;
        adoptAnnouncement();
        m_possiblyCrashed.clear();
        m_clock.update(now, listing.clockMs);
        if (!m_lastListingAt) {
            Event(Level::Info, "upstream_reached").with("born", m_bornMs).with("running", listing.running.size());
            if (std::exchange(m_wentDown, false))
                onReturn(now);
        }
        // The process may have stood still since the answer.
        m_lastListingAt = std::min(now, sent + m_holdWait + maxOrderTime);
    }
    for (const auto& it : listing.ended)
        applyEnd(now, it);
    applyRunning(now, sent, listing);
    tick(now);
}

void RunTable::applyRunning(TimePoint now, TimePoint sent, const Listing& listing)
{
    std::set<uint64_t> listed;
    std::vector<RunId> orphaned;
    m_slowness.beginProgressRound();
    for (const auto& row : listing.running) {
        const auto it = find(row.task, row.run);
        if (it == m_runs.end()) {
            orphaned.emplace_back(row.task, row.run);
            continue;
        }
        listed.insert(it->first);
        confirm(now, it->second);
        it->second.listed = true;
        it->second.processUnknown = false;
        it->second.crashedProcess = std::nullopt;
        it->second.percent = row.percent;
        if (it->second.state == State::Running)
            m_slowness.onProgress(
                row.task.job, fromMs(it->second.request.estimate_ms()), now - it->second.confirmedAt, row.percent);
    }
    m_slowness.endProgressRound();
    applyOrphans(now, orphaned, listing);
    if (!m_foreignRunsGoneAt)
        m_foreignRunsGoneAt = UpstreamClock::latestLeaseExpiry(now, m_options.maxUpstreamLease);
    m_foreignRunsKnown = m_foreignRunsKnown || listing.complete;
    // A run that is not listed may be the one of a row that could not be read.
    if (!listing.complete) {
        for (auto& it : m_runs)
            it.second.mayHaveEnded = it.second.mayHaveEnded || !it.second.confirmed;
        return;
    }
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        if (!listed.contains(it->first) && isAbsent(it->second, sent, listing))
            endAbsent(now, it);
        it = next;
    }
}

// Returns whether a complete listing without the run proves that it is not there and will not be. `sent` is when the listing was
// asked for.
bool RunTable::isAbsent(const Run& run, TimePoint sent, const Listing& listing) const
{
    // The listing is newer than the confirmation of the run.
    const bool missing = run.confirmed && run.confirmedAt < sent;
    if (run.processUnknown) {
        // The hold of this listing carried a higher fencing token than each send of the start, so its process refuses those. A
        // reply that is newer than the hold may be that of a yet later process.
        const bool fenced = m_holdProcess == m_bornMs && run.repliedAt <= sent;
        return run.sendsInFlight == 0 && (fenced || (missing && !run.mayRun));
    }
    if (run.confirmed)
        return missing;
    // Never started: the listing is newer than the lease of the start, so the upstream refuses that start from now on.
    return run.sentAt < sent
        && (run.mayHaveEnded ? run.sendsInFlight == 0 && run.leaseOverAt < sent : listing.clockMs > run.leaseUntilMs);
}

void RunTable::endAbsent(TimePoint now, Runs::iterator it)
{
    const Run& run = it->second;
    if (run.crashedProcess)
        reportCrash(now, run.request.key(), *run.crashedProcess);
    if (run.processUnknown)
        finish(now, it, wire::ATTEMPT_LOST, "upstream_restarted");
    else if (run.confirmed)
        finish(now, it, wire::ATTEMPT_LOST, "vanished");
    else
        finish(now, it, run.mayHaveEnded ? wire::ATTEMPT_LOST : wire::ATTEMPT_NOT_STARTED, "start_unanswered");
}

// A run that a listing with unreadable rows does not show is there until its end is listed, or until the longest lease is over.
void RunTable::applyOrphans(TimePoint now, const std::vector<RunId>& listed, const Listing& listing)
{
    const TimePoint goneAt = std::max(m_longestLeasesExpireAt, UpstreamClock::latestLeaseExpiry(now, m_options.maxUpstreamLease));
    std::map<RunId, Orphan> orphans;
    for (const auto& it : listed) {
        const auto known = m_orphans.find(it);
        orphans.emplace(it, Orphan { known == m_orphans.end() ? Stop() : known->second.stop, goneAt });
    }
    if (!listing.complete) {
        for (const auto& it : listing.ended)
            m_orphans.erase({ it.task, it.run });
        for (const auto& it : m_orphans)
            if (now <= it.second.goneAt)
                orphans.insert(it);
    }
    if (orphans.size() != m_orphans.size())
        Event(Level::Info, "foreign_runs").with("count", orphans.size()).with("before", m_orphans.size());
    m_orphans = std::move(orphans);
}

void RunTable::onHoldFailure(TimePoint now, HoldFailure failure)
{
    if (failure == HoldFailure::Fenced && m_holdFence == m_fence)
        m_fence += fenceIncrementMs;
    if (failure == HoldFailure::Unanswered) {
        fenceOff(m_holdFence);
        m_replyLoss.onReply(now, false);
    }
    if (failure == HoldFailure::Refused) {
        // Before the first listing of this agent, no process is known that could return.
        m_wentDown = m_bornMs != 0;
        loseUpstream(now, "refused");
    }
    if (failure == HoldFailure::OtherProcess)
        onOtherProcess(now, m_holdProcess);
    m_holdFailed = true;
    m_holdFailedAt = now;
    tick(now);
}

HoldOrder RunTable::nextHold(TimePoint now)
{
    HoldOrder hold;
    // Whichever process is there answers a verification. Once it has, it refuses the orders that were sent before.
    const std::optional<uint64_t> claimed = std::exchange(m_claimedBornMs, std::nullopt);
    const bool verifies = claimed && m_bornMs != 0;
    if (verifies)
        fenceOff(m_fence);
    hold.fence = m_holdFence = m_fence;
    hold.instance = verifies ? std::string() : knownInstance();
    m_holdProcess = verifies ? *claimed : m_bornMs;
    // After a failed hold the next process may be there, whose ends have the same numbers.
    hold.acknowledged = m_holdFailed || verifies ? 0 : m_acknowledged;
    const bool busy = running() > 0;
    // A run that ended keeps its resources, and its caller waiting, until the next listing, so lost answers shorten the wait.
    const bool lossy = m_holdFailedAt && now - *m_holdFailedAt < m_options.lossyPeriod;
    // The same holds for runs that only a further listing of the next process settles.
    const bool undecided = std::any_of(m_runs.begin(), m_runs.end(), [](const auto& it) { return it.second.processUnknown; });
    hold.wait = !busy ? m_options.idleHoldWait : lossy || undecided ? m_options.lossyHoldWait : m_options.holdWait;
    // The first listing is needed at once.
    if (!m_lastListingAt)
        hold.wait = Duration();
    m_holdWait = hold.wait;
    // The lease is not renewed without own runs, so that orphaned runs expire.
    if (m_clock.known() && busy && !m_renewalWithheld) {
        hold.leaseUntilMs = m_clock.at(now) + toMs(m_options.upstreamLease);
        onLeaseGiven(now);
    }
    return hold;
}

void RunTable::finish(TimePoint now, Runs::iterator it, wire::AttemptState state, const std::string& reason)
{
    const Run& run = it->second;
    wire::AttemptReport report;
    *report.mutable_key() = run.request.key();
    report.set_state(state);
    report.set_reason(reason);
    report.set_run_ms(run.confirmed ? static_cast<uint32_t>(toMs(now - run.confirmedAt)) : 0);
    Event(state == wire::ATTEMPT_DONE ? Level::Info : Level::Warn, "attempt_ended")
        .with("request", run.task.job)
        .with("task", std::to_string(run.task.step) + "/" + std::to_string(run.task.index))
        .with("attempt", run.request.key().attempt())
        .with("run", run.run)
        .with("entry", run.entry)
        .with("state", wire::AttemptState_Name(state))
        .with("reason", reason)
        .with("since_received_ms", toMs(now - run.receivedAt))
        .with("run_ms", report.run_ms())
        .with("estimate_ms", run.request.estimate_ms())
        .with("percent", run.percent)
        .with("slowness_percent", m_slowness.percent())
        .with("listing_age_ms", m_lastListingAt ? toMs(now - *m_lastListingAt) : 0);
    const std::string entry = run.entry;
    // Starts that were refused beside the probe were never sent.
    if (state != wire::ATTEMPT_DONE && run.sendCount > 0)
        m_slowness.onStop(now);
    settle(now, entry, run.request.key());
    m_runs.erase(it);
    m_hooks.report(entry, report);
}

void RunTable::onLeaseGiven(TimePoint now)
{
    m_leasesExpireAt
        = std::max(m_leasesExpireAt, UpstreamClock::latestLeaseExpiry(now, m_options.upstreamLease) + m_clock.unreadDrift(now));
    m_longestLeasesExpireAt
        = std::max(m_longestLeasesExpireAt, UpstreamClock::latestLeaseExpiry(now + maxOrderTime, m_options.maxUpstreamLease));
}

// Once the last lease that this agent has given is certain to have expired, nothing of it runs any more.
void RunTable::expireUpstreamLeases(TimePoint now)
{
    if (now <= m_leasesExpireAt)
        return;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        const Run& run = it->second;
        if (isKnownToBeThere(run) || (run.sendsInFlight == 0 && now > m_longestLeasesExpireAt)) {
            if (run.crashedProcess)
                reportCrash(now, run.request.key(), *run.crashedProcess);
            else
                m_possiblyCrashed.push_back(run.request.key());
            finish(now, it, wire::ATTEMPT_LOST, "lease_lapsed");
        }
        it = next;
    }
}

void RunTable::enforceEntryLeases(TimePoint now)
{
    for (auto& it : m_runs) {
        Run& run = it.second;
        if (m_entryLeases[run.entry] > now)
            continue;
        if (run.state != State::Stopping)
            beginStop(now, run, "entry_lease_over", Duration());
        run.notRenewedFrom = std::min(run.notRenewedFrom, now);
    }
    std::erase_if(m_entryLeases, [&](const auto& it) { return it.second + runNumberRetention < now; });
    m_grants.expire(now);
}

void RunTable::sendDueStops(TimePoint now)
{
    for (auto& it : m_runs)
        if (it.second.state == State::Stopping)
            sendDueStop(now, { it.second.task, it.second.run }, it.second.stop);
    for (auto& it : m_orphans)
        sendDueStop(now, it.first, it.second.stop);
}

// A stop may fail for as long as the upstream leaves requests undone. The lease then bounds the run, but there is one lease for
// all runs of the upstream, and any start renews it too. So neither holds nor starts are sent with a new lease until the run has
// ended; its caller may submit the job again by then.
void RunTable::updateRenewal(TimePoint now)
{
    const auto overdue = std::find_if(m_runs.begin(), m_runs.end(),
        [&](const auto& it) { return it.second.state == State::Stopping && now >= it.second.notRenewedFrom; });
    const bool withheld = overdue != m_runs.end() || !m_orphans.empty();
    if (withheld == m_renewalWithheld)
        return;
    m_renewalWithheld = withheld;
    Event event(withheld ? Level::Warn : Level::Info, withheld ? "lease_withheld" : "lease_renewed");
    event.with("runs", running()).with("foreign", m_orphans.size());
    if (overdue != m_runs.end())
        event.with("request", overdue->second.task.job).with("reason", overdue->second.stopReason);
}

// An order without an answer may be carried out late. Once a later order has been, it is refused by its token.
void RunTable::fenceOff(uint64_t fence) { m_fence = std::max(m_fence, fence + 1); }

void RunTable::onReturn(TimePoint now)
{
    const bool ejected = m_health.ejected();
    m_health.onReturn(now);
    if (!ejected)
        reportEjection();
}

// Starts nothing until the next listing, which tells which process is there.
void RunTable::loseUpstream(TimePoint now, const std::string& reason)
{
    if (!m_lastListingAt)
        return;
    Event(Level::Warn, "upstream_lost")
        .with("reason", reason)
        .with("listing_age_ms", toMs(now - *m_lastListingAt))
        .with("runs", running());
    m_lastListingAt = std::nullopt;
}

// An order for `process` has met another one. The next hold names none, so that its listing tells which one is there.
void RunTable::onOtherProcess(TimePoint now, uint64_t process)
{
    if (process != m_bornMs || m_instanceOutdated)
        return;
    loseUpstream(now, "replaced");
    m_announcements.refuseName(m_bornMs, m_announcement ? m_announcement->instance : std::string());
    m_instanceOutdated = true;
    m_instanceOutdatedAt = now;
    m_holdFailed = true;
    m_clock.reset();
}

std::string RunTable::knownInstance() const
{
    const bool known = m_announcement && m_announcement->bornMs == m_bornMs && !m_instanceOutdated;
    return known ? m_announcement->instance : std::string();
}

void RunTable::tick(TimePoint now)
{
    if (m_lastListingAt && now - *m_lastListingAt > m_options.listingTimeout)
        loseUpstream(now, "silent");
    forgetSettled(now);
    expireUpstreamLeases(now);
    enforceEntryLeases(now);
    sendDueStops(now);
    updateRenewal(now);
    issueGrants(now);
}

void RunTable::drain(TimePoint now)
{
    m_draining = true;
    tick(now);
}

void RunTable::setDrainedDomains(TimePoint now, std::set<std::string> domains)
{
    const bool wasDrained = isDomainDrained();
    m_drainedDomains = std::move(domains);
    // The upstream was idle during the drain, so the time that it announced then has not warmed it.
    if (wasDrained && !isDomainDrained()) {
        m_warmUp.reset();
        m_warmUp.onAnnouncement(now, m_announcement->coldFor);
    }
    logDomainDrain();
    tick(now);
}

void RunTable::logDomainDrain()
{
    if (isDomainDrained() == m_drainLogged)
        return;
    m_drainLogged = isDomainDrained();
    Event(Level::Info, m_drainLogged ? "upstream_drained" : "upstream_returned")
        .with("domain", m_announcement ? m_announcement->domain : std::string())
        .with("runs", running());
}

bool RunTable::accepting(TimePoint now) const
{
    return m_announcement && !m_announcement->leaving && m_announcement->bornMs == m_bornMs && !m_departed && !m_draining
        && !isDomainDrained() && m_orphans.empty() && (m_foreignRunsKnown || (m_foreignRunsGoneAt && now > *m_foreignRunsGoneAt))
        && !m_renewalWithheld && m_lastListingAt && now - *m_lastListingAt <= m_options.listingTimeout;
}

Resources RunTable::free(TimePoint now) const
{
    Resources free = m_announcement ? m_warmUp.usable(now, m_announcement->capacity) : Resources();
    for (const auto& it : m_runs)
        free -= it.second.need;
    return free - m_grants.reserved();
}

bool RunTable::isUnused() const { return m_announcement && m_runs.empty() && m_grants.reservationCount() == 0; }

void RunTable::issueGrants(TimePoint now)
{
    const size_t used = running() + m_grants.reservationCount();
    if (!accepting(now) || !m_health.admits(now, used) || m_slowness.probing())
        return;
    const bool probed = m_health.ejected() || m_slowness.isProbeDue(now, used);
    const size_t maxGrants = probed ? 1 : std::numeric_limits<size_t>::max();
    auto granted = m_grants.grant(now, free(now), m_announcement->capacity, maxGrants);
    if (granted.empty() && isUnused())
        granted = m_grants.grant(now, m_announcement->capacity, m_announcement->capacity, 1);
    for (const auto& it : granted)
        m_hooks.grant(it);
}

wire::UpstreamOffer RunTable::offer(TimePoint now) const
{
    wire::UpstreamOffer offer;
    if (!m_announcement)
        return offer;
    offer.set_service(m_announcement->service);
    offer.set_domain(m_announcement->domain);
    offer.set_instance(m_announcement->instance);
    for (const auto& it : m_announcement->labels)
        offer.add_labels(it);
    *offer.mutable_capacity() = wire::toWire(m_announcement->capacity);
    // While a slow upstream is probed it has no room. It still accepts tasks, or entries without another one would refuse all
    // jobs.
    *offer.mutable_free() = wire::toWire(m_slowness.probing() ? Resources() : free(now));
    // An ejected upstream is offered for its probe task only, and a slow one as if it were fast again.
    const bool open = accepting(now);
    const bool admits = m_health.admits(now, running());
    offer.set_accepting(open && admits);
    const bool anyTaskProbes = admits && m_health.isProbeOverdue(now);
    offer.set_ejected_percent(open && !anyTaskProbes ? m_health.ejectedPercent() : 0);
    // Entries would move the probe elsewhere if they knew of the slowness.
    const bool probed = m_slowness.probing() || m_slowness.isProbeDue(now, running());
    offer.set_slowness_percent(probed ? m_slowness.probePercent() : m_slowness.percent());
    offer.set_delay_ms(static_cast<uint32_t>(toMs(m_replyLoss.expectedDelay(now))));
    return offer;
}

} // namespace fescuegw::arbiter
