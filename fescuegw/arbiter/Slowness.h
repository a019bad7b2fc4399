// How much longer tasks take on an upstream than they were estimated to.
#pragma once

#include <algorithm>
#include <cstdint>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// Weighs what has ended and what shows progress; estimates of single tasks are far off, so only many tell something. Answers
// upstreams of different speeds, and those that turn slow or stand still. Not thread-safe.
class Slowness {
public:
    // A task that was estimated to take `estimate` took `run`.
    void onEnd(Duration estimate, Duration run)
    {
        m_work = m_work * keep + static_cast<double>(estimate.count());
        m_time = m_time * keep + static_cast<double>(run.count());
    }

    // Starts a round over the tasks that run now.
    void startRound()
    {
        m_openWork = 0;
        m_openTime = 0;
    }

    // A task that runs for `elapsed` has `percent` of its work done. One that was just started tells nothing.
    void onProgress(Duration estimate, Duration elapsed, uint32_t percent)
    {
        if (elapsed < settling)
            return;
        m_openWork += static_cast<double>(estimate.count()) * percent / 100;
        m_openTime += static_cast<double>(elapsed.count());
    }

    // Returns time over estimate, in percent.
    uint32_t percent() const
    {
        const double work = m_work + m_openWork + static_cast<double>(prior.count());
        const double time = m_time + m_openTime + static_cast<double>(prior.count());
        return static_cast<uint32_t>(std::clamp(100 * time / work, 10.0, 10000.0));
    }

    void reset() { *this = Slowness(); }

private:
    // Weight that earlier ends keep with each further one: about the last ten count.
    static constexpr double keep = 0.9;
    // Runs begin slowly, and listings show progress in whole percent.
    static constexpr Duration settling = std::chrono::milliseconds(40);
    // Work with which an unknown upstream is taken to be as fast as estimated.
    static constexpr Duration prior = std::chrono::milliseconds(200);

    double m_work = 0;
    double m_time = 0;
    double m_openWork = 0;
    double m_openTime = 0;
};

} // namespace fescuegw::arbiter
