// Where tasks go.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fescuegw/direct/Job.h"
#include "fescuegw/direct/OfferBook.h"

namespace fescuegw::direct {

// Where one task is to go, and what is expected there.
struct Placed {
    AgentId agent;
    Duration wait {};
    // Wait and run time.
    Duration finish {};
    // What the choice goes by.
    Duration cost {};

    friend bool operator==(const Placed&, const Placed&) = default;
};

struct PlacementOptions {
    // Of more agents than this, as many are drawn for each task: with all entries choosing the very best by like views, they
    // would meet there.
    size_t drawn = 8;
    // Tasks away from their data take this much longer, in percent.
    uint32_t remotePercent = 150;
};

// One round of placement: choices of one round see each other. Answers uneven, slow and full upstreams alike by the finish
// that is expected. Not thread-safe.
class Placement {
public:
    // `random` returns a number below its argument.
    Placement(PlacementOptions, const OfferBook&, std::function<uint64_t(uint64_t)> random);

    // Returns where a task of `step` is expected to finish first, or nothing when no agent may run it. `avoid` are agents
    // that it failed on; they are taken only when there is no other. `sharing` counts tasks of the step on each agent.
    std::optional<Placed> place(TimePoint now, const std::string& service, uint32_t priority, const StepDemand& step,
        const std::set<AgentId>& avoid, std::map<AgentId, uint32_t>& sharing);

private:
    struct Tentative {
        Resources taken;
        uint32_t count = 0;
    };
    using Agents = std::vector<std::pair<const AgentId*, const AgentView*>>;

    Placed estimate(const AgentId&, const AgentView&, uint32_t priority, const StepDemand&) const;
    const Agents& agentsOf(TimePoint now, const std::string& service);

    PlacementOptions m_options;
    const OfferBook& m_book;
    std::function<uint64_t(uint64_t)> m_random;
    std::map<AgentId, Tentative> m_tentative;
    std::map<std::string, Agents> m_agents;
};

} // namespace fescuegw::direct
