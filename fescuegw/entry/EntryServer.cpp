// Start-up, messages and graceful shutdown of the entry. EntryHttp.cpp has the HTTP handlers.
#include "fescuegw/entry/EntryServer.h"

#include <charconv>

#include "fescuegw/logging/Log.h"

namespace fescuegw::entry {

using logging::Event;
using logging::Level;

namespace {

    // How long an idle entry that is shutting down waits for other entries to take over its services.
    constexpr Duration handOverTimeout = std::chrono::seconds(3);
    constexpr Duration metricsInterval = std::chrono::milliseconds(500);

    std::string entryLinkName(const std::string& entry) { return "entry-" + entry; }

    Duration milliseconds(uint64_t n) { return std::chrono::milliseconds(n); }

} // namespace

EntrySettings readEntrySettings(settings::Document& document)
{
    EntrySettings settings;
    settings.process = daemon::readProcessSettings(document);
    settings.listen = document.address("entry", "listen");
    settings.callerAddress = document.address("entry", "callers");
    settings.callerThreads = static_cast<uint32_t>(document.numberOr("entry", "caller-threads", 2, 1, 64));
    settings.callerConnections = static_cast<uint32_t>(document.numberOr("entry", "caller-connections", 4096, 16, 1U << 20U));
    settings.balancerGrace = milliseconds(document.numberOr("entry", "balancer-grace-ms", 1000, 0, 600000));
    settings.drainLimit = milliseconds(document.numberOr("entry", "drain-limit-ms", 60000, 0, 3600000));
    const std::string tokenFile = document.text("entry", "operator-token");
    const auto token = settings::readSecret(tokenFile);
    if (!token || token->empty())
        document.reject("entry", "operator-token", "a file of mode 0600 with the operators' token");
    settings.operatorToken = token.value_or("");
    for (const auto& key : document.keys("state")) {
        uint64_t id = 0;
        const auto parsed = std::from_chars(key.data(), key.data() + key.size(), id);
        if (parsed.ec != std::errc() || id == 0)
            document.reject("state", key, "replica ids from 1 as keys");
        settings.replicas[id] = document.address("state", key);
    }
    if (settings.replicas.empty())
        document.reject("state", "1", "the address of at least one replica");
    return settings;
}

struct EntryServer::Gauges {
    explicit Gauges(daemon::Metrics& metrics)
        : queued(metrics.gauge("fescuegw_entry_queued_tasks", "Tasks that wait for a slot"))
        , running(metrics.gauge("fescuegw_entry_running_tasks", "Tasks on upstreams"))
        , submissions(metrics.gauge("fescuegw_entry_submissions", "Submissions in flight"))
        , calls(metrics.gauge("fescuegw_entry_calls", "Callers that wait"))
        , services(metrics.gauge("fescuegw_entry_services", "Services owned"))
        , configuration(metrics.gauge("fescuegw_entry_configuration_version", "Configuration in force"))
        , agents(metrics.gauge("fescuegw_entry_agents", "Agents of owned services"))
        , dispatched(metrics.gauge("fescuegw_entry_dispatched", "Dispatches of owned services since their takeover"))
        , refused(metrics.gauge("fescuegw_entry_refused", "Dispatches that were not run"))
        , retried(metrics.gauge("fescuegw_entry_retried", "Retries of repeatable requests"))
        , hedged(metrics.gauge("fescuegw_entry_hedged", "Hedges of repeatable requests"))
        , stray(metrics.gauge("fescuegw_entry_stray_results", "Results that no submission waited for"))
        , collects(metrics.gauge("fescuegw_entry_collects", "Questions to agents what they hold"))
        , releases(metrics.gauge("fescuegw_entry_release_messages", "Messages that only release results"))
        , cancels(metrics.gauge("fescuegw_entry_cancels", "Attempts cancelled"))
        , lost(metrics.gauge("fescuegw_entry_lost_agents", "Agents lost"))
        , ejections(metrics.gauge("fescuegw_entry_ejections", "Upstreams ejected"))
        , forwarded(metrics.gauge("fescuegw_entry_forwarded", "Calls forwarded to other entries"))
        , messagesIn(metrics.counter("fescuegw_entry_messages_total", "Messages by direction", "in"))
        , messagesOut(metrics.counter("fescuegw_entry_messages_total", "Messages by direction", "out"))
        , bytesIn(metrics.counter("fescuegw_entry_bytes_total", "Message bytes by direction", "in"))
        , bytesOut(metrics.counter("fescuegw_entry_bytes_total", "Message bytes by direction", "out"))
    {
    }

