#include "fescuegw/direct/Admission.h"

#include <algorithm>

namespace fescuegw::direct {

Duration criticalPath(const JobSpecification& job)
{
    std::vector<Duration> ends;
    Duration longest {};
    for (const auto& step : job.steps) {
        Duration start {};
        for (const uint32_t it : step.after)
            start = std::max(start, ends[it]);
        ends.push_back(start + std::chrono::milliseconds(step.count > 0 ? step.estimateMs : 0));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

Duration Admission::objective(const JobRequest& request) const
{
    return criticalPath(request.job) * request.route.stretch_percent() / 100
        + std::chrono::milliseconds(request.route.latency_target_ms());
}

Duration Admission::usefulAnswerTime(const JobRequest& request) const
{
    return std::min(request.patience, m_options.usefulObjectiveMultiple * objective(request));
}

Duration Admission::maxWait(const JobRequest& request) const
{
    const Duration slack = std::min(objective(request), request.patience) - criticalPath(request.job) - m_options.overhead;
    return std::max(slack, Duration());
}

JobCost Admission::cost(const JobRequest& request)
{
    JobCost cost { request.route.priority(), 0 };
    for (const auto& it : request.job.steps)
        cost.work += static_cast<double>(it.need.coresMilli) * it.count * it.estimateMs;
    return cost;
}

} // namespace fescuegw::direct
