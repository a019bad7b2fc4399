// Refuses part of the jobs while tasks wait too long for the objectives of their jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "fescuegw/base/Types.h"

namespace fescuegw::direct {

struct LoadShedderOptions {
    bool enabled = true;
    // Time between two adjustments. Shorter than the slack of the shortest jobs, so that a burst is answered before its jobs are
    // late; longer than the time in which an adjustment shows in the waits.
    Duration period { std::chrono::milliseconds(50) };
    // Waits are compared with the slack of their jobs: the time that a job may wait without being late. Above the upper limit the
    // load is reduced, below the lower one it is raised. Between them it stays, so that it does not oscillate at the edge.
    uint32_t maxWaitPercent = 50;
    uint32_t minWaitPercent = 30;
    // A small excess of the waits lowers the share of admitted jobs by this, a larger one by up to `maxDecreasePercent`.
    double decreasePercent = 3;
    double maxDecreasePercent = 40;
    // Waits just below the lower limit raise the share by this, shorter ones by up to `maxIncreasePercent`: all of the load is
    // admitted again within a second of the end of an overload. The share of the most urgent priority rises by
    // `increasePercent` until waits have been short for `overloadMemory`.
    double increasePercent = 2;
    double maxIncreasePercent = 10;
    Duration overloadMemory { std::chrono::milliseconds(250) };
    // Less urgent jobs are never refused altogether.
    double minSharePercent = 5;
    // Without a more urgent job for this long, the next priority counts as the most urgent one.
    Duration priorityMemory { std::chrono::seconds(5) };
};

// What the decision on one job depends on.
struct JobCost {
    uint32_t priority = 0;
    // Resources over time that the job needs: cores (in thousandths) times milliseconds.
    double work = 0;

    friend bool operator==(const JobCost&, const JobCost&) = default;
};

// Handles a load beyond the capacity, of one kind of job or of all. Without it, jobs wait until their slack is used up: they are
// refused late, or start too late and use capacity for nothing, and a wide job is late by its last task.
//
// The most urgent priority is spared until nothing else is left to refuse. All less urgent ones lose the same share of their
// jobs, and among these the larger ones slightly more. Waits are measured, so the decision does not depend on estimates. Cost per
// job and per task is constant. Not thread-safe.
class LoadShedder {
public:
    // `random` returns a number below its argument.
    LoadShedder(LoadShedderOptions, std::function<uint64_t(uint64_t)> random);

    // A task of a job with `priority` was placed after `waited`, or still waits. `slack` is that of its job.
    void onWait(uint32_t priority, Duration waited, Duration slack);

    // Whether `update` is due: the caller reports the tasks that still wait before it.
    bool isDue(TimePoint now) const { return now >= m_updateDue; }
    void update(TimePoint now);

    // Decides on a job that was submitted now.
    bool admits(TimePoint now, const JobCost&);

    // Returns the share of jobs that are admitted, in percent.
    double admittedPercent(bool mostUrgent) const { return 100 * (mostUrgent ? m_urgentShare : m_share); }

    // Returns the number of seconds within which a refused caller finds capacity again, if the overload ends now. An upper bound:
    // assumes the slowest increase.
    uint32_t retryAfterS() const;

private:
    // Waits since the last adjustment, relative to the slack of their jobs.
    struct WaitMean {
        double sum = 0;
        uint64_t count = 0;

        double percent() const { return count == 0 ? 0 : 100 * sum / static_cast<double>(count); }
    };

    // Returns the factor by which the work of a job changes the share that is refused.
    double sizeFactor(const JobCost&);
    bool isMostUrgent(TimePoint now, uint32_t priority);
    double decreaseFor(double waitPercent) const;
    double increaseFor(double waitPercent) const;

    LoadShedderOptions m_options;
    std::function<uint64_t(uint64_t)> m_random;
    TimePoint m_updateDue;
    WaitMean m_waits;
    WaitMean m_urgentWaits;
    double m_urgentShare = 1;
    double m_share = 1;
    uint32_t m_urgentPriority = 0;
    TimePoint m_urgentSeen;
    bool m_hasSeenUrgent = false;
    TimePoint m_lessUrgentSeen;
    // Last update at which waits were not below the lower limit.
    TimePoint m_longWaitsSeen;
    // Mean work of a job, by priority.
    std::map<uint32_t, double> m_meanWork;
};

} // namespace fescuegw::direct
