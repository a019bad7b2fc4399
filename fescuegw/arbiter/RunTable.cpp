#include "fescuegw/arbiter/RunTable.h"

#include <algorithm>
#include <array>
#include <set>

#include "fescuegw/logging/Log.h"
#include "fescuegw/wire/Direct.h"

namespace fescuegw::arbiter {

using logging::Event;
using logging::Level;

namespace {

    // How far a refused fencing token is raised. Tokens are milliseconds of the wall clock, which may step by seconds.
    constexpr uint64_t fenceStep = 10000;
    // Longer than any caller sends the same job again.
    constexpr Duration runNumberMemory = std::chrono::seconds(30);
    // Cores of a task of which nothing is known, for the estimate of delays.
    constexpr int64_t typicalCoresMilli = 6000;
    // Delays are estimated for this many priorities.
    constexpr size_t priorities = 4;
    // A run that outlasts its estimate is expected to end after this share of it.
    constexpr int overrunShare = 4;
    constexpr Duration shortestRest = std::chrono::milliseconds(5);

    uint32_t toMs(Duration duration)
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        return static_cast<uint32_t>(std::max<int64_t>(ms, 0));
    }

    Duration fromMs(uint64_t ms) { return std::chrono::milliseconds(ms); }

    TimePoint fromMicros(uint64_t us) { return TimePoint(Duration(static_cast<int64_t>(us))); }

} // namespace

RunTable::RunTable(RunTableOptions options, uint64_t fence, RunTableHooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_fence(fence)
{
}

bool RunTable::onAnnouncement(TimePoint now, const Announcement& next)
{
    if (m_announcement) {
        const bool older = next.bornMs < m_announcement->bornMs
            || (next.bornMs == m_announcement->bornMs && next.sequence <= m_announcement->sequence);
        if (older)
            return false;
    }
    if (next.bornMs > m_bornMs)
        enterLife(now, next.bornMs);
    const bool changed = !m_announcement || m_announcement->instance != next.instance || m_announcement->leaving != next.leaving
        || m_announcement->bornMs != next.bornMs;
    m_announcement = next;
    if (changed)
        Event(Level::Info, "upstream_announced")
            .with("instance", next.instance)
            .with("born", next.bornMs)
            .with("sequence", next.sequence)
            .with("service", next.service)
            .with("leaving", next.leaving ? "yes" : "no")
            .with("cores_milli", next.capacity.coresMilli);
    tick(now);
    return true;
}

void RunTable::onDeparture(TimePoint now, const std::string& instance)
{
    if (!m_announcement || m_announcement->instance != instance)
        return;
    m_departed = true;
    Event(Level::Info, "upstream_departed").with("instance", instance).with("runs", running());
    tick(now);
}

// A new life has forgotten all runs and their numbers.
void RunTable::enterLife(TimePoint now, uint64_t bornMs)
{
    if (m_bornMs != 0) {
        Event(Level::Warn, "upstream_restarted").with("born", bornMs).with("before", m_bornMs).with("runs", running());
        forgetRuns(now, "upstream_restarted");
    }
    m_bornMs = bornMs;
    m_acknowledged = 0;
    m_foreign = 0;
    m_departed = false;
    m_listedAt = std::nullopt;
    m_clock.reset();
    m_slowness.reset();
    m_health = UpstreamHealth();
}

// A start that is on its way may still reach the new life: its room stays taken until its lease has passed.
void RunTable::forgetRuns(TimePoint now, const std::string& reason)
{
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        if (it->second.state == State::Running || it->second.state == State::Stopping)
            finish(now, it, wire::ATTEMPT_LOST, reason);
        it = next;
    }
}

void RunTable::onEntry(TimePoint now, const wire::EntryToUpstream& message)
{
    const TimePoint until = fromMicros(message.seen_clock_us()) + m_options.entryLease;
    TimePoint& lease = m_entryLeases[message.entry()];
    lease = std::max(lease, until);
    for (const auto& it : message.stops())
        onStop(now, message.entry(), it);
    for (const auto& it : message.starts())
        onStart(now, message.entry(), it);
    fill(now);
}

