#include "fescuegw/direct/Placement.h"

#include <algorithm>
#include <array>

namespace fescuegw::direct {

namespace {

    // Expected finish times are compared in steps of this length; when they are equal, the agent with more free cores is
    // selected.
    constexpr Duration finishTimeResolution = std::chrono::milliseconds(8);

    // Penalties by the number of further tasks of the same size that would fit. Offers are slightly out of date and other
    // entries act on them too, so some of the free capacity of a nearly full upstream is taken by the time that a task arrives.
    constexpr std::array<Duration, 4> crowdingPenalties { std::chrono::milliseconds(32), std::chrono::milliseconds(24),
        std::chrono::milliseconds(16), std::chrono::milliseconds(8) };

    bool hasLabel(const wire::UpstreamOffer& offer, const std::string& label)
    {
        return std::find(offer.labels().begin(), offer.labels().end(), label) != offer.labels().end();
    }

    Duration crowdingPenaltyFor(const Resources& free, const Resources& need)
    {
        const int64_t further = free.coresMilli / std::max<int64_t>(need.coresMilli, 1) - 1;
        const auto n = static_cast<size_t>(std::max<int64_t>(further, 0));
        return n < crowdingPenalties.size() ? crowdingPenalties.at(n) : Duration();
    }

} // namespace

Placement::Placement(PlacementOptions options, std::function<uint64_t(uint64_t)> random)
    : m_options(options)
    , m_random(std::move(random))
{
}

std::optional<Duration> Placement::expectedRun(const AgentId& id, const AgentView& view, const PlacementRequest& request) const
{
    const StepDemand& step = *request.step;
    if (!step.need.fitsInto(view.capacity) || (!step.requiredLabel.empty() && !hasLabel(view.offer, step.requiredLabel)))
        return std::nullopt;
    const auto shared = request.tasksPerAgent->find(id);
    if (step.spread > 0 && shared != request.tasksPerAgent->end() && shared->second >= step.spread)
        return std::nullopt;
    if (view.offer.ejected_percent() > 0 && !request.mayProbe && !request.despiteEjection)
        return std::nullopt;
    const bool remote = !step.dataLabel.empty() && !hasLabel(view.offer, step.dataLabel);
    const Duration run = std::chrono::milliseconds(step.estimateMs) * view.offer.slowness_percent() / 100;
    const Duration delay = std::chrono::milliseconds(view.offer.delay_ms());
    return delay + (remote ? run * m_options.remotePercent / 100 : run);
}

std::optional<PlacementResult> Placement::place(const std::vector<UsableAgent>& agents, const PlacementRequest& request) const
{
    std::optional<PlacementResult> best;
    Duration bestCost {};
    int64_t bestFreeCores = 0;
    bool bestAvoided = true;
    const size_t sampled = agents.size() <= 2 * m_options.sampleSize ? agents.size() : m_options.sampleSize;
    const size_t offset = agents.empty() ? 0 : m_random(agents.size());
    // Continues beyond the sample only when no agent in it is suitable.
    for (size_t n = 0; n < agents.size() && (n < sampled || !best); ++n) {
        const auto& [id, view] = agents[(offset + n) % agents.size()];
        if (!request.step->need.fitsInto(view->free))
            continue;
        const auto run = expectedRun(*id, *view, request);
        if (!run || *run > request.maxRun)
            continue;
        const bool avoided = request.avoidedAgents->contains(*id);
        // A second failure costs at least one more run.
        const bool mayFailAgain = request.failedDomains != nullptr && request.failedDomains->contains(view->offer.domain());
        const Duration cost = *run + crowdingPenaltyFor(view->free, request.step->need) + (mayFailAgain ? *run : Duration());
        const bool sooner = cost / finishTimeResolution < bestCost / finishTimeResolution;
        const bool moreCores
            = cost / finishTimeResolution == bestCost / finishTimeResolution && view->free.coresMilli > bestFreeCores;
        if (!best || (bestAvoided && !avoided) || (avoided == bestAvoided && (sooner || moreCores))) {
            best = PlacementResult { *id, *run };
            bestCost = cost;
            bestFreeCores = view->free.coresMilli;
            bestAvoided = avoided;
        }
    }
    return best;
}

} // namespace fescuegw::direct
