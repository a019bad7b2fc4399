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
    constexpr uint64_t maxReplicas = 7;

    // Longer than MembershipOptions::candidateSpacing, so that two consecutive requests are enough to be accepted.
    constexpr Duration joinRequestInterval = std::chrono::milliseconds(300);
    // A voter that has seen no leader for this many election timeouts may have been removed and requests to join again.
    constexpr int leaderlessElectionTimeouts = 3;
    // Longer than an election; shorter than the time that a service manager grants a process to stop.
    constexpr Duration leaveTimeout = std::chrono::milliseconds(2000);
    constexpr Duration leaveRequestInterval = std::chrono::milliseconds(50);
    // A silent link between replicas is reconnected after the election timeout divided by this.
    constexpr int silenceLimitDivisor = 1;

    std::string replicaName(uint64_t id) { return "replica-" + std::to_string(id); }

    std::string contactName(const std::string& address) { return "contact-" + address; }

    // Returns the id of an initial member. It depends only on the IP address, so that all replicas derive the same ids.
    uint64_t seedId(const settings::Address& address)
    {
        in_addr ip {};
        inet_pton(AF_INET, address.ip.c_str(), &ip);
        return ntohl(ip.s_addr);
    }

    // Returns an id for a replica that joins later: outside the range of `seedId`, and new for each empty disk.
    uint64_t newJoinerId() { return randomIdentity() | (1ULL << 32U); }

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
        formation.toleratedLosses = document.numberOr(section, "tolerated-losses", 1, 0, maxReplicas);
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
    if (settings.members.empty() || settings.members.size() > maxReplicas)
        document.reject("group", "1", "1 to 7 members");
    if (!settings.join && !settings.members.contains(settings.id))
        document.reject("replica", "id", "an id of section [group], or join = yes");
    return settings;
}

StateServer::StateServer(StateSettings settings, daemon::Metrics& metrics)
    : m_settings(std::move(settings))
    , m_store(m_settings.data, storage::systemDisk())
    , m_ownershipPolicy(m_settings.entryLease)
    , m_random(randomIdentity())
    , m_syncs(metrics.counter("fescuegw_state_syncs_total", "Synced writes of the log"))
    , m_commands(metrics.counter("fescuegw_state_commands_total", "Commands applied"))
    , m_leading(metrics.gauge("fescuegw_state_leading", "1 while this replica leads"))
    , m_commitIndex(metrics.gauge("fescuegw_state_commit_index", "Index of the last committed entry"))
    , m_term(metrics.gauge("fescuegw_state_term", "Current term"))
    , m_drainedDomains(metrics.gauge("fescuegw_state_drained_domains", "Failure domains that are drained"))
{
}

