#include "fescuegw/registry/Registry.h"

#include <algorithm>

namespace fescuegw::registry {

namespace {

    wire::CommandResult result(wire::ResultCode code, const std::string& detail = "")
    {
        wire::CommandResult result;
        result.set_code(code);
        result.set_detail(detail);
        return result;
    }

    // Returns a digest by which the reuse of a change id for another change is detected.
    std::string changeDigest(const wire::ApplyConfiguration& change)
    {
        return contentDigest(change.configuration().SerializeAsString());
    }

} // namespace

Registry::Registry(Limits limits)
    : m_limits(limits)
{
}

std::vector<wire::CommandResult> Registry::apply(const wire::CommandBatch& batch)
{
    m_timeMs = std::max(m_timeMs, batch.time_ms());
    std::vector<wire::CommandResult> results;
    results.reserve(static_cast<size_t>(batch.commands_size()));
    for (const auto& it : batch.commands())
        results.push_back(applyOne(it));
    expire();
    return results;
}

wire::CommandResult Registry::applyOne(const wire::Command& command)
{
    switch (command.body_case()) {
    case wire::Command::kApply:
        return apply(command.apply());
    case wire::Command::kClaim:
        return apply(command.claim());
    case wire::Command::kOutcome:
        return apply(command.outcome());
    case wire::Command::kEnrol:
        return enrol(command.enrol());
    case wire::Command::kRetire:
        return retire(command.retire());
    case wire::Command::kAssign:
        return assign(command.assign());
    case wire::Command::kReplaceRouting:
        return replaceRouting(command.replace_routing());
    case wire::Command::kSetDomainDrain:
        return setDomainDrain(command.set_domain_drain());
    case wire::Command::BODY_NOT_SET:
        break;
    }
    return result(wire::UNKNOWN, "a command of a later version");
}

wire::CommandResult Registry::apply(const wire::ApplyConfiguration& change)
{
    const std::string digest = changeDigest(change);
    const auto repeated = m_changes.find(change.change_id());
    if (repeated != m_changes.end()) {
        if (repeated->second.digest() == digest)
            return repeated->second.result();
        return result(wire::CONFLICT, "change id " + change.change_id() + " was used for another change");
    }
    const wire::TeamConfiguration& next = change.configuration();
    const auto current = m_teams.find(next.team());
    const uint64_t version = current == m_teams.end() ? 0 : current->second.version();
    wire::ChangeRecord record;
    record.set_change_id(change.change_id());
    record.set_digest(digest);
    if (next.version() != version + 1) {
        wire::CommandResult& refused = *record.mutable_result();
        const std::string setBy = current == m_teams.end() ? "nothing" : "change " + current->second.change_id();
        refused = result(wire::CONFLICT,
            "version " + std::to_string(version) + " is in force, set by " + setBy + "; the next is "
                + std::to_string(version + 1));
        refused.set_version(m_configurationVersion);
        recordChange(record);
        return record.result();
    }
    wire::TeamConfiguration& stored = m_teams[next.team()];
    stored = next;
    stored.set_change_id(change.change_id());
    ++m_configurationVersion;
    ++m_revision;
    *record.mutable_result() = result(wire::ACCEPTED);
    record.mutable_result()->set_version(m_configurationVersion);
    recordChange(record);
    return record.result();
}

// Operators retry a change whose answer was lost, on any replica, so a version that is not newer is accepted without effect.
wire::CommandResult Registry::replaceRouting(const wire::Routing& next)
{
    const bool newer = next.version() > m_routing.version();
    if (newer)
        m_routing = next;
    wire::CommandResult accepted = result(newer ? wire::ACCEPTED : wire::REPEATED);
    accepted.set_version(m_routing.version());
    return accepted;
}

// The last order for a domain holds. An order that changes nothing is accepted, since operators repeat orders whose answer was
// lost.
wire::CommandResult Registry::setDomainDrain(const wire::SetDomainDrain& order)
{
    if (!isValidName(order.domain()))
        return result(wire::CONFLICT, "domain: a name of letters, digits and . _ -");
    const bool drained = m_drainedDomains.contains(order.domain());
    if (drained == order.drained())
        return result(wire::REPEATED);
    if (order.drained() && m_drainedDomains.size() >= m_limits.drainedDomains)
        return result(wire::CONFLICT, "at most " + std::to_string(m_limits.drainedDomains) + " domains may be drained");
    if (order.drained())
        m_drainedDomains.insert(order.domain());
    else
        m_drainedDomains.erase(order.domain());
    ++m_revision;
    return result(wire::ACCEPTED);
}

void Registry::recordChange(const wire::ChangeRecord& record)
{
    m_changes[record.change_id()] = record;
    m_changeOrder.push_back(record.change_id());
    while (m_changeOrder.size() > m_limits.changes) {
        m_changes.erase(m_changeOrder.front());
        m_changeOrder.pop_front();
    }
}

bool Registry::isCurrentOwner(const std::string& service, const std::string& owner, uint64_t epoch) const
{
    const auto it = m_ownerships.find(service);
    return it != m_ownerships.end() && it->second.owner() == owner && it->second.epoch() == epoch;
}

wire::CommandResult Registry::apply(const wire::Claim& claim)
{
    const auto existing = m_claims.find({ claim.team(), claim.id() });
    if (existing != m_claims.end()) {
        const wire::StoredClaim& stored = existing->second;
        if (stored.claim().digest() != claim.digest())
            return result(wire::CONFLICT, "this id was submitted with other content");
        if (!stored.finished()) {
            // A former owner must not treat a claim of its successor as its own.
            if (!isCurrentOwner(claim.service(), claim.owner(), claim.epoch()))
                return result(wire::STALE_OWNER);
            wire::CommandResult open = result(wire::OPEN);
            open.set_epoch(stored.claim().epoch());
            return open;
        }
        wire::CommandResult finished = result(stored.answer_expired() ? wire::EXPIRED : wire::FINISHED);
        *finished.mutable_outcome() = stored.outcome();
        return finished;
    }
    if (!isCurrentOwner(claim.service(), claim.owner(), claim.epoch()))
        return result(wire::STALE_OWNER);
    *m_claims[{ claim.team(), claim.id() }].mutable_claim() = claim;
    return result(wire::ACCEPTED);
}

wire::CommandResult Registry::apply(const wire::Outcome& outcome)
{
    const SubmissionKey key { outcome.team(), outcome.id() };
    const auto it = m_claims.find(key);
    if (it == m_claims.end())
        return result(wire::UNKNOWN, "no such claim");
    wire::StoredClaim& stored = it->second;
    if (stored.finished()) {
        wire::CommandResult finished = result(wire::FINISHED);
        *finished.mutable_outcome() = stored.outcome();
        return finished;
    }
    if (!isCurrentOwner(outcome.service(), outcome.owner(), outcome.epoch()))
        return result(wire::STALE_OWNER);
    *stored.mutable_outcome() = outcome;
    stored.set_finished(true);
    stored.set_finished_ms(m_timeMs);
    // Task inputs are needed only while tasks may still be started.
    stored.mutable_claim()->clear_tasks();
    m_answerBytes += outcome.ByteSizeLong();
    m_finished.push_back(key);
    return result(wire::ACCEPTED);
}

bool Registry::isCurrentEpoch(const wire::Enrolment& enrolment) const
{
    const auto it = m_ownerships.find(enrolment.service());
    return it != m_ownerships.end() && it->second.epoch() == enrolment.epoch();
}

wire::CommandResult Registry::enrol(const wire::Enrolment& enrolment)
{
    // A new owner must know every agent that a former owner may dispatch to, so former owners can't enrol agents.
    if (!isCurrentEpoch(enrolment))
        return result(wire::STALE_OWNER);
    const bool added
        = m_enrolments[enrolment.service()].try_emplace({ enrolment.agent(), enrolment.incarnation() }, enrolment).second;
    m_revision += added ? 1 : 0;
    return result(added ? wire::ACCEPTED : wire::REPEATED);
}

wire::CommandResult Registry::retire(const wire::Enrolment& enrolment)
{
    if (!isCurrentEpoch(enrolment))
        return result(wire::STALE_OWNER);
    const size_t removed = m_enrolments[enrolment.service()].erase({ enrolment.agent(), enrolment.incarnation() });
    m_revision += removed;
    return result(removed > 0 ? wire::ACCEPTED : wire::REPEATED);
}

wire::CommandResult Registry::assign(const wire::Ownership& next)
{
    wire::Ownership& current = m_ownerships[next.service()];
    if (next.epoch() != current.epoch() + 1)
        return result(wire::CONFLICT, "epoch " + std::to_string(current.epoch()) + " is in force");
    current = next;
    ++m_revision;
    return result(wire::ACCEPTED);
}

void Registry::expire()
{
    while (!m_finished.empty()) {
        const auto it = m_claims.find(m_finished.front());
        const bool expired = it->second.finished_ms() + m_limits.retentionMs <= m_timeMs;
        if (!expired && m_claims.size() <= m_limits.claims)
            break;
        if (m_firstHeldAnswer == 0) {
            m_answerBytes -= it->second.outcome().ByteSizeLong();
            ++m_expiredAnswers;
        } else {
            --m_firstHeldAnswer;
        }
        m_claims.erase(it);
        m_finished.pop_front();
        ++m_expiredClaims;
    }
    while (m_answerBytes > m_limits.answerBytes && m_firstHeldAnswer < m_finished.size()) {
        wire::StoredClaim& stored = m_claims[m_finished[m_firstHeldAnswer]];
        m_answerBytes -= stored.outcome().ByteSizeLong();
        stored.mutable_outcome()->clear_tasks();
        stored.set_answer_expired(true);
        ++m_firstHeldAnswer;
        ++m_expiredAnswers;
    }
}

std::string Registry::capture() const
{
    wire::RegistryState state;
    state.set_configuration_version(m_configurationVersion);
    state.set_revision(m_revision);
    state.set_time_ms(m_timeMs);
    *state.mutable_routing() = m_routing;
    for (const auto& it : m_drainedDomains)
        state.add_drained_domains(it);
    for (const auto& it : m_teams)
        *state.add_teams() = it.second;
    for (const auto& it : m_ownerships)
        *state.add_ownerships() = it.second;
    for (const auto& service : m_enrolments)
        for (const auto& it : service.second)
            *state.add_enrolments() = it.second;
    for (const auto& it : m_finished)
        *state.add_claims() = m_claims.at(it);
    for (const auto& it : m_claims)
        if (!it.second.finished())
            *state.add_claims() = it.second;
    for (const auto& it : m_changeOrder)
        *state.add_changes() = m_changes.at(it);
    return state.SerializeAsString();
}

void Registry::restore(const std::string& content)
{
    wire::RegistryState state;
    state.ParseFromString(content);
    *this = Registry(m_limits);
    m_configurationVersion = state.configuration_version();
    m_revision = state.revision();
    m_timeMs = state.time_ms();
    m_routing = state.routing();
    m_drainedDomains = { state.drained_domains().begin(), state.drained_domains().end() };
    for (const auto& it : state.teams())
        m_teams[it.team()] = it;
    for (const auto& it : state.ownerships())
        m_ownerships[it.service()] = it;
    for (const auto& it : state.enrolments())
        m_enrolments[it.service()][{ it.agent(), it.incarnation() }] = it;
    for (const auto& it : state.claims()) {
        const SubmissionKey key { it.claim().team(), it.claim().id() };
        m_claims[key] = it;
        if (!it.finished())
            continue;
        m_finished.push_back(key);
        if (it.answer_expired())
            m_firstHeldAnswer = m_finished.size();
        else
            m_answerBytes += it.outcome().ByteSizeLong();
    }
    for (const auto& it : state.changes())
        recordChange(it);
}

wire::View Registry::view() const
{
    wire::View view;
    view.set_revision(m_revision);
    view.set_configuration_version(m_configurationVersion);
    for (const auto& it : m_drainedDomains)
        view.add_drained_domains(it);
    for (const auto& it : m_teams)
        *view.add_teams() = it.second;
    for (const auto& it : m_ownerships)
        *view.add_ownerships() = it.second;
    for (const auto& service : m_enrolments)
        for (const auto& it : service.second)
            *view.add_enrolments() = it.second;
    return view;
}

const wire::StoredClaim* Registry::find(const SubmissionKey& key) const
{
    const auto it = m_claims.find(key);
    return it == m_claims.end() ? nullptr : &it->second;
}

std::vector<wire::Claim> Registry::openClaims(const std::string& service) const
{
    std::vector<wire::Claim> claims;
    for (const auto& it : m_claims)
        if (!it.second.finished() && it.second.claim().service() == service)
            claims.push_back(it.second.claim());
    return claims;
}

} // namespace fescuegw::registry
