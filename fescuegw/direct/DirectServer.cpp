#include "fescuegw/direct/DirectServer.h"

#include <algorithm>
#include <array>

#include "fescuegw/group/Seeds.h"
#include "fescuegw/logging/Log.h"

namespace fescuegw::direct {

using logging::Event;
using logging::Level;

namespace {

    // A silent link is reconnected well within an agent's lease for this entry.
    constexpr Duration silenceLimit = std::chrono::milliseconds(1000);

    // Time for answers to be sent after the last job has ended.
    constexpr Duration answerFlushTime = std::chrono::milliseconds(250);

    Answer makeAnswer(Answer::Kind kind, const std::string& reason = "")
    {
        Answer answer;
        answer.kind = kind;
        answer.reason = reason;
        return answer;
    }

    Answer makeAnswer(const JobOutcome& outcome)
    {
        Answer answer;
        answer.kind = Answer::Kind::Job;
        answer.outcome = outcome;
        return answer;
    }

    JobTableOptions jobTableOptions(const DirectSettings& settings)
    {
        JobTableOptions options;
        options.shedding.enabled = settings.loadShedding;
        return options;
    }

    // Priorities from this one on share one label.
    constexpr uint32_t maxLabelledPriority = 3;
    constexpr std::array refusalCauses { "overload", "line", "waited_too_long", "no_upstream", "stopping", "other" };

    // Returns the index of the cause that a refusal's reason belongs to. Reasons may continue with figures.
    size_t refusalCause(const std::string& reason)
    {
        const auto* found
            = std::find_if(refusalCauses.begin(), refusalCauses.end(), [&](const char* it) { return reason.starts_with(it); });
        return found == refusalCauses.end() ? refusalCauses.size() - 1 : static_cast<size_t>(found - refusalCauses.begin());
    }

} // namespace

DirectSettings readDirectSettings(settings::Document& document)
{
    DirectSettings settings;
    settings.process = daemon::readProcessSettings(document);
    settings.listen = document.address("entry", "listen");
    settings.advertised = document.addressOr("entry", "advertise", settings.listen);
    settings.balancerGrace = std::chrono::milliseconds(document.numberOr("entry", "balancer-grace-ms", 3000, 0, 600000));
    settings.drainLimit = std::chrono::milliseconds(document.numberOr("entry", "drain-limit-ms", 4800, 0, 3600000));
    settings.loadShedding = document.flagOr("entry", "load-shedding", true);
    settings.seeds = group::readSeeds(document);
    return settings;
}

struct DirectServer::Counters {
    explicit Counters(daemon::Metrics& metrics)
        : completed(metrics.counter("fescuegw_entry_jobs_total", "Jobs answered, by outcome", "completed"))
        , failed(metrics.counter("fescuegw_entry_jobs_total", "Jobs answered, by outcome", "failed"))
        , notRun(metrics.counter("fescuegw_entry_jobs_total", "Jobs answered, by outcome", "not-run"))
        , mayHaveRun(metrics.counter("fescuegw_entry_jobs_total", "Jobs answered, by outcome", "may-have-run"))
        , abandoned(metrics.counter("fescuegw_entry_jobs_total", "Jobs answered, by outcome", "abandoned"))
        , inFlight(metrics.gauge("fescuegw_entry_jobs_in_flight", "Jobs that wait or run"))
        , agents(metrics.gauge("fescuegw_entry_agents", "Agents heard of"))
        , routing(metrics.gauge("fescuegw_entry_routing_version", "Routing in force here"))
        , notStarted(metrics.gauge("fescuegw_entry_attempts_not_started", "Attempts that agents gave back"))
        , failedAttempts(metrics.gauge("fescuegw_entry_attempts_failed", "Attempts that failed"))
        , lostAttempts(metrics.gauge("fescuegw_entry_attempts_lost", "Attempts that ended without a result"))
        , crashes(metrics.gauge("fescuegw_entry_crashes_under_tasks", "Crashes of upstreams, once for each task that was there"))
        , endedByCrashes(metrics.gauge(
              "fescuegw_entry_jobs_ended_by_crashes", "Submissions that ended since a task lost too many upstreams"))
        , admittedPercent(
              metrics.gauge("fescuegw_entry_admitted_percent", "Share of the less urgent jobs that load shedding admits"))
        , urgentAdmittedPercent(
              metrics.gauge("fescuegw_entry_urgent_admitted_percent", "Share of the most urgent jobs that load shedding admits"))
        , completedMs(metrics.latency("fescuegw_entry_job_ms", "Time until jobs were answered, by outcome", "completed"))
        , otherMs(metrics.latency("fescuegw_entry_job_ms", "Time until jobs were answered, by outcome", "other"))
    {
        for (const char* cause : refusalCauses)
            for (uint32_t priority = 0; priority <= maxLabelledPriority; ++priority)
                refused.push_back(&metrics.counter("fescuegw_entry_refused_total", "Jobs refused, by cause and priority",
                    std::string(cause) + "_p" + std::to_string(priority)));
        for (const char* when : { "in_time", "late" })
            for (uint32_t priority = 0; priority <= maxLabelledPriority; ++priority)
                answers.push_back(
                    &metrics.counter("fescuegw_entry_answers_total", "Jobs completed, by their latency objective and priority",
                        std::string(when) + "_p" + std::to_string(priority)));
    }

