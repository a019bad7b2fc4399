#include <algorithm>

#include <criterion/criterion.h>

#include "fescuegw/soak/FaultPlan.h"

namespace fescuegw::soak {

Test(faultPlan, theSameSeedGivesTheSamePlan)
{
    const FleetSize size;
    cr_assert(drawPlan(7, size, {}) == drawPlan(7, size, {}));
    cr_assert(drawPlan(7, size, {}) != drawPlan(8, size, {}));
}

Test(faultPlan, generatesEveryKindWithinBounds)
{
    const FleetSize size;
    const PlanOptions options;
    std::array<size_t, static_cast<size_t>(FaultKind::TearLog) + 1> kinds {};
    for (uint32_t seed = 1; seed <= 300; ++seed) {
        for (const auto& it : drawPlan(seed, size, options)) {
            ++kinds.at(static_cast<size_t>(it.kind));
            cr_assert(it.at >= options.calm && it.at + it.length <= options.length);
            cr_assert(it.index < (it.target == Target::Entry ? size.entries
                              : it.target == Target::Replica ? size.replicas
                                                             : size.agents));
        }
    }
    cr_assert(std::all_of(kinds.begin(), kinds.end(), [](size_t n) { return n > 0; }));
}

Test(faultPlan, aRunBoundsPlanHitsOnlyUpstreamsAndEntries)
{
    PlanOptions options;
    options.runBounds = true;
    std::array<size_t, static_cast<size_t>(FaultKind::LeaveUndone) + 1> kinds {};
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        for (const auto& it : drawPlan(seed, {}, options)) {
            ++kinds.at(static_cast<size_t>(it.kind));
            cr_assert(it.target == Target::Upstream || it.target == Target::Entry);
        }
    }
    for (const FaultKind it : { FaultKind::RefuseRepeats, FaultKind::LeaveUndone, FaultKind::LateOrders, FaultKind::Reset,
             FaultKind::CutBoth, FaultKind::Kill, FaultKind::Pause })
        cr_assert_gt(kinds.at(static_cast<size_t>(it)), 0U);
}

Test(faultPlan, losesADiskOnlyAwayFromOtherReplicaFaults)
{
    const PlanOptions options;
    for (uint32_t seed = 1; seed <= 300; ++seed) {
        const auto plan = drawPlan(seed, {}, options);
        for (const auto& wipe : plan) {
            if (wipe.kind != FaultKind::WipeDisk)
                continue;
            for (const auto& it : plan)
                cr_assert(it == wipe || it.target != Target::Replica || it.at + it.length <= wipe.at - options.minWipeInterval
                        || it.at >= wipe.at + wipe.length + options.minWipeInterval,
                    "seed %u", seed);
        }
    }
}

} // namespace fescuegw::soak
