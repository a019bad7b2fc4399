// Best-effort jobs as callers submit them, and how they end.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <registry.pb.h>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::direct {

// A number of like tasks that may run side by side.
struct StepDemand {
    uint32_t count = 0;
    Resources need;
    uint32_t estimateMs = 0;
    // Steps that must have ended before, by number.
    std::vector<uint32_t> after;
    // A label that the upstream must have; empty for any.
    std::string requiredLabel;
    // The label of upstreams near the data; tasks elsewhere take longer. Empty for none.
    std::string dataLabel;
    // At most this many tasks of the step on one upstream; 0 for no limit.
    uint32_t spread = 0;

    friend bool operator==(const StepDemand&, const StepDemand&) = default;
};

// What a step may ask for beyond its tasks' needs.
enum class StepTrait : uint8_t {
    // The tasks work only while all of them run.
    Together,
    // The tasks run until they are cancelled.
    Lasting,
    // The tasks take what others leave, without room of their own.
    Leftover,
};

std::string_view toString(StepTrait);

struct JobSpecification {
    std::string specification;
    std::vector<StepDemand> steps;
    // Nothing of the job is kept: it is answered when it has ended, and lost with the entry that took it.
    bool bestEffort = false;
    // The steps run this many times at set times; 0 for once, now.
    uint32_t occurrences = 0;
    // Traits that some step has.
    std::vector<StepTrait> traits;

    friend bool operator==(const JobSpecification&, const JobSpecification&) = default;
};

struct JobRequest {
    std::string id;
    wire::Route route;
    JobSpecification job;
    // How long the caller still waits.
    Duration patience {};
    // The caller's connection.
    uint64_t exchange = 0;
};

// The answer to a job.
struct JobOutcome {
    enum class Kind : uint8_t {
        Completed,
        // A task has failed as often as its route allows.
        Failed,
        // No task has run or will.
        NotRun,
        // Given up; tasks may have run.
        MayHaveRun,
        // The caller has gone away.
        Abandoned,
    };
    Kind kind = Kind::NotRun;
    std::string reason;
    // With NotRun: when a further try is likely to succeed.
    uint32_t retryAfterS = 0;

    friend bool operator==(const JobOutcome&, const JobOutcome&) = default;
};

std::string_view toString(JobOutcome::Kind);

// Called once for each caller that waits.
using JobResponder = std::function<void(const JobOutcome&)>;

} // namespace fescuegw::direct
