#include "fescuegw/load/Baseline.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace fescuegw::load {

namespace {

    // When each slot of one queue is free again.
    using FreeTimes = std::priority_queue<Duration, std::vector<Duration>, std::greater<>>;

    FreeTimes freeSlots(uint32_t n)
    {
        FreeTimes times;
        for (uint32_t i = 0; i < n; ++i)
            times.push(Duration(0));
        return times;
    }

    // Runs one task from `arrival` on in the slot that is free first, and returns its end.
    Duration runTask(FreeTimes& slots, Duration arrival, Duration run)
    {
        const Duration end = std::max(slots.top(), arrival) + run;
        slots.pop();
        slots.push(end);
        return end;
    }

    struct Worker {
        FreeTimes slots;
        // Ends of the tasks bound to it.
        std::vector<Duration> ends;

        size_t loadAt(Duration time) const
        {
            return static_cast<size_t>(std::count_if(ends.begin(), ends.end(), [time](Duration it) { return it > time; }));
        }
    };

} // namespace

std::vector<Duration> idealResponses(const std::vector<Job>& jobs, uint32_t slots, Duration roundTrips)
{
    FreeTimes free = freeSlots(slots);
    std::vector<Duration> responses;
    for (const auto& job : jobs) {
        std::vector<Duration> runs = job.runs;
        std::sort(runs.begin(), runs.end(), std::greater<>());
        Duration last(0);
        for (const Duration run : runs)
            last = std::max(last, runTask(free, job.arrival, run));
        responses.push_back(last - job.arrival + roundTrips);
    }
    return responses;
}

std::vector<Duration> boundResponses(
    const std::vector<Job>& jobs, const Profile& profile, Policy policy, Duration loadAge, Duration roundTrips)
{
    std::mt19937_64 random(profile.seed);
    std::vector<Worker> workers(profile.workers);
    for (auto& it : workers)
        it.slots = freeSlots(profile.slots);
    size_t turn = 0;
    std::vector<Duration> responses;
    for (const auto& job : jobs) {
        Duration last(0);
        for (const Duration run : job.runs) {
            size_t chosen = random() % workers.size();
            if (policy == Policy::RoundRobin)
                chosen = turn++ % workers.size();
            if (policy == Policy::TwoChoices) {
                const size_t other = random() % workers.size();
                const Duration known = job.arrival - loadAge;
                if (workers[other].loadAt(known) < workers[chosen].loadAt(known))
                    chosen = other;
            }
            const Duration end = runTask(workers[chosen].slots, job.arrival, run);
            workers[chosen].ends.push_back(end);
            last = std::max(last, end);
        }
        responses.push_back(last - job.arrival + roundTrips);
        for (auto& it : workers)
            std::erase_if(it.ends, [&](Duration end) { return end < job.arrival - loadAge; });
    }
    return responses;
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<size_t>(std::lround(q * static_cast<double>(values.size() - 1)));
    return values[at];
}

} // namespace fescuegw::load
