// Callers of an experiment: jobs are sent at their arrival times, whatever has been answered by then.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fescuegw/load/Profile.h"

namespace fescuegw::load {

// How one job ended for its caller.
struct CallResult {
    Duration response {};
    // HTTP status; 0 when no whole answer came.
    int status = 0;
    bool complete = false;
    // The verdict of a refusal, or "".
    std::string verdict;
    // What a refusal says, or why a job failed.
    std::string reason;
    // A complete answer that lacks a task, or holds another job's output.
    bool partial = false;
    bool foreign = false;
};

// Sends all jobs, round robin over the entries, and returns their results in the jobs' order. `onTime` is called with the time
// since the start about every 10 ms.
std::vector<CallResult> sendJobs(const Profile&, const std::vector<Job>&, const std::vector<std::string>& entries,
    const std::function<void(Duration)>& onTime);

} // namespace fescuegw::load
