#include "fescuegw/model/LoadModel.h"

#include <algorithm>
#include <cmath>

namespace fescuegw::model {

using namespace arbiter;
using namespace direct;

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    // One-way delay between an agent and the upstream on its host.
    constexpr Duration upstreamDelay = std::chrono::microseconds(300);
    // Time after which an agent treats a request, or a hold past its wait, as unanswered.
    constexpr Duration replyTimeout = std::chrono::milliseconds(60);
    constexpr Duration patience = std::chrono::seconds(8);
    // Sigma of the log-normal run times and estimate errors, and the half-width of the uniform need relative to its mean.
    constexpr double runTimeSigma = 0.4;
    constexpr double estimateErrorSigma = 0.4;
    constexpr double needSpread = 0.2;
    constexpr int64_t coresMilli = 64000;
    constexpr int64_t memoryMb = 262144;
    // Time from a crash of an upstream to its restart.
    constexpr Duration downtime = std::chrono::milliseconds(1000);
    // Run time of a task that fails, relative to that of one that does not.
    constexpr double failedRunLength = 0.1;
    constexpr Duration holdRetryInterval = std::chrono::milliseconds(30);

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
    }

} // namespace

JobClassCounters ModelCounters::total() const
{
    JobClassCounters sum;
    for (const auto& it : classes) {
        sum.submitted += it.second.submitted;
        sum.inTime += it.second.inTime;
        sum.late += it.second.late;
        sum.refused += it.second.refused;
        sum.failed += it.second.failed;
    }
    return sum;
}

struct LoadModel::Run {
    StepTask task;
    uint64_t number = 0;
    int64_t need = 0;
    TimePoint started;
    TimePoint ends;
};

struct LoadModel::EntryHost {
    std::string identity;
    std::string address;
    TimePoint busyUntil;
    std::unique_ptr<JobTable> table;
};

struct LoadModel::AgentHost {
    AgentId id;
    size_t index = 0;
    EntryLinks links { "" };
    std::unique_ptr<RunTable> table;
    std::map<StepTask, int64_t> needs;
    // State of the simulated upstream.
    std::vector<Run> runs;
    std::vector<EndedRow> ended;
    // The highest run number of each task that has ended on this upstream.
    std::map<StepTask, uint64_t> lastEndedRuns;
    uint64_t lastEnd = 0;
    double slowness = 1;
    double replyLossRate = 0;
    double failureRate = 0;
    // The pending hold (a long poll), or 0.
    uint64_t holdNumber = 0;
    uint64_t lastHold = 0;
    TimePoint holdSent;
    bool holdLost = false;
    // The process of the upstream, and whether it is there.
    uint64_t bornMs = 1;
    bool down = false;
};

LoadModel::~LoadModel() = default;

