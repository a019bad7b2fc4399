#include "fescuegw/arbiter/ArbiterServer.h"

#include <algorithm>

#include "fescuegw/group/Seeds.h"
#include "fescuegw/logging/Log.h"

namespace fescuegw::arbiter {

using logging::Event;
using logging::Level;

namespace {

    // The list of entries changes rarely, and a new entry does no harm unknown. An agent that hears none is of no use.
    constexpr Duration viewInterval = std::chrono::milliseconds(800);
    constexpr Duration lonelyViewInterval = std::chrono::milliseconds(150);
    // After the last new link, further entries are expected for this long.
    constexpr Duration gathering = std::chrono::milliseconds(3000);
    // Reports without acknowledgement are sent again after this.
    constexpr Duration reportRepeat = std::chrono::milliseconds(500);
    // An entry that is no longer listed may be cut off from the state group alone: its link stays while it speaks.
    constexpr Duration unlistedMemory = std::chrono::seconds(10);
    // A silent link is opened anew well within the entries' lease.
    constexpr Duration silenceLimit = std::chrono::milliseconds(1000);
    // From sending a hold that failed to the next one: an upstream that is down refuses connections at once.
    constexpr Duration holdRetry = std::chrono::milliseconds(30);

    std::string entryLink(const std::string& address) { return "entry-" + address; }

} // namespace

ArbiterSettings readArbiterSettings(settings::Document& document)
{
    ArbiterSettings settings;
    settings.process = daemon::readProcessSettings(document);
    settings.seeds = group::readSeeds(document);
    settings.offerInterval = std::chrono::milliseconds(document.numberOr("agent", "offer-ms", 40, 20, 1000));
    settings.orderThreads = document.numberOr("agent", "order-threads", 3, 1, 32);
    settings.drainLimit = std::chrono::milliseconds(document.numberOr("agent", "drain-limit-ms", 4500, 0, 3600000));
    return settings;
}

ArbiterServer::ArbiterServer(ArbiterSettings settings, const std::function<UpstreamCalls()>& connect, daemon::Metrics& metrics)
    : m_settings(std::move(settings))
    , m_identity { m_settings.process.name, wallClockMs() }
    , m_connect(connect)
    , m_table({}, m_identity.incarnation,
          RunTableHooks {
              [this](uint64_t serial, const StartOrder& order) { m_upstream->start(serial, order); },
              [this](const StopOrder& order) { m_upstream->stop(order); },
              [this](const std::string& entry, const wire::AttemptReport& it) { report(entry, it); },
              [this](const std::string& entry, const wire::Grant& it) { grant(entry, it); },
          })
    , m_done(metrics.counter("fescuegw_agent_attempts_total", "Attempts that ended, by how", "done"))
    , m_failed(metrics.counter("fescuegw_agent_attempts_total", "Attempts that ended, by how", "failed"))
    , m_lost(metrics.counter("fescuegw_agent_attempts_total", "Attempts that ended, by how", "lost"))
    , m_notStarted(metrics.counter("fescuegw_agent_attempts_total", "Attempts that ended, by how", "not_started"))
    , m_running(metrics.gauge("fescuegw_agent_running", "Attempts that hold room"))
    , m_grants(metrics.counter("fescuegw_agent_grants_total", "Grants of room to entries"))
    , m_run(metrics.latency("fescuegw_agent_run_ms", "How long attempts ran"))
{
}

Result<void> ArbiterServer::start()
{
    net::HubHooks hooks;
    hooks.onMessage = [this](TimePoint now, const net::Peer& peer, const std::string& m) { onMessage(now, peer, m); };
    // Reports to entries are repeated until acknowledged.
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
        m_table.onStartReply(now, serial, answer.verdict, answer.clockMs);
    };
    upstreamHooks.onHold = [this](TimePoint now, TimePoint sent, const HoldAnswer& answer) {
        if (answer.listing)
            m_table.onListing(now, sent, *answer.listing);
        else
            m_table.onHoldFailure(now, answer.fenced);
        const bool failed = !answer.listing.has_value();
        if (failed != m_holdFailed)
            Event(failed ? Level::Warn : Level::Info, failed ? "hold_failed" : "hold_answered").with("reason", answer.reason);
        m_holdFailed = failed;
        m_holdDue = failed ? sent + holdRetry : now;
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
        m_drainUntil = now + m_settings.drainLimit;
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
    for (auto& it : m_links)
        it.second.listed = false;
    for (const auto& it : view.entries()) {
        const std::string name = entryLink(it.address());
        const auto [link, added] = m_links.try_emplace(name);
        link->second.listed = true;
        if (!added)
            continue;
        link->second.address = it.address();
        link->second.heard = now;
        m_lastLinked = now;
        m_hub->connect(name, it.address());
        Event(Level::Info, "entry_linked").with("entry", it.entry()).with("address", it.address());
    }
}

void ArbiterServer::expireLinks(TimePoint now)
{
    for (auto it = m_links.begin(); it != m_links.end();) {
        if (it->second.listed || now - it->second.heard < unlistedMemory) {
            ++it;
            continue;
        }
        Event(Level::Info, "entry_unlinked").with("entry", it->second.entry).with("address", it->second.address);
        m_hub->disconnect(it->first);
        it = m_links.erase(it);
    }
}

void ArbiterServer::onMessage(TimePoint now, const net::Peer& peer, const std::string& content)
{
    if (m_state->onMessage(now, peer, content))
        return;
    wire::EntryToUpstream message;
    const auto link = m_links.find(peer.name);
    if (link == m_links.end() || !message.ParseFromString(content)) {
        Event(Level::Warn, "malformed_message").with("peer", peer.name);
        return;
    }
    onEntryMessage(now, link->second, message);
}

void ArbiterServer::onEntryMessage(TimePoint now, EntryLink& link, const wire::EntryToUpstream& message)
{
    link.heard = now;
    if (link.entry != message.entry()) {
        // Another process at this address: nobody waits for the reports to the one before.
        Event(Level::Info, "entry_known").with("entry", message.entry()).with("before", link.entry);
        link.entry = message.entry();
        link.reports.clear();
        link.firstReport = 1;
        link.seenSequence = 0;
    }
    link.seenSequence = std::max(link.seenSequence, message.sequence());
    while (!link.reports.empty() && link.firstReport <= message.acked_reports()) {
        link.reports.erase(link.reports.begin());
        ++link.firstReport;
    }
    if (message.offer_interval_ms() > 0)
        link.offerInterval = std::chrono::milliseconds(message.offer_interval_ms());
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
    for (auto& it : m_links) {
        if (it.second.entry != entry)
            continue;
        it.second.reports.push_back(report);
        // That a task has started may wait for the next message: half of all messages would tell nothing else.
        it.second.urgent = it.second.urgent || report.state() != wire::ATTEMPT_STARTED;
    }
}

void ArbiterServer::grant(const std::string& entry, const wire::Grant& grant)
{
    m_grants.Increment();
    for (auto& it : m_links) {
        if (it.second.entry != entry)
            continue;
        it.second.grants.push_back(grant);
        it.second.urgent = true;
    }
}

void ArbiterServer::sendOffers(TimePoint now)
{
    std::optional<wire::UpstreamOffer> offer;
    for (auto& it : m_links) {
        EntryLink& link = it.second;
        const bool repeat = !link.reports.empty() && now >= link.resendDue;
        if (!link.urgent && !repeat && now < link.offerDue)
            continue;
        if (!offer)
            offer = m_table.offer(now);
        wire::UpstreamToEntry message;
        message.set_agent(m_identity.name);
        message.set_incarnation(m_identity.incarnation);
        message.set_clock_us(toMicros(now));
        message.set_seen_sequence(link.seenSequence);
        *message.mutable_offer() = *offer;
        message.set_first_report(link.firstReport);
        for (const auto& report : link.reports)
            *message.add_reports() = report;
        for (const auto& grant : link.grants)
            *message.add_grants() = grant;
        link.grants.clear();
        link.urgent = false;
        link.offerDue = now + (link.offerInterval > Duration() ? link.offerInterval : m_settings.offerInterval);
        link.resendDue = now + reportRepeat;
        m_hub->send({ net::Peer::Direction::Connected, it.first }, message.SerializeAsString());
    }
}

bool ArbiterServer::drained(TimePoint now) const
{
    if (!m_draining)
        return false;
    if (now >= m_drainUntil) {
        Event(Level::Warn, "drain_abandoned").with("runs", m_table.running());
        return true;
    }
    const bool reported = std::all_of(m_links.begin(), m_links.end(), [](const auto& it) { return it.second.reports.empty(); });
    return m_table.running() == 0 && reported;
}

void ArbiterServer::onBatchEnd(TimePoint now)
{
    m_table.tick(now);
    const bool gathers = m_links.empty() || now - m_lastLinked < gathering;
    m_state->client().setHeartbeatInterval(gathers ? lonelyViewInterval : viewInterval);
    m_state->client().flush(now, wire::EntryInfo());
    expireLinks(now);
    sendOffers(now);
    if (m_holdDue && now >= *m_holdDue) {
        m_holdDue = std::nullopt;
        m_upstream->hold(now, m_table.nextHold(now));
    }
    m_running.Set(static_cast<double>(m_table.running()));
    m_ready = m_table.accepting(now);
    if (drained(now))
        m_hub->stop();
}

} // namespace fescuegw::arbiter
