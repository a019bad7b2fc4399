// The replicated state machine: teams' configuration, ownership of services, enrolled agents, claims and outcomes.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <control.pb.h>
#include <registry.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::registry {

// Bounds of the state. All replicas of a group must hold the same values.
struct Limits {
    // Finished claims are forgotten after this time, or when there are more than `claims`.
    uint64_t retentionMs = 24ULL * 3600 * 1000;
    size_t claims = 2000000;
    // Answers beyond this are dropped, oldest first; their claims stay.
    size_t answerBytes = 128U << 20U;
    size_t changes = 4096;
};

// Applies commands in log order. Every replica that applies the same batches holds the same state. Not thread-safe.
class Registry {
public:
    explicit Registry(Limits limits = {});

    // Returns one result for each command of the batch. `batch.time_ms` never moves the state's clock back.
    std::vector<wire::CommandResult> apply(const wire::CommandBatch& batch);

    // Returns the whole state, and replaces it.
    std::string capture() const;
    void restore(const std::string& state);

    // Returns what entries follow, without the list of entries.
    wire::View view() const;

    // Returns the routing in force; version 0 when there was none yet.
    const wire::Routing& routing() const { return m_routing; }

    uint64_t revision() const { return m_revision; }
    uint64_t configurationVersion() const { return m_configurationVersion; }
    const std::map<std::string, wire::TeamConfiguration>& teams() const { return m_teams; }
    const std::map<std::string, wire::Ownership>& ownerships() const { return m_ownerships; }

    // Returns the claim of `key`, or null when there is none or it has expired.
    const wire::StoredClaim* find(const SubmissionKey& key) const;
    std::vector<wire::Claim> openClaims(const std::string& service) const;

    // Totals since the state was restored, for metrics.
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
    bool ownsCurrently(const std::string& service, const std::string& owner, uint64_t epoch) const;
    bool isCurrentEpoch(const wire::Enrolment&) const;
    void remember(const wire::ChangeRecord&);
    void expire();

    Limits m_limits;
    uint64_t m_timeMs = 0;
    uint64_t m_configurationVersion = 0;
    uint64_t m_revision = 0;
    wire::Routing m_routing;
    std::map<std::string, wire::TeamConfiguration> m_teams;
    std::map<std::string, wire::Ownership> m_ownerships;
    std::map<std::string, std::map<AgentId, wire::Enrolment>> m_enrolments;
    std::map<SubmissionKey, wire::StoredClaim> m_claims;
    // Finished claims, oldest first; answers from `m_answersFrom` on are still held.
    std::deque<SubmissionKey> m_finished;
    size_t m_answersFrom = 0;
    size_t m_answerBytes = 0;
    std::map<std::string, wire::ChangeRecord> m_changes;
    std::deque<std::string> m_changeOrder;
    uint64_t m_expiredClaims = 0;
    uint64_t m_expiredAnswers = 0;
};

} // namespace fescuegw::registry
