// An agent's idea of its upstream's clock, by which leases are counted.
#pragma once

#include <cstdint>
#include <optional>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// Follows the readings in the upstream's answers. Never ahead of the true clock but by the drift since the last reading.
// Not thread-safe.
class UpstreamClock {
public:
    void read(TimePoint now, uint64_t clockMs)
    {
        // A reading that travelled longer shows less; the largest projection is the nearest to the truth.
        if (m_reading && at(now) >= clockMs && now - m_readAt < maximumAge)
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

    // Returns when a lease that was given at `sent` until `at(sent) + lease` has certainly run out, however slow the
    // upstream's clock is.
    static TimePoint lapseOf(TimePoint sent, Duration lease)
    {
        return sent + lease + lease * slowestPercent / 100 + readingMargin;
    }

private:
    // The upstream's clock may be this much slower than true time.
    static constexpr int slowestPercent = 2;
    // Covers the drift between readings (2% of `maximumAge`) and their rounding to milliseconds.
    static constexpr Duration readingMargin = std::chrono::milliseconds(25);
    static constexpr Duration maximumAge = std::chrono::seconds(1);

    std::optional<uint64_t> m_reading;
    TimePoint m_readAt;
};

} // namespace fescuegw::arbiter