void RunTable::onStart(TimePoint now, const std::string& entry, const wire::StartTask& request)
{
    Run run;
    run.entry = entry;
    run.request = request;
    run.task = wire::toStepTask(request.key());
    run.need = wire::toResources(request.need());
    run.received = now;
    run.startBy = fromMicros(request.start_by_us());
    const bool twice = std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& it) {
        return it.second.entry == entry && it.second.task == run.task && it.second.request.key().attempt() == request.key().attempt();
    });
    if (twice)
        return;
    const auto added = m_runs.emplace(++m_lastSerial, std::move(run)).first;
    if (!accepting(now))
        finish(now, added, wire::ATTEMPT_NOT_STARTED, "not_accepting");
    else if (!added->second.need.fitsInto(m_announcement->capacity))
        finish(now, added, wire::ATTEMPT_NOT_STARTED, "too_large");
    else if (m_entryLeases[entry] <= now)
        finish(now, added, wire::ATTEMPT_NOT_STARTED, "entry_lease_over");
}

void RunTable::onStop(TimePoint now, const std::string& entry, const wire::AttemptKey& key)
{
    const StepTask task = wire::toStepTask(key);
    for (auto it = m_runs.begin(); it != m_runs.end(); ++it) {
        Run& run = it->second;
        if (run.entry != entry || run.task != task || run.request.key().attempt() != key.attempt())
            continue;
        if (run.state == State::Waiting)
            finish(now, it, wire::ATTEMPT_NOT_STARTED, "withdrawn");
        else if (run.state != State::Stopping)
            stop(now, run, "withdrawn");
        return;
    }
}

uint64_t RunTable::nextRunNumber(TimePoint now, const StepTask& task, uint32_t attempt)
{
    std::erase_if(m_runNumbers, [&](const auto& it) { return now - it.second.second > runNumberMemory; });
    auto& last = m_runNumbers[task];
    last = { std::max<uint64_t>(last.first + 1, attempt), now };
    return last.first;
}

void RunTable::order(TimePoint now, uint64_t serial, Run& run)
{
    run.state = State::Starting;
    run.sentAt = now;
    ++run.sends;
    run.leaseUntilMs = m_clock.at(now) + toMs(m_options.upstreamLease);
    m_lapseAt = std::max(m_lapseAt, UpstreamClock::lapseOf(now, m_options.upstreamLease));
    m_hooks.start(serial, StartOrder { run.task, run.run, run.request.specification(), run.leaseUntilMs, m_fence });
}

void RunTable::stop(TimePoint now, Run& run, const std::string& reason)
{
    run.state = State::Stopping;
    run.stopSent = now;
    if (run.stopReason.empty())
        run.stopReason = reason;
    m_hooks.stop(StopOrder { run.task, run.run, m_fence });
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
    report.set_wait_ms(toMs(run.sentAt - run.received));
    m_hooks.report(run.entry, report);
}

void RunTable::onStartReply(TimePoint now, uint64_t serial, StartVerdict verdict, std::optional<uint64_t> clockMs)
{
    if (clockMs)
        m_clock.read(now, *clockMs);
    const auto it = m_runs.find(serial);
    if (it == m_runs.end() || it->second.confirmed)
        return;
    Run& run = it->second;
    switch (verdict) {
    case StartVerdict::Accepted:
        confirm(now, run);
        break;
    case StartVerdict::Fenced:
        m_fence += fenceStep;
        repeatOrGiveUp(now, it, "fenced");
        break;
    case StartVerdict::Superseded:
        // A run of an earlier agent or entry had this number.
        run.run = nextRunNumber(now, run.task, run.request.key().attempt());
        repeatOrGiveUp(now, it, "superseded");
        break;
    case StartVerdict::Late:
        repeatOrGiveUp(now, it, "order_late");
        break;
    case StartVerdict::NoRoom:
    case StartVerdict::Invalid:
        finish(now, it, wire::ATTEMPT_NOT_STARTED, std::string(toString(verdict)));
        break;
    case StartVerdict::Unhealthy:
        m_health.onFailure(now, run.task.job);
        finish(now, it, wire::ATTEMPT_NOT_STARTED, "unhealthy");
        break;
    case StartVerdict::Unanswered:
        // It may have been carried out, so only the same number may be sent again; otherwise the lease decides.
        if (run.state == State::Starting && run.sends <= m_options.startRepeats && accepting(now))
            order(now, serial, run);
        break;
    }
    fill(now);
}

