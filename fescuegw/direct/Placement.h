// Where tasks go.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "fescuegw/direct/Job.h"
#include "fescuegw/direct/OfferBook.h"

namespace fescuegw::direct {

// Where one task is to go, and how long it is expected to run there.
struct Placed {
    AgentId agent;
    Duration run {};

    friend bool operator==(const Placed&, const Placed&) = default;
};

// What is asked of an upstream for one task.
struct PlacementWish {
    const StepDemand* step = nullptr;
    // Agents on which it has failed: taken only when there is no other.
    const std::set<AgentId>* avoid = nullptr;
    // Tasks of the step on each agent.
    const std::map<AgentId, uint32_t>* sharing = nullptr;
    // A run that is expected to take longer is of no use.
    Duration longestRun {};
};

struct PlacementOptions {
    // Of more than twice as many agents, this many are drawn for each task: with all entries choosing the very best by like
    // views, they would meet there.
    size_t drawn = 8;
    // Tasks away from their data take this much longer, in percent.
    int remotePercent = 150;
};

// Chooses among upstreams with room at once. Answers uneven and slow upstreams by the run time that is expected on each, and
// other entries' choices by leaving alone what is nearly full. Not thread-safe.
class Placement {
public:
    // `random` returns a number below its argument.
    Placement(PlacementOptions, std::function<uint64_t(uint64_t)> random);

    // Returns on which of `agents` a task is expected to finish first, or nothing when none that may run it has room.
    std::optional<Placed> place(const std::vector<UsableAgent>& agents, const PlacementWish&) const;

    // Returns the run time expected on an agent, or nothing when it may not run the task at all. Room isn't looked at.
    std::optional<Duration> expectedRun(const AgentId&, const AgentView&, const PlacementWish&) const;

private:
    PlacementOptions m_options;
    std::function<uint64_t(uint64_t)> m_random;
};

} // namespace fescuegw::direct