LoadModel::LoadModel(ModelOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    wire::View view;
    for (size_t n = 0; n < m_options.entries; ++n) {
        auto entry = std::make_unique<EntryHost>();
        EntryHost& host = *entry;
        host.identity = "entry" + std::to_string(n) + "/1";
        host.address = "10.0.0." + std::to_string(n + 1) + ":1";
        JobTableHooks hooks;
        hooks.send = [this, &host](const AgentId& agent, const wire::EntryToUpstream& it) { sendToAgent(host, agent, it); };
        hooks.random = [this](uint64_t bound) { return m_random() % bound; };
        host.table = std::make_unique<JobTable>(JobTableOptions(), hooks);
        wire::EntryInfo& info = *view.add_entries();
        info.set_entry(host.identity);
        info.set_address(host.address);
        info.set_domain("domain" + std::to_string(n % m_options.domains));
        m_entries.push_back(std::move(entry));
        schedule(
            tickInterval * static_cast<int64_t>(n) / static_cast<int64_t>(m_options.entries), [this, &host] { tickEntry(host); });
    }
    for (size_t n = 0; n < m_options.agents; ++n) {
        auto agent = std::make_unique<AgentHost>();
        AgentHost& host = *agent;
        host.id = { "agent" + std::to_string(n), 1 };
        host.links = EntryLinks(host.id.name);
        host.index = n;
        RunTableHooks hooks;
        hooks.start = [this, &host](uint64_t serial, const StartOrder& it) {
            schedule(upstreamDelay, [this, &host, serial, it] { startRun(host, serial, it); });
        };
        hooks.stop = [this, &host](const StopOrder& it) { schedule(upstreamDelay, [this, &host, it] { stopRun(host, it); }); };
        hooks.report = [&host](const std::string& entry, const wire::AttemptReport& it) { host.links.report(entry, it); };
        hooks.grant = [&host](const GrantBook::Granted& it) { host.links.grant(it.entry, it.grant); };
        hooks.broadcast = [&host](TimePoint now, const wire::AttemptReport& it) { host.links.broadcast(now, it); };
        host.table = std::make_unique<RunTable>(RunTableOptions(), 1, hooks);
        host.links.onView(m_now, view);
        // Introduces every entry's process to the agent; entries send nothing to agents that they have not heard from.
        for (const auto& it : m_entries) {
            wire::EntryToUpstream hello;
            hello.set_entry(it->identity);
            (void)host.links.onMessage(m_now, it->address, hello);
        }
        m_agents.push_back(std::move(agent));
        schedule(tickInterval * static_cast<int64_t>(n) / static_cast<int64_t>(m_options.agents), [this, &host] {
            announce(host);
            startHold(host);
            tickAgent(host);
        });
    }
    // Entry n is in domain n % domains.
    const size_t entriesOfDomain = (m_entries.size() + m_options.domains - 1) / m_options.domains;
    for (size_t n = 0; n < m_options.callers; ++n) {
        const bool crowded = static_cast<double>(n) < m_options.crowding * static_cast<double>(m_options.callers);
        m_callers.push_back(crowded ? m_random() % entriesOfDomain * m_options.domains : m_random() % m_entries.size());
    }
    m_counters.startsOfAgents.assign(m_agents.size(), 0);
    schedule(std::chrono::milliseconds(500), [this] { generateArrival(); });
}

void LoadModel::announce(AgentHost& agent)
{
    Announcement it;
    it.instance = agent.id.name;
    it.bornMs = agent.bornMs;
    it.sequence = 1;
    it.service = "s";
    it.capacity = { coresMilli, memoryMb, 0 };
    agent.table->onAnnouncement(m_now, it);
}

void LoadModel::schedule(Duration delay, std::function<void()> action)
{
    m_events.push(Event { m_now + delay, ++m_lastEvent, std::move(action) });
}

double LoadModel::uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

void LoadModel::run(Duration duration)
{
    const TimePoint until = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= until) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = until;
}

void LoadModel::setWeight(const std::string& jobClass, double weight)
{
    for (auto& it : m_options.classes)
        if (it.name == jobClass)
            it.weight = weight;
}

void LoadModel::setSlowness(size_t agent, double factor) { m_agents[agent]->slowness = factor; }

void LoadModel::setReplyLossRate(size_t agent, double share) { m_agents[agent]->replyLossRate = share; }

void LoadModel::setFailureRate(size_t agent, double share) { m_agents[agent]->failureRate = share; }

void LoadModel::resetCounters()
{
    m_counters = ModelCounters();
    m_counters.startsOfAgents.assign(m_agents.size(), 0);
    m_firstCountedJob = m_lastJob + 1;
}

void LoadModel::generateArrival()
{
    double sum = 0;
    for (const auto& it : m_options.classes)
        sum += it.weight;
    double drawn = uniform() * sum;
    const JobClass* chosen = &m_options.classes.back();
    for (const auto& it : m_options.classes) {
        if (drawn < it.weight) {
            chosen = &it;
            break;
        }
        drawn -= it.weight;
    }
    EntryHost& entry = entryOfNextArrival(*chosen);
    const JobClass job = *chosen;
    schedule(m_options.linkDelay,
        [this, &entry, job] { runOnEntry(entry, m_options.jobCost, [this, &entry, job] { submit(entry, job); }); });
    const double gap = -std::log(1 - uniform()) / (m_options.jobsPerSecond * m_loadFactor);
    schedule(std::chrono::microseconds(static_cast<int64_t>(gap * 1e6)), [this] { generateArrival(); });
}

