// Share of an upstream's capacity that is used while it is cold.
#pragma once

#include <algorithm>
#include <cstdint>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// Answers the load on an upstream that returns cold, after a restart or the drain of its failure domain: tasks are slow on it,
// and entries with a backlog would fill it at once. Its capacity becomes usable in equal steps over the time that it says it
// stays cold. An upstream that is warm is usable in full. Not thread-safe.
class WarmUp {
public:
    // The upstream has announced at `now` that it stays cold for `coldFor`; 0 when it is warm.
    void onAnnouncement(TimePoint now, Duration coldFor)
    {
        if (coldFor <= Duration()) {
            reset();
            return;
        }
        // Only the end of the steps can begin new ones, and only a longer time than before: an upstream whose time does not pass
        // would be used in part for ever.
        if (now >= m_warmAt && coldFor > m_shortestColdFor) {
            m_total = m_shortestColdFor = coldFor;
            m_warmAt = now + coldFor;
            return;
        }
        m_shortestColdFor = std::min(m_shortestColdFor, coldFor);
        m_warmAt = std::min(m_warmAt, now + coldFor);
    }

    // Returns the usable part of `capacity`.
    Resources usable(TimePoint now, const Resources& capacity) const
    {
        if (m_total <= Duration() || now >= m_warmAt)
            return capacity;
        const int64_t elapsed = std::clamp<int64_t>((m_total - (m_warmAt - now)) * stepCount / m_total, 0, stepCount - 1);
        const int64_t steps = elapsed + 1;
        return { capacity.coresMilli * steps / stepCount, capacity.memoryMb * steps / stepCount,
            capacity.gpus * steps / stepCount };
    }

    void reset() { *this = WarmUp(); }

private:
    static constexpr int64_t stepCount = 4;

    // Duration of all steps; 0 if the upstream is warm.
    Duration m_total {};
    TimePoint m_warmAt;
    // The shortest time announced since the steps began.
    Duration m_shortestColdFor {};
};

} // namespace fescuegw::arbiter
