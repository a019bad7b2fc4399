#include <algorithm>

#include <criterion/criterion.h>

#include "fescuegw/soak/FaultPlan.h"

namespace fescuegw::soak {

namespace {

    // FNV-1a over the text of the plans of seeds 1 to 100.
    uint64_t digestOfPlans(const PlanOptions& options)
    {
        constexpr uint64_t basis = 14695981039346656037U;
        constexpr uint64_t prime = 1099511628211U;
        uint64_t digest = basis;
        for (uint32_t seed = 1; seed <= 100; ++seed)
            for (const auto& it : drawPlan(seed, {}, options))
                for (const char c : toString(it))
                    digest = (digest ^ static_cast<unsigned char>(c)) * prime;
        return digest;
    }

} // namespace

Test(faultPlan, seedsThatFailedOnceKeepTheirPlans)
{
    PlanOptions options;
    cr_assert_eq(digestOfPlans(options), 13106299938810014584U);
    options.runBounds = true;
    options.series = 8;
    cr_assert_eq(digestOfPlans(options), 9806429866781286070U);
    options.runBounds = false;
    options.crashes = true;
    cr_assert_eq(digestOfPlans(options), 7678949933181241034U);
}

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

Test(faultPlan, aCrashesPlanRefusesBrieflyAndShrinksForLongerThanMayBeOverlooked)
{
    PlanOptions options;
    options.crashes = true;
    size_t refusals = 0;
    size_t shrinks = 0;
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        for (const auto& it : drawPlan(seed, {}, options)) {
            cr_assert(it.target == Target::Upstream);
            cr_assert(it.at >= options.calm && it.at + it.length <= options.length);
            if (it.kind == FaultKind::ResetAndRefuse) {
                ++refusals;
                cr_assert(it.length >= std::chrono::milliseconds(50) && it.length <= std::chrono::milliseconds(500));
            } else {
                ++shrinks;
                cr_assert(it.kind == FaultKind::Shrink && it.length > std::chrono::milliseconds(3500));
            }
        }
    }
    cr_assert_gt(refusals, 100U);
    cr_assert_gt(shrinks, 100U);
}

Test(faultPlan, aQuickRestartsPlanBringsCrashedUpstreamsBackWithinHalfASecond)
{
    PlanOptions options;
    options.quickRestarts = true;
    std::array<size_t, static_cast<size_t>(FaultKind::Crash) + 1> kinds {};
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        for (const auto& it : drawPlan(seed, {}, options)) {
            ++kinds.at(static_cast<size_t>(it.kind));
            cr_assert(it.at >= options.calm && it.at + it.length <= options.length);
            const bool hitsEntry = it.kind == FaultKind::Reset || it.kind == FaultKind::CutBoth;
            cr_assert(it.target == (hitsEntry ? Target::Entry : Target::Upstream));
            if (it.kind == FaultKind::Crash)
                cr_assert(it.length >= std::chrono::milliseconds(50) && it.length <= std::chrono::milliseconds(500));
        }
    }
    size_t others = 0;
    for (const FaultKind it : { FaultKind::ResetAndRefuse, FaultKind::LateOrders, FaultKind::Reset, FaultKind::CutBoth }) {
        cr_assert_gt(kinds.at(static_cast<size_t>(it)), 10U);
        others += kinds.at(static_cast<size_t>(it));
    }
    cr_assert_gt(kinds.at(static_cast<size_t>(FaultKind::Crash)), others);
}

Test(faultPlan, aStallsPlanHasEntriesThatStandStillAtOneTime)
{
    PlanOptions options;
    options.stalls = true;
    size_t longer = 0;
    size_t overlaps = 0;
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        const auto plan = drawPlan(seed, {}, options);
        for (const auto& it : plan) {
            cr_assert(it.kind == FaultKind::Pause && it.target == Target::Entry);
            cr_assert(it.at >= options.calm && it.at + it.length <= options.length);
            cr_assert(it.length >= std::chrono::milliseconds(100) && it.length <= std::chrono::milliseconds(4000));
            longer += it.length > std::chrono::milliseconds(1300) ? 1 : 0;
            overlaps += static_cast<size_t>(std::count_if(plan.begin(), plan.end(), [&](const Fault& other) {
                return other.index != it.index && other.at < it.at && it.at < other.at + other.length;
            }));
        }
    }
    cr_assert_gt(longer, 300U);
    cr_assert_gt(overlaps, 300U);
}