    // Counts a job that was refused or completed.
    void count(const JobRequest& request, const JobOutcome& outcome, bool late)
    {
        const size_t priority = std::min(request.route.priority(), maxLabelledPriority);
        if (outcome.kind == JobOutcome::Kind::NotRun)
            refused[refusalCause(outcome.reason) * (maxLabelledPriority + 1) + priority]->Increment();
        else if (outcome.kind == JobOutcome::Kind::Completed)
            answers[(late ? maxLabelledPriority + 1 : 0) + priority]->Increment();
    }

    prometheus::Counter& forOutcome(JobOutcome::Kind kind)
    {
        switch (kind) {
        case JobOutcome::Kind::Completed:
            return completed;
        case JobOutcome::Kind::Failed:
            return failed;
        case JobOutcome::Kind::NotRun:
            return notRun;
        case JobOutcome::Kind::MayHaveRun:
            return mayHaveRun;
        case JobOutcome::Kind::Abandoned:
            return abandoned;
        }
        return mayHaveRun;
    }

    prometheus::Counter &completed, &failed, &notRun, &mayHaveRun, &abandoned;
    // By cause, then by priority; and in time or late, then by priority.
    std::vector<prometheus::Counter*> refused, answers;
    prometheus::Gauge &inFlight, &agents, &routing, &notStarted, &failedAttempts, &lostAttempts, &crashes, &endedByCrashes,
        &admittedPercent, &urgentAdmittedPercent;
    prometheus::Histogram &completedMs, &otherMs;
};

DirectServer::DirectServer(DirectSettings settings, daemon::Metrics& metrics, std::function<std::vector<uint64_t>()> goneCallers)
    : m_settings(std::move(settings))
    , m_identity(m_settings.process.name + "/" + std::to_string(wallClockMs()))
    , m_random(randomIdentity())
    , m_jobs(jobTableOptions(m_settings),
          JobTableHooks {
              [this](const AgentId& agent, wire::EntryToUpstream message) {
                  message.set_entry(m_identity);
                  m_hub->send({ net::Peer::Direction::Accepted, toString(agent) }, message.SerializeAsString());
              },
              [this](uint64_t bound) { return m_random() % bound; },
              [this](const JobRequest& request, const JobOutcome& outcome, Duration took) { onJobEnd(request, outcome, took); },
              std::move(goneCallers),
          })
    , m_counters(std::make_shared<Counters>(metrics))
{
}

void DirectServer::onJobEnd(const JobRequest& request, const JobOutcome& outcome, Duration took)
{
    const auto ms = static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
    m_counters->forOutcome(outcome.kind).Increment();
    m_counters->count(request, outcome, took > m_jobs.objective(request));
    (outcome.kind == JobOutcome::Kind::Completed ? m_counters->completedMs : m_counters->otherMs).Observe(ms);
}

wire::EntryInfo DirectServer::self() const
{
    wire::EntryInfo info;
    info.set_entry(m_identity);
    info.set_address(m_settings.advertised.text());
    info.set_draining(m_draining);
    info.set_domain(m_settings.process.domain);
    return info;
}

Result<void> DirectServer::start()
{
    net::HubHooks hooks;
    hooks.onMessage = [this](TimePoint now, const net::Peer& peer, const std::string& m) { onMessage(now, peer, m); };
    hooks.onUndeliverable = [this](TimePoint now, const net::Peer& peer, const std::string& m) { onUndeliverable(now, peer, m); };
    hooks.onBatchEnd = [this](TimePoint now) { onBatchEnd(now); };
    net::HubOptions options;
    options.identity = "entry:" + m_identity;
    options.listen = m_settings.listen.text();
    options.keys = m_settings.process.keys;
    options.silenceLimit = silenceLimit;
    m_hub = std::make_unique<net::Hub>(options, hooks);
    if (auto started = m_hub->start(); !started)
        return started;

    group::GroupLinkHooks stateHooks;
    stateHooks.onRouting = [this](TimePoint, const wire::Routing& routing) {
        if (m_routes.replace(routing))
            Event(Level::Info, "routing_in_force").with("version", routing.version()).with("routes", routing.routes_size());
    };
    stateHooks.onReachable = [this](TimePoint, bool reachable) {
        Event(reachable ? Level::Info : Level::Warn, reachable ? "state_group_reachable" : "state_group_lost")
            .with("routing_version", m_routes.version());
    };
    m_state = std::make_unique<group::GroupLink>(*m_hub, group::StateClientOptions(), m_settings.seeds, stateHooks);
    Event(Level::Info, "entry_started").with("identity", m_identity).with("seeds", m_settings.seeds.size());
    return {};
}

int DirectServer::run()
{
    m_hub->run();
    Event(Level::Info, "entry_stopped").with("jobs", m_jobs.size());
    return 0;
}

void DirectServer::stop()
{
    m_hub->post([this](TimePoint now) {
        if (m_draining)
            return;
        m_draining = true;
        m_ready = false;
        m_balancerGraceEnd = now + m_settings.balancerGrace;
        m_drainUntil = now + m_settings.drainLimit;
        m_jobs.drain(m_drainUntil);
        Event(Level::Info, "entry_draining").with("jobs", m_jobs.size());
    });
}

void DirectServer::updateSeeds(const std::vector<settings::Address>& seeds) { m_state->addReplicas(seeds); }

std::string DirectServer::unsupported(const JobSpecification& job)
{
    constexpr uint32_t mostTasks = 840;
    uint64_t tasks = 0;
    for (const auto& it : job.steps)
        tasks += it.count;
    if (!job.bestEffort)
        return "jobs that are kept are not served";
    if (job.occurrences > 0)
        return "jobs with set times are not served";
    if (!job.traits.empty())
        return "steps of this kind are not served: " + std::string(toString(job.traits.front()));
    if (tasks == 0 || tasks > mostTasks)
        return "tasks: 1 to " + std::to_string(mostTasks);
    return "";
}

std::optional<RouteMatch> DirectServer::match(const std::string& host, const std::string& path, const AnswerHook& answer) const
{
    if (m_routes.version() == 0) {
        answer(makeAnswer(Answer::Kind::NotReady, "no_routing"));
        return std::nullopt;
    }
    auto found = m_routes.find(host, path);
    if (!found)
        answer(makeAnswer(Answer::Kind::NoSuchQueue));
    return found;
}

void DirectServer::submit(Submission submission, AnswerHook answer)
{
    m_hub->post([this, submission = std::move(submission), answer = std::move(answer)](
                    TimePoint now) { accept(now, submission, answer); });
}

void DirectServer::accept(TimePoint now, const Submission& submission, const AnswerHook& answer)
{
    const auto found = match(submission.host, submission.path, answer);
    if (!found)
        return;
    // Agents read an entry's message whole or not at all, so one id that cannot be sent would hold up all jobs in the message.
    std::string fault
        = isValidName(found->remainder) ? unsupported(submission.job) : "a job needs an id of letters, digits and . _ -";
    if (found->route->advised())
        fault = "queues with an advisor are not served";
    if (!fault.empty()) {
        Event(Level::Warn, "job_refused")
            .with("request", found->remainder)
            .with("queue", found->route->name())
            .with("reason", fault);
        answer(makeAnswer(Answer::Kind::Unsupported, fault));
        return;
    }
    JobRequest request;
    request.id = found->remainder;
    request.route = *found->route;
    request.job = submission.job;
    request.patience = submission.patience.value_or(std::chrono::milliseconds(found->route->timeout_ms()));
    request.exchange = submission.exchange;
    m_jobs.submit(now, std::move(request), [answer](const JobOutcome& outcome) { answer(makeAnswer(outcome)); });
}

// Only best-effort jobs are accepted, which wait in no stored queue and leave no record to return.
void DirectServer::query(std::string host, std::string path, AnswerHook answer)
{
    m_hub->post([this, host = std::move(host), path = std::move(path), answer = std::move(answer)](TimePoint /*now*/) {
        const auto found = match(host, path, answer);
        if (found)
            answer(makeAnswer(found->remainder.empty() ? Answer::Kind::Queue : Answer::Kind::NoSuchJob));
    });
}

void DirectServer::cancel(std::string host, std::string path, AnswerHook answer)
{
    m_hub->post([this, host = std::move(host), path = std::move(path), answer = std::move(answer)](TimePoint now) {
        const auto found = match(host, path, answer);
        if (!found)
            return;
        const bool cancelled = isValidName(found->remainder) && m_jobs.cancel(now, found->remainder);
        Event(Level::Info, "cancel").with("request", found->remainder).with("found", cancelled ? "yes" : "no");
        answer(makeAnswer(cancelled ? Answer::Kind::Cancelled : Answer::Kind::NoSuchJob));
    });
}

void DirectServer::onMessage(TimePoint now, const net::Peer& peer, const std::string& content)
{
    if (m_state->onMessage(now, peer, content))
        return;
    wire::UpstreamToEntry message;
    if (!message.ParseFromString(content)) {
        Event(Level::Warn, "malformed_message").with("peer", peer.name);
        return;
    }
    m_jobs.onAgent(now, message);
}

void DirectServer::onUndeliverable(TimePoint now, const net::Peer& peer, const std::string& content)
{
    if (m_state->onUndeliverable(now, peer, content))
        return;
    wire::EntryToUpstream message;
    if (message.ParseFromString(content))
        m_jobs.onUndeliverable(now, parseAgentId(peer.name), message);
}

bool DirectServer::drained(TimePoint now)
{
    if (!m_draining)
        return false;
    if (m_jobs.unanswered() > 0)
        m_lastUnanswered = now;
    return now >= std::min(m_drainUntil, std::max(m_balancerGraceEnd, m_lastUnanswered)) + answerFlushTime;
}

void DirectServer::onBatchEnd(TimePoint now)
{
    m_jobs.tick(now);
    m_jobs.flush(now);
    m_state->client().flush(now, self());
    m_ready = m_routes.version() > 0 && !m_draining;
    const auto set = [](prometheus::Gauge& gauge, uint64_t n) { gauge.Set(static_cast<double>(n)); };
    set(m_counters->inFlight, m_jobs.size());
    set(m_counters->agents, m_jobs.offers().agents().size());
    set(m_counters->routing, m_routes.version());
    set(m_counters->notStarted, m_jobs.counters().notStarted);
    set(m_counters->failedAttempts, m_jobs.counters().failedAttempts);
    set(m_counters->lostAttempts, m_jobs.counters().lostAttempts);
    set(m_counters->crashes, m_jobs.counters().crashesUnderTasks);
    set(m_counters->endedByCrashes, m_jobs.counters().endedByCrashes);
    m_counters->admittedPercent.Set(m_jobs.admittedPercent(false));
    m_counters->urgentAdmittedPercent.Set(m_jobs.admittedPercent(true));
    if (drained(now))
        m_hub->stop();
}

} // namespace fescuegw::direct
