// Leader election and the entry points of a replica. Replication and membership are in Replication.cpp and Membership.cpp.
#include "fescuegw/raft/Replica.h"

#include <algorithm>

namespace fescuegw::raft {

std::string_view toString(Role role)
{
    switch (role) {
    case Role::Follower:
        return "follower";
    case Role::PreCandidate:
        return "pre-candidate";
    case Role::Candidate:
        return "candidate";
    case Role::Leader:
        return "leader";
    }
    return "follower";
}

Replica::Replica(ReplicaOptions options, DurableState state, ReplicaHooks hooks, TimePoint now)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_hardState(std::move(state.hardState))
    , m_snapshot(std::move(state.snapshot))
    , m_entries(std::move(state.entries))
    , m_initialMembership(std::move(state.initialMembership))
    // The replica may have confirmed a leader's lease just before it stopped, so it must not vote until that has expired.
    , m_lastLeaderContact(now)
    , m_nextHeartbeat(now)
{
    m_commitIndex = m_snapshot.index();
    m_appliedIndex = m_snapshot.index();
    m_syncedIndex = lastIndex();
    if (m_snapshot.index() > 0)
        m_hooks.restore(m_snapshot.state());
    adoptMembership();
    resetElectionTimer(now);
}

uint64_t Replica::lastIndex() const { return m_entries.empty() ? m_snapshot.index() : m_entries.back().index(); }

const wire::LogEntry& Replica::entry(uint64_t index) const { return m_entries[index - m_snapshot.index() - 1]; }

uint64_t Replica::termAt(uint64_t index) const
{
    if (index == m_snapshot.index())
        return m_snapshot.term();
    if (index < m_snapshot.index() || index > lastIndex())
        return 0;
    return entry(index).term();
}

void Replica::saveHardState(uint64_t term, uint64_t votedFor)
{
    m_hardState.set_term(term);
    m_hardState.set_voted_for(votedFor);
    m_hooks.saveHardState(m_hardState);
}

wire::RaftMessage Replica::message(uint64_t to) const
{
    wire::RaftMessage message;
    message.set_from(m_options.id);
    message.set_from_identity(m_options.identity);
    message.set_to(to);
    message.set_term(term());
    return message;
}

void Replica::sendAfterSync(wire::RaftMessage message) { m_messagesAfterSync.push_back(std::move(message)); }

void Replica::resetElectionTimer(TimePoint now)
{
    const auto spread = static_cast<uint64_t>(m_options.electionTimeout.count());
    m_electionDeadline = now + m_options.electionTimeout + Duration(static_cast<int64_t>(m_hooks.random(spread)));
}

bool Replica::heardFromLeader(TimePoint now) const
{
    return m_role == Role::Leader || now - m_lastLeaderContact < m_options.electionTimeout;
}

void Replica::tick(TimePoint now)
{
    if (m_role == Role::Leader) {
        if (now >= m_nextHeartbeat)
            broadcast(now);
        for (auto& it : m_progress)
            if (it.second.nextIndex <= lastIndex())
                replicateTo(now, it.first);
        advanceMembership(now);
        return;
    }
    if (now >= m_electionDeadline)
        startElection(now, true);
}

void Replica::startElection(TimePoint now, bool preVote)
{
    resetElectionTimer(now);
    if (!isVoter(m_options.id) || m_retired)
        return;
    m_leader = 0;
    m_role = preVote ? Role::PreCandidate : Role::Candidate;
    m_votes.clear();
    if (!preVote)
        saveHardState(term() + 1, m_options.id);
    // A candidate's vote for itself counts once it is on disk: see `synced`.
    if (preVote)
        m_votes[m_options.id] = m_options.identity;
    for (const uint64_t id : voters()) {
        if (id == m_options.id)
            continue;
        wire::RaftMessage request = message(id);
        request.set_term(preVote ? term() + 1 : term());
        request.mutable_vote_request()->set_pre_vote(preVote);
        request.mutable_vote_request()->set_last_index(lastIndex());
        request.mutable_vote_request()->set_last_term(termAt(lastIndex()));
        sendAfterSync(std::move(request));
    }
    countVotes(now);
}

void Replica::countVotes(TimePoint now)
{
    if (m_role != Role::PreCandidate && m_role != Role::Candidate)
        return;
    size_t n = 0;
    for (const uint64_t id : voters())
        n += m_votes.contains(id) ? 1 : 0;
    if (n < quorum())
        return;
    if (m_role == Role::PreCandidate)
        startElection(now, false);
    else
        becomeLeader(now);
}

void Replica::synced(TimePoint now)
{
    m_syncedIndex = lastIndex();
    if (m_role == Role::Candidate) {
        m_votes[m_options.id] = m_options.identity;
        countVotes(now);
    }
    std::vector<wire::RaftMessage> messages;
    messages.swap(m_messagesAfterSync);
    for (const auto& it : messages)
        m_hooks.send(it);
    if (m_role == Role::Leader)
        advanceCommit(now);
}

void Replica::receive(TimePoint now, const wire::RaftMessage& m)
{
    if (m.to() != m_options.id || !acceptsSender(m))
        return;
    const bool fromLeader = m.has_append_request() || m.has_snapshot_request();
    if (m.has_vote_request()) {
        onVoteRequest(now, m);
        return;
    }
    const bool grantedPreVote = m.has_vote_reply() && m.vote_reply().pre_vote() && m.vote_reply().granted();
    if (m.term() > term() && !grantedPreVote)
        becomeFollower(now, m.term(), fromLeader ? m.from() : 0);
    if (m.term() < term()) {
        if (!fromLeader)
            return;
        // Tells a stale leader about the newer term.
        wire::RaftMessage reply = message(m.from());
        reply.mutable_append_reply()->set_accepted(false);
        sendAfterSync(std::move(reply));
        return;
    }
    if (m.has_vote_reply())
        onVoteReply(now, m);
    else if (m.has_append_request())
        onAppendRequest(now, m);
    else if (m.has_append_reply())
        onAppendReply(now, m);
    else if (m.has_snapshot_request())
        onSnapshotRequest(now, m);
}

void Replica::onVoteRequest(TimePoint now, const wire::RaftMessage& m)
{
    const wire::VoteRequest& request = m.vote_request();
    // While a leader's lease may hold, grants no votes and does not adopt the higher term of a host that was partitioned.
    if (heardFromLeader(now) && m.term() >= term())
        return;
    if (!request.pre_vote() && m.term() > term())
        becomeFollower(now, m.term(), 0);
    const uint64_t lastTerm = termAt(lastIndex());
    const bool upToDate
        = request.last_term() > lastTerm || (request.last_term() == lastTerm && request.last_index() >= lastIndex());
    const bool voteAvailable = m_hardState.voted_for() == 0 || m_hardState.voted_for() == m.from();
    const bool eligible = request.pre_vote() ? m.term() > term() : m.term() == term() && voteAvailable;
    // The candidate decides whether this replica is a voter, since its membership may be newer. Only a replica whose disk was
    // replaced never grants a vote.
    const bool granted = eligible && upToDate && !isDiskReplaced();
    wire::RaftMessage reply = message(m.from());
    reply.mutable_vote_reply()->set_pre_vote(request.pre_vote());
    reply.mutable_vote_reply()->set_granted(granted);
    if (granted && request.pre_vote())
        reply.set_term(m.term());
    if (granted && !request.pre_vote()) {
        saveHardState(term(), m.from());
        resetElectionTimer(now);
    }
    sendAfterSync(std::move(reply));
}

void Replica::onVoteReply(TimePoint now, const wire::RaftMessage& m)
{
    const wire::VoteReply& reply = m.vote_reply();
    const Role expected = reply.pre_vote() ? Role::PreCandidate : Role::Candidate;
    const uint64_t expectedTerm = reply.pre_vote() ? term() + 1 : term();
    if (m_role != expected || !reply.granted() || m.term() != expectedTerm)
        return;
    m_votes[m.from()] = m.from_identity();
    countVotes(now);
}

void Replica::becomeFollower(TimePoint now, uint64_t newTerm, uint64_t leader)
{
    if (newTerm > term())
        saveHardState(newTerm, 0);
    if (m_role == Role::Leader)
        resetElectionTimer(now);
    m_role = Role::Follower;
    m_leader = leader;
    m_progress.clear();
}

void Replica::becomeLeader(TimePoint now)
{
    m_role = Role::Leader;
    m_leader = m_options.id;
    m_progress.clear();
    m_roundSentAt.clear();
    for (const auto& it : m_membership.members()) {
        if (it.id() == m_options.id)
            continue;
        Progress progress;
        progress.nextIndex = lastIndex() + 1;
        progress.identity = m_votes.contains(it.id()) ? m_votes[it.id()] : it.identity();
        // Until the first reply, check-quorum counts from the election.
        progress.answeredRoundSentAt = std::nullopt;
        m_progress[it.id()] = progress;
    }
    m_lastLeaderContact = now;
    m_firstIndexOfTerm = lastIndex() + 1;
    wire::LogEntry first;
    if (!isFormed()) {
        // The first leader was elected by all members, so it knows every disk's identity and can record them.
        wire::Membership formed = m_membership;
        for (auto& it : *formed.mutable_members())
            it.set_identity(m_votes.contains(it.id()) ? m_votes[it.id()] : 0);
        *first.mutable_membership() = formed;
    }
    append(std::move(first));
    broadcast(now);
}

std::optional<uint64_t> Replica::propose(TimePoint /*now*/, std::string command)
{
    // After a restart, an entry after the first complete membership marks the group as formed (see `isFormed`), so no command
    // may be appended before that membership has committed.
    if (m_role != Role::Leader || !isFormed() || m_commitIndex < m_firstIndexOfTerm)
        return std::nullopt;
    wire::LogEntry proposed;
    proposed.set_command(std::move(command));
    append(std::move(proposed));
    return lastIndex();
}

} // namespace fescuegw::raft