Test(faultPlan, aLateLeasesPlanHasLateOrdersLostAndPausedAgentsAndPausedEntries)
{
    PlanOptions options;
    options.lateLeases = true;
    options.series = 12;
    size_t lateOrders = 0;
    size_t killedAgents = 0;
    size_t pausedAgents = 0;
    size_t pausedEntries = 0;
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        for (const auto& it : drawPlan(seed, {}, options)) {
            cr_assert(it.at >= options.calm && it.at + it.length <= options.length);
            if (it.kind == FaultKind::LateOrders) {
                ++lateOrders;
                cr_assert(it.target == Target::Upstream);
            } else if (it.kind == FaultKind::Kill) {
                ++killedAgents;
                cr_assert(it.target == Target::Agent);
            } else {
                ++(it.target == Target::Agent ? pausedAgents : pausedEntries);
                cr_assert(it.kind == FaultKind::Pause && (it.target == Target::Agent || it.target == Target::Entry));
            }
        }
    }
    cr_assert_gt(killedAgents, 100U);
    cr_assert_gt(pausedAgents, 100U);
    cr_assert_gt(pausedEntries, 100U);
    cr_assert_gt(lateOrders, killedAgents);
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

// A drain that is too short for its bound, or without the losses that it has to outlive, would test nothing.
Test(faultPlan, everyDrainOutlivesTheLossOfAllReplicasAndOfAnAgentOfItsDomain)
{
    PlanOptions options;
    options.drains = true;
    options.length = std::chrono::seconds(30);
    const FleetSize size;
    std::vector<size_t> perDomain(size.domains);
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        const auto plan = drawPlan(seed, size, options);
        const auto drains = drawDrains(seed, size, options);
        cr_assert(drains == drawDrains(seed, size, options));
        cr_assert(!drains.empty());
        Duration before = options.calm;
        for (const auto& drain : drains) {
            ++perDomain.at(drain.domain);
            cr_assert(drain.at >= before);
            before = drain.at + drain.length;
            cr_assert(before <= options.length);
            size_t replicas = 0;
            size_t agents = 0;
            for (const auto& it : plan) {
                const bool during = it.at > drain.at + std::chrono::seconds(5) && it.at + it.length < before;
                const bool isKill = it.kind == FaultKind::Kill && during;
                replicas += isKill && it.target == Target::Replica ? 1 : 0;
                agents += isKill && it.target == Target::Agent && it.index % size.domains == drain.domain ? 1 : 0;
            }
            cr_assert_eq(replicas, size.replicas);
            cr_assert_geq(agents, 1U);
        }
    }
    cr_assert(std::all_of(perDomain.begin(), perDomain.end(), [](size_t n) { return n > 0; }));
    cr_assert(drawDrains(1, size, {}).empty());
}

// Callers that stay at one entry, or that avoid one in all plans, would not show what a change of the entry does.
Test(faultPlan, entryChangesReachEveryEntryAndAlwaysAnotherOne)
{
    const PlanOptions options;
    FleetSize size;
    size.entries = 3;
    constexpr Duration gap = std::chrono::milliseconds(1000);
    std::vector<size_t> perEntry(size.entries);
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        const auto changes = drawEntryChanges(seed, size, options, gap);
        cr_assert(changes == drawEntryChanges(seed, size, options, gap));
        cr_assert_geq(changes.size(), 6U);
        cr_assert(changes.front().at == options.calm);
        cr_assert(changes.back().at < options.length);
        ++perEntry.at(changes.front().entry);
        for (size_t i = 1; i < changes.size(); ++i) {
            ++perEntry.at(changes[i].entry);
            cr_assert_neq(changes[i].entry, changes[i - 1].entry);
            cr_assert(changes[i].at >= changes[i - 1].at + gap && changes[i].at <= changes[i - 1].at + 2 * gap);
        }
    }
    cr_assert(std::all_of(perEntry.begin(), perEntry.end(), [](size_t n) { return n > 0; }));
    size.entries = 1;
    const std::vector<EntryChange> single { { options.calm, 0 } };
    cr_assert(drawEntryChanges(1, size, options, gap) == single);
}

} // namespace fescuegw::soak
