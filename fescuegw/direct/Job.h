// Best-effort jobs as callers submit them, and their outcomes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <registry.pb.h>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::direct {

// A number of identical tasks that may run concurrently.
struct StepDemand {
    uint32_t count = 0;
    Resources need;
    uint32_t estimateMs = 0;
    // Indexes of the steps that must be complete before this one starts.
    std::vector<uint32_t> after;
    // Label that the upstream must have; empty for any upstream.
    std::string requiredLabel;
    // Label of upstreams near the data; tasks elsewhere take longer. Empty for none.
    std::string dataLabel;
    // Limit on the tasks of the step on one upstream; 0 for no limit.
    uint32_t spread = 0;

    friend bool operator==(const StepDemand&, const StepDemand&) = default;
};

// Requirements of a step beyond the resources of its tasks.
enum class StepTrait : uint8_t {
    // The tasks make progress only while all of them run.
    Together,
    // The tasks run until they are cancelled.
    Lasting,
    // The tasks use resources that others leave idle, without a reservation of their own.
    Leftover,
};

std::string_view toString(StepTrait);

struct JobSpecification {
    std::string specification;
    std::vector<StepDemand> steps;
    // The job is not stored: it is answered when it has ended, and lost with the entry that accepted it.
    bool bestEffort = false;
    // Number of runs at scheduled times; 0 for a single run now.
    uint32_t occurrences = 0;
    // Traits of any of the steps.
    std::vector<StepTrait> traits;

    friend bool operator==(const JobSpecification&, const JobSpecification&) = default;
};

struct JobRequest {
    std::string id;
    wire::Route route;
    JobSpecification job;
    // How long the caller still waits for the answer.
    Duration patience {};
    // Identifies the caller's connection.
    uint64_t exchange = 0;
};

struct JobOutcome {
    enum class Kind : uint8_t {
        Completed,
        // A task has failed in all attempts that its route allows.
        Failed,
        // No task has run or will run.
        NotRun,
        // Ended before its tasks were done; tasks may have run.
        MayHaveRun,
        // The caller has disconnected, or the job was cancelled.
        Abandoned,
    };
    Kind kind = Kind::NotRun;
    std::string reason;
    // With NotRun: seconds after which a retry is likely to succeed.
    uint32_t retryAfterS = 0;

    friend bool operator==(const JobOutcome&, const JobOutcome&) = default;
};

std::string_view toString(JobOutcome::Kind);

// Called once for each waiting caller.
using JobResponder = std::function<void(const JobOutcome&)>;

} // namespace fescuegw::direct