Result<void> StateServer::start()
{
    auto recovered = openStore();
    if (!recovered)
        return tl::unexpected(recovered.error());
    m_settings.id = recovered->identity.id();
    m_diskIdentity = recovered->identity.identity();
    if (recovered->tornBytes > 0)
        Event(Level::Warn, "log_end_cut").with("bytes", recovered->tornBytes);
    net::HubHooks hooks;
    hooks.onMessage = [this](TimePoint now, const net::Peer& peer, const std::string& m) { onMessage(now, peer, m); };
    // Raft repeats lost messages, and clients repeat requests whose replies were lost.
    hooks.onUndeliverable = [](TimePoint, const net::Peer&, const std::string&) {};
    hooks.onBatchEnd = [this](TimePoint now) { onBatchEnd(now); };
    net::HubOptions hubOptions;
    hubOptions.identity = replicaName(m_settings.id);
    hubOptions.listen = m_settings.listen.text();
    hubOptions.keys = m_settings.process.keys;
    hubOptions.silenceLimit = m_settings.electionTimeout / silenceLimitDivisor;
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
    fresh.set_id(formation.firstStart && isSeed ? seedId(m_settings.advertised) : newJoinerId());
    if (formation.firstStart && isSeed) {
        for (const auto& it : formation.seeds) {
            wire::Member* member = fresh.mutable_initial_membership()->add_members();
            member->set_id(seedId(it));
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
        m_membershipPolicy.emplace(MembershipOptions { .minVoters = 2 * m_settings.formation->toleratedLosses + 1 });
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
        sendTo(m.to(), envelope);
    };
    hooks.saveHardState = [this](const wire::HardState& it) { m_store.stage(it); };
    hooks.saveEntry = [this](const wire::LogEntry& it) { m_store.stage(it); };
    hooks.saveSnapshot
        = [this](const wire::Snapshot& snapshot, const wire::HardState& hardState, const std::vector<wire::LogEntry>& entries) {
              Event(Level::Info, "snapshot_saved").with("index", snapshot.index()).with("bytes", snapshot.state().size());
              stopOnDiskError(m_store.compact(snapshot, hardState, entries));
          };
    hooks.apply = [this](const wire::LogEntry& it) { applyEntry(it); };
    hooks.restore = [this](const std::string& state) { m_registry.restore(state); };
    hooks.captureState = [this] { return m_registry.capture(); };
    hooks.random = [this](uint64_t bound) { return m_random() % bound; };
    return hooks;
}

void StateServer::stopOnDiskError(const Result<void>& written)
{
    if (written || m_failed)
        return;
    // It is unknown which records are durable, so the replica must not acknowledge anything from now on.
    m_failed = true;
    Event(Level::Error, "disk_failed").with("detail", written.error().detail);
    m_hub->stop();
}

int StateServer::run()
{
    m_hub->run();
    return m_failed ? daemon::exitFailure : 0;
}

void StateServer::sendTo(uint64_t replica, const wire::StateEnvelope& envelope)
{
    // A replica that was just added does not know the members yet, but has accepted a link from the leader.
    const std::string peer = replicaName(replica);
    const auto direction = m_hub->isConnected(peer) ? net::Peer::Direction::Connected : net::Peer::Direction::Accepted;
    m_hub->send({ direction, peer }, envelope.SerializeAsString());
}

void StateServer::stop()
{
    m_hub->post([this](TimePoint now) {
        if (m_leaveDeadline)
            return;
        m_leaveDeadline = now + leaveTimeout;
        // Its election would be of no use, and make a group that is stopped as a whole wait for its disks.
        m_replica->retire();
        Event(Level::Info, "replica_leaving")
            .with("voter", m_replica->votes() ? "yes" : "no")
            .with("leader", m_replica->leader());
    });
}

// A replica that is replaced is still a voter, and counts in every quorum until it is removed. Whether it is replaced or only
// restarted is not known, but one that the group can spare makes it weaker by being a silent voter.
void StateServer::leave(TimePoint now)
{
    if (!m_leaveDeadline)
        return;
    if (!m_membershipPolicy) {
        finishLeaving("not_managed");
    } else if (!isMember() && !m_replica->isMembershipChanging()) {
        finishLeaving("no_member");
    } else if (now >= *m_leaveDeadline) {
        finishLeaving("no_answer");
    } else if (m_replica->hasLease(now)) {
        if (m_membershipPolicy->onLeaving(now, m_settings.id, *m_replica) == LeaveVerdict::Stop)
            finishLeaving("allowed");
    } else if (m_replica->leader() != 0 && m_replica->leader() != m_settings.id && now >= m_nextLeaveRequest) {
        m_nextLeaveRequest = now + leaveRequestInterval;
        wire::StateEnvelope envelope;
        envelope.mutable_request()->mutable_leave()->set_id(m_settings.id);
        sendTo(m_replica->leader(), envelope);
    }
}

bool StateServer::isMember() const
{
    const auto& members = m_replica->membership().members();
    return std::any_of(members.begin(), members.end(), [this](const wire::Member& it) { return it.id() == m_settings.id; });
}

void StateServer::finishLeaving(std::string_view reason)
{
    if (std::exchange(m_left, true))
        return;
    Event(Level::Info, "replica_left").with("reason", reason);
    m_hub->stop();
}

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
        addContacts(envelope.reply());
        if (m_leaveDeadline && envelope.reply().leave().may_stop())
            finishLeaving("allowed");
        return;
    }
    // A replica leaves only by its own request.
    if (envelope.request().has_leave() && peer.name != replicaName(envelope.request().leave().id())) {
        Event(Level::Warn, "leave_refused").with("peer", peer.name).with("id", envelope.request().leave().id());
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
    sendJoinRequests(now);
    leave(now);
    logLeadershipChanges();
    runOwnershipPolicy(now);
    runMembershipPolicy(now);
    proposeBatch(now);
    m_replica->tick(now);
    // Sends entries to the followers in parallel with the local sync.
    m_hub->flush(now);
    if (m_store.hasStaged()) {
        stopOnDiskError(m_store.sync());
        m_syncs.Increment();
    }
    if (m_failed)
        return;
    m_replica->synced(monotonicNow());
    if (m_replica->role() != raft::Role::Leader)
        rejectPendingProposals();
    releaseReplies();
    updateMetrics(now);
}

