// Selection of the agent that runs a task.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "fescuegw/direct/Job.h"
#include "fescuegw/direct/OfferTable.h"

namespace fescuegw::direct {

// The agent selected for a task, and the run time expected there.
struct PlacementResult {
    AgentId agent;
    Duration expectedRun {};

    friend bool operator==(const PlacementResult&, const PlacementResult&) = default;
};

// What one task requires of its upstream.
struct PlacementRequest {
    const StepDemand* step = nullptr;
    // Agents on which the task has failed: selected only when there is no other.
    const std::set<AgentId>* avoidedAgents = nullptr;
    // Number of the step's tasks on each agent.
    const std::map<AgentId, uint32_t>* tasksPerAgent = nullptr;
    // Longest expected run time that is acceptable.
    Duration maxRun {};
    // Failure domains in which the task has failed or was lost: upstreams there may share the cause.
    const std::set<std::string>* failedDomains = nullptr;
    // Whether the task may be used to probe an ejected upstream: a further attempt elsewhere is permitted and in time.
    bool mayProbe = true;
    // Whether the agents are ejected, and used since too many are.
    bool despiteEjection = false;
};

struct PlacementOptions {
    // With more than twice this many agents, each task considers this many from a random position on: entries with similar views
    // that all selected the best agent would collide there.
    size_t sampleSize = 8;
    // Run time of a task away from its data, in percent of its run time near the data.
    int remotePercent = 150;
};

// Selects among upstreams that have free capacity now. Allows for uneven and slow upstreams by the run time expected on each, and
// for the concurrent decisions of other entries by a penalty on upstreams that are nearly full. Not thread-safe.
class Placement {
public:
    // `random` returns a number below its argument.
    Placement(PlacementOptions, std::function<uint64_t(uint64_t)> random);

    // Returns the one of `agents` on which the task is expected to finish first, or nothing when no eligible agent has enough
    // free capacity.
    std::optional<PlacementResult> place(const std::vector<UsableAgent>& agents, const PlacementRequest&) const;

    // Returns the run time expected on an agent, or nothing when the agent is not eligible. Ignores free capacity.
    std::optional<Duration> expectedRun(const AgentId&, const AgentView&, const PlacementRequest&) const;

private:
    PlacementOptions m_options;
    std::function<uint64_t(uint64_t)> m_random;
};

} // namespace fescuegw::direct
