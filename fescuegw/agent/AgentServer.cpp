#include "fescuegw/agent/AgentServer.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "fescuegw/http/Json.h"
#include "fescuegw/logging/Log.h"

namespace fescuegw::agent {

using logging::Event;
using logging::Level;

namespace {

    constexpr uint32_t maxSlots = 256;
    constexpr uint32_t milliPerCore = 1000;
    constexpr int statusBadRequest = 400;
    constexpr Duration reportRetryDelay = std::chrono::milliseconds(100);

    Duration milliseconds(uint64_t n) { return std::chrono::milliseconds(n); }

    // Tasks are identified as "team/submission/index", as in the paths under which they were started.
    UpstreamTask parseUpstreamTask(const nlohmann::json& json)
    {
        const auto task = json.at("task").get<std::string>();
        const auto incarnation = json.at("incarnation").get<std::string>();
        const size_t first = task.find('/');
        const size_t last = task.rfind('/');
        UpstreamTask result;
        if (first != std::string::npos && last > first) {
            result.task.submission = { task.substr(0, first), task.substr(first + 1, last - first - 1) };
            std::from_chars(task.data() + last + 1, task.data() + task.size(), result.task.index);
        }
        std::from_chars(incarnation.data(), incarnation.data() + incarnation.size(), result.incarnation);
        return result;
    }

