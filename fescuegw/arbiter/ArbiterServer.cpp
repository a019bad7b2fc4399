#include "fescuegw/arbiter/ArbiterServer.h"

#include <algorithm>

#include "fescuegw/group/Seeds.h"
#include "fescuegw/logging/Log.h"

namespace fescuegw::arbiter {

using logging::Event;
using logging::Level;

namespace {

    // The list of entries changes rarely, and it is harmless to learn of a new entry late. An agent without entries is idle, so
    // it asks more often.
    constexpr Duration viewInterval = std::chrono::milliseconds(800);
    constexpr Duration discoveryViewInterval = std::chrono::milliseconds(150);
    // Further entries are expected for this long after the last new one.
    constexpr Duration discoveryPeriod = std::chrono::milliseconds(3000);
    // An unresponsive link is reopened well within the lease of an entry.
    constexpr Duration silenceLimit = std::chrono::milliseconds(1000);
    // Minimum time from sending a failed hold to the next one: an upstream that is down refuses connections at once.
    constexpr Duration holdRetryInterval = std::chrono::milliseconds(30);

    // Less urgent priorities share the label of this one.
    constexpr size_t maxLabelledPriority = 3;

    constexpr std::string_view entryPrefix = "entry-";

    std::string entryLinkName(const std::string& address) { return std::string(entryPrefix) + address; }

} // namespace

ArbiterSettings readArbiterSettings(settings::Document& document)
{
    ArbiterSettings settings;
    settings.process = daemon::readProcessSettings(document);
    settings.seeds = group::readSeeds(document);
    settings.links.offerInterval = std::chrono::milliseconds(document.numberOr("agent", "offer-ms", 40, 20, 1000));
    settings.links.subset.size = document.numberOr("agent", "entries", settings.links.subset.size, 1, 1000);
    settings.orderThreads = document.numberOr("agent", "order-threads", 3, 1, 32);
    settings.drainLimit = std::chrono::milliseconds(document.numberOr("agent", "drain-limit-ms", 4500, 0, 3600000));
    settings.runs.maxUpstreamLease = std::chrono::milliseconds(document.numberOr("agent", "max-lease-ms", 1000, 1, 60000));
    return settings;
}

ArbiterServer::ArbiterServer(ArbiterSettings settings, const std::function<UpstreamCalls()>& connect, daemon::Metrics& metrics)
    : m_settings(std::move(settings))
    , m_identity { m_settings.process.name, wallClockMs() }
    , m_connect(connect)
    , m_table(m_settings.runs, m_identity.incarnation,
          RunTableHooks {
              [this](uint64_t serial, const StartOrder& order) { m_upstream->start(serial, order); },
              [this](const StopOrder& order) { m_upstream->stop(order); },
              [this](const std::string& entry, const wire::AttemptReport& it) { report(entry, it); },
              [this](const GrantBook::Granted& it) {
                  m_grants[std::min<size_t>(it.priority, maxLabelledPriority)]->Increment();
                  m_links.grant(it.entry, it.grant);
              },
              [this](TimePoint now, const wire::AttemptReport& it) { m_links.broadcast(now, it); },
              [this](EjectionCause cause) { m_ejections.at(static_cast<size_t>(cause))->Increment(); },
          })
    , m_links(m_settings.process.name, m_settings.links)
    , m_done(metrics.counter("fescuegw_agent_attempts_total", "Attempts that ended, by how", "done"))
    , m_failed(metrics.counter("fescuegw_agent_attempts_total", "Attempts that ended, by how", "failed"))
    , m_lost(metrics.counter("fescuegw_agent_attempts_total", "Attempts that ended, by how", "lost"))
    , m_notStarted(metrics.counter("fescuegw_agent_attempts_total", "Attempts that ended, by how", "not_started"))
    , m_running(metrics.gauge("fescuegw_agent_running", "Attempts that hold room"))
    , m_drained(metrics.gauge("fescuegw_agent_drained", "1 while the failure domain of the upstream is drained"))
    , m_ejected(metrics.gauge("fescuegw_agent_ejected", "1 while the upstream is ejected for the outcomes of its tasks"))
    , m_run(metrics.latency("fescuegw_agent_run_ms", "How long attempts ran"))
{
    for (const EjectionCause it : { EjectionCause::ConsecutiveFailures, EjectionCause::FailureShare, EjectionCause::Flapping })
        m_ejections.push_back(
            &metrics.counter("fescuegw_agent_ejections_total", "Ejections of the upstream, by cause", toString(it)));
    for (size_t priority = 0; priority <= maxLabelledPriority; ++priority)
        m_grants.push_back(&metrics.counter("fescuegw_agent_grants_total", "Grants of room to entries, by priority",
            std::string("p").append(std::to_string(priority))));
}

Result<void> ArbiterServer::start()
{
    net::HubHooks hooks;
    hooks.onMessage = [this](TimePoint now, const net::Peer& peer, const std::string& m) { onMessage(now, peer, m); };
    // Undeliverable messages to entries need no handling: reports are repeated until acknowledged.
    hooks.onUndeliverable
        = [this](TimePoint now, const net::Peer& peer, const std::string& m) { m_state->onUndeliverable(now, peer, m); };
    hooks.onBatchEnd = [this](TimePoint now) { onBatchEnd(now); };
    net::HubOptions options;
    options.identity = toString(m_identity);
    options.keys = m_settings.process.keys;
    options.silenceLimit = silenceLimit;
    m_hub = std::make_unique<net::Hub>(options, hooks);
    if (auto started = m_hub->start(); !started)
        return started;

    group::GroupLinkHooks stateHooks;
    stateHooks.onView = [this](TimePoint now, const wire::View& view) { onView(now, view); };
    stateHooks.onReachable = [](TimePoint, bool reachable) {
        Event(reachable ? Level::Info : Level::Warn, reachable ? "state_group_reachable" : "state_group_lost");
    };
    group::StateClientOptions stateOptions;
    stateOptions.heartbeatInterval = viewInterval;
    m_state = std::make_unique<group::GroupLink>(*m_hub, stateOptions, m_settings.seeds, stateHooks);

    UpstreamLinkHooks upstreamHooks;
    upstreamHooks.post = [this](std::function<void(TimePoint)> task) { m_hub->post(std::move(task)); };
    upstreamHooks.onStart = [this](TimePoint now, uint64_t serial, const StartAnswer& answer) {
        m_table.onStartReply(now, serial, answer.verdict);
    };
    upstreamHooks.onStop
        = [this](TimePoint now, const StopOrder& order, bool answered) { m_table.onStopReply(now, order, answered); };
    upstreamHooks.onHold = [this](TimePoint now, TimePoint sent, const HoldAnswer& answer) {
        if (answer.listing)
            m_table.onListing(now, sent, *answer.listing);
        else
            m_table.onHoldFailure(now, answer.failure);
        const bool failed = !answer.listing.has_value();
        if (failed != m_holdFailed)
            Event(failed ? Level::Warn : Level::Info, failed ? "hold_failed" : "hold_answered").with("reason", answer.reason);
        m_holdFailed = failed;
        m_nextHoldAt = failed ? sent + holdRetryInterval : now;
    };
    m_upstream = std::make_unique<UpstreamLink>(m_settings.orderThreads, m_connect, upstreamHooks);
    Event(Level::Info, "agent_started").with("identity", toString(m_identity)).with("seeds", m_settings.seeds.size());
    return {};
}

int ArbiterServer::run()
{
    m_hub->run();
    m_upstream.reset();
    Event(Level::Info, "agent_stopped").with("runs", m_table.running());
    return 0;
}

void ArbiterServer::stop()
{
    m_hub->post([this](TimePoint now) {
        if (m_draining)
            return;
        m_draining = true;
        m_drainDeadline = now + m_settings.drainLimit;
        Event(Level::Info, "agent_draining").with("runs", m_table.running());
        m_table.drain(now);
    });
}

void ArbiterServer::announce(Announcement announcement, std::function<void(bool)> accepted)
{
    m_hub->post([this, announcement = std::move(announcement), accepted = std::move(accepted)](
                    TimePoint now) { accepted(m_table.onAnnouncement(now, announcement)); });
}

void ArbiterServer::depart(std::string instance)
{
    m_hub->post([this, instance = std::move(instance)](TimePoint now) { m_table.onDeparture(now, instance); });
}

void ArbiterServer::updateSeeds(const std::vector<settings::Address>& seeds) { m_state->addReplicas(seeds); }

void ArbiterServer::onView(TimePoint now, const wire::View& view)
{
    m_table.setDrainedDomains(now, { view.drained_domains().begin(), view.drained_domains().end() });
    for (const auto& it : m_links.onView(now, view)) {
        m_lastEntryAddedAt = now;
        m_hub->connect(entryLinkName(it.address()), it.address());
    }
}

void ArbiterServer::onMessage(TimePoint now, const net::Peer& peer, const std::string& content)
{
    if (m_state->onMessage(now, peer, content))
        return;
    wire::EntryToUpstream message;
    const bool fromEntry = peer.name.starts_with(entryPrefix) && message.ParseFromString(content);
    if (!fromEntry || !m_links.onMessage(now, peer.name.substr(entryPrefix.size()), message)) {
        Event(Level::Warn, "malformed_message").with("peer", peer.name);
        return;
    }
    m_table.onEntry(now, message);
}

void ArbiterServer::report(const std::string& entry, const wire::AttemptReport& report)
{
    switch (report.state()) {
    case wire::ATTEMPT_DONE:
        m_done.Increment();
        m_run.Observe(report.run_ms());
        break;
    case wire::ATTEMPT_FAILED:
        m_failed.Increment();
        break;
    case wire::ATTEMPT_LOST:
        m_lost.Increment();
        break;
    case wire::ATTEMPT_NOT_STARTED:
        m_notStarted.Increment();
        break;
    default:
        break;
    }
    m_links.report(entry, report);
}

bool ArbiterServer::drained(TimePoint now) const
{
    if (!m_draining)
        return false;
    if (now >= m_drainDeadline) {
        Event(Level::Warn, "drain_abandoned").with("runs", m_table.running());
        return true;
    }
    return m_table.running() == 0 && m_links.allAcknowledged();
}

void ArbiterServer::onBatchEnd(TimePoint now)
{
    m_table.tick(now);
    const bool discovering = m_links.empty() || now - m_lastEntryAddedAt < discoveryPeriod;
    m_state->client().setHeartbeatInterval(discovering ? discoveryViewInterval : viewInterval);
    m_state->client().flush(now, wire::EntryInfo());
    for (const auto& it : m_links.expire(now))
        m_hub->disconnect(entryLinkName(it));
    m_links.send(
        now, m_identity, [&] { return m_table.offer(now); },
        [this](const std::string& address, const wire::UpstreamToEntry& it) {
            m_hub->send({ net::Peer::Direction::Connected, entryLinkName(address) }, it.SerializeAsString());
        });
    if (m_nextHoldAt && now >= *m_nextHoldAt) {
        m_nextHoldAt = std::nullopt;
        m_upstream->hold(now, m_table.nextHold(now));
    }
    m_running.Set(static_cast<double>(m_table.running()));
    m_ejected.Set(m_table.ejected() ? 1 : 0);
    m_drained.Set(m_table.isDomainDrained() ? 1 : 0);
    m_ready = m_table.accepting(now);
    if (drained(now))
        m_hub->stop();
}

} // namespace fescuegw::arbiter
