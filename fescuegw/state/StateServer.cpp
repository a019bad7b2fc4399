#include "fescuegw/state/StateServer.h"

#include <algorithm>
#include <charconv>

#include <arpa/inet.h>

#include "fescuegw/group/Seeds.h"
#include "fescuegw/logging/Log.h"

namespace fescuegw::state {

using logging::Event;
using logging::Level;

namespace {

    constexpr Duration policyInterval = std::chrono::milliseconds(50);
    constexpr uint64_t mostReplicas = 7;

    // Between two requests to belong to the group; half of MembershipOptions::candidateSpacing's order, so that two come soon.
    constexpr Duration joinInterval = std::chrono::milliseconds(300);
    // Without a leader for this many election timeouts, a voter asks whether it still belongs.
    constexpr int leaderlessTimeouts = 3;
    // A silent link between replicas is opened anew after this part of an election timeout.
    constexpr int silenceParts = 1;

    std::string replicaName(uint64_t id) { return "replica-" + std::to_string(id); }

    std::string contactName(const std::string& address) { return "contact-" + address; }

    // The id of a member that the group starts with: every replica works it out alike from the seeds alone.
    uint64_t idOfSeed(const settings::Address& address)
    {
        in_addr ip {};
        inet_pton(AF_INET, address.ip.c_str(), &ip);
        return ntohl(ip.s_addr);
    }

    // Ids of later members are beyond those of seeds, and drawn anew for each empty disk.
    uint64_t idOfJoiner() { return randomIdentity() | (1ULL << 32U); }

    Duration milliseconds(uint64_t n) { return std::chrono::milliseconds(n); }

} // namespace

namespace {

