// Group membership: initial formation, disk identities and replacement of members.
#include "fescuegw/raft/Replica.h"

#include <algorithm>

namespace fescuegw::raft {

namespace {

    bool knowsAllIdentities(const wire::Membership& membership)
    {
        const auto known = [](const wire::Member& it) { return !it.voter() || it.identity() != 0; };
        return !membership.members().empty() && std::all_of(membership.members().begin(), membership.members().end(), known);
    }

} // namespace

void Replica::adoptMembership()
{
    m_membership = m_snapshot.index() > 0 ? m_snapshot.membership() : m_initialMembership;
    m_membershipIndex = m_snapshot.index();
    for (const auto& it : m_entries) {
        if (!it.has_membership())
            continue;
        m_membership = it.membership();
        m_membershipIndex = it.index();
    }
    if (m_role != Role::Leader)
        return;
    for (const auto& it : m_membership.members())
        if (it.id() != m_options.id && !m_progress.contains(it.id()))
            m_progress[it.id()].nextIndex = lastIndex() + 1;
    std::erase_if(m_progress, [this](const auto& it) { return member(it.first) == nullptr; });
}

// Until the first membership with all identities has committed (which an entry after it proves after a restart), a quorum is
// all members, so that a replica with a wiped disk can't help to elect a leader that lacks committed entries.
bool Replica::isFormed() const
{
    if (m_snapshot.index() > 0 && knowsAllIdentities(m_snapshot.membership()))
        return true;
    const auto formed = std::find_if(
        m_entries.begin(), m_entries.end(), [](const wire::LogEntry& it) { return knowsAllIdentities(it.membership()); });
    return formed != m_entries.end() && (formed->index() <= m_commitIndex || formed->index() < lastIndex());
}

const wire::Member* Replica::member(uint64_t id) const
{
    const auto it = std::find_if(m_membership.members().begin(), m_membership.members().end(),
        [id](const wire::Member& member) { return member.id() == id; });
    return it == m_membership.members().end() ? nullptr : &*it;
}

// A replica whose disk is not the one recorded for its id in the membership has lost its votes and takes no part.
bool Replica::isDiskReplaced() const
{
    const wire::Member* self = member(m_options.id);
    return self != nullptr && self->identity() != 0 && self->identity() != m_options.identity;
}

bool Replica::isVoter(uint64_t id) const
{
    const wire::Member* found = member(id);
    return found != nullptr && found->voter() && (id != m_options.id || !isDiskReplaced());
}

bool Replica::acceptsSender(const wire::RaftMessage& m) const
{
    const wire::Member* sender = member(m.from());
    if (sender == nullptr)
        return m.has_append_request() || m.has_snapshot_request() || m.has_vote_request();
    return sender->identity() == 0 || sender->identity() == m.from_identity();
}

std::vector<uint64_t> Replica::voters() const
{
    std::vector<uint64_t> ids;
    for (const auto& it : m_membership.members())
        if (it.voter())
            ids.push_back(it.id());
    return ids;
}

size_t Replica::quorum() const
{
    const size_t n = voters().size();
    return isFormed() ? n / 2 + 1 : n;
}

uint64_t Replica::matchIndex(uint64_t id) const
{
    if (id == m_options.id)
        return m_syncedIndex;
    const auto it = m_progress.find(id);
    return it == m_progress.end() ? 0 : it->second.matchIndex;
}

void Replica::appendMembership(const wire::Membership& membership)
{
    wire::LogEntry change;
    *change.mutable_membership() = membership;
    append(std::move(change));
}

std::string Replica::changeMembership(TimePoint now, const wire::Member& added, uint64_t replaces)
{
    if (!hasLease(now))
        return "this replica does not lead";
    if (const wire::Member* existing = member(added.id()))
        return existing->address() == added.address() && existing->replaces() == replaces
            ? ""
            : "replica " + std::to_string(added.id()) + " is a member already; ids are never used again";
    if (replaces != 0 && member(replaces) == nullptr)
        return "replica " + std::to_string(replaces) + " is not a member";
    if (isMembershipChanging())
        return "another change of membership is under way";
    wire::Membership next = m_membership;
    wire::Member* joining = next.add_members();
    *joining = added;
    joining->set_identity(0);
    joining->set_voter(false);
    joining->set_replaces(replaces);
    appendMembership(next);
    return "";
}

std::string Replica::removeMember(TimePoint now, uint64_t id)
{
    if (!hasLease(now))
        return "this replica does not lead";
    if (member(id) == nullptr)
        return "replica " + std::to_string(id) + " is not a member";
    if (isMembershipChanging())
        return "another change of membership is under way";
    wire::Membership next;
    for (const auto& it : m_membership.members()) {
        if (it.id() == id)
            continue;
        wire::Member* kept = next.add_members();
        *kept = it;
        if (kept->replaces() == id)
            kept->set_replaces(0);
    }
    appendMembership(next);
    return "";
}

std::optional<TimePoint> Replica::answeredAt(uint64_t id) const
{
    const auto it = m_progress.find(id);
    return it == m_progress.end() ? std::nullopt : it->second.answeredRoundSentAt;
}

// The remaining steps of a change are derived from the membership itself, so that a new leader can continue it.
void Replica::advanceMembership(TimePoint /*now*/)
{
    if (m_role != Role::Leader || isMembershipChanging() || m_commitIndex < m_firstIndexOfTerm)
        return;
    wire::Membership next = m_membership;
    for (auto& it : *next.mutable_members()) {
        const auto found = m_progress.find(it.id());
        if (it.voter() || found == m_progress.end())
            continue;
        const Progress& progress = found->second;
        if (progress.identity == 0 || progress.matchIndex == 0 || progress.matchIndex < m_commitIndex)
            continue;
        it.set_voter(true);
        it.set_identity(progress.identity);
        appendMembership(next);
        return;
    }
    for (const auto& it : m_membership.members()) {
        if (!it.voter() || it.replaces() == 0)
            continue;
        const uint64_t replaced = it.replaces();
        next.clear_members();
        for (const auto& other : m_membership.members()) {
            if (other.id() == replaced)
                continue;
            wire::Member* kept = next.add_members();
            *kept = other;
            if (kept->replaces() == replaced)
                kept->set_replaces(0);
        }
        appendMembership(next);
        return;
    }
}

} // namespace fescuegw::raft
