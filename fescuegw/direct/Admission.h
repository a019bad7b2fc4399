// Whether a job is taken on, and how long its tasks may wait.
#pragma once

#include <cstdint>

#include "fescuegw/direct/Job.h"

namespace fescuegw::direct {

struct AdmissionOptions {
    // Times its objective within which a late answer is still of use to its caller.
    int lateObjectives = 3;
    // Part of the time left that is kept for messages and for estimates that were too low, in percent.
    int reservePercent = 10;
    // Shortest and longest advice when to come back, in seconds.
    uint32_t leastRetryS = 1;
    uint32_t mostRetryS = 5;
};

// Answers load beyond the capacity: a job that can't be served in time is refused at once, before any of its tasks starts.
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

    // Returns whether a job is taken on of which the last task is expected to start after `wait` and to finish after `finish`.
    // Where there is room at once, an estimate alone is no reason to refuse: it may be far off.
    bool admits(const JobRequest& request, Duration wait, Duration finish) const
    {
        return wait == Duration() || finish <= usefulFor(request) * (100 - m_options.reservePercent) / 100;
    }

    // Returns how long a task that is estimated to run for `run` may wait, when `elapsed` of the job's time has passed.
    Duration longestWait(const JobRequest& request, Duration run, Duration elapsed) const { return usefulFor(request) - elapsed - run; }

    // Returns when to come back, in seconds, with `finish` expected now.
    uint32_t retryAfter(const JobRequest&, Duration finish) const;

private:
    AdmissionOptions m_options;
};

// Returns the longest chain of estimated run times through the steps.
Duration longestChain(const JobSpecification&);

} // namespace fescuegw::direct
