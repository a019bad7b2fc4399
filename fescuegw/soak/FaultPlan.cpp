#include "fescuegw/soak/FaultPlan.h"

#include <algorithm>
#include <array>
#include <random>

namespace fescuegw::soak {

namespace {

    constexpr std::array processFaults { FaultKind::Kill, FaultKind::Stop, FaultKind::Pause, FaultKind::Reload };
    constexpr std::array linkFaults { FaultKind::CutBoth, FaultKind::CutOutward, FaultKind::CutInward, FaultKind::Delay,
        FaultKind::Reset, FaultKind::Silence };
    constexpr std::array upstreamFaults { FaultKind::Slow, FaultKind::Hang, FaultKind::Fail, FaultKind::LateOrders,
        FaultKind::Restart, FaultKind::Leave };
    constexpr std::array diskFaults { FaultKind::WipeDisk, FaultKind::TearLog };

    constexpr std::array runBoundUpstreamFaults { FaultKind::RefuseRepeats, FaultKind::LeaveUndone, FaultKind::LateOrders };
    constexpr std::array runBoundEntryFaults { FaultKind::Reset, FaultKind::CutBoth, FaultKind::Kill, FaultKind::Pause };

    constexpr std::array quickRestartsLinkFaults { FaultKind::Reset, FaultKind::CutBoth };

    // Connections are refused for less than any lease; capacities are small for longer than a shrunk capacity may be overlooked.
    constexpr uint32_t minRefusalMs = 50;
    constexpr uint32_t maxRefusalMs = 500;
    // Upstreams are back before their agents call them out of use.
    constexpr uint32_t minDownMs = 50;
    constexpr uint32_t maxDownMs = 500;
    constexpr uint32_t minShrinkMs = 4000;
    constexpr uint32_t maxShrinkMs = 7000;

    // Range of fault lengths, chosen to include values below and above every lease of the system.
    constexpr uint32_t minLengthMs = 50;
    constexpr uint32_t maxLengthMs = 3500;
    constexpr uint32_t maxGapMs = 1500;
    // Entries stand still for less and for more than callers wait before they send a job again.
    constexpr uint32_t minStallMs = 100;
    constexpr uint32_t maxStallMs = 4000;
    constexpr uint32_t maxRepeats = 4;
    // Between drains, orders without an answer lose their effect (Operator::setDrain).
    // All replicas are killed when a drain must have taken effect, an agent of the domain when they are back, and the drain is
    // withdrawn when the agent's longest absence is over.
    constexpr uint32_t minReplicasLossMs = 5100;
    constexpr uint32_t maxReplicasLossMs = 6000;
    constexpr uint32_t minReplicasDownMs = 50;
    constexpr uint32_t maxReplicasDownMs = 500;
    constexpr uint32_t minAgentLossMs = 7500;
    constexpr uint32_t maxAgentLossMs = 8500;
    constexpr uint32_t minDrainMs = 11500;
    constexpr uint32_t maxDrainMs = 12500;
    constexpr uint32_t minDrainGapMs = 6500;
    constexpr uint32_t maxDrainGapMs = 8000;
    // Keeps the draws of drains apart from those of faults.
    constexpr uint32_t drainsSalt = 0x64726169;
    constexpr uint32_t entryChangesSalt = 0x656e7472;
    // Percentage of series whose faults hit all targets of a type at once.
    constexpr uint32_t allTargetsPercent = 12;

    // Generates random faults for a fleet of the given size. Avoids the distributions of the standard library, whose results
    // differ between implementations: a seed must give the same plan everywhere.
    class FaultGenerator {
    public:
        FaultGenerator(uint32_t seed, const FleetSize& size)
            : m_random(seed)
            , m_size(size)
        {
        }

        uint32_t below(uint32_t bound) { return static_cast<uint32_t>(m_random() % bound); }
        Duration between(uint32_t minMs, uint32_t maxMs) { return std::chrono::milliseconds(minMs + below(maxMs - minMs + 1)); }

        uint32_t count(Target target) const
        {
            switch (target) {
            case Target::Entry:
                return m_size.entries;
            case Target::Replica:
                return m_size.replicas;
            case Target::Agent:
            case Target::Upstream:
                return m_size.agents;
            }
            return 1;
        }

        Fault nextRunBoundFault()
        {
            Fault fault;
            fault.target = below(2) == 0 ? Target::Upstream : Target::Entry;
            fault.kind = fault.target == Target::Upstream ? runBoundUpstreamFaults.at(below(runBoundUpstreamFaults.size()))
                                                          : runBoundEntryFaults.at(below(runBoundEntryFaults.size()));
            fault.index = below(count(fault.target));
            fault.length = between(minLengthMs, maxLengthMs);
            return fault;
        }

