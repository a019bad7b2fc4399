// Which agents are told that tasks wait here.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <direct.pb.h>

#include "fescuegw/base/Types.h"
#include "fescuegw/direct/OfferBook.h"

namespace fescuegw::direct {

struct DemandSpreadOptions {
    // Between two rounds.
    Duration interval { std::chrono::milliseconds(50) };
    // A message to an agent repeats what it was told for this long after its round, and takes it back later. Below
    // GrantOptions::demandLife, after which the agent forgets it by itself.
    Duration life { std::chrono::milliseconds(80) };
    // Agents told in one round for each waiting task, within the bounds. Room that is granted where nothing waits any more stays
    // empty for a round trip and the turns of two busy processes, so no more is asked for than waits.
    size_t agentsPerTask = 1;
    size_t fewestAgents = 4;
    size_t mostAgents = 16;
};

// Answers load beyond the capacity of many upstreams: if every entry told every agent of what waits, these messages would take
// the processors of entries and agents just when they have the most to do. A few agents are told in turn, and each of a share.
// Not thread-safe.
class DemandSpread {
public:
    explicit DemandSpread(DemandSpreadOptions options = {})
        : m_options(options)
    {
    }

    // Chooses whom to tell now, given all that waits for upstreams of `service`, and notes it in their views. Returns the
    // agents that are to be sent a message, those included that were told before and have to forget it.
    std::vector<AgentId> update(TimePoint now, OfferBook&, const std::string& service, const wire::Demand& waiting);

    // Returns what a message to an agent is to say; without tasks when it isn't told of any.
    wire::Demand told(TimePoint now, const AgentView&) const;

private:
    struct Round {
        wire::Demand share;
        TimePoint due;
        // The last agent told: the next round goes on behind it.
        AgentId last;
    };

    DemandSpreadOptions m_options;
    std::map<std::string, Round> m_rounds;
};

} // namespace fescuegw::direct
