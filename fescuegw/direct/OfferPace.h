// How often agents send offers to an entry.
#pragma once

#include <cstddef>
#include <cstdint>

#include "fescuegw/base/Types.h"

namespace fescuegw::direct {

struct OfferPaceOptions {
    // Offers per second from all agents together: a base rate, and a number for each start, up to a limit. With many agents,
    // the longest intervals below exceed it.
    double offersPerSecond = 60;
    double offersPerStart = 1;
    double maxOffersPerSecond = 400;
    // Bounds of an agent's interval. The entry's echo of the agent's clock renews the lease of its attempts there, so the
    // interval of an agent with attempts stays well below that lease.
    Duration minInterval { std::chrono::milliseconds(40) };
    Duration maxInterval { std::chrono::milliseconds(400) };
    Duration maxIntervalWithAttempts { std::chrono::milliseconds(250) };
    // Time over which starts are counted.
    Duration window { std::chrono::milliseconds(500) };
};

// An entry needs recent offers in proportion to the tasks that it places: most entries of a large fleet place few, and offers
// that nothing is placed by would be the greater part of all messages. Not thread-safe.
class OfferPace {
public:
    explicit OfferPace(OfferPaceOptions options = {})
        : m_options(options)
    {
    }

    // Records a start.
    void onStart() { ++m_starts; }

    // Updates the rate of starts once a window has passed.
    void update(TimePoint now);

    // Returns the interval for one of `agents` agents. It does not change with small changes of the rate.
    Duration interval(size_t agents, bool hasAttempts) const;

private:
    OfferPaceOptions m_options;
    TimePoint m_windowStart;
    uint64_t m_starts = 0;
    double m_startsPerSecond = 0;
    // The rate by which the interval is determined.
    double m_pacedBy = 0;
};

} // namespace fescuegw::direct