        Fault nextCrashesFault()
        {
            Fault fault;
            fault.target = Target::Upstream;
            fault.kind = below(2) == 0 ? FaultKind::ResetAndRefuse : FaultKind::Shrink;
            fault.index = below(count(fault.target));
            fault.length
                = fault.kind == FaultKind::Shrink ? between(minShrinkMs, maxShrinkMs) : between(minRefusalMs, maxRefusalMs);
            return fault;
        }

        Fault nextQuickRestartsFault()
        {
            Fault fault;
            // Weights in percent: crashes 55, refused connections 15, late orders 15, network faults 15.
            const uint32_t category = below(100);
            fault.target = category < 85 ? Target::Upstream : Target::Entry;
            fault.length = between(minLengthMs, maxLengthMs);
            if (category < 55) {
                fault.kind = FaultKind::Crash;
                fault.length = between(minDownMs, maxDownMs);
            } else if (category < 70) {
                fault.kind = FaultKind::ResetAndRefuse;
                fault.length = between(minRefusalMs, maxRefusalMs);
            } else if (category < 85) {
                fault.kind = FaultKind::LateOrders;
            } else {
                fault.kind = quickRestartsLinkFaults.at(below(quickRestartsLinkFaults.size()));
            }
            fault.index = below(count(fault.target));
            return fault;
        }

        Fault nextStall()
        {
            Fault fault;
            fault.kind = FaultKind::Pause;
            fault.index = below(count(fault.target));
            fault.length = between(minStallMs, maxStallMs);
            return fault;
        }

        Fault nextLateLeasesFault()
        {
            Fault fault;
            // Weights in percent: late orders 50, agents that are killed 20 and paused 15, entries that are paused 15.
            const uint32_t category = below(100);
            if (category < 50) {
                fault.kind = FaultKind::LateOrders;
                fault.target = Target::Upstream;
            } else {
                fault.kind = category < 70 ? FaultKind::Kill : FaultKind::Pause;
                fault.target = category < 85 ? Target::Agent : Target::Entry;
            }
            fault.index = below(count(fault.target));
            fault.length = between(minLengthMs, maxLengthMs);
            return fault;
        }

        Fault nextDrainsFault()
        {
            Fault fault = nextFault();
            while (fault.target == Target::Replica)
                fault = nextFault();
            return fault;
        }

        Fault nextFault()
        {
            Fault fault;
            // Weights in percent: process faults 40, network faults 30, upstream faults 22, disk faults 8.
            const uint32_t category = below(100);
            if (category < 40) {
                fault.kind = processFaults.at(below(processFaults.size()));
                fault.target = std::array { Target::Entry, Target::Agent, Target::Replica }.at(below(3));
            } else if (category < 70) {
                fault.kind = linkFaults.at(below(linkFaults.size()));
                fault.target = std::array { Target::Entry, Target::Replica, Target::Upstream }.at(below(3));
            } else if (category < 92) {
                fault.kind = upstreamFaults.at(below(upstreamFaults.size()));
                fault.target = Target::Upstream;
            } else {
                fault.kind = diskFaults.at(below(diskFaults.size()));
                fault.target = Target::Replica;
            }
            fault.index = below(count(fault.target));
            fault.length = between(minLengthMs, maxLengthMs);
            return fault;
        }

    private:
        std::mt19937 m_random;
        FleetSize m_size;
    };

    // A disk may be lost only if at least `minWipeInterval` lies between the loss and any other fault of a replica.
    bool isAllowedAfter(const Fault& earlier, const Fault& later, Duration minWipeInterval)
    {
        const bool bothHitReplicas = earlier.target == Target::Replica && later.target == Target::Replica;
        const bool losesDisk = earlier.kind == FaultKind::WipeDisk || later.kind == FaultKind::WipeDisk;
        return !bothHitReplicas || !losesDisk || later.at >= earlier.at + earlier.length + minWipeInterval;
    }

