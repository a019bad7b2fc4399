// Selection of the agents that are notified of tasks waiting at an entry.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <direct.pb.h>

#include "fescuegw/base/Types.h"
#include "fescuegw/direct/OfferTable.h"

namespace fescuegw::direct {

struct DemandNotifierOptions {
    // Time between two rounds.
    Duration interval { std::chrono::milliseconds(50) };
    // For this long after an agent's round, messages to it repeat the demand; later ones withdraw it. Shorter than the time
    // after which the agent itself discards demand (GrantOptions::demandLifetime).
    Duration demandLifetime { std::chrono::milliseconds(80) };
    // Agents notified in one round for each waiting task, within the bounds. A larger number would ask for more capacity than
    // waiting tasks need, and capacity granted where nothing waits any more stays idle for a round trip and the processing
    // delays of two busy processes.
    size_t agentsPerTask = 1;
    size_t minAgents = 4;
    size_t maxAgents = 16;
};

// Limits the cost of demand messages when the load exceeds the capacity of many upstreams: if every entry notified every agent,
// these messages would use up the processors of entries and agents when both are busiest. A few agents are notified in turn,
// each of a share of the demand. The tasks of each priority are shared out by themselves, so that an agent knows how many urgent
// ones wait. Not thread-safe.
class DemandNotifier {
public:
    explicit DemandNotifier(DemandNotifierOptions options = {})
        : m_options(options)
    {
    }

    // Selects the agents to notify now, given all demand for upstreams of `service`, and records the selection in their views.
    // Returns the agents that need a message, including those from which earlier demand is to be withdrawn.
    std::vector<AgentId> update(TimePoint now, OfferTable&, const std::string& service, const wire::Demand& waiting);

    // Returns the demand for a message to an agent; without tasks when the agent is not notified of any.
    wire::Demand demandFor(TimePoint now, const AgentView&) const;

private:
    struct Round {
        wire::Demand waiting;
        // Number of agents that are notified.
        size_t agents = 0;
        TimePoint due;
        // The last agent notified: the next round continues after it.
        AgentId last;
    };

    // Returns the part of the demand of which the agent at `position` of the round is notified.
    wire::Demand shareOf(const Round&, size_t position) const;

    DemandNotifierOptions m_options;
    std::map<std::string, Round> m_rounds;
};

} // namespace fescuegw::direct
