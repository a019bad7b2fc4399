// An entry's view of the agents: what they offer, how old that is, and what was sent to them since.
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

// One agent as the entry knows it.
struct AgentView {
    wire::UpstreamOffer offer;
    Resources capacity;
    // Free by the last offer, less what was sent since.
    Resources free;
    TimePoint heard;
    // The agent's clock is ahead of this one's by at least this.
    Duration clockAhead {};
    // The newest clock of the agent that was seen, in microseconds.
    uint64_t seenClockUs = 0;
    // When a message was last sent.
    TimePoint sent;
    uint64_t lastSequence = 0;
    // Needs of starts that the last offer doesn't include yet, by sequence.
    std::deque<std::pair<uint64_t, Resources>> unseen;
    // Attempts of this entry that have not ended.
    uint32_t attempts = 0;
    uint64_t ackedReports = 0;
    bool replyDue = false;
    // Whether and when the agent was last told that tasks wait here.
    TimePoint demandSent;
    bool demandTold = false;
    // How often the agent was told to report, in milliseconds.
    uint32_t toldInterval = 0;
};

using UsableAgent = std::pair<const AgentId*, const AgentView*>;

struct OfferBookOptions {
    // An offer older than this is not relied on: several intervals of the agents' reports.
    Duration offerAge { std::chrono::milliseconds(500) };
    // An agent without attempts that was silent for this long is forgotten.
    Duration memory { std::chrono::seconds(10) };
};

// Not thread-safe.
class OfferBook {
public:
    explicit OfferBook(OfferBookOptions options = {});

    // Takes over an agent's message. Returns its view, or null when the message is of an earlier process of that agent.
    AgentView* onMessage(TimePoint now, const wire::UpstreamToEntry&);

    // Notes that a start of `need` was put into the next message to the agent; what uses a grant takes no further room.
    static void onSent(AgentView&, const Resources& need, bool granted);

    // Returns the agents of `service` that can be relied on now.
    std::vector<UsableAgent> usable(TimePoint now, const std::string& service) const;
    bool isUsable(TimePoint now, const AgentView& view) const
    {
        return view.offer.accepting() && now - view.heard <= m_options.offerAge;
    }

    AgentView* find(const AgentId&);
    std::map<AgentId, AgentView>& agents() { return m_agents; }
    const std::map<AgentId, AgentView>& agents() const { return m_agents; }

    // Forgets agents that are gone.
    void expire(TimePoint now);

private:
    OfferBookOptions m_options;
    std::map<AgentId, AgentView> m_agents;
};

} // namespace fescuegw::direct