    // Removes disk losses that are too close to an earlier replica fault, and replica faults too close to an earlier disk loss.
    std::vector<Fault> removeCloseWipes(const std::vector<Fault>& plan, Duration minWipeInterval)
    {
        std::vector<Fault> kept;
        for (const auto& it : plan)
            if (std::all_of(
                    kept.begin(), kept.end(), [&](const Fault& earlier) { return isAllowedAfter(earlier, it, minWipeInterval); }))
                kept.push_back(it);
        return kept;
    }

} // namespace

std::string_view toString(FaultKind kind)
{
    constexpr std::array<std::string_view, 23> names { "kill", "stop", "pause", "reload", "cut_both", "cut_outward", "cut_inward",
        "delay", "reset", "silence", "slow", "hang", "fail", "late_orders", "restart", "leave", "wipe_disk", "tear_log",
        "refuse_repeats", "leave_undone", "reset_and_refuse", "shrink", "crash" };
    return names.at(static_cast<size_t>(kind));
}

std::string_view toString(Target target)
{
    constexpr std::array<std::string_view, 4> names { "entry", "agent", "replica", "upstream" };
    return names.at(static_cast<size_t>(target));
}

std::string toString(const Fault& fault)
{
    return std::to_string(toMs(fault.at)) + " ms: " + std::string(toString(fault.kind)) + " "
        + std::string(toString(fault.target)) + std::to_string(fault.index) + " for " + std::to_string(toMs(fault.length))
        + " ms";
}

std::vector<DomainDrain> drawDrains(uint32_t seed, const FleetSize& size, const PlanOptions& options)
{
    std::vector<DomainDrain> drains;
    if (!options.drains)
        return drains;
    FaultGenerator generator(seed ^ drainsSalt, size);
    Duration at = options.calm + generator.between(0, maxDrainGapMs - minDrainGapMs);
    while (true) {
        const DomainDrain drain { at, generator.between(minDrainMs, maxDrainMs), generator.below(size.domains) };
        if (drain.at + drain.length > options.length)
            return drains;
        drains.push_back(drain);
        at = drain.at + drain.length + generator.between(minDrainGapMs, maxDrainGapMs);
    }
}

std::vector<EntryChange> drawEntryChanges(uint32_t seed, const FleetSize& size, const PlanOptions& options, Duration minGap)
{
    FaultGenerator generator(seed ^ entryChangesSalt, size);
    const auto gapMs = static_cast<uint32_t>(toMs(minGap));
    std::vector<EntryChange> changes;
    EntryChange next { options.calm, generator.below(size.entries) };
    while (next.at < options.length && (changes.empty() || size.entries > 1)) {
        changes.push_back(next);
        next.at += generator.between(gapMs, 2 * gapMs);
        next.entry = size.entries > 1 ? (next.entry + 1 + generator.below(size.entries - 1)) % size.entries : next.entry;
    }
    return changes;
}

std::vector<Fault> drawPlan(uint32_t seed, const FleetSize& size, const PlanOptions& options)
{
    FaultGenerator generator(seed, size);
    std::vector<Fault> plan;
    const auto lastMs = static_cast<uint32_t>(toMs(options.length) - (options.stalls ? maxStallMs : maxLengthMs));
    for (uint32_t n = 0; n < options.series; ++n) {
        Fault fault = options.stalls ? generator.nextStall()
            : options.lateLeases     ? generator.nextLateLeasesFault()
            : options.quickRestarts  ? generator.nextQuickRestartsFault()
            : options.crashes        ? generator.nextCrashesFault()
            : options.runBounds      ? generator.nextRunBoundFault()
            : options.drains         ? generator.nextDrainsFault()
                                     : generator.nextFault();
        fault.at = options.calm + generator.between(0, lastMs - static_cast<uint32_t>(toMs(options.calm)));
        const bool allTargets = generator.below(100) < allTargetsPercent && fault.kind != FaultKind::WipeDisk;
        const uint32_t repeats = fault.kind == FaultKind::WipeDisk ? 1 : 1 + generator.below(maxRepeats);
        for (uint32_t i = 0; i < repeats && fault.at + fault.length < options.length; ++i) {
            const uint32_t first = fault.index;
            for (uint32_t k = 0; k < (allTargets ? generator.count(fault.target) : 1); ++k) {
                fault.index = (first + k) % generator.count(fault.target);
                plan.push_back(fault);
            }
            fault.index = generator.below(2) == 0 ? first : generator.below(generator.count(fault.target));
            fault.at += generator.between(0, maxGapMs);
        }
    }
    FaultGenerator lossGenerator(~(seed ^ drainsSalt), size);
    for (const auto& it : drawDrains(seed, size, options)) {
        const Duration replicasLost = it.at + lossGenerator.between(minReplicasLossMs, maxReplicasLossMs);
        const Duration replicasDown = lossGenerator.between(minReplicasDownMs, maxReplicasDownMs);
        for (uint32_t k = 0; k < size.replicas; ++k)
            plan.push_back({ replicasLost, FaultKind::Kill, Target::Replica, k, replicasDown });
        const uint32_t inDomain = (size.agents + size.domains - 1 - it.domain) / size.domains;
        if (inDomain == 0)
            continue;
        const uint32_t agent = it.domain + size.domains * lossGenerator.below(inDomain);
        const Duration agentLost = it.at + lossGenerator.between(minAgentLossMs, maxAgentLossMs);
        plan.push_back({ agentLost, FaultKind::Kill, Target::Agent, agent, replicasDown });
    }
    std::sort(plan.begin(), plan.end());
    return removeCloseWipes(plan, options.minWipeInterval);
}

} // namespace fescuegw::soak
