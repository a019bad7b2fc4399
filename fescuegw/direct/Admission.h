// Which jobs are accepted, and how long their tasks may wait.
#pragma once

#include <cstdint>

#include "fescuegw/direct/Job.h"
#include "fescuegw/direct/LoadShedder.h"

namespace fescuegw::direct {

struct AdmissionOptions {
    // Multiple of a job's objective within which a late answer is still of use to its caller.
    int usefulObjectiveMultiple = 3;
    // Time reserved for messages, and for starting and ending runs.
    Duration overhead { std::chrono::milliseconds(15) };
    // Retry delay suggested to refused callers, in seconds: overload lasts about as long as the bursts that cause it.
    uint32_t retryAfterS = 2;
};

// Handles load beyond the capacity: a job that would miss its objective is refused as soon as that is known and while none of
// its tasks has started, so that accepted jobs are on time. Every function takes the job as its caller sent it.
class Admission {
public:
    explicit Admission(AdmissionOptions options = {})
        : m_options(options)
    {
    }

    // Returns the latency objective of a job, from its submission.
    Duration objective(const JobRequest&) const;

    // Returns the time after submission at which the caller has no more use for an answer, or is gone.
    Duration usefulAnswerTime(const JobRequest&) const;

    // Returns how long a job's first task may wait without making the job late.
    Duration maxWait(const JobRequest&) const;

    // Returns whether to accept a job when tasks that precede its own have been waiting for `waited`.
    bool admits(const JobRequest& request, Duration waited) const { return waited <= maxWait(request); }

    // Returns what the job takes from others.
    static JobCost cost(const JobRequest&);

    uint32_t retryAfter() const { return m_options.retryAfterS; }

private:
    AdmissionOptions m_options;
};

// Returns the longest sum of estimated run times along a chain of dependent steps.
Duration criticalPath(const JobSpecification&);

} // namespace fescuegw::direct