    std::optional<Formation> readFormation(settings::Document& document)
    {
        static const std::string section = "formation";
        if (!document.has(section, "seeds"))
            return std::nullopt;
        Formation formation;
        formation.seeds = group::readSeeds(document);
        formation.firstStart = document.flagOr(section, "first-start", false);
        formation.toleratedLosses = document.numberOr(section, "tolerated-losses", 1, 0, mostReplicas);
        return formation;
    }

} // namespace

StateSettings readStateSettings(settings::Document& document)
{
    StateSettings settings;
    settings.process = daemon::readProcessSettings(document);
    settings.formation = readFormation(document);
    if (!settings.formation && !document.has("replica", "id"))
        document.reject("replica", "id", "a whole number from 1; the key is missing");
    settings.id = settings.formation ? 0 : document.numberOr("replica", "id", 1, 1);
    settings.listen = document.address("replica", "listen");
    settings.advertised = document.addressOr("replica", "advertise", settings.listen);
    settings.data = document.text("replica", "data");
    settings.join = document.flagOr("replica", "join", false);
    settings.electionTimeout = milliseconds(document.numberOr("replica", "election-timeout-ms", 1000, 100, 60000));
    settings.entryLease = milliseconds(document.numberOr("replica", "entry-lease-ms", 1500, 200, 60000));
    settings.snapshotInterval = document.numberOr("replica", "snapshot-entries", 10000, 10);
    if (settings.formation)
        return settings;
    for (const auto& key : document.keys("group")) {
        uint64_t id = 0;
        const auto parsed = std::from_chars(key.data(), key.data() + key.size(), id);
        if (parsed.ec != std::errc() || id == 0)
            document.reject("group", key, "replica ids from 1 as keys");
        settings.members[id] = document.address("group", key);
    }
    if (settings.members.empty() || settings.members.size() > mostReplicas)
        document.reject("group", "1", "1 to 7 members");
    if (!settings.join && !settings.members.contains(settings.id))
        document.reject("replica", "id", "an id of section [group], or join = yes");
    return settings;
}

StateServer::StateServer(StateSettings settings, daemon::Metrics& metrics)
    : m_settings(std::move(settings))
    , m_store(m_settings.data, storage::systemDisk())
    , m_policy(m_settings.entryLease)
    , m_random(randomIdentity())
    , m_syncs(metrics.counter("fescuegw_state_syncs_total", "Synced writes of the log"))
    , m_commands(metrics.counter("fescuegw_state_commands_total", "Commands applied"))
    , m_leading(metrics.gauge("fescuegw_state_leading", "1 while this replica leads"))
    , m_commitIndex(metrics.gauge("fescuegw_state_commit_index", "Index of the last committed entry"))
    , m_term(metrics.gauge("fescuegw_state_term", "Current term"))
{
}

Result<void> StateServer::start()
{
    auto recovered = openStore();
    if (!recovered)
        return tl::unexpected(recovered.error());
    m_settings.id = recovered->identity.id();
    m_identity = recovered->identity.identity();
    if (recovered->tornBytes > 0)
        Event(Level::Warn, "log_end_cut").with("bytes", recovered->tornBytes);
    net::HubHooks hooks;
    hooks.onMessage = [this](TimePoint now, const net::Peer& peer, const std::string& m) { onMessage(now, peer, m); };
    // Lost raft messages are repeated by the protocol; lost answers by whoever asked.
    hooks.onUndeliverable = [](TimePoint, const net::Peer&, const std::string&) {};
    hooks.onBatchEnd = [this](TimePoint now) { onBatchEnd(now); };
    net::HubOptions hubOptions;
    hubOptions.identity = replicaName(m_settings.id);
    hubOptions.listen = m_settings.listen.text();
    hubOptions.keys = m_settings.process.keys;
    hubOptions.silenceLimit = m_settings.electionTimeout / silenceParts;
    m_hub = std::make_unique<net::Hub>(hubOptions, hooks);
    if (auto started = m_hub->start(); !started)
        return started;

    raft::ReplicaOptions options;
    options.id = m_settings.id;
    options.identity = recovered->identity.identity();
    options.electionTimeout = m_settings.electionTimeout;
    options.heartbeatInterval = m_settings.electionTimeout / 6;
    options.clockMargin = m_settings.electionTimeout / 5;
    options.snapshotInterval = m_settings.snapshotInterval;
    raft::DurableState state = durableState(*recovered);
    const size_t n = state.entries.size();
    m_replica = std::make_unique<raft::Replica>(options, std::move(state), replicaHooks(), monotonicNow());
    Event(Level::Info, "replica_started")
        .with("id", m_settings.id)
        .with("fresh", recovered->fresh ? "yes" : "no")
        .with("entries", n)
        .with("term", m_replica->term())
        .with("routing_version", m_registry.routing().version());
    return {};
}

Result<storage::Recovered> StateServer::openStore()
{
    if (!m_settings.formation)
        return m_store.open(m_settings.id);
    const Formation& formation = *m_settings.formation;
    const bool isSeed = std::find(formation.seeds.begin(), formation.seeds.end(), m_settings.advertised) != formation.seeds.end();
    wire::DiskIdentity fresh;
    fresh.set_identity(randomIdentity());
    fresh.set_id(formation.firstStart && isSeed ? idOfSeed(m_settings.advertised) : idOfJoiner());
    if (formation.firstStart && isSeed) {
        for (const auto& it : formation.seeds) {
            wire::Member* member = fresh.mutable_initial_membership()->add_members();
            member->set_id(idOfSeed(it));
            member->set_address(it.text());
            member->set_voter(true);
        }
    }
    return m_store.openAs(fresh);
}

raft::DurableState StateServer::durableState(const storage::Recovered& recovered)
{
    raft::DurableState state;
    state.hardState = recovered.hardState;
    state.snapshot = recovered.snapshot;
    state.entries = recovered.entries;
    state.initialMembership = recovered.identity.initial_membership();
    if (m_settings.formation) {
        m_membership.emplace(MembershipOptions { .voters = 2 * m_settings.formation->toleratedLosses + 1 });
        updateSeeds(m_settings.formation->seeds);
    }
    for (const auto& it : m_settings.members) {
        if (it.first != m_settings.id)
            m_hub->connect(replicaName(it.first), it.second.text());
        if (m_settings.join)
            continue;
        wire::Member* member = state.initialMembership.add_members();
        member->set_id(it.first);
        member->set_address(it.second.text());
        member->set_voter(true);
    }
    return state;
}

void StateServer::updateSeeds(std::vector<settings::Address> seeds)
{
    m_hub->post([this, seeds = std::move(seeds)](TimePoint /*now*/) {
        for (const auto& it : seeds)
            if (it != m_settings.advertised)
                m_contacts.insert(it.text());
    });
}

raft::ReplicaHooks StateServer::replicaHooks()
{
    raft::ReplicaHooks hooks;
    hooks.send = [this](const wire::RaftMessage& m) {
        wire::StateEnvelope envelope;
        *envelope.mutable_raft() = m;
        // A replica that has just been added knows no members yet, but the leader has opened a link to it.
        const std::string peer = replicaName(m.to());
        const auto direction = m_hub->isConnected(peer) ? net::Peer::Direction::Connected : net::Peer::Direction::Accepted;
        m_hub->send({ direction, peer }, envelope.SerializeAsString());
    };
    hooks.saveHardState = [this](const wire::HardState& it) { m_store.stage(it); };
    hooks.saveEntry = [this](const wire::LogEntry& it) { m_store.stage(it); };
    hooks.saveSnapshot
        = [this](const wire::Snapshot& snapshot, const wire::HardState& hardState, const std::vector<wire::LogEntry>& entries) {
              Event(Level::Info, "snapshot_saved").with("index", snapshot.index()).with("bytes", snapshot.state().size());
              check(m_store.compact(snapshot, hardState, entries));
          };
    hooks.apply = [this](const wire::LogEntry& it) { applyEntry(it); };
    hooks.restore = [this](const std::string& state) { m_registry.restore(state); };
    hooks.captureState = [this] { return m_registry.capture(); };
    hooks.random = [this](uint64_t bound) { return m_random() % bound; };
    return hooks;
}

void StateServer::check(const Result<void>& written)
{
    if (written || m_failed)
        return;
    // What reached the disk is unknown, so nothing may be promised any more.
    m_failed = true;
    Event(Level::Error, "disk_failed").with("detail", written.error().detail);
    m_hub->stop();
}

int StateServer::run()
{
    m_hub->run();
    return m_failed ? daemon::exitFailure : 0;
}

void StateServer::stop() { m_hub->stop(); }

void StateServer::onMessage(TimePoint now, const net::Peer& peer, const std::string& content)
{
    wire::StateEnvelope envelope;
    if (!envelope.ParseFromString(content)) {
        Event(Level::Warn, "malformed_message").with("peer", peer.name);
        return;
    }
    if (envelope.has_raft()) {
        m_replica->receive(now, envelope.raft());
        return;
    }
    if (envelope.has_reply()) {
        learnReplicas(envelope.reply());
        return;
    }
    onRequest(now, envelope.request(), [this, peer](const wire::StateReply& reply) {
        wire::StateEnvelope answer;
        *answer.mutable_reply() = reply;
        m_hub->send(peer, answer.SerializeAsString());
    });
}

void StateServer::submit(wire::StateRequest request, ReplyHook reply)
{
    m_hub->post(
        [this, request = std::move(request), reply = std::move(reply)](TimePoint now) { onRequest(now, request, reply); });
}

void StateServer::onBatchEnd(TimePoint now)
{
    connectMembers();
    askToJoin(now);
    noteLeader();
    decideOwnership(now);
    decideMembership(now);
    proposeBatch(now);
    m_replica->tick(now);
    // Entries travel to the followers while the own disk syncs.
    m_hub->flush(now);
    if (m_store.hasStaged()) {
        check(m_store.sync());
        m_syncs.Increment();
    }
    if (m_failed)
        return;
    m_replica->synced(monotonicNow());
    if (m_replica->role() != raft::Role::Leader)
        abandonProposals();
    updateMetrics(now);
}

void StateServer::updateMetrics(TimePoint now)
{
    const bool leads = m_replica->hasLease(now);
    m_ready = leads || m_replica->leader() != 0;
    m_leading.Set(leads ? 1 : 0);
    m_commitIndex.Set(static_cast<double>(m_replica->commitIndex()));
    m_term.Set(static_cast<double>(m_replica->term()));
}

// Links of the settings' members stay: they may be wanted again before this replica knows a membership.
void StateServer::connectMembers()
{
    std::map<std::string, std::string> wanted;
    for (const auto& it : m_replica->membership().members())
        if (it.id() != m_settings.id)
            wanted[replicaName(it.id())] = it.address();
    if (wanted == m_memberLinks)
        return;
    for (const auto& it : m_memberLinks)
        if (!wanted.contains(it.first))
            m_hub->disconnect(it.first);
    for (const auto& it : wanted) {
        // Both links would have the same identity, and the far end keeps only the newest of them.
        m_hub->disconnect(contactName(it.second));
        if (!m_hub->isConnected(it.first))
            m_hub->connect(it.first, it.second);
    }
    m_memberLinks = wanted;
}

// Returns the link to the replica at `address`, which is opened if there is none.
std::string StateServer::linkTo(const std::string& address)
{
    for (const auto& it : m_memberLinks)
        if (it.second == address)
            return it.first;
    if (!m_hub->isConnected(contactName(address)))
        m_hub->connect(contactName(address), address);
    return contactName(address);
}

void StateServer::noteLeader()
{
    if (m_replica->role() != m_knownRole) {
        m_knownRole = m_replica->role();
        Event(Level::Info, "role_changed").with("role", toString(m_knownRole)).with("term", m_replica->term());
    }
    if (m_replica->leader() == m_knownLeader)
        return;
    m_knownLeader = m_replica->leader();
    Event(m_knownLeader == 0 ? Level::Warn : Level::Info, m_knownLeader == 0 ? "leader_lost" : "leader_known")
        .with("leader", m_knownLeader)
        .with("term", m_replica->term());
}

// A replica asks all that it knows of: only the leader acts on it, the others answer with addresses.
void StateServer::askToJoin(TimePoint now)
{
    if (!m_membership)
        return;
    if (m_replica->leader() != 0)
        m_ledAt = now;
    const bool led = now - m_ledAt < leaderlessTimeouts * m_settings.electionTimeout;
    const bool belongs = m_replica->votes() && led;
    if (belongs || now < m_joinDue) {
        if (belongs && m_replica->leader() != 0)
            for (const auto& it : m_contacts)
                m_hub->disconnect(contactName(it));
        return;
    }
    m_joinDue = now + joinInterval;
    wire::StateEnvelope envelope;
    wire::Member* candidate = envelope.mutable_request()->mutable_join()->mutable_candidate();
    candidate->set_id(m_settings.id);
    candidate->set_identity(m_identity);
    candidate->set_address(m_settings.advertised.text());
    for (const auto& it : m_contacts)
        m_hub->send({ net::Peer::Direction::Connected, linkTo(it) }, envelope.SerializeAsString());
}

void StateServer::learnReplicas(const wire::StateReply& reply)
{
    for (const auto& it : reply.member_addresses())
        if (it != m_settings.advertised.text())
            m_contacts.insert(it);
}

void StateServer::decideMembership(TimePoint now)
{
    if (!m_membership || !m_replica->hasLease(now) || m_ledTerm != m_replica->term())
        return;
    const auto change = m_membership->next(now, *m_replica);
    if (!change)
        return;
    const bool adds = change->kind == MembershipChange::Kind::Add;
    const std::string refusal = adds ? m_replica->changeMembership(now, change->member, change->replaces)
                                     : m_replica->removeMember(now, change->member.id());
    Event(Level::Info, adds ? "member_added" : "member_removed")
        .with("id", change->member.id())
        .with("address", change->member.address())
        .with("replaces", change->replaces)
        .with("members", static_cast<uint64_t>(m_replica->membership().members_size()))
        .with("refused", refusal.empty() ? "no" : refusal);
}

void StateServer::decideOwnership(TimePoint now)
{
    if (!m_replica->hasLease(now) || now < m_policyDue)
        return;
    m_policyDue = now + policyInterval;
    if (m_ledTerm != m_replica->term()) {
        m_ledTerm = m_replica->term();
        m_policy.startTerm(now, m_ledTerm);
        if (m_membership)
            m_membership->startTerm(now);
        Event(Level::Info, "leading").with("term", m_ledTerm);
    }
    for (const auto& it : m_policy.assignments(now, m_registry)) {
        Event(Level::Info, "service_assigned").with("service", it.service()).with("owner", it.owner()).with("epoch", it.epoch());
        *m_batch.add_commands()->mutable_assign() = it;
    }
}

void StateServer::refuse(uint64_t requestId, const ReplyHook& reply) const
{
    wire::StateReply refusal;
    refusal.set_request_id(requestId);
    refusal.set_not_leader(true);
    refusal.set_leader(m_replica->leader());
    for (const auto& it : m_replica->membership().members()) {
        refusal.add_member_addresses(it.address());
        if (it.id() == m_replica->leader())
            refusal.set_leader_address(it.address());
    }
    reply(refusal);
}

void StateServer::onRequest(TimePoint now, const wire::StateRequest& request, const ReplyHook& reply)
{
    if (!m_replica->hasLease(now)) {
        refuse(request.request_id(), reply);
        return;
    }
    if (request.has_propose())
        onPropose(request.request_id(), request.propose(), reply);
    else
        answer(now, request, reply);
}

void StateServer::answer(TimePoint now, const wire::StateRequest& request, const ReplyHook& reply)
{
    wire::StateReply answer;
    answer.set_request_id(request.request_id());
    if (request.has_heartbeat()) {
        *answer.mutable_heartbeat() = heartbeat(now, request.heartbeat());
    } else if (request.has_open_claims()) {
        const auto owned = m_registry.ownerships().find(request.open_claims().service());
        const bool current = owned != m_registry.ownerships().end() && owned->second.epoch() == request.open_claims().epoch();
        answer.mutable_open_claims()->set_current(current);
        if (current)
            for (const auto& it : m_registry.openClaims(request.open_claims().service()))
                *answer.mutable_open_claims()->add_claims() = it;
    } else if (request.has_lookup()) {
        const wire::StoredClaim* claim = m_registry.find({ request.lookup().team(), request.lookup().id() });
        answer.mutable_lookup()->set_found(claim != nullptr);
        if (claim != nullptr)
            *answer.mutable_lookup()->mutable_claim() = *claim;
    } else if (request.has_membership()) {
        const wire::MembershipRequest& change = request.membership();
        const std::string refusal = m_replica->changeMembership(now, change.add(), change.remove_id());
        answer.mutable_membership()->set_accepted(refusal.empty());
        answer.mutable_membership()->set_reason(refusal);
    } else if (request.has_group_status()) {
        *answer.mutable_group_status() = groupStatus(now);
    } else if (request.has_join()) {
        if (m_membership)
            m_membership->onCandidate(now, request.join().candidate());
    } else if (request.has_routing()) {
        *answer.mutable_routing()->mutable_routing() = m_registry.routing();
    }
    reply(answer);
}

wire::HeartbeatReply StateServer::heartbeat(TimePoint now, const wire::EntryHeartbeat& heartbeat)
{
    m_policy.onHeartbeat(now, heartbeat);
    wire::HeartbeatReply reply;
    if (heartbeat.known_routing_version() < m_registry.routing().version()) {
        *reply.mutable_routing() = m_registry.routing();
        reply.mutable_routing()->clear_document();
    }
    // A new leader has not heard all entries yet. A list that lacks some would make the others drop their links; agents, which
    // drop none for that, are told at once of those that are known.
    const bool observer = heartbeat.entry().entry().empty();
    const bool settled = m_ledTerm == m_replica->term() && (observer || m_policy.settled(now));
    const uint64_t entriesRevision = settled ? m_policy.entriesRevision(now) : heartbeat.known_entries_revision();
    if (heartbeat.known_revision() == m_registry.revision() && heartbeat.known_entries_revision() == entriesRevision)
        return reply;
    wire::View& view = *reply.mutable_view();
    view = m_registry.view();
    view.set_entries_revision(entriesRevision);
    if (!settled)
        return reply;
    for (const auto& it : m_policy.entries(now))
        *view.add_entries() = it;
    return reply;
}

wire::GroupStatusReply StateServer::groupStatus(TimePoint now) const
{
    wire::GroupStatusReply status;
    status.set_leader(m_settings.id);
    status.set_term(m_replica->term());
    status.set_commit_index(m_replica->commitIndex());
    for (const auto& it : m_replica->membership().members()) {
        wire::ReplicaStatus* replica = status.add_replicas();
        replica->set_id(it.id());
        replica->set_address(it.address());
        replica->set_voter(it.voter());
        replica->set_match_index(m_replica->matchIndex(it.id()));
    }
    for (const auto& it : m_policy.heartbeats(now))
        *status.add_entries() = it;
    return status;
}

void StateServer::onPropose(uint64_t requestId, const wire::ProposeRequest& request, const ReplyHook& reply)
{
    m_batchWaiting.push_back(
        Waiting { reply, requestId, static_cast<size_t>(m_batch.commands_size()), static_cast<size_t>(request.commands_size()) });
    for (const auto& it : request.commands())
        *m_batch.add_commands() = it;
}

void StateServer::proposeBatch(TimePoint now)
{
    if (m_batch.commands().empty())
        return;
    m_batch.set_time_ms(wallClockMs());
    const auto index = m_replica->propose(now, m_batch.SerializeAsString());
    m_batch.Clear();
    std::vector<Waiting> waiting;
    waiting.swap(m_batchWaiting);
    if (index) {
        m_proposals[*index] = Proposal { m_replica->term(), std::move(waiting) };
        return;
    }
    for (const auto& it : waiting)
        refuse(it.requestId, it.reply);
}

void StateServer::applyEntry(const wire::LogEntry& entry)
{
    if (entry.command().empty())
        return;
    wire::CommandBatch batch;
    if (!batch.ParseFromString(entry.command())) {
        Event(Level::Error, "malformed_entry").with("index", entry.index());
        return;
    }
    const std::vector<wire::CommandResult> results = m_registry.apply(batch);
    m_commands.Increment(static_cast<double>(results.size()));
    const auto found = m_proposals.find(entry.index());
    if (found == m_proposals.end())
        return;
    for (const auto& it : found->second.waiting) {
        if (found->second.term != entry.term()) {
            refuse(it.requestId, it.reply);
            continue;
        }
        wire::StateReply answer;
        answer.set_request_id(it.requestId);
        wire::ProposeReply* proposed = answer.mutable_propose();
        for (size_t i = 0; i < it.resultCount; ++i)
            *proposed->add_results() = results[it.firstResult + i];
        it.reply(answer);
    }
    m_proposals.erase(found);
}

void StateServer::abandonProposals()
{
    for (const auto& proposal : m_proposals)
        for (const auto& it : proposal.second.waiting)
            refuse(it.requestId, it.reply);
    m_proposals.clear();
}

} // namespace fescuegw::state
