#include "fescuegw/state/MembershipPolicy.h"

#include <algorithm>

#include "fescuegw/settings/Settings.h"

namespace fescuegw::state {

namespace {

    const wire::Member* findMember(const wire::Membership& membership, uint64_t id)
    {
        const auto it = std::find_if(membership.members().begin(), membership.members().end(),
            [id](const wire::Member& member) { return member.id() == id; });
        return it == membership.members().end() ? nullptr : &*it;
    }

} // namespace

bool hasUsableAddress(const wire::Member& member) { return settings::parseAddress(member.address()).has_value(); }

MembershipPolicy::MembershipPolicy(MembershipOptions options)
    : m_options(options)
{
}

void MembershipPolicy::startTerm(TimePoint now)
{
    m_termStart = now;
    m_candidates.clear();
    m_leaving.clear();
    m_firstSeen.clear();
}

void MembershipPolicy::onCandidate(TimePoint now, const wire::Member& member)
{
    Candidate& candidate = m_candidates.try_emplace(member.id(), Candidate { member, now, now }).first->second;
    candidate.lastRequest = now;
}

// A voter that ends without being removed leaves a group with a surplus voter weaker by one loss. One that is replaced by a
// member which has not caught up yet is not spare until then.
LeaveVerdict MembershipPolicy::onLeaving(TimePoint now, uint64_t id, const raft::Replica& replica)
{
    const wire::Membership& membership = replica.membership();
    const wire::Member* member = findMember(membership, id);
    if (member == nullptr)
        return replica.isMembershipChanging() ? LeaveVerdict::Wait : LeaveVerdict::Stop;
    const auto joins = [id](const wire::Member& it) { return it.id() != id && !it.voter() && it.replaces() == 0; };
    const bool mayBecomeSpare = replica.isMembershipChanging() || !m_candidates.empty()
        || std::any_of(membership.members().begin(), membership.members().end(), joins);
    if (member->voter() && !hasSurplusVoters(membership) && !mayBecomeSpare)
        return LeaveVerdict::Stop;
    m_leaving[id] = now;
    return LeaveVerdict::Wait;
}

// A group of 2n + 2 voters bears the loss of n, like one of 2n + 1. One of its voters may be replaced and gone for good without a
// word, so an entry is acknowledged when all of them have it, or when the group has removed one. That removal counts once it has
// been committed: until then it may be lost with the disk of the leader.
bool MembershipPolicy::mayAcknowledge(const raft::Replica& replica, uint64_t index) const
{
    if (replica.isMembershipChanging())
        return false;
    const auto& members = replica.membership().members();
    return !hasSurplusVoters(replica.membership()) || std::all_of(members.begin(), members.end(), [&](const wire::Member& it) {
        return !it.voter() || replica.matchIndex(it.id()) >= index;
    });
}

bool MembershipPolicy::hasSurplusVoters(const wire::Membership& membership) const
{
    const auto voters = std::count_if(
        membership.members().begin(), membership.members().end(), [](const wire::Member& it) { return it.voter(); });
    return static_cast<size_t>(voters) > m_options.minVoters;
}

std::optional<MembershipChange> MembershipPolicy::next(TimePoint now, const raft::Replica& replica)
{
    std::erase_if(m_leaving, [&](const auto& it) { return now - it.second > m_options.leaveExpiry; });
    std::erase_if(m_candidates, [&](const auto& it) { return now - it.second.lastRequest > m_options.candidateExpiry; });
    if (replica.isMembershipChanging())
        return std::nullopt;
    // An unresponsive learner would delay a change that can succeed, so it is removed before another member is added.
    if (auto change = chooseRemoval(now, replica))
        return change;
    return chooseAddition(now, replica);
}

std::optional<MembershipChange> MembershipPolicy::chooseAddition(TimePoint now, const raft::Replica& replica)
{
    const wire::Membership& membership = replica.membership();
    for (const auto& it : m_candidates) {
        const Candidate& candidate = it.second;
        const wire::Member* known = findMember(membership, it.first);
        if (known != nullptr || candidate.lastRequest - candidate.firstRequest < m_options.candidateSpacing
            || now < candidate.firstRequest)
            continue;
        MembershipChange change { MembershipChange::Kind::Add, candidate.member, 0 };
        const auto replaced = std::find_if(membership.members().begin(), membership.members().end(),
            [&](const wire::Member& member) { return member.address() == candidate.member.address(); });
        if (replaced != membership.members().end()) {
            // The candidate claims that the member has lost its disk. That is not so if the member has answered since, and one
            // that has ended later is silent.
            const auto answered = replica.answeredAt(replaced->id());
            const bool isThere = replaced->id() == replica.leader()
                || (answered > candidate.firstRequest && now - *answered <= m_options.silenceTimeout);
            if (isThere)
                continue;
            change.replaces = replaced->id();
        }
        return change;
    }
    return std::nullopt;
}

TimePoint MembershipPolicy::lastHeardFrom(TimePoint now, const raft::Replica& replica, const wire::Member& member)
{
    const TimePoint firstSeen = m_firstSeen.try_emplace(member.id(), now).first->second;
    return std::max({ m_termStart, firstSeen, replica.answeredAt(member.id()).value_or(m_termStart) });
}

std::optional<MembershipChange> MembershipPolicy::chooseRemoval(TimePoint now, const raft::Replica& replica)
{
    const auto& members = replica.membership().members();
    // A member that is removed and added again gets a full silence time-out.
    std::erase_if(m_firstSeen, [&](const auto& it) { return findMember(replica.membership(), it.first) == nullptr; });
    const bool hasSurplus = hasSurplusVoters(replica.membership());
    for (const auto& it : members)
        if (m_leaving.contains(it.id()) && (!it.voter() || hasSurplus))
            return MembershipChange { MembershipChange::Kind::Remove, it, 0 };
    const wire::Member* mostSilent = nullptr;
    TimePoint mostSilentSince = now - m_options.silenceTimeout;
    for (const auto& it : members) {
        if (it.id() == replica.leader())
            continue;
        const TimePoint lastHeard = lastHeardFrom(now, replica, it);
        if (lastHeard > mostSilentSince || (it.voter() && !hasSurplus))
            continue;
        mostSilent = &it;
        mostSilentSince = lastHeard;
    }
    if (mostSilent == nullptr)
        return std::nullopt;
    return MembershipChange { MembershipChange::Kind::Remove, *mostSilent, 0 };
}

} // namespace fescuegw::state
