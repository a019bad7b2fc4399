// Estimates the clock of an upstream, in which run leases are expressed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// Projects the clock from the readings in the upstream's answers. Never ahead of the upstream's clock by more than the drift
// since the last reading. Not thread-safe.
class UpstreamClock {
public:
    void update(TimePoint now, uint64_t clockMs)
    {
        // A reading that was delayed longer projects to a lower value, so the largest projection is the most accurate.
        if (m_reading && at(now) >= clockMs && now - m_readAt < maxReadingAge)
            return;
        m_reading = clockMs;
        m_readAt = now;
    }

    void reset() { m_reading = std::nullopt; }
    bool known() const { return m_reading.has_value(); }

    // Returns the upstream's clock in milliseconds; 0 while it isn't known.
    uint64_t at(TimePoint now) const
    {
        if (!m_reading)
            return 0;
        return *m_reading + static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_readAt).count());
    }

    // Returns how far `at` may be ahead beyond the margin of `latestLeaseExpiry`, since there was no reading for long.
    Duration unreadDrift(TimePoint now) const
    {
        const Duration unread = m_reading ? now - m_readAt - maxReadingAge : Duration();
        return std::max(unread, Duration()) * maxDriftPercent / 100;
    }

    // Returns the time after which a lease sent at `sent` until `at(sent) + lease` is certain to have expired, for any drift of
    // the upstream's clock within `maxDriftPercent`.
    static TimePoint latestLeaseExpiry(TimePoint sent, Duration lease)
    {
        return sent + lease + lease * maxDriftPercent / 100 + readingErrorMargin;
    }

private:
    // Bound on how much slower than real time the upstream's clock runs.
    static constexpr int maxDriftPercent = 2;
    // Covers the drift between readings (2% of `maxReadingAge`) and their rounding to milliseconds.
    static constexpr Duration readingErrorMargin = std::chrono::milliseconds(25);
    static constexpr Duration maxReadingAge = std::chrono::seconds(1);

    std::optional<uint64_t> m_reading;
    TimePoint m_readAt;
};

} // namespace fescuegw::arbiter