LoadModel::EntryHost& LoadModel::entryOfNextArrival(const JobClass& job)
{
    if (job.entry)
        return *m_entries[*job.entry];
    if (m_callers.empty())
        return *m_entries[m_random() % m_entries.size()];
    return *m_entries[m_callers[m_random() % m_callers.size()]];
}

void LoadModel::submit(EntryHost& entry, const JobClass& kind)
{
    const uint64_t number = ++m_lastJob;
    std::lognormal_distribution<double> runs(-runTimeSigma * runTimeSigma / 2, runTimeSigma);
    std::lognormal_distribution<double> errors(-estimateErrorSigma * estimateErrorSigma / 2, estimateErrorSigma);
    const Duration work = scaled(kind.run, runs(m_random));
    JobRequest request;
    request.id = "job" + std::to_string(number);
    request.route.set_service("s");
    request.route.set_priority(kind.priority);
    request.route.set_attempts(2);
    request.route.set_stretch_percent(160);
    request.route.set_latency_target_ms(60);
    request.patience = patience;
    request.exchange = number;
    StepDemand step;
    step.count = kind.tasks;
    step.need = { m_options.needMilli, 64, 0 };
    step.need.coresMilli
        = static_cast<int64_t>(static_cast<double>(m_options.needMilli) * (1 + needSpread * (2 * uniform() - 1)));
    const Duration estimate = scaled(work, errors(m_random));
    step.estimateMs = static_cast<uint32_t>(std::max<int64_t>(estimate / std::chrono::milliseconds(1), 1));
    request.job.specification = request.id;
    request.job.steps = { step };
    m_actualRunTimes[request.id] = work;
    if (kind.deadly && m_deadly)
        m_deadlyJobs.insert(request.id);
    // The caller's objective is based on the actual run time, not on the estimate.
    const Duration objective = work * 8 / 5 + std::chrono::milliseconds(60);
    const TimePoint sent = m_now - m_options.linkDelay;
    entry.table->submit(m_now, request, [this, number, name = kind.name, sent, objective](const JobOutcome& outcome) {
        m_actualRunTimes.erase("job" + std::to_string(number));
        m_deadlyJobs.erase("job" + std::to_string(number));
        if (number < m_firstCountedJob)
            return;
        JobClassCounters& count = m_counters.classes[name];
        ++count.submitted;
        const Duration took = m_now + m_options.linkDelay - sent;
        if (outcome.kind == JobOutcome::Kind::Completed)
            ++(took <= objective ? count.inTime : count.late);
        else
            ++(outcome.kind == JobOutcome::Kind::NotRun ? count.refused : count.failed);
    });
}

void LoadModel::runOnEntry(EntryHost& entry, Duration cost, std::function<void()> work)
{
    const TimePoint begin = std::max(m_now, entry.busyUntil);
    entry.busyUntil = begin + scaled(cost, 1 / m_options.entryCpuShare);
    schedule(entry.busyUntil - m_now, [this, &entry, work = std::move(work)] {
        work();
        entry.table->flush(m_now);
    });
}

void LoadModel::tickEntry(EntryHost& entry)
{
    runOnEntry(entry, Duration(), [this, &entry] { entry.table->tick(m_now); });
    schedule(tickInterval, [this, &entry] { tickEntry(entry); });
}

void LoadModel::sendToAgent(EntryHost& entry, const AgentId& agent, const wire::EntryToUpstream& message)
{
    ++m_counters.entryMessages;
    entry.busyUntil = std::max(m_now, entry.busyUntil) + scaled(m_options.messageCost, 1 / m_options.entryCpuShare);
    const auto host = std::find_if(m_agents.begin(), m_agents.end(), [&](const auto& it) { return it->id == agent; });
    wire::EntryToUpstream sent = message;
    sent.set_entry(entry.identity);
    schedule(entry.busyUntil - m_now + m_options.linkDelay, [this, &entry, &to = **host, sent] {
        to.links.onMessage(m_now, entry.address, sent);
        for (const auto& it : sent.starts())
            to.needs[{ it.key().job(), it.key().step(), it.key().index() }] = it.need().cores_milli();
        to.table->onEntry(m_now, sent);
        processAgentEvents(to);
    });
}

