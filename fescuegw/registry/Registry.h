// The replicated state machine: team configurations, routing, drained domains, service ownership, enrolled agents, claims and
// outcomes.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <control.pb.h>
#include <registry.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::registry {

// Bounds of the state. All replicas of a group must use the same values.
struct Limits {
    // Finished claims are removed after this time, or earlier while there are more than `claims` claims.
    uint64_t retentionMs = 24ULL * 3600 * 1000;
    size_t claims = 2000000;
    // Total size of the stored answers; when it is exceeded, the oldest answers are dropped, but not their claims.
    size_t answerBytes = 128U << 20U;
    size_t changes = 4096;
    // Drained failure domains. Domains need not be known, so a mistyped name takes a place until it is withdrawn.
    size_t drainedDomains = 256;
};

// Applies commands in log order. Every replica that applies the same batches holds the same state. Not thread-safe.
class Registry {
public:
    explicit Registry(Limits limits = {});

    // Returns one result for each command of the batch. The state's clock is the highest `batch.time_ms` so far.
    std::vector<wire::CommandResult> apply(const wire::CommandBatch& batch);

    // Returns the whole state, serialized.
    std::string capture() const;

    // Replaces the whole state by one that `capture` returned.
    void restore(const std::string& state);

    // Returns the state that entry processes follow, without the list of entry processes.
    wire::View view() const;

    // Returns the current routing; version 0 if none has been set.
    const wire::Routing& routing() const { return m_routing; }

    // Returns the failure domains that are drained.
    const std::set<std::string>& drainedDomains() const { return m_drainedDomains; }

    uint64_t revision() const { return m_revision; }
    uint64_t configurationVersion() const { return m_configurationVersion; }
    const std::map<std::string, wire::TeamConfiguration>& teams() const { return m_teams; }
    const std::map<std::string, wire::Ownership>& ownerships() const { return m_ownerships; }

    // Returns the claim of `key`, or null if there is none or it has expired.
    const wire::StoredClaim* find(const SubmissionKey& key) const;
    std::vector<wire::Claim> openClaims(const std::string& service) const;

    // Totals since the state was last restored, for metrics.
    uint64_t expiredClaims() const { return m_expiredClaims; }
    uint64_t expiredAnswers() const { return m_expiredAnswers; }

private:
    wire::CommandResult applyOne(const wire::Command&);
    wire::CommandResult apply(const wire::ApplyConfiguration&);
    wire::CommandResult apply(const wire::Claim&);
    wire::CommandResult apply(const wire::Outcome&);
    wire::CommandResult enrol(const wire::Enrolment&);
    wire::CommandResult retire(const wire::Enrolment&);
    wire::CommandResult assign(const wire::Ownership&);
    wire::CommandResult replaceRouting(const wire::Routing&);
    wire::CommandResult setDomainDrain(const wire::SetDomainDrain&);
    bool isCurrentOwner(const std::string& service, const std::string& owner, uint64_t epoch) const;
    bool isCurrentEpoch(const wire::Enrolment&) const;
    void recordChange(const wire::ChangeRecord&);
    void expire();

    Limits m_limits;
    uint64_t m_timeMs = 0;
    uint64_t m_configurationVersion = 0;
    uint64_t m_revision = 0;
    wire::Routing m_routing;
    std::set<std::string> m_drainedDomains;
    std::map<std::string, wire::TeamConfiguration> m_teams;
    std::map<std::string, wire::Ownership> m_ownerships;
    std::map<std::string, std::map<AgentId, wire::Enrolment>> m_enrolments;
    std::map<SubmissionKey, wire::StoredClaim> m_claims;
    // Keys of finished claims, oldest first; those from position `m_firstHeldAnswer` on still have their answers.
    std::deque<SubmissionKey> m_finished;
    size_t m_firstHeldAnswer = 0;
    size_t m_answerBytes = 0;
    std::map<std::string, wire::ChangeRecord> m_changes;
    std::deque<std::string> m_changeOrder;
    uint64_t m_expiredClaims = 0;
    uint64_t m_expiredAnswers = 0;
};

} // namespace fescuegw::registry