void StateServer::updateMetrics(TimePoint now)
{
    const bool isLeader = m_replica->hasLease(now);
    m_ready = isLeader || m_replica->leader() != 0;
    m_leading.Set(isLeader ? 1 : 0);
    m_commitIndex.Set(static_cast<double>(m_replica->commitIndex()));
    m_term.Set(static_cast<double>(m_replica->term()));
    m_drainedDomains.Set(static_cast<double>(m_registry.drainedDomains().size()));
}

// Keeps the links to configured members, which may be needed before this replica knows a membership.
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
        // Both links have the same identity, of which the peer keeps only the newest link.
        m_hub->disconnect(contactName(it.second));
        if (!m_hub->isConnected(it.first))
            m_hub->connect(it.first, it.second);
    }
    m_memberLinks = wanted;
}

// Returns the name of the link to the replica at `address`, and connects it first if necessary.
std::string StateServer::ensureLink(const std::string& address)
{
    for (const auto& it : m_memberLinks)
        if (it.second == address)
            return it.first;
    if (!m_hub->isConnected(contactName(address)))
        m_hub->connect(contactName(address), address);
    return contactName(address);
}

void StateServer::logLeadershipChanges()
{
    if (m_replica->role() != m_loggedRole) {
        m_loggedRole = m_replica->role();
        Event(Level::Info, "role_changed").with("role", toString(m_loggedRole)).with("term", m_replica->term());
    }
    if (m_replica->leader() == m_loggedLeader)
        return;
    m_loggedLeader = m_replica->leader();
    Event(m_loggedLeader == 0 ? Level::Warn : Level::Info, m_loggedLeader == 0 ? "leader_lost" : "leader_known")
        .with("leader", m_loggedLeader)
        .with("term", m_replica->term());
}

// Sends join requests to all contacts. Only the leader acts on them; other replicas reply with the addresses of the members.
void StateServer::sendJoinRequests(TimePoint now)
{
    if (!m_membershipPolicy || m_leaveDeadline)
        return;
    if (m_replica->leader() != 0)
        m_lastLeaderSeen = now;
    const bool hasRecentLeader = now - m_lastLeaderSeen < leaderlessElectionTimeouts * m_settings.electionTimeout;
    const bool isActiveVoter = m_replica->votes() && hasRecentLeader;
    if (isActiveVoter || now < m_nextJoinRequest) {
        if (isActiveVoter && m_replica->leader() != 0)
            for (const auto& it : m_contacts)
                m_hub->disconnect(contactName(it));
        return;
    }
    m_nextJoinRequest = now + joinRequestInterval;
    wire::StateEnvelope envelope;
    wire::Member* candidate = envelope.mutable_request()->mutable_join()->mutable_candidate();
    candidate->set_id(m_settings.id);
    candidate->set_identity(m_diskIdentity);
    candidate->set_address(m_settings.advertised.text());
    for (const auto& it : m_contacts)
        m_hub->send({ net::Peer::Direction::Connected, ensureLink(it) }, envelope.SerializeAsString());
}

void StateServer::addContacts(const wire::StateReply& reply)
{
    for (const auto& it : reply.member_addresses())
        if (it != m_settings.advertised.text())
            m_contacts.insert(it);
}