void LoadModel::tickAgent(AgentHost& agent)
{
    processAgentEvents(agent);
    schedule(2 * tickInterval, [this, &agent] { tickAgent(agent); });
}

// The processing that an agent does after each batch of events.
void LoadModel::processAgentEvents(AgentHost& agent)
{
    agent.table->tick(m_now);
    agent.links.send(
        m_now, agent.id, [&] { return agent.table->offer(m_now); },
        [this](const std::string& address, const wire::UpstreamToEntry& message) {
            ++m_counters.agentMessages;
            const auto to
                = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto& it) { return it->address == address; });
            schedule(m_options.linkDelay, [this, &entry = **to, message] {
                runOnEntry(entry, m_options.messageCost, [this, &entry, message] { entry.table->onAgent(m_now, message); });
            });
        });
}

void LoadModel::startRun(AgentHost& agent, uint64_t serial, const StartOrder& order)
{
    if (agent.down) {
        schedule(upstreamDelay, [this, &agent, serial] {
            agent.table->onStartReply(m_now, serial, StartVerdict::Unhealthy);
            processAgentEvents(agent);
        });
        return;
    }
    const bool isRunning = std::any_of(
        agent.runs.begin(), agent.runs.end(), [&](const Run& it) { return it.task == order.task && it.number == order.run; });
    const auto lastEndedRun = agent.lastEndedRuns.find(order.task);
    const bool isSuperseded = lastEndedRun != agent.lastEndedRuns.end() && order.run <= lastEndedRun->second;
    if (isRunning || isSuperseded) {
        replyToStart(agent, serial, isRunning ? StartVerdict::Accepted : StartVerdict::Superseded);
        return;
    }
    if (m_deadlyJobs.contains(order.task.job)) {
        ++m_counters.starts;
        crash(agent);
        schedule(upstreamDelay, [this, &agent, serial] {
            agent.table->onStartReply(m_now, serial, StartVerdict::Unanswered);
            processAgentEvents(agent);
        });
        return;
    }
    const auto work = m_actualRunTimes.find(order.task.job);
    const Duration length = work == m_actualRunTimes.end() ? std::chrono::milliseconds(1) : work->second;
    Run run;
    run.task = order.task;
    run.number = order.run;
    run.need = agent.needs[order.task];
    run.started = m_now;
    const bool fails = agent.failureRate > 0 && uniform() < agent.failureRate;
    run.ends = m_now + scaled(length, fails ? failedRunLength : agent.slowness);
    ++m_counters.starts;
    ++m_counters.startsOfAgents[agent.index];
    m_counters.concurrentStarts += ++m_runningCounts[order.task] > 1 ? 1 : 0;
    agent.runs.push_back(run);
    int64_t taken = 0;
    for (const auto& it : agent.runs)
        taken += it.need;
    m_counters.capacityViolations += taken > coresMilli ? 1 : 0;
    const RunEnd how = fails ? RunEnd::Failed : RunEnd::Done;
    schedule(run.ends - m_now, [this, &agent, task = order.task, n = order.run, how, process = agent.bornMs] {
        if (agent.bornMs == process)
            endRun(agent, task, n, how);
    });
    replyToStart(agent, serial, StartVerdict::Accepted);
}

void LoadModel::replyToStart(AgentHost& agent, uint64_t serial, StartVerdict verdict)
{
    const bool lost = uniform() < agent.replyLossRate;
    schedule(lost ? replyTimeout : upstreamDelay, [this, &agent, serial, lost, verdict] {
        if (lost)
            agent.table->onStartReply(m_now, serial, StartVerdict::Unanswered);
        else
            agent.table->onStartReply(m_now, serial, verdict);
        processAgentEvents(agent);
    });
}

void LoadModel::stopRun(AgentHost& agent, const StopOrder& order)
{
    endRun(agent, order.task, order.run, RunEnd::Stopped);
    const bool lost = agent.down || uniform() < agent.replyLossRate;
    schedule(lost ? replyTimeout : upstreamDelay, [this, &agent, order, lost] { agent.table->onStopReply(m_now, order, !lost); });
}