    prometheus::Gauge &queued, &running, &submissions, &calls, &services, &configuration, &agents, &dispatched, &refused,
        &retried, &hedged, &stray, &collects, &releases, &cancels, &lost, &ejections, &forwarded;
    prometheus::Counter &messagesIn, &messagesOut, &bytesIn, &bytesOut;
};

EntryServer::EntryServer(EntrySettings settings, daemon::Metrics& metrics)
    : m_settings(std::move(settings))
    , m_identity(m_settings.process.name + "/" + std::to_string(wallClockMs()))
    , m_recorder("fescuegw-entry", m_settings.process.traceFile)
    , m_metrics(metrics)
    , m_gauges(std::make_shared<Gauges>(metrics))
{
}

wire::EntryInfo EntryServer::self() const
{
    wire::EntryInfo info;
    info.set_entry(m_identity);
    info.set_address(m_settings.listen.text());
    info.set_draining(m_draining);
    return info;
}

Result<void> EntryServer::start()
{
    net::HubHooks hubHooks;
    hubHooks.onMessage = [this](TimePoint now, const net::Peer& peer, const std::string& m) { onMessage(now, peer, m); };
    hubHooks.onUndeliverable
        = [this](TimePoint now, const net::Peer& peer, const std::string& m) { onUndeliverable(now, peer, m); };
    hubHooks.onBatchEnd = [this](TimePoint now) { onBatchEnd(now); };
    net::HubOptions hubOptions;
    hubOptions.identity = "entry:" + m_identity;
    hubOptions.listen = m_settings.listen.text();
    hubOptions.keys = m_settings.process.keys;
    m_hub = std::make_unique<net::Hub>(hubOptions, hubHooks);
    if (auto started = m_hub->start(); !started)
        return started;
    group::GroupLinkHooks stateHooks;
    stateHooks.onReachable = [](TimePoint, bool reachable) {
        Event(reachable ? Level::Info : Level::Warn, reachable ? "state_group_reachable" : "state_group_lost");
    };
    stateHooks.onView = [this](TimePoint now, const wire::View& view) {
        // A view without entries leaves the known list unchanged.
        if (view.entries_size() > 0)
            connectEntries(view);
        m_dispatcher->onView(now, view);
    };
    std::vector<settings::Address> replicas;
    for (const auto& it : m_settings.replicas)
        replicas.push_back(it.second);
    m_group = std::make_unique<group::GroupLink>(*m_hub, group::StateClientOptions(), replicas, stateHooks);
    m_state = &m_group->client();

    dispatch::DispatchHooks dispatchHooks;
    dispatchHooks.sendToAgent = [this](const AgentId& agent, const wire::EntryToAgent& message) {
        wire::EntryEnvelope envelope;
        *envelope.mutable_to_agent() = message;
        sendEnvelope({ net::Peer::Direction::Accepted, toString(agent) }, envelope);
    };
    dispatchHooks.propose
        = [this](const wire::Command& command, dispatch::ResultHook hook) { m_state->propose(command, std::move(hook)); };
    dispatchHooks.fetchOpenClaims = [this](const std::string& service, uint64_t epoch, dispatch::ClaimsHook hook) {
        m_state->fetchOpenClaims(monotonicNow(), service, epoch, std::move(hook));
    };
    dispatchHooks.lookup
        = [this](const SubmissionKey& key, dispatch::LookupHook hook) { m_state->lookup(monotonicNow(), key, std::move(hook)); };
    dispatch::DispatchOptions dispatchOptions;
    dispatchOptions.entry = m_identity;
    m_dispatcher = std::make_unique<dispatch::Dispatcher>(dispatchOptions, dispatchHooks);

    RouterHooks routerHooks;
    routerHooks.forward = [this](const std::string& entry, const wire::ForwardRequest& request) {
        wire::EntryEnvelope envelope;
        *envelope.mutable_forward() = request;
        sendEnvelope({ net::Peer::Direction::Connected, entryLinkName(entry) }, envelope);
    };
    m_router = std::make_unique<CallRouter>(m_identity, *m_dispatcher, *m_state, routerHooks);

    http::ServerOptions callers;
    callers.listen = m_settings.callerAddress;
    callers.threads = m_settings.callerThreads;
    callers.connectionLimit = m_settings.callerConnections;
    m_callerServer = std::make_unique<http::Server>(
        callers, [this](http::Request request, const http::Responder& respond) { handleCaller(std::move(request), respond); });
    if (auto started = m_callerServer->start(); !started)
        return started;
    http::ServerOptions administrative;
    administrative.listen = m_settings.process.http;
    administrative.threads = 1;
    m_operatorServer = std::make_unique<http::Server>(administrative,
        [this](const http::Request& request, const http::Responder& respond) { handleOperator(request, respond); });
    Event(Level::Info, "entry_started").with("identity", m_identity);
    return m_operatorServer->start();
}

int EntryServer::run()
{
    m_hub->run();
    m_callerServer.reset();
    m_operatorServer.reset();
    Event(Level::Info, "entry_stopped");
    return 0;
}

void EntryServer::stop()
{
    m_hub->post([this](TimePoint now) {
        if (m_draining)
            return;
        m_draining = true;
        m_ready = false;
        m_quiesceAt = now + m_settings.balancerGrace;
        m_drainDeadline = now + m_settings.drainLimit;
        Event(Level::Info, "entry_draining").with("calls", m_router->callCount());
    });
}

void EntryServer::sendEnvelope(const net::Peer& peer, const wire::EntryEnvelope& envelope)
{
    std::string content = envelope.SerializeAsString();
    m_gauges->messagesOut.Increment();
    m_gauges->bytesOut.Increment(static_cast<double>(content.size()));
    m_hub->send(peer, std::move(content));
}

void EntryServer::connectEntries(const wire::View& view)
{
    std::map<std::string, std::string> wanted;
    for (const auto& it : view.entries())
        if (it.entry() != m_identity)
            wanted[entryLinkName(it.entry())] = it.address();
    for (const auto& it : m_entryLinks)
        if (!wanted.contains(it.first))
            m_hub->disconnect(it.first);
    for (const auto& it : wanted)
        if (!m_entryLinks.contains(it.first))
            m_hub->connect(it.first, it.second);
    m_entryLinks = wanted;
}

void EntryServer::onMessage(TimePoint now, const net::Peer& peer, const std::string& content)
{
    m_gauges->messagesIn.Increment();
    m_gauges->bytesIn.Increment(static_cast<double>(content.size()));
    if (m_group->onMessage(now, peer, content))
        return;
    wire::EntryEnvelope envelope;
    if (!envelope.ParseFromString(content)) {
        Event(Level::Warn, "malformed_message").with("peer", peer.name);
        return;
    }
    if (envelope.has_agent())
        m_dispatcher->onAgentMessage(now, envelope.agent());
    else if (envelope.has_forward())
        onForward(now, peer, envelope.forward());
    else if (envelope.has_forward_reply())
        m_router->onForwardReply(now, envelope.forward_reply());
}

void EntryServer::onUndeliverable(TimePoint now, const net::Peer& peer, const std::string& content)
{
    wire::EntryEnvelope envelope;
    if (m_group->onUndeliverable(now, peer, content) || !envelope.ParseFromString(content))
        return;
    if (envelope.has_to_agent())
        m_dispatcher->onUndeliverable(now, parseAgentId(peer.name), envelope.to_agent());
    else if (envelope.has_forward())
        m_router->onForwardUndeliverable(now, envelope.forward().forward_id());
}

void EntryServer::onForward(TimePoint now, const net::Peer& peer, const wire::ForwardRequest& forwarded)
{
    http::Request request;
    request.method = forwarded.method();
    request.path = forwarded.path();
    request.body = forwarded.body();
    request.traceparent = forwarded.traceparent();
    const uint64_t id = forwarded.forward_id();
    const auto answer = [this, peer, id](const http::Response* response) {
        wire::EntryEnvelope envelope;
        wire::ForwardReply& reply = *envelope.mutable_forward_reply();
        reply.set_forward_id(id);
        reply.set_not_owner(response == nullptr);
        if (response != nullptr) {
            reply.set_status(static_cast<uint32_t>(response->status));
            reply.set_body(response->body);
            reply.set_content_type(response->contentType);
            reply.set_retry_after(response->retryAfter);
        }
        sendEnvelope(peer, envelope);
    };
    auto call = parseCall(request);
    if (!call) {
        const http::Response refusal = http::problem(call.error());
        answer(&refusal);
        return;
    }
    call->service = forwarded.service();
    m_router->acceptForwarded(now, std::move(*call), milliseconds(forwarded.wait_ms()), answer);
}

bool EntryServer::advanceDrain(TimePoint now)
{
    if (!m_draining)
        return false;
    if (!m_quiesced && now >= m_quiesceAt) {
        m_quiesced = true;
        m_callerServer->quiesce();
    }
    size_t submissions = 0;
    for (const auto& it : m_dispatcher->services())
        submissions += it.second->submissionCount();
    if (now >= m_drainDeadline) {
        Event(Level::Warn, "drain_abandoned")
            .with("calls", m_router->callCount())
            .with("submissions", submissions)
            .with("verdict", "may-have-run");
        return true;
    }
    // Other entries take the services over. If none does, the entry stops after handOverTimeout once nothing is in flight.
    const bool handedOver = m_dispatcher->services().empty() || (submissions == 0 && now >= m_quiesceAt + handOverTimeout);
    return m_quiesced && handedOver && m_router->callCount() == 0 && m_callerServer->pending() == 0;
}

void EntryServer::onBatchEnd(TimePoint now)
{
    m_dispatcher->tick(now);
    m_router->tick(now);
    m_dispatcher->flush(now);
    m_state->flush(now, self());
    m_ready = m_dispatcher->hasView() && !m_draining;
    updateMetrics(now);
    if (advanceDrain(now))
        m_hub->stop();
}

void EntryServer::updateMetrics(TimePoint now)
{
    if (now < m_nextMetricsUpdate)
        return;
    m_nextMetricsUpdate = now + metricsInterval;
    dispatch::DispatchCounters sum;
    size_t queued = 0;
    size_t running = 0;
    size_t submissions = 0;
    size_t agents = 0;
    for (const auto& it : m_dispatcher->services()) {
        const dispatch::DispatchCounters& counters = it.second->counters();
        queued += it.second->queuedTasks();
        running += it.second->runningTasks();
        submissions += it.second->submissionCount();
        agents += it.second->upstreams().size();
        sum.dispatched += counters.dispatched;
        sum.refused += counters.refused;
        sum.retried += counters.retried;
        sum.hedged += counters.hedged;
        sum.strayResults += counters.strayResults;
        sum.collects += counters.collects;
        sum.releaseMessages += counters.releaseMessages;
        sum.cancels += counters.cancels;
        sum.lostAgents += counters.lostAgents;
        sum.ejections += counters.ejections;
    }
    const auto set = [](prometheus::Gauge& gauge, uint64_t n) { gauge.Set(static_cast<double>(n)); };
    set(m_gauges->queued, queued);
    set(m_gauges->running, running);
    set(m_gauges->submissions, submissions);
    set(m_gauges->agents, agents);
    set(m_gauges->calls, m_router->callCount());
    set(m_gauges->services, m_dispatcher->services().size());
    set(m_gauges->configuration, m_dispatcher->view().configuration_version());
    set(m_gauges->dispatched, sum.dispatched);
    set(m_gauges->refused, sum.refused);
    set(m_gauges->retried, sum.retried);
    set(m_gauges->hedged, sum.hedged);
    set(m_gauges->stray, sum.strayResults);
    set(m_gauges->collects, sum.collects);
    set(m_gauges->releases, sum.releaseMessages);
    set(m_gauges->cancels, sum.cancels);
    set(m_gauges->lost, sum.lostAgents);
    set(m_gauges->ejections, sum.ejections);
    set(m_gauges->forwarded, m_router->forwardedCount());
}

} // namespace fescuegw::entry