void StateServer::runMembershipPolicy(TimePoint now)
{
    if (!m_membershipPolicy || !m_replica->hasLease(now) || m_policyTerm != m_replica->term())
        return;
    const auto change = m_membershipPolicy->next(now, *m_replica);
    if (!change)
        return;
    const bool isAddition = change->kind == MembershipChange::Kind::Add;
    const std::string refusal = isAddition ? m_replica->changeMembership(now, change->member, change->replaces)
                                           : m_replica->removeMember(now, change->member.id());
    Event(Level::Info, isAddition ? "member_added" : "member_removed")
        .with("id", change->member.id())
        .with("address", change->member.address())
        .with("replaces", change->replaces)
        .with("members", static_cast<uint64_t>(m_replica->membership().members_size()))
        .with("refused", refusal.empty() ? "no" : refusal);
}

void StateServer::runOwnershipPolicy(TimePoint now)
{
    if (!m_replica->hasLease(now) || now < m_nextPolicyRun)
        return;
    m_nextPolicyRun = now + policyInterval;
    if (m_policyTerm != m_replica->term()) {
        m_policyTerm = m_replica->term();
        m_ownershipPolicy.startTerm(now, m_policyTerm);
        if (m_membershipPolicy)
            m_membershipPolicy->startTerm(now);
        Event(Level::Info, "leading").with("term", m_policyTerm);
    }
    for (const auto& it : m_ownershipPolicy.assignments(now, m_registry)) {
        Event(Level::Info, "service_assigned").with("service", it.service()).with("owner", it.owner()).with("epoch", it.epoch());
        *m_batch.add_commands()->mutable_assign() = it;
    }
}

void StateServer::replyNotLeader(uint64_t requestId, const ReplyHook& reply) const
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
        replyNotLeader(request.request_id(), reply);
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
        const auto ownership = m_registry.ownerships().find(request.open_claims().service());
        const bool isCurrent
            = ownership != m_registry.ownerships().end() && ownership->second.epoch() == request.open_claims().epoch();
        answer.mutable_open_claims()->set_current(isCurrent);
        if (isCurrent)
            for (const auto& it : m_registry.openClaims(request.open_claims().service()))
                *answer.mutable_open_claims()->add_claims() = it;
    } else if (request.has_lookup()) {
        const wire::StoredClaim* claim = m_registry.find({ request.lookup().team(), request.lookup().id() });
        answer.mutable_lookup()->set_found(claim != nullptr);
        if (claim != nullptr)
            *answer.mutable_lookup()->mutable_claim() = *claim;
    } else if (request.has_membership()) {
        const wire::MembershipRequest& change = request.membership();
        const std::string refusal = change.has_add() && !hasUsableAddress(change.add())
            ? "address: an IP number and a port"
            : m_replica->changeMembership(now, change.add(), change.remove_id());
        answer.mutable_membership()->set_accepted(refusal.empty());
        answer.mutable_membership()->set_reason(refusal);
    } else if (request.has_group_status()) {
        *answer.mutable_group_status() = groupStatus(now);
    } else if (request.has_join()) {
        const wire::Member& candidate = request.join().candidate();
        if (!hasUsableAddress(candidate))
            Event(Level::Warn, "candidate_refused").with("id", candidate.id()).with("address", candidate.address());
        else if (m_membershipPolicy)
            m_membershipPolicy->onCandidate(now, candidate);
    } else if (request.has_leave()) {
        const bool mayStop
            = !m_membershipPolicy || m_membershipPolicy->onLeaving(now, request.leave().id(), *m_replica) == LeaveVerdict::Stop;
        answer.mutable_leave()->set_may_stop(mayStop);
    } else if (request.has_routing()) {
        *answer.mutable_routing()->mutable_routing() = m_registry.routing();
    }
    reply(answer);
}