void LoadModel::endRun(AgentHost& agent, const StepTask& task, uint64_t run, RunEnd how)
{
    const auto it = std::find_if(agent.runs.begin(), agent.runs.end(),
        [&](const Run& candidate) { return candidate.task == task && candidate.number == run; });
    if (it == agent.runs.end())
        return;
    agent.runs.erase(it);
    if (--m_runningCounts[task] == 0)
        m_runningCounts.erase(task);
    agent.ended.push_back({ ++agent.lastEnd, task, run, how });
    agent.lastEndedRuns[task] = std::max(agent.lastEndedRuns[task], run);
    m_counters.repeatedCompletions += how == RunEnd::Done && !m_completedTasks.insert(task).second ? 1 : 0;
    if (agent.holdNumber != 0)
        replyToHold(agent, agent.holdNumber);
}

void LoadModel::startHold(AgentHost& agent)
{
    const HoldOrder order = agent.table->nextHold(m_now);
    agent.holdSent = m_now;
    if (agent.down) {
        failHold(agent);
        return;
    }
    std::erase_if(agent.ended, [&](const EndedRow& it) { return it.number <= order.acknowledged; });
    agent.holdNumber = ++agent.lastHold;
    agent.holdLost = uniform() < agent.replyLossRate;
    const uint64_t number = agent.holdNumber;
    if (!agent.ended.empty())
        schedule(upstreamDelay, [this, &agent, number] { replyToHold(agent, number); });
    schedule(order.wait + upstreamDelay, [this, &agent, number] { replyToHold(agent, number); });
    schedule(order.wait + replyTimeout, [this, &agent, number] {
        if (agent.lastHold != number || !agent.holdLost)
            return;
        agent.table->onHoldFailure(m_now, HoldFailure::Unanswered);
        startHold(agent);
        processAgentEvents(agent);
    });
}

void LoadModel::failHold(AgentHost& agent)
{
    // No time-out of an earlier hold applies any more.
    ++agent.lastHold;
    agent.holdNumber = 0;
    agent.table->onHoldFailure(m_now, HoldFailure::Unanswered);
    schedule(std::max(agent.holdSent + holdRetryInterval - m_now, upstreamDelay), [this, &agent] { startHold(agent); });
}

void LoadModel::crash(AgentHost& agent)
{
    ++m_counters.crashes;
    agent.down = true;
    for (const auto& it : agent.runs)
        if (--m_runningCounts[it.task] == 0)
            m_runningCounts.erase(it.task);
    agent.runs.clear();
    // An end that is not acknowledged is lost with the process, and its task may run again.
    for (const auto& it : agent.ended)
        if (it.how == RunEnd::Done)
            m_completedTasks.erase(it.task);
    agent.ended.clear();
    agent.lastEndedRuns.clear();
    agent.lastEnd = 0;
    schedule(downtime, [this, &agent] { restart(agent); });
    // Otherwise the answer to the hold is on its way.
    if (agent.holdNumber != 0)
        failHold(agent);
}

void LoadModel::restart(AgentHost& agent)
{
    agent.down = false;
    ++agent.bornMs;
    announce(agent);
    processAgentEvents(agent);
}

void LoadModel::replyToHold(AgentHost& agent, uint64_t number)
{
    if (agent.holdNumber != number)
        return;
    agent.holdNumber = 0;
    if (agent.holdLost)
        return;
    Listing listing;
    listing.bornMs = agent.bornMs;
    listing.clockMs = toMs(m_now.time_since_epoch());
    for (const auto& it : agent.runs) {
        const double total = std::max<double>(1, static_cast<double>((it.ends - it.started).count()));
        const auto percent = static_cast<uint32_t>(100 * static_cast<double>((m_now - it.started).count()) / total);
        listing.running.push_back({ it.task, it.number, percent });
    }
    listing.ended = agent.ended;
    schedule(upstreamDelay, [this, &agent, listing, sent = agent.holdSent] {
        agent.table->onListing(m_now, sent, listing);
        startHold(agent);
        processAgentEvents(agent);
    });
}

} // namespace fescuegw::model
