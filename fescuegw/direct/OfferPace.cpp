#include "fescuegw/direct/OfferPace.h"

#include <algorithm>
#include <cmath>

namespace fescuegw::direct {

namespace {

    // A change of interval costs a message to every agent, so the interval changes in steps, and only with a rate that differs
    // enough from the one by which it was determined.
    constexpr double intervalStep = 1.5;
    constexpr double significantChange = 0.25;

} // namespace

void OfferPace::update(TimePoint now)
{
    const Duration passed = now - m_windowStart;
    if (passed < m_options.window)
        return;
    const double rate = static_cast<double>(m_starts) * 1e6 / static_cast<double>(passed.count());
    // A rising rate takes effect at once, a falling one over a few windows.
    m_startsPerSecond = std::max(rate, (m_startsPerSecond + rate) / 2);
    if (std::abs(m_startsPerSecond - m_pacedBy) > significantChange * m_pacedBy)
        m_pacedBy = m_startsPerSecond;
    m_starts = 0;
    m_windowStart = now;
}

Duration OfferPace::interval(size_t agents, bool hasAttempts) const
{
    const double offers
        = std::min(m_options.offersPerSecond + m_options.offersPerStart * m_pacedBy, m_options.maxOffersPerSecond);
    const double even = static_cast<double>(agents) * 1e6 / offers;
    const double shortest = static_cast<double>(m_options.minInterval.count());
    const double steps = std::round(std::log(std::max(even / shortest, 1.0)) / std::log(intervalStep));
    const Duration interval(static_cast<int64_t>(shortest * std::pow(intervalStep, steps)));
    return std::min(interval, hasAttempts ? m_options.maxIntervalWithAttempts : m_options.maxInterval);
}

} // namespace fescuegw::direct
