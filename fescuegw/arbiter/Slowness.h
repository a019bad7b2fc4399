// Ratio of actual to estimated run time on an upstream.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// Estimates of single tasks are inaccurate, so the ratio is averaged over many finished runs, which shows the speed of an
// upstream. The progress of current runs counts only when it is much worse than that average, which detects an upstream that
// slows down or hangs. One that has been slow and idle for a while is probed with one task, since nothing else would show that it
// is fast again. Not thread-safe.
class Slowness {
public:
    // A task that was estimated to take `estimate` took `run`.
    void onEnd(TimePoint now, Duration estimate, Duration run)
    {
        m_lastEndAt = now;
        if (std::exchange(m_probing, false)) {
            const double percent
                = 100 * static_cast<double>(run.count()) / static_cast<double>(std::max<int64_t>(estimate.count(), 1));
            const bool recovered = percent < std::max(slowPercent, probeGain * finishedPercent());
            m_probeInterval = recovered ? minProbeInterval : std::min(2 * m_probeInterval, maxProbeInterval);
            if (recovered)
                m_finishedWork = m_finishedTime = 0;
        }
        m_finishedWork = m_finishedWork * decayPerEnd + static_cast<double>(estimate.count());
        m_finishedTime = m_finishedTime * decayPerEnd + static_cast<double>(run.count());
    }

    // Returns whether a probe is due at an upstream on which `running` tasks run.
    bool isProbeDue(TimePoint now, size_t running) const
    {
        return running == 0 && !m_probing && finishedPercent() >= slowPercent && now - m_lastEndAt >= m_probeInterval;
    }
    // A probe has begun; no other task starts until it has ended.
    void beginProbe() { m_probing = true; }
    // A task has ended without a result, or was not started. It abandons a probe.
    void onStop(TimePoint now)
    {
        m_probing = false;
        m_lastEndAt = now;
    }
    bool probing() const { return m_probing; }
    // Returns the ratio that the probe shows so far, in percent, from 100: what was known before would have it moved elsewhere.
    uint32_t probePercent() const
    {
        const double ratio = (m_runningTime + weight(runningPriorWork)) / (m_runningWork + weight(runningPriorWork));
        return ratio > alarmRatio ? static_cast<uint32_t>(std::min(100 * ratio, 10000.0)) : 100;
    }

    // Starts a new pass over the current runs.
    void beginProgressRound()
    {
        m_runningWork = 0;
        m_runningTime = 0;
        m_runningJobs.clear();
    }

    // A current run of `job` has completed `percent` of its work in `elapsed`. Runs that have just started are ignored.
    void onProgress(const std::string& job, Duration estimate, Duration elapsed, uint32_t percent)
    {
        if (elapsed < minElapsed)
            return;
        m_runningJobs.insert(job);
        m_runningWork += static_cast<double>(estimate.count()) * percent / 100;
        m_runningTime += static_cast<double>(elapsed.count());
    }

    // Ends a pass. What runs of several jobs agree on is kept: their tasks are moved elsewhere and show it no longer.
    void endProgressRound()
    {
        const double ratio = runningRatio();
        if (m_runningJobs.size() < keptJobs || 100 * ratio < keptPercent || ratio < finishedPercent() / 100)
            return;
        m_finishedWork = weight(priorWork);
        m_finishedTime = (2 * ratio - 1) * weight(priorWork);
    }

    // Returns actual over estimated time in percent, from 10 to 10000.
    uint32_t percent() const
    {
        const double finishedRatio = finishedPercent() / 100;
        const double running = runningRatio();
        const double ratio = running > alarmRatio * finishedRatio ? running : finishedRatio;
        return static_cast<uint32_t>(std::clamp(100 * ratio, 10.0, 10000.0));
    }

    void reset() { *this = Slowness(); }

private:
    double runningRatio() const
    {
        return (m_runningTime + finishedPercent() / 100 * weight(runningPriorWork)) / (m_runningWork + weight(runningPriorWork));
    }

    double finishedPercent() const { return 100 * (m_finishedTime + weight(priorWork)) / (m_finishedWork + weight(priorWork)); }

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
    // The estimates of one job may be wrong by four times in all of its tasks.
    static constexpr size_t keptJobs = 3;
    static constexpr double keptPercent = 250;
    // From here on, entries place few or no tasks on the upstream: callers allow 160% of the estimate.
    static constexpr double slowPercent = 180;
    // A probe at this part of the known ratio shows a recovery too, if all estimates are too low. Single ones vary by 40%.
    static constexpr double probeGain = 0.25;
    static constexpr Duration minProbeInterval = std::chrono::milliseconds(500);
    static constexpr Duration maxProbeInterval = std::chrono::milliseconds(1000);

    double m_finishedWork = 0;
    double m_finishedTime = 0;
    double m_runningWork = 0;
    double m_runningTime = 0;
    std::set<std::string> m_runningJobs;
    TimePoint m_lastEndAt;
    Duration m_probeInterval = minProbeInterval;
    bool m_probing = false;
};

} // namespace fescuegw::arbiter
