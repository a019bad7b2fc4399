#include "fescuegw/direct/Placement.h"

#include <algorithm>
#include <array>

namespace fescuegw::direct {

namespace {

    // Finishes closer than this are alike; then the agent with more room is taken.
    constexpr Duration resolution = std::chrono::milliseconds(8);

    // Offers are some moments old, and other entries place by them too: of an upstream with little room left, some is gone by
    // the time that a task comes. Indexed by how many further tasks of the size would fit.
    constexpr std::array<Duration, 4> crowding { std::chrono::milliseconds(32), std::chrono::milliseconds(24),
        std::chrono::milliseconds(16), std::chrono::milliseconds(8) };

    bool hasLabel(const wire::UpstreamOffer& offer, const std::string& label)
    {
        return std::find(offer.labels().begin(), offer.labels().end(), label) != offer.labels().end();
    }

    Duration crowdingOf(const Resources& free, const Resources& need)
    {
        const int64_t further = free.coresMilli / std::max<int64_t>(need.coresMilli, 1) - 1;
        const auto n = static_cast<size_t>(std::max<int64_t>(further, 0));
        return n < crowding.size() ? crowding.at(n) : Duration();
    }

} // namespace

Placement::Placement(PlacementOptions options, std::function<uint64_t(uint64_t)> random)
    : m_options(options)
    , m_random(std::move(random))
{
}

std::optional<Duration> Placement::expectedRun(const AgentId& id, const AgentView& view, const PlacementWish& wish) const
{
    const StepDemand& step = *wish.step;
    if (!step.need.fitsInto(view.capacity) || (!step.requiredLabel.empty() && !hasLabel(view.offer, step.requiredLabel)))
        return std::nullopt;
    const auto shared = wish.sharing->find(id);
    if (step.spread > 0 && shared != wish.sharing->end() && shared->second >= step.spread)
        return std::nullopt;
    const bool remote = !step.dataLabel.empty() && !hasLabel(view.offer, step.dataLabel);
    const Duration run = std::chrono::milliseconds(step.estimateMs) * view.offer.slowness_percent() / 100;
    return remote ? run * m_options.remotePercent / 100 : run;
}

std::optional<Placed> Placement::place(const std::vector<UsableAgent>& agents, const PlacementWish& wish) const
{
    std::optional<Placed> best;
    Duration bestCost {};
    int64_t bestRoom = 0;
    bool bestAvoided = true;
    const size_t looks = agents.size() <= 2 * m_options.drawn ? agents.size() : m_options.drawn;
    const size_t offset = agents.empty() ? 0 : m_random(agents.size());
    // Beyond the drawn ones only when none of those will do.
    for (size_t n = 0; n < agents.size() && (n < looks || !best); ++n) {
        const auto& [id, view] = agents[(offset + n) % agents.size()];
        if (!wish.step->need.fitsInto(view->free))
            continue;
        const auto run = expectedRun(*id, *view, wish);
        if (!run || *run > wish.longestRun)
            continue;
        const bool avoided = wish.avoid->contains(*id);
        const Duration cost = *run + crowdingOf(view->free, wish.step->need);
        const bool sooner = cost / resolution < bestCost / resolution;
        const bool alike = cost / resolution == bestCost / resolution && view->free.coresMilli > bestRoom;
        if (!best || (bestAvoided && !avoided) || (avoided == bestAvoided && (sooner || alike))) {
            best = Placed { *id, *run };
            bestCost = cost;
            bestRoom = view->free.coresMilli;
            bestAvoided = avoided;
        }
    }
    return best;
}

} // namespace fescuegw::direct