wire::HeartbeatReply StateServer::heartbeat(TimePoint now, const wire::EntryHeartbeat& heartbeat)
{
    m_ownershipPolicy.onHeartbeat(now, heartbeat);
    wire::HeartbeatReply reply;
    if (heartbeat.known_routing_version() < m_registry.routing().version()) {
        *reply.mutable_routing() = m_registry.routing();
        reply.mutable_routing()->clear_document();
    }
    // A new leader has not received heartbeats of all entries yet. An incomplete list would make entries drop their links to the
    // missing ones. Agents do not drop links for that reason and get the known entries at once.
    const bool isObserver = heartbeat.entry().entry().empty();
    const bool entriesKnown = m_policyTerm == m_replica->term() && (isObserver || m_ownershipPolicy.isGracePeriodOver(now));
    const uint64_t entriesRevision = entriesKnown ? m_ownershipPolicy.entriesRevision(now) : heartbeat.known_entries_revision();
    if (heartbeat.known_revision() == m_registry.revision() && heartbeat.known_entries_revision() == entriesRevision)
        return reply;
    // An observer would take a view without entries for a group that has none. It asks again.
    if (isObserver && !entriesKnown)
        return reply;
    wire::View& view = *reply.mutable_view();
    view = m_registry.view();
    view.set_entries_revision(entriesRevision);
    if (!entriesKnown)
        return reply;
    for (const auto& it : m_ownershipPolicy.liveEntries(now))
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
    for (const auto& it : m_ownershipPolicy.liveHeartbeats(now))
        *status.add_entries() = it;
    return status;
}

void StateServer::onPropose(uint64_t requestId, const wire::ProposeRequest& request, const ReplyHook& reply)
{
    if (request.commands().empty()) {
        wire::StateReply answer;
        answer.set_request_id(requestId);
        answer.mutable_propose();
        reply(answer);
        return;
    }
    m_batchRequests.push_back(PendingRequest {
        reply, requestId, static_cast<size_t>(m_batch.commands_size()), static_cast<size_t>(request.commands_size()) });
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
    std::vector<PendingRequest> requests;
    requests.swap(m_batchRequests);
    if (index) {
        m_pendingProposals[*index] = PendingProposal { m_replica->term(), std::move(requests) };
        return;
    }
    for (const auto& it : requests)
        replyNotLeader(it.requestId, it.reply);
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
    logDomainDrains(batch, results);
    m_commands.Increment(static_cast<double>(results.size()));
    const auto found = m_pendingProposals.find(entry.index());
    if (found == m_pendingProposals.end())
        return;
    for (const auto& it : found->second.requests) {
        if (found->second.term != entry.term()) {
            replyNotLeader(it.requestId, it.reply);
            continue;
        }
        wire::StateReply answer;
        answer.set_request_id(it.requestId);
        wire::ProposeReply* proposed = answer.mutable_propose();
        for (size_t i = 0; i < it.resultCount; ++i)
            *proposed->add_results() = results[it.firstResult + i];
        m_withheldReplies.push_back({ entry.index(), it.requestId, std::move(answer), it.reply });
    }
    m_pendingProposals.erase(found);
}

void StateServer::logDomainDrains(const wire::CommandBatch& batch, const std::vector<wire::CommandResult>& results) const
{
    for (size_t i = 0; i < results.size(); ++i) {
        const wire::Command& command = batch.commands(static_cast<int>(i));
        if (!command.has_set_domain_drain() || results[i].code() == wire::REPEATED)
            continue;
        Event(Level::Info, "domain_drain_changed")
            .with("domain", command.set_domain_drain().domain())
            .with("drained", command.set_domain_drain().drained() ? "yes" : "no")
            .with("refused", results[i].detail().empty() ? "no" : results[i].detail())
            .with("drained_domains", m_registry.drainedDomains().size())
            .with("revision", m_registry.revision());
    }
}

void StateServer::releaseReplies()
{
    while (!m_withheldReplies.empty()) {
        const WithheldReply& next = m_withheldReplies.front();
        if (m_membershipPolicy && !m_membershipPolicy->mayAcknowledge(*m_replica, next.index))
            return;
        next.reply(next.answer);
        m_withheldReplies.pop_front();
    }
}

void StateServer::rejectPendingProposals()
{
    for (const auto& it : m_withheldReplies)
        replyNotLeader(it.requestId, it.reply);
    m_withheldReplies.clear();
    for (const auto& proposal : m_pendingProposals)
        for (const auto& it : proposal.second.requests)
            replyNotLeader(it.requestId, it.reply);
    m_pendingProposals.clear();
}

} // namespace fescuegw::state
