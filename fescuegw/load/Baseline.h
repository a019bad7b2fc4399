// Response times that the same jobs would have had without any protocol: the ideal, and simple placement policies.
#pragma once

#include <string>
#include <vector>

#include "fescuegw/load/Profile.h"

namespace fescuegw::load {

// Returns each job's response time under an omniscient single queue over all slots with the true run times: first come first
// served, the longest task of a job first. `roundTrips` is added to each: the delays that cannot be avoided.
std::vector<Duration> idealResponses(const std::vector<Job>&, uint32_t slots, Duration roundTrips);

enum class Policy : uint8_t {
    Random,
    RoundRobin,
    // The less loaded of two workers, by loads as they were `loadAge` ago.
    TwoChoices,
};

// Returns each job's response time when every task is bound to a worker on arrival and waits in that worker's own queue.
std::vector<Duration> boundResponses(const std::vector<Job>&, const Profile&, Policy, Duration loadAge, Duration roundTrips);

// Returns the `q` quantile (0 to 1) of `values`, or 0 when there are none.
double quantile(std::vector<double> values, double q);

} // namespace fescuegw::load
