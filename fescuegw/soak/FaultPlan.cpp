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

    // Lengths are drawn between these: below and above every lease of the system.
    constexpr uint32_t shortestMs = 50;
    constexpr uint32_t longestMs = 3500;
    constexpr uint32_t longestGapMs = 1500;
    constexpr uint32_t mostRepeats = 4;
    // In this many of a hundred series all targets of a kind are struck at once.
    constexpr uint32_t allAtOncePercent = 12;

    // Draws faults for a fleet of a size. The library's distributions differ between implementations, so that none is used: a
    // seed is to mean the same everywhere.
    class Draw {
    public:
        Draw(uint32_t seed, const FleetSize& size)
            : m_random(seed)
            , m_size(size)
        {
        }

        uint32_t below(uint32_t bound) { return static_cast<uint32_t>(m_random() % bound); }
        Duration between(uint32_t leastMs, uint32_t mostMs)
        {
            return std::chrono::milliseconds(leastMs + below(mostMs - leastMs + 1));
        }

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

        Fault one()
        {
            Fault fault;
            // Of a hundred series: processes, links, upstreams, disks.
            const uint32_t family = below(100);
            if (family < 40) {
                fault.kind = processFaults.at(below(processFaults.size()));
                fault.target = std::array { Target::Entry, Target::Agent, Target::Replica }.at(below(3));
            } else if (family < 70) {
                fault.kind = linkFaults.at(below(linkFaults.size()));
                fault.target = std::array { Target::Entry, Target::Replica, Target::Upstream }.at(below(3));
            } else if (family < 92) {
                fault.kind = upstreamFaults.at(below(upstreamFaults.size()));
                fault.target = Target::Upstream;
            } else {
                fault.kind = diskFaults.at(below(diskFaults.size()));
                fault.target = Target::Replica;
            }
            fault.index = below(count(fault.target));
            fault.length = between(shortestMs, longestMs);
            return fault;
        }

    private:
        std::mt19937 m_random;
        FleetSize m_size;
    };

    // A disk is lost only when `apart` has passed since the last disturbance of any replica, and before the next one.
    bool mayFollow(const Fault& earlier, const Fault& later, Duration apart)
    {
        const bool ofReplicas = earlier.target == Target::Replica && later.target == Target::Replica;
        const bool losesDisk = earlier.kind == FaultKind::WipeDisk || later.kind == FaultKind::WipeDisk;
        return !ofReplicas || !losesDisk || later.at >= earlier.at + earlier.length + apart;
    }

    // Leaves out losses of disks beyond what is to be borne, and what would strike a replica too soon after one.
    std::vector<Fault> boundLosses(const std::vector<Fault>& plan, Duration apart)
    {
        std::vector<Fault> kept;
        for (const auto& it : plan)
            if (std::all_of(kept.begin(), kept.end(), [&](const Fault& earlier) { return mayFollow(earlier, it, apart); }))
                kept.push_back(it);
        return kept;
    }

} // namespace

std::string_view toString(FaultKind kind)
{
    constexpr std::array<std::string_view, 18> names { "kill", "stop", "pause", "reload", "cut_both", "cut_outward", "cut_inward",
        "delay", "reset", "silence", "slow", "hang", "fail", "late_orders", "restart", "leave", "wipe_disk", "tear_log" };
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

std::vector<Fault> drawPlan(uint32_t seed, const FleetSize& size, const PlanOptions& options)
{
    Draw draw(seed, size);
    std::vector<Fault> plan;
    const auto lastMs = static_cast<uint32_t>(toMs(options.length) - longestMs);
    for (uint32_t n = 0; n < options.series; ++n) {
        Fault fault = draw.one();
        fault.at = options.calm + draw.between(0, lastMs - static_cast<uint32_t>(toMs(options.calm)));
        const bool all = draw.below(100) < allAtOncePercent && fault.kind != FaultKind::WipeDisk;
        const uint32_t repeats = fault.kind == FaultKind::WipeDisk ? 1 : 1 + draw.below(mostRepeats);
        for (uint32_t i = 0; i < repeats && fault.at + fault.length < options.length; ++i) {
            const uint32_t first = fault.index;
            for (uint32_t k = 0; k < (all ? draw.count(fault.target) : 1); ++k) {
                fault.index = (first + k) % draw.count(fault.target);
                plan.push_back(fault);
            }
            fault.index = draw.below(2) == 0 ? first : draw.below(draw.count(fault.target));
            fault.at += draw.between(0, longestGapMs);
        }
    }
    std::sort(plan.begin(), plan.end());
    return boundLosses(plan, options.betweenWipes);
}

} // namespace fescuegw::soak
