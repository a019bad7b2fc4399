// Ratio of actual to estimated run time on an upstream.
#pragma once

#include <algorithm>
#include <cstdint>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// Estimates of single tasks are inaccurate, so the ratio is averaged over many finished runs, which shows the speed of an
// upstream. The progress of current runs counts only when it is much worse than that average, which detects an upstream that
// slows down or hangs. Not thread-safe.
class Slowness {
public:
    // A task that was estimated to take `estimate` took `run`.
    void onEnd(Duration estimate, Duration run)
    {
        m_finishedWork = m_finishedWork * decayPerEnd + static_cast<double>(estimate.count());
        m_finishedTime = m_finishedTime * decayPerEnd + static_cast<double>(run.count());
    }

    // Starts a new pass over the current runs.
    void beginProgressRound()
    {
        m_runningWork = 0;
        m_runningTime = 0;
    }

    // A current run has completed `percent` of its work in `elapsed`. Runs that have just started are ignored.
    void onProgress(Duration estimate, Duration elapsed, uint32_t percent)
    {
        if (elapsed < minElapsed)
            return;
        m_runningWork += static_cast<double>(estimate.count()) * percent / 100;
        m_runningTime += static_cast<double>(elapsed.count());
    }

    // Returns actual over estimated time in percent, from 10 to 10000.
    uint32_t percent() const
    {
        const double finishedRatio = (m_finishedTime + weight(priorWork)) / (m_finishedWork + weight(priorWork));
        const double runningRatio
            = (m_runningTime + finishedRatio * weight(runningPriorWork)) / (m_runningWork + weight(runningPriorWork));
        const double ratio = runningRatio > alarmRatio * finishedRatio ? runningRatio : finishedRatio;
        return static_cast<uint32_t>(std::clamp(100 * ratio, 10.0, 10000.0));
    }

    void reset() { *this = Slowness(); }

private:
    static double weight(Duration duration) { return static_cast<double>(duration.count()); }

    // Decay of earlier results per finished run. The effective window of about fifty runs reduces an estimation error of 40% to
    // less than 6%.
    static constexpr double decayPerEnd = 0.98;
    // Progress of younger runs is unreliable: runs begin slowly, and listings give whole percent.
    static constexpr Duration minElapsed = std::chrono::milliseconds(40);
    // Weight, as estimated work, of the initial ratio of 100%: about ten tasks.
    static constexpr Duration priorWork = std::chrono::milliseconds(2000);
    // Weight, as estimated work, of the finished ratio in the ratio of current runs; dampens alarms.
    static constexpr Duration runningPriorWork = std::chrono::milliseconds(150);
    static constexpr double alarmRatio = 1.8;

    double m_finishedWork = 0;
    double m_finishedTime = 0;
    double m_runningWork = 0;
    double m_runningTime = 0;
};

} // namespace fescuegw::arbiter
