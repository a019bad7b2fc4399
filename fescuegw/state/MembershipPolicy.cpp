#include "fescuegw/state/MembershipPolicy.h"

#include <algorithm>

namespace fescuegw::state {

namespace {

    const wire::Member* findMember(const wire::Membership& membership, uint64_t id)
    {
        const auto it = std::find_if(membership.members().begin(), membership.members().end(),
            [id](const wire::Member& member) { return member.id() == id; });
        return it == membership.members().end() ? nullptr : &*it;
    }

} // namespace

MembershipPolicy::MembershipPolicy(MembershipOptions options)
    : m_options(options)
{
}

void MembershipPolicy::startTerm(TimePoint now)
{
    m_termStart = now;
    m_candidates.clear();
    m_firstSeen.clear();
}

void MembershipPolicy::onCandidate(TimePoint now, const wire::Member& member)
{
    Candidate& candidate = m_candidates.try_emplace(member.id(), Candidate { member, now, now }).first->second;
    candidate.last = now;
}

std::optional<MembershipChange> MembershipPolicy::next(TimePoint now, const raft::Replica& replica)
{
    std::erase_if(m_candidates, [&](const auto& it) { return now - it.second.last > m_options.candidateExpiry; });
    if (replica.isMembershipChanging())
        return std::nullopt;
    // A silent learner keeps the group from a change that could succeed, so it goes before another comes.
    if (auto change = removal(now, replica))
        return change;
    return addition(now, replica.membership());
}

std::optional<MembershipChange> MembershipPolicy::addition(TimePoint now, const wire::Membership& membership)
{
    for (const auto& it : m_candidates) {
        const Candidate& candidate = it.second;
        const wire::Member* known = findMember(membership, it.first);
        if (known != nullptr || candidate.last - candidate.first < m_options.candidateSpacing || now < candidate.first)
            continue;
        MembershipChange change { MembershipChange::Kind::Add, candidate.member, 0 };
        for (const auto& member : membership.members())
            if (member.address() == candidate.member.address())
                change.replaces = member.id();
        return change;
    }
    return std::nullopt;
}

TimePoint MembershipPolicy::heard(TimePoint now, const raft::Replica& replica, const wire::Member& member)
{
    const TimePoint first = m_firstSeen.try_emplace(member.id(), now).first->second;
    return std::max({ m_termStart, first, replica.answeredAt(member.id()).value_or(m_termStart) });
}

std::optional<MembershipChange> MembershipPolicy::removal(TimePoint now, const raft::Replica& replica)
{
    const auto& members = replica.membership().members();
    // A member that comes back has its time anew.
    std::erase_if(m_firstSeen, [&](const auto& it) { return findMember(replica.membership(), it.first) == nullptr; });
    const auto voters = std::count_if(members.begin(), members.end(), [](const wire::Member& it) { return it.voter(); });
    const bool surplus = static_cast<size_t>(voters) > m_options.voters;
    const wire::Member* longest = nullptr;
    TimePoint longestHeard = now - m_options.silence;
    for (const auto& it : members) {
        if (it.id() == replica.leader())
            continue;
        const TimePoint last = heard(now, replica, it);
        if (last > longestHeard || (it.voter() && !surplus))
            continue;
        longest = &it;
        longestHeard = last;
    }
    if (longest == nullptr)
        return std::nullopt;
    return MembershipChange { MembershipChange::Kind::Remove, *longest, 0 };
}

} // namespace fescuegw::state
