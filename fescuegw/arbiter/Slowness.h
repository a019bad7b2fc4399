// How much longer tasks take on an upstream than they were estimated to.
#pragma once

#include <algorithm>
#include <cstdint>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// Estimates of single tasks are far off, so the average over many ends tells how fast an upstream is. Progress of what runs now
// counts only when it shows something much worse. Answers upstreams of different speeds, and those that turn slow or stand
// still. Not thread-safe.
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
        const double settled = (m_time + weight(prior)) / (m_work + weight(prior));
        const double open = (m_openTime + settled * weight(openPrior)) / (m_openWork + weight(openPrior));
        const double ratio = open > alarming * settled ? open : settled;
        return static_cast<uint32_t>(std::clamp(100 * ratio, 10.0, 10000.0));
    }

    void reset() { *this = Slowness(); }

private:
    static double weight(Duration duration) { return static_cast<double>(duration.count()); }

    // Weight that earlier ends keep with each further one: about the last fifty count, which brings the error of estimates
    // that are 40% off below 6%.
    static constexpr double keep = 0.98;
    // Runs begin slowly, and listings show progress in whole percent.
    static constexpr Duration settling = std::chrono::milliseconds(40);
    // Work with which an unknown upstream is taken to be as fast as estimated: some ten tasks.
    static constexpr Duration prior = std::chrono::milliseconds(2000);
    // Work as fast as ever that has to be outweighed before progress raises an alarm.
    static constexpr Duration openPrior = std::chrono::milliseconds(150);
    static constexpr double alarming = 1.8;

    double m_work = 0;
    double m_time = 0;
    double m_openWork = 0;
    double m_openTime = 0;
};

} // namespace fescuegw::arbiter
