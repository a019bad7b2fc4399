// Log replication, commitment and snapshots.
#include "fescuegw/raft/Replica.h"

#include <algorithm>

namespace fescuegw::raft {

namespace {

    constexpr Duration snapshotResendInterval = std::chrono::seconds(2);
    constexpr int maxEntriesPerAppend = 512;

} // namespace

void Replica::append(wire::LogEntry added)
{
    added.set_index(lastIndex() + 1);
    added.set_term(term());
    m_hooks.saveEntry(added);
    const bool changesMembership = added.has_membership();
    m_entries.push_back(std::move(added));
    if (changesMembership)
        adoptMembership();
}

void Replica::truncateFrom(uint64_t index)
{
    bool changesMembership = false;
    while (!m_entries.empty() && m_entries.back().index() >= index) {
        changesMembership = changesMembership || m_entries.back().has_membership();
        m_entries.pop_back();
    }
    m_syncedIndex = std::min(m_syncedIndex, lastIndex());
    if (changesMembership)
        adoptMembership();
}

void Replica::broadcast(TimePoint now)
{
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    m_roundSentAt[++m_round] = now;
    while (m_roundSentAt.begin()->second + 4 * m_options.electionTimeout < now)
        m_roundSentAt.erase(m_roundSentAt.begin());
    // Check-quorum: the leader steps down when no quorum has answered a round of the last two election timeouts.
    size_t answered = isVoter(m_options.id) ? 1 : 0;
    for (const uint64_t id : voters()) {
        const auto it = m_progress.find(id);
        if (it == m_progress.end())
            continue;
        const TimePoint heard = it->second.answeredRoundSentAt.value_or(m_lastLeaderContact);
        answered += heard + 2 * m_options.electionTimeout > now ? 1 : 0;
    }
    if (answered < quorum()) {
        becomeFollower(now, term(), 0);
        return;
    }
    for (const auto& it : m_progress)
        replicateTo(now, it.first);
}

void Replica::replicateTo(TimePoint now, uint64_t id)
{
    Progress& progress = m_progress[id];
    if (progress.nextIndex <= m_snapshot.index()) {
        sendSnapshot(now, id, progress);
        return;
    }
    wire::RaftMessage m = message(id);
    wire::AppendRequest& request = *m.mutable_append_request();
    request.set_previous_index(progress.nextIndex - 1);
    request.set_previous_term(termAt(progress.nextIndex - 1));
    request.set_commit_index(m_commitIndex);
    request.set_round(m_round);
    size_t bytes = 0;
    while (
        progress.nextIndex <= lastIndex() && bytes < m_options.appendBytesLimit && request.entries_size() < maxEntriesPerAppend) {
        const wire::LogEntry& next = entry(progress.nextIndex);
        bytes += next.command().size();
        *request.add_entries() = next;
        ++progress.nextIndex;
    }
    m_hooks.send(m);
}

void Replica::sendSnapshot(TimePoint now, uint64_t id, Progress& progress)
{
    if (progress.snapshotSentAt && *progress.snapshotSentAt + snapshotResendInterval > now)
        return;
    progress.snapshotSentAt = now;
    wire::RaftMessage m = message(id);
    *m.mutable_snapshot_request()->mutable_snapshot() = m_snapshot;
    m.mutable_snapshot_request()->set_round(m_round);
    m_hooks.send(m);
}

void Replica::onAppendRequest(TimePoint now, const wire::RaftMessage& m)
{
    const wire::AppendRequest& request = m.append_request();
    m_role = Role::Follower;
    m_leader = m.from();
    m_lastLeaderContact = now;
    resetElectionTimer(now);
    wire::RaftMessage answer = message(m.from());
    wire::AppendReply& reply = *answer.mutable_append_reply();
    reply.set_round(request.round());
    const uint64_t previous = request.previous_index();
    const bool matches
        = previous < m_snapshot.index() || (previous <= lastIndex() && termAt(previous) == request.previous_term());
    reply.set_accepted(matches);
    if (!matches) {
        reply.set_match_index(previous > lastIndex() ? lastIndex() : m_commitIndex);
        sendAfterSync(std::move(answer));
        return;
    }
    uint64_t last = previous;
    for (const auto& it : request.entries()) {
        last = it.index();
        if (it.index() <= m_snapshot.index() || termAt(it.index()) == it.term())
            continue;
        truncateFrom(it.index());
        m_hooks.saveEntry(it);
        m_entries.push_back(it);
        if (it.has_membership())
            adoptMembership();
    }
    reply.set_match_index(last);
    sendAfterSync(std::move(answer));
    commitTo(std::min(request.commit_index(), last));
}

void Replica::onAppendReply(TimePoint now, const wire::RaftMessage& m)
{
    const auto found = m_progress.find(m.from());
    if (m_role != Role::Leader || found == m_progress.end())
        return;
    Progress& progress = found->second;
    const wire::AppendReply& reply = m.append_reply();
    progress.identity = m.from_identity();
    const auto sent = m_roundSentAt.find(reply.round());
    if (sent != m_roundSentAt.end() && (!progress.answeredRoundSentAt || *progress.answeredRoundSentAt < sent->second))
        progress.answeredRoundSentAt = sent->second;
    if (!reply.accepted()) {
        progress.nextIndex = std::max(std::min(progress.nextIndex, reply.match_index() + 1), progress.matchIndex + 1);
        replicateTo(now, m.from());
        return;
    }
    progress.snapshotSentAt = std::nullopt;
    progress.matchIndex = std::max(progress.matchIndex, reply.match_index());
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    advanceCommit(now);
}

void Replica::advanceCommit(TimePoint /*now*/)
{
    std::vector<uint64_t> matches;
    for (const uint64_t id : voters())
        matches.push_back(matchIndex(id));
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const size_t needed = quorum();
    if (matches.size() < needed)
        return;
    const uint64_t quorumIndex = matches[needed - 1];
    // Only entries of the current term are committed by counting replicas (Raft, section 5.4.2).
    if (quorumIndex > m_commitIndex && termAt(quorumIndex) == term())
        commitTo(quorumIndex);
    if (!isVoter(m_options.id) && m_commitIndex >= m_membershipIndex)
        m_role = Role::Follower;
}

void Replica::commitTo(uint64_t index)
{
    m_commitIndex = std::max(m_commitIndex, index);
    while (m_appliedIndex < m_commitIndex) {
        ++m_appliedIndex;
        m_appliedBytes += entry(m_appliedIndex).command().size();
        m_hooks.apply(entry(m_appliedIndex));
    }
    const bool large = m_appliedBytes >= m_options.snapshotBytes;
    if (large || m_appliedIndex - m_snapshot.index() >= m_options.snapshotInterval)
        takeSnapshot();
}

void Replica::takeSnapshot()
{
    wire::Snapshot snapshot;
    m_appliedBytes = 0;
    snapshot.set_index(m_appliedIndex);
    snapshot.set_term(termAt(m_appliedIndex));
    // The membership as of the snapshot index, which may be older than the newest one in the log.
    *snapshot.mutable_membership() = m_snapshot.index() > 0 ? m_snapshot.membership() : m_initialMembership;
    for (const auto& it : m_entries)
        if (it.has_membership() && it.index() <= m_appliedIndex)
            *snapshot.mutable_membership() = it.membership();
    snapshot.set_state(m_hooks.captureState());
    std::vector<wire::LogEntry> kept;
    for (auto& it : m_entries)
        if (it.index() > m_appliedIndex)
            kept.push_back(std::move(it));
    m_entries = std::move(kept);
    m_snapshot = std::move(snapshot);
    m_hooks.saveSnapshot(m_snapshot, m_hardState, m_entries);
    adoptMembership();
}

void Replica::onSnapshotRequest(TimePoint now, const wire::RaftMessage& m)
{
    m_role = Role::Follower;
    m_leader = m.from();
    m_lastLeaderContact = now;
    resetElectionTimer(now);
    const wire::Snapshot& snapshot = m.snapshot_request().snapshot();
    wire::RaftMessage answer = message(m.from());
    answer.mutable_append_reply()->set_accepted(true);
    answer.mutable_append_reply()->set_round(m.snapshot_request().round());
    if (snapshot.index() > m_commitIndex) {
        const bool keepsTail = termAt(snapshot.index()) == snapshot.term();
        std::vector<wire::LogEntry> kept;
        for (auto& it : m_entries)
            if (keepsTail && it.index() > snapshot.index())
                kept.push_back(std::move(it));
        m_entries = std::move(kept);
        m_snapshot = snapshot;
        m_hooks.saveSnapshot(m_snapshot, m_hardState, m_entries);
        m_hooks.restore(m_snapshot.state());
        m_commitIndex = snapshot.index();
        m_appliedIndex = snapshot.index();
        m_appliedBytes = 0;
        m_syncedIndex = lastIndex();
        adoptMembership();
    }
    answer.mutable_append_reply()->set_match_index(m_commitIndex);
    sendAfterSync(std::move(answer));
}

bool Replica::hasLease(TimePoint now) const
{
    if (m_role != Role::Leader || !isFormed() || m_commitIndex < m_firstIndexOfTerm)
        return false;
    const Duration lease = m_options.electionTimeout - m_options.clockMargin;
    size_t n = 0;
    for (const uint64_t id : voters()) {
        const auto it = m_progress.find(id);
        const bool confirmed
            = it != m_progress.end() && it->second.answeredRoundSentAt && *it->second.answeredRoundSentAt + lease > now;
        n += id == m_options.id || confirmed ? 1 : 0;
    }
    return n >= quorum();
}

} // namespace fescuegw::raft