    Result<Announcement> parseAnnouncement(const std::string& body)
    {
        const auto invalid = [](const std::string& what) {
            return tl::unexpected(Error { Verdict::NotRun, statusBadRequest, what });
        };
        const nlohmann::json json = http::parseJson(body);
        if (!json.is_object())
            return invalid("allowed: a JSON object");
        try {
            Announcement announcement;
            announcement.service = json.at("service").get<std::string>();
            const auto address = settings::parseAddress(json.at("address").get<std::string>());
            if (!isValidName(announcement.service) || !address)
                return invalid("service: a name; address: an IP number and a port");
            announcement.address = *address;
            announcement.instance = json.value("instance", "");
            announcement.leaving = json.value("leaving", false);
            announcement.slots = json.at("slots").get<uint32_t>();
            announcement.coresMilli = json.value("cores", 0U) * milliPerCore;
            announcement.memoryMb = json.value("memory_mb", 0U);
            if (announcement.slots == 0 || announcement.slots > maxSlots)
                return invalid("slots: 1 to " + std::to_string(maxSlots));
            for (const auto& it : json.value("running", nlohmann::json::array()))
                announcement.running.push_back(parseUpstreamTask(it));
            return announcement;
        } catch (const nlohmann::json::exception& error) {
            return invalid(error.what());
        }
    }

} // namespace

AgentSettings readAgentSettings(settings::Document& document)
{
    AgentSettings settings;
    settings.process = daemon::readProcessSettings(document);
    settings.reportInterval = milliseconds(document.numberOr("agent", "report-ms", 1000, 50, 60000));
    settings.standbyReportInterval = milliseconds(document.numberOr("agent", "standby-report-ms", 15000, 50, 600000));
    settings.announceLease = milliseconds(document.numberOr("agent", "announce-lease-ms", 2000, 100, 60000));
    settings.drainLimit = milliseconds(document.numberOr("agent", "drain-limit-ms", 30000, 0, 3600000));
    for (const auto& key : document.keys("entries"))
        settings.entries[key] = document.address("entries", key);
    if (settings.entries.empty())
        document.reject("entries", "NAME", "the address of at least one entry");
    return settings;
}

AgentServer::AgentServer(AgentSettings settings, daemon::Metrics& metrics)
    : m_settings(std::move(settings))
    , m_incarnation(wallClockMs())
    , m_recorder("fescuegw-agent", m_settings.process.traceFile)
    , m_table(m_incarnation)
    , m_metrics(metrics)
    , m_starts(metrics.counter("fescuegw_agent_starts_total", "Tasks started on the upstream"))
    , m_refusals(metrics.counter("fescuegw_agent_refusals_total", "Tasks refused"))
    , m_reports(metrics.counter("fescuegw_agent_reports_total", "Reports sent to entries"))
    , m_messagesIn(metrics.counter("fescuegw_agent_messages_total", "Messages by direction", "in"))
    , m_messagesOut(metrics.counter("fescuegw_agent_messages_total", "Messages by direction", "out"))
{
}

Result<void> AgentServer::start()
{
    net::HubHooks hooks;
    hooks.onMessage = [this](TimePoint now, const net::Peer& peer, const std::string& m) { onMessage(now, peer, m); };
    hooks.onUndeliverable = [this](TimePoint now, const net::Peer& peer, const std::string&) {
        // Durable results are kept for an owner to collect later; only the report is sent again after a short delay.
        m_entries[peer.name].nextReport = now + reportRetryDelay;
    };
    hooks.onBatchEnd = [this](TimePoint now) { onBatchEnd(now); };
    net::HubOptions options;
    options.identity = m_settings.process.name + "/" + std::to_string(m_incarnation);
    options.keys = m_settings.process.keys;
    m_hub = std::make_unique<net::Hub>(options, hooks);
    for (const auto& it : m_settings.entries) {
        m_hub->connect(it.first, it.second.text());
        m_entries[it.first].nextReport = monotonicNow();
    }
    m_slots = std::make_unique<SlotPool>(m_incarnation, m_recorder,
        [this](const TaskId& id, bool succeeded, Verdict verdict, std::string reason, std::string output, uint64_t runUs) {
            m_hub->post([this, id, succeeded, verdict, why = std::move(reason), out = std::move(output), runUs](
                            TimePoint) { onTaskEnd(m_table.finish(id, succeeded, verdict, why, out, runUs)); });
        });
    http::ServerOptions pages;
    pages.listen = m_settings.process.http;
    pages.threads = 1;
    pages.connectionLimit = 64;
    m_http = std::make_unique<http::Server>(
        pages, [this](const http::Request& request, const http::Responder& respond) { handle(request, respond); });
    Event(Level::Info, "agent_started").with("incarnation", m_incarnation);
    return m_http->start();
}

int AgentServer::run()
{
    m_hub->run();
    m_http.reset();
    m_slots.reset();
    return 0;
}

void AgentServer::stop()
{
    m_hub->post([this](TimePoint now) {
        if (m_draining)
            return;
        m_draining = true;
        m_drainDeadline = now + m_settings.drainLimit;
        Event(Level::Info, "agent_draining").with("running", m_table.running());
        reportToAll(now);
    });
}

void AgentServer::handle(const http::Request& request, const http::Responder& respond)
{
    if (const auto answer = daemon::answerAdministrative(request, m_ready, m_metrics)) {
        respond(*answer);
        return;
    }
    if (request.path != "/v1/upstream" || request.method != "PUT") {
        respond(http::problem({ Verdict::NotRun, 404, "unknown path; upstreams announce themselves by PUT /v1/upstream" }));
        return;
    }
    const auto announcement = parseAnnouncement(request.body);
    if (!announcement) {
        respond(http::problem(announcement.error()));
        return;
    }
    m_hub->post([this, announcement = *announcement](TimePoint now) { onAnnounce(now, announcement); });
    respond(http::Response { 200, "{}" });
}

void AgentServer::onAnnounce(TimePoint now, const Announcement& announcement)
{
    if (!m_hasAnnouncement || announcement.instance != m_announcement.instance || announcement.leaving != m_announcement.leaving)
        Event(Level::Info, "upstream_announced")
            .with("service", announcement.service)
            .with("address", announcement.address.text())
            .with("instance", announcement.instance)
            .with("slots", announcement.slots)
            .with("leaving", announcement.leaving ? 1 : 0);
    const uint32_t foreignRunningBefore = m_table.foreignRunning();
    m_table.onUpstreamTasks(announcement.running);
    const bool changed = !m_hasAnnouncement || announcement.instance != m_announcement.instance
        || announcement.leaving != m_announcement.leaving || announcement.slots != m_announcement.slots
        || m_table.foreignRunning() != foreignRunningBefore;
    m_announcement = announcement;
    m_announcedAt = now;
    m_hasAnnouncement = true;
    m_ready = !announcement.leaving;
    m_slots->grow(announcement.slots);
    if (changed)
        reportToAll(now);
}

wire::UpstreamState AgentServer::upstreamState(TimePoint now) const
{
    if (!m_hasAnnouncement || now - m_announcedAt > m_settings.announceLease)
        return wire::ABSENT;
    return m_announcement.leaving || m_draining ? wire::LEAVING : wire::SERVING;
}

wire::AgentToEntry AgentServer::makeMessage() const
{
    wire::AgentToEntry message;
    message.set_agent(m_settings.process.name);
    message.set_incarnation(m_incarnation);
    return message;
}

void AgentServer::send(const std::string& entry, const wire::AgentToEntry& message)
{
    wire::EntryEnvelope envelope;
    *envelope.mutable_agent() = message;
    m_messagesOut.Increment();
    m_hub->send({ net::Peer::Direction::Connected, entry }, envelope.SerializeAsString());
}

wire::AgentReport AgentServer::makeReport(TimePoint now) const
{
    wire::AgentReport report;
    report.set_agent(m_settings.process.name);
    report.set_incarnation(m_incarnation);
    report.set_domain(m_settings.process.domain);
    report.set_service(m_announcement.service);
    report.set_state(upstreamState(now));
    report.set_slots(m_announcement.slots);
    report.set_foreign_running(m_table.foreignRunning());
    report.set_cores_milli(m_announcement.coresMilli);
    report.set_memory_mb(m_announcement.memoryMb);
    report.set_clock_us(toMicros(now));
    report.set_configuration_version(m_configurationVersion);
    report.set_epoch(m_table.epoch());
    report.set_running(m_table.running());
    report.set_unreleased(m_table.unreleased());
    report.set_received_sequence(m_table.sequence());
    report.set_upstream(m_announcement.address.text());
    return report;
}

Duration AgentServer::reportInterval(const std::string& entry) const
{
    return entry == m_owner ? m_settings.reportInterval : m_settings.standbyReportInterval;
}

void AgentServer::report(TimePoint now, const std::string& entry)
{
    // Results are sent before the report, since the owner compares the reported number of running tasks with its own count.
    flushResults(now);
    m_entries[entry].nextReport = now + reportInterval(entry);
    wire::AgentToEntry reported = makeMessage();
    *reported.mutable_report() = makeReport(now);
    m_reports.Increment();
    send(entry, reported);
}

void AgentServer::reportToAll(TimePoint now)
{
    m_reportedState = upstreamState(now);
    for (const auto& it : m_entries)
        report(now, it.first);
}

void AgentServer::onMessage(TimePoint now, const net::Peer& peer, const std::string& content)
{
    wire::EntryEnvelope envelope;
    if (!envelope.ParseFromString(content) || !envelope.has_to_agent()) {
        Event(Level::Warn, "malformed_message").with("peer", peer.name);
        return;
    }
    m_messagesIn.Increment();
    const wire::EntryToAgent& message = envelope.to_agent();
    Capacity capacity { m_announcement.service, m_announcement.slots, upstreamState(now) == wire::SERVING };
    const uint64_t epochBefore = m_table.epoch();
    Decision decision = m_table.decide(toMicros(now), message, capacity);
    if (!decision.ignored) {
        m_configurationVersion = std::max(m_configurationVersion, message.configuration_version());
        if (m_owner != peer.name || epochBefore != m_table.epoch())
            Event(Level::Info, "owner_changed").with("owner", peer.name).with("epoch", m_table.epoch());
        m_owner = peer.name;
    }
    for (const auto& it : decision.starts) {
        m_starts.Increment();
        if (!it.durable())
            m_requesters[TaskId { { it.key().team(), it.key().submission() }, it.key().index() }] = peer.name;
        m_slots->start(m_announcement.address, it);
    }
    for (const auto& it : decision.stops)
        m_slots->stop(m_announcement.address, it);
    m_refusals.Increment(static_cast<double>(decision.refusals.size()));
    for (auto& it : decision.refusals)
        m_pendingResults[peer.name].push_back(std::move(it));
    if (decision.collect) {
        flushResults(now);
        wire::AgentToEntry answer = makeMessage();
        *answer.mutable_held() = m_table.held();
        send(peer.name, answer);
        report(now, peer.name);
    }
}

void AgentServer::onTaskEnd(const wire::TaskResult& result)
{
    const TaskId id { { result.key().team(), result.key().submission() }, result.key().index() };
    std::string entry = m_owner;
    const auto requester = m_requesters.find(id);
    if (requester != m_requesters.end()) {
        entry = requester->second;
        m_requesters.erase(requester);
    }
    m_pendingResults[entry].push_back(result);
}

bool AgentServer::isDrained(TimePoint now) const
{
    if (!m_draining)
        return false;
    if (now >= m_drainDeadline) {
        Event(Level::Warn, "drain_abandoned")
            .with("running", m_table.running())
            .with("unreleased", m_table.unreleased())
            .with("verdict", "may-have-run");
        return true;
    }
    return m_table.running() == 0 && m_table.unreleased() == 0;
}

void AgentServer::flushResults(TimePoint now)
{
    for (auto& it : m_pendingResults) {
        if (it.second.empty())
            continue;
        wire::AgentToEntry results = makeMessage();
        for (auto& result : it.second)
            *results.add_results() = std::move(result);
        it.second.clear();
        // A report that is due soon is sent with the results, so that busy agents need no separate report messages.
        EntryLink& link = m_entries[it.first];
        if (now + reportInterval(it.first) / 2 >= link.nextReport) {
            link.nextReport = now + reportInterval(it.first);
            *results.mutable_report() = makeReport(now);
        }
        send(it.first, results);
    }
}

void AgentServer::onBatchEnd(TimePoint now)
{
    flushResults(now);
    if (upstreamState(now) != m_reportedState) {
        m_ready = upstreamState(now) == wire::SERVING;
        reportToAll(now);
    }
    for (const auto& it : m_entries)
        if (now >= it.second.nextReport)
            report(now, it.first);
    if (isDrained(now)) {
        Event(Level::Info, "agent_stopped");
        m_hub->stop();
    }
}

} // namespace fescuegw::agent