// The upstream has refused an order, so nothing runs under its number.
void RunTable::repeatOrGiveUp(TimePoint now, Runs::iterator it, const std::string& reason)
{
    Run& run = it->second;
    if (run.state == State::Starting && now <= run.startBy && run.sends <= m_options.startRepeats && accepting(now))
        order(now, it->first, run);
    else
        finish(now, it, wire::ATTEMPT_NOT_STARTED, reason);
}

RunTable::Runs::iterator RunTable::find(const StepTask& task, uint64_t number)
{
    return std::find_if(m_runs.begin(), m_runs.end(), [&](const auto& it) {
        return it.second.state != State::Waiting && it.second.run == number && it.second.task == task;
    });
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
    confirm(now, run);
    const Duration took = now - run.confirmedAt;
    switch (row.how) {
    case RunEnd::Done:
        m_health.onDone();
        m_slowness.onEnd(fromMs(run.request.estimate_ms()), took);
        finish(now, it, wire::ATTEMPT_DONE, "");
        break;
    case RunEnd::Failed:
        m_health.onFailure(now, run.task.job);
        finish(now, it, wire::ATTEMPT_FAILED, "task_failed");
        break;
    case RunEnd::Stopped:
    case RunEnd::Lapsed:
    case RunEnd::Other:
        finish(now, it, wire::ATTEMPT_LOST, run.stopReason.empty() ? std::string(toString(row.how)) : run.stopReason);
        break;
    }
}

void RunTable::onListing(TimePoint now, TimePoint sent, const Listing& listing)
{
    if (listing.bornMs < m_bornMs)
        return;
    if (listing.bornMs > m_bornMs)
        enterLife(now, listing.bornMs);
    m_clock.read(now, listing.clockMs);
    if (!m_listedAt)
        Event(Level::Info, "upstream_reached").with("born", m_bornMs).with("running", listing.running.size());
    m_listedAt = now;
    for (const auto& it : listing.ended)
        applyEnd(now, it);
    applyRunning(now, sent, listing);
    tick(now);
}

void RunTable::applyRunning(TimePoint now, TimePoint sent, const Listing& listing)
{
    std::set<uint64_t> listed;
    std::vector<const RunningRow*> foreign;
    m_slowness.startRound();
    for (const auto& row : listing.running) {
        const auto it = find(row.task, row.run);
        if (it == m_runs.end()) {
            foreign.push_back(&row);
            continue;
        }
        listed.insert(it->first);
        confirm(now, it->second);
        it->second.percent = row.percent;
        if (it->second.state == State::Running)
            m_slowness.onProgress(fromMs(it->second.request.estimate_ms()), now - it->second.confirmedAt, row.percent);
    }
    stopForeign(now, foreign);
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        const Run& run = it->second;
        if (run.state != State::Waiting && !listed.contains(it->first)) {
            // The listing was made after the run was known to be there, or after no order for it could be carried out.
            const bool vanished = run.confirmed && run.confirmedAt < sent;
            const bool neverStarted = !run.confirmed && run.sentAt < sent && listing.clockMs > run.leaseUntilMs;
            if (vanished)
                finish(now, it, wire::ATTEMPT_LOST, "vanished");
            else if (neverStarted)
                finish(now, it, wire::ATTEMPT_NOT_STARTED, "start_unanswered");
        }
        it = next;
    }
}

// Runs of an earlier process of this agent: nobody waits for them, and their size isn't known.
void RunTable::stopForeign(TimePoint now, const std::vector<const RunningRow*>& rows)
{
    if (rows.size() != m_foreign)
        Event(Level::Info, "foreign_runs").with("count", rows.size()).with("before", m_foreign);
    m_foreign = rows.size();
    if (rows.empty() || now - m_foreignStopped < m_options.stopRepeat)
        return;
    m_foreignStopped = now;
    for (const auto* it : rows)
        m_hooks.stop(StopOrder { it->task, it->run, m_fence });
}

