// The latest offers of the agents, and the starts that were sent to them since.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <direct.pb.h>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::direct {

// What an entry knows of one agent.
struct AgentView {
    wire::UpstreamOffer offer;
    Resources capacity;
    // Free capacity in the last offer, less the needs of starts that it does not include.
    Resources free;
    TimePoint lastHeard;
    // Lower bound of how far the agent's clock is ahead of this host's.
    Duration clockAhead {};
    // Newest clock value received from the agent, in microseconds.
    uint64_t seenClockUs = 0;
    TimePoint lastSent;
    uint64_t lastSequence = 0;
    // Needs of starts that the last offer does not include, with the sequence numbers of their messages.
    std::deque<std::pair<uint64_t, Resources>> unacknowledgedStarts;
    // Outstanding attempts of this entry.
    uint32_t attempts = 0;
    uint64_t ackedReports = 0;
    bool replyDue = false;
    // Whether and when the agent was last notified of tasks that wait here.
    TimePoint demandNotifiedAt;
    bool demandNotified = false;
    // Its position among the agents of that round.
    size_t demandPosition = 0;
    // Offer interval last sent to the agent, in milliseconds.
    uint32_t sentOfferInterval = 0;
};

using UsableAgent = std::pair<const AgentId*, const AgentView*>;

// Agents that are used despite their ejection, the least bad first.
struct EjectedAgents {
    // For any task: those beyond a third of the known agents, since the others could not take over the load of more.
    std::vector<UsableAgent> required;
    // For tasks that may be started again elsewhere: also those of the third that succeed more often than they fail.
    std::vector<UsableAgent> tolerated;

    friend bool operator==(const EjectedAgents&, const EjectedAgents&) = default;
};

struct OfferTableOptions {
    // Agents whose last offer is older than this are not used. Spans several offer intervals.
    Duration maxOfferAge { std::chrono::milliseconds(600) };
    // An agent without attempts is forgotten after this silence.
    Duration silentAgentRetention { std::chrono::seconds(10) };
};

// Not thread-safe.
class OfferTable {
public:
    explicit OfferTable(OfferTableOptions options = {});

    // Applies an agent's message. Returns the agent's view, or null when the message is from an earlier process of that agent.
    AgentView* onMessage(TimePoint now, const wire::UpstreamToEntry&);

    // Records that a start of `need` was added to the next message to the agent. A start that uses a grant takes no further
    // capacity.
    static void onSent(AgentView&, const Resources& need, bool granted);

    // Reverts `onSent` for a start that was removed from the next message to the agent.
    static void onWithdrawn(AgentView&, const Resources& need, bool granted);

    // Returns the agents of `service` that accept tasks and whose last offer is recent.
    std::vector<UsableAgent> usable(TimePoint now, const std::string& service) const;

    // Returns the agents of `service` that are used despite their ejection, after all others.
    EjectedAgents ejected(TimePoint now, const std::string& service) const;
    bool isUsable(TimePoint now, const AgentView& view) const
    {
        return view.offer.accepting() && now - view.lastHeard <= m_options.maxOfferAge;
    }

    AgentView* find(const AgentId&);
    std::map<AgentId, AgentView>& agents() { return m_agents; }
    const std::map<AgentId, AgentView>& agents() const { return m_agents; }

    // Forgets agents without attempts that have been silent for `silentAgentRetention`.
    void expire(TimePoint now);

private:
    OfferTableOptions m_options;
    std::map<AgentId, AgentView> m_agents;
};

} // namespace fescuegw::direct
