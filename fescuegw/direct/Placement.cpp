#include "fescuegw/direct/Placement.h"

#include <algorithm>
#include <array>

namespace fescuegw::direct {

namespace {

    // Finishes closer than this are alike; then the agent with more room is taken.
    constexpr Duration resolution = std::chrono::milliseconds(8);

    // Offers are some moments old, and other entries place by them too: of an upstream with little room left, some is gone by
    // the time that a task comes. Indexed by how many further tasks of the size would fit.
    constexpr std::array crowding { std::chrono::milliseconds(32), std::chrono::milliseconds(24), std::chrono::milliseconds(16),
        std::chrono::milliseconds(8) };

    bool hasLabel(const wire::UpstreamOffer& offer, const std::string& label)
    {
        return std::find(offer.labels().begin(), offer.labels().end(), label) != offer.labels().end();
    }

    Duration fromMs(uint64_t ms) { return std::chrono::milliseconds(ms); }

} // namespace

Placement::Placement(PlacementOptions options, const OfferBook& book, std::function<uint64_t(uint64_t)> random)
    : m_options(options)
    , m_book(book)
    , m_random(std::move(random))
{
}

const Placement::Agents& Placement::agentsOf(TimePoint now, const std::string& service)
{
    const auto it = m_agents.find(service);
    return it != m_agents.end() ? it->second : m_agents.emplace(service, m_book.usable(now, service)).first->second;
}

Placed Placement::estimate(const AgentId& id, const AgentView& view, uint32_t priority, const StepDemand& step) const
{
    const bool remote = !step.dataLabel.empty() && !hasLabel(view.offer, step.dataLabel);
    const uint64_t percent = remote ? m_options.remotePercent : 100;
    const Duration run = fromMs(step.estimateMs) * view.offer.slowness_percent() / 100 * percent / 100;
    Resources free = view.free;
    const auto tentative = m_tentative.find(id);
    if (tentative != m_tentative.end())
        free -= tentative->second.taken;
    Placed placed { id, {}, {}, {} };
    if (!step.need.fitsInto(free)) {
        const int n = view.offer.start_in_ms_size();
        if (n > 0)
            placed.wait = fromMs(view.offer.start_in_ms(std::min(static_cast<int>(priority), n - 1)));
        // What was sent since the offer, or is about to be, is not in its delays: it takes its share of the whole upstream.
        int64_t ahead = tentative == m_tentative.end() ? 0 : tentative->second.taken.coresMilli;
        for (const auto& it : view.unseen)
            ahead += it.second.coresMilli;
        placed.wait += run * ahead / std::max<int64_t>(view.capacity.coresMilli, 1);
    }
    placed.finish = placed.wait + run;
    const int64_t further = free.coresMilli / std::max<int64_t>(step.need.coresMilli, 1) - 1;
    placed.cost = placed.finish + (further < static_cast<int64_t>(crowding.size()) ? Duration(crowding.at(static_cast<size_t>(std::max<int64_t>(further, 0)))) : Duration());
    return placed;
}

std::optional<Placed> Placement::place(TimePoint now, const std::string& service, uint32_t priority, const StepDemand& step,
    const std::set<AgentId>& avoid, std::map<AgentId, uint32_t>& sharing)
{
    const Agents& agents = agentsOf(now, service);
    std::optional<Placed> best;
    int64_t bestRoom = 0;
    bool bestAvoided = true;
    const size_t looks = agents.size() <= 2 * m_options.drawn ? agents.size() : m_options.drawn;
    const size_t offset = agents.empty() ? 0 : m_random(agents.size());
    // Beyond the drawn ones only when none of those will do.
    for (size_t n = 0; n < agents.size() && (n < looks || !best); ++n) {
        const auto& [id, view] = agents[(offset + n) % agents.size()];
        if (!step.need.fitsInto(view->capacity) || (!step.requiredLabel.empty() && !hasLabel(view->offer, step.requiredLabel)))
            continue;
        if (step.spread > 0 && sharing[*id] >= step.spread)
            continue;
        const Placed candidate = estimate(*id, *view, priority, step);
        const auto tentative = m_tentative.find(*id);
        const int64_t room = view->free.coresMilli - (tentative == m_tentative.end() ? 0 : tentative->second.taken.coresMilli);
        const bool avoided = avoid.contains(*id);
        const bool sooner = best && candidate.cost / resolution < best->cost / resolution;
        const bool alike = best && candidate.cost / resolution == best->cost / resolution;
        if (!best || (bestAvoided && !avoided) || (avoided == bestAvoided && (sooner || (alike && room > bestRoom)))) {
            best = candidate;
            bestRoom = room;
            bestAvoided = avoided;
        }
    }
    if (best) {
        m_tentative[best->agent].taken += step.need;
        ++sharing[best->agent];
    }
    return best;
}

} // namespace fescuegw::direct