void RunTable::onHoldFailure(TimePoint now, bool fenced)
{
    if (fenced)
        m_fence += fenceStep;
    tick(now);
}

HoldOrder RunTable::nextHold(TimePoint now)
{
    HoldOrder hold;
    hold.fence = m_fence;
    hold.acknowledged = m_acknowledged;
    const bool busy = running() > 0;
    hold.wait = busy ? m_options.holdWait : m_options.idleHoldWait;
    // Nothing is gained by a wait before the first listing.
    if (!m_listedAt)
        hold.wait = Duration();
    // Without runs there is nothing to hold; foreign ones are to lapse.
    if (m_clock.known() && busy) {
        hold.leaseUntilMs = m_clock.at(now) + toMs(m_options.upstreamLease);
        m_lapseAt = std::max(m_lapseAt, UpstreamClock::lapseOf(now, m_options.upstreamLease));
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
    report.set_run_ms(run.confirmed ? toMs(now - run.confirmedAt) : 0);
    report.set_wait_ms(toMs((run.state == State::Waiting ? now : run.sentAt) - run.received));
    Event(state == wire::ATTEMPT_DONE ? Level::Info : Level::Warn, "attempt_ended")
        .with("request", run.task.job)
        .with("task", std::to_string(run.task.step) + "/" + std::to_string(run.task.index))
        .with("attempt", run.request.key().attempt())
        .with("run", run.run)
        .with("entry", run.entry)
        .with("state", wire::AttemptState_Name(state))
        .with("reason", reason)
        .with("wait_ms", report.wait_ms())
        .with("run_ms", report.run_ms())
        .with("estimate_ms", run.request.estimate_ms())
        .with("percent", run.percent)
        .with("slowness_percent", m_slowness.percent())
        .with("listing_age_ms", m_listedAt ? toMs(now - *m_listedAt) : 0);
    const std::string entry = run.entry;
    m_runs.erase(it);
    m_hooks.report(entry, report);
}

// No order that this agent sent can keep anything running any more.
void RunTable::lapse(TimePoint now)
{
    if (now <= m_lapseAt)
        return;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        if (it->second.state != State::Waiting)
            finish(now, it, wire::ATTEMPT_LOST, "lease_lapsed");
        it = next;
    }
}

void RunTable::expire(TimePoint now)
{
    const bool open = accepting(now);
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        Run& run = it->second;
        const bool leased = m_entryLeases[run.entry] > now;
        if (run.state == State::Waiting && !open)
            finish(now, it, wire::ATTEMPT_NOT_STARTED, "not_accepting");
        else if (run.state == State::Waiting && now > run.startBy)
            finish(now, it, wire::ATTEMPT_NOT_STARTED, "waited_too_long");
        else if (run.state == State::Waiting && !leased)
            finish(now, it, wire::ATTEMPT_NOT_STARTED, "entry_lease_over");
        else if (run.state == State::Stopping && now - run.stopSent >= m_options.stopRepeat)
            stop(now, run, run.stopReason);
        else if ((run.state == State::Starting || run.state == State::Running) && !leased)
            stop(now, run, "entry_lease_over");
        it = next;
    }
    std::erase_if(m_entryLeases, [&](const auto& it) { return it.second + runNumberMemory < now; });
}

void RunTable::tick(TimePoint now)
{
    if (m_listedAt && now - *m_listedAt > m_options.listingAge) {
        Event(Level::Warn, "upstream_lost").with("listing_age_ms", toMs(now - *m_listedAt)).with("runs", running());
        m_listedAt = std::nullopt;
    }
    lapse(now);
    expire(now);
    fill(now);
}

void RunTable::drain(TimePoint now)
{
    m_draining = true;
    tick(now);
}

bool RunTable::accepting(TimePoint now) const
{
    return m_announcement && !m_announcement->leaving && m_announcement->bornMs == m_bornMs && !m_departed && !m_draining
        && m_foreign == 0 && m_listedAt && now - *m_listedAt <= m_options.listingAge;
}

