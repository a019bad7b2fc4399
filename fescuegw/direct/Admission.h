// Which jobs are taken on, and for how long their tasks may wait.
#pragma once

#include <cstdint>

#include "fescuegw/direct/Job.h"

namespace fescuegw::direct {

struct AdmissionOptions {
    // Times its objective within which a late answer is still of use to its caller.
    int lateObjectives = 3;
    // Time kept for messages, and for starting and ending runs.
    Duration overhead { std::chrono::milliseconds(15) };
    // Advice when to come back, in seconds: overload lasts about as long as the bursts that cause it.
    uint32_t retryAfterS = 2;
};

// Answers load beyond the capacity: a job that would come too late is refused as soon as that is known and while none of its
// tasks has started, so that those that are served come in time. Every function takes the job as its caller sent it.
class Admission {
public:
    explicit Admission(AdmissionOptions options = {})
        : m_options(options)
    {
    }

    // Returns the time within which a job is on time.
    Duration objective(const JobRequest&) const;

    // Returns the time after which its caller has no use for an answer, or is gone.
    Duration usefulFor(const JobRequest&) const;

    // Returns how long its first task may wait for the job to be on time still.
    Duration longestWait(const JobRequest&) const;

    // Returns whether a job is taken on when tasks that go before its own have waited for `waited` and still do.
    bool admits(const JobRequest& request, Duration waited) const { return waited <= longestWait(request); }

    uint32_t retryAfter() const { return m_options.retryAfterS; }

private:
    AdmissionOptions m_options;
};

// Returns the longest chain of estimated run times through the steps.
Duration longestChain(const JobSpecification&);

} // namespace fescuegw::direct