RunTable::Runs::iterator RunTable::nextWaiting()
{
    auto first = m_runs.end();
    for (auto it = m_runs.begin(); it != m_runs.end(); ++it) {
        if (it->second.state != State::Waiting)
            continue;
        if (first == m_runs.end() || it->second.request.priority() < first->second.request.priority())
            first = it;
    }
    return first;
}

// Answers full upstreams: what waits is started by priority, then in order of arrival, as soon as an end is listed.
void RunTable::fill(TimePoint now)
{
    if (!accepting(now))
        return;
    while (true) {
        const auto it = nextWaiting();
        if (it == m_runs.end() || !m_health.admits(now, running()))
            return;
        Run& run = it->second;
        if (!(used() + run.need).fitsInto(m_announcement->capacity))
            return;
        run.run = nextRunNumber(now, run.task, run.request.key().attempt());
        order(now, it->first, run);
    }
}

Resources RunTable::used() const
{
    Resources used;
    for (const auto& it : m_runs)
        if (it.second.state != State::Waiting)
            used += it.second.need;
    return used;
}

size_t RunTable::running() const
{
    return static_cast<size_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [](const auto& it) { return it.second.state != State::Waiting; }));
}

size_t RunTable::waiting() const { return m_runs.size() - running(); }

bool RunTable::hasRunsOf(const std::string& entry) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& it) { return it.second.entry == entry; });
}

Duration RunTable::expectedRest(TimePoint now, const Run& run) const
{
    const Duration whole = fromMs(run.request.estimate_ms()) * m_slowness.percent() / 100;
    if (run.state == State::Waiting)
        return whole;
    const Duration elapsed = now - (run.confirmed ? run.confirmedAt : run.sentAt);
    if (elapsed < whole)
        return whole - elapsed;
    return std::max(whole / overrunShare, shortestRest);
}

// Plays the ends that are expected against what waits, for a further task of each priority.
std::vector<uint32_t> RunTable::startDelays(TimePoint now) const
{
    std::vector<std::pair<Duration, int64_t>> ends;
    int64_t freeCores = m_announcement->capacity.coresMilli;
    std::vector<const Run*> line;
    for (const auto& it : m_runs) {
        if (it.second.state == State::Waiting) {
            line.push_back(&it.second);
            continue;
        }
        freeCores -= it.second.need.coresMilli;
        ends.emplace_back(expectedRest(now, it.second), it.second.need.coresMilli);
    }
    std::stable_sort(line.begin(), line.end(), [](const Run* a, const Run* b) { return a->request.priority() < b->request.priority(); });
    std::sort(ends.begin(), ends.end());
    std::vector<uint32_t> delays(priorities, 0);
    Duration clock {};
    size_t nextEnd = 0;
    const auto waitFor = [&](int64_t cores) {
        while (freeCores < cores && nextEnd < ends.size()) {
            clock = std::max(clock, ends[nextEnd].first);
            freeCores += ends[nextEnd].second;
            ++nextEnd;
        }
    };
    size_t inLine = 0;
    for (size_t priority = 0; priority < priorities; ++priority) {
        while (inLine < line.size() && line[inLine]->request.priority() <= priority) {
            const Run& run = *line[inLine++];
            waitFor(run.need.coresMilli);
            freeCores -= run.need.coresMilli;
            ends.emplace_back(clock + expectedRest(now, run), run.need.coresMilli);
            std::sort(ends.begin() + static_cast<std::ptrdiff_t>(nextEnd), ends.end());
        }
        waitFor(typicalCoresMilli);
        delays[priority] = toMs(clock);
    }
    return delays;
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
    Resources free = m_announcement->capacity;
    for (const auto& it : m_runs)
        free -= it.second.need;
    *offer.mutable_free() = wire::toWire(free);
    // An ejected upstream is offered for its probe only.
    offer.set_accepting(accepting(now) && m_health.admits(now, m_runs.size()));
    offer.set_slowness_percent(m_slowness.percent());
    for (const uint32_t it : startDelays(now))
        offer.add_start_in_ms(it);
    return offer;
}

} // namespace fescuegw::arbiter
