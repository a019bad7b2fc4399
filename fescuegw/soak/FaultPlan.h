// Faults drawn from a seed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fescuegw/base/Types.h"

namespace fescuegw::soak {

enum class Target : uint8_t {
    Entry,
    Agent,
    Replica,
    Upstream,
};

enum class FaultKind : uint8_t {
    // Of processes: killed, and started again after `length`; asked to stop, and started again when it has; paused for `length`;
    // told that its settings have changed.
    Kill,
    Stop,
    Pause,
    Reload,
    // Of the links to a process, for `length`.
    CutBoth,
    CutOutward,
    CutInward,
    Delay,
    // Of the connections that are open: closed; without a byte from now on.
    Reset,
    Silence,
    // Of upstreams, for `length`: tasks take several times as long; make no progress; fail; orders get no answer and are carried
    // out late; it is restarted under its name; it leaves in order and comes back.
    Slow,
    Hang,
    Fail,
    LateOrders,
    Restart,
    Leave,
    // Of a replica's disk: lost; with an end that was being written when the process died.
    WipeDisk,
    TearLog,
};

std::string_view toString(FaultKind);
std::string_view toString(Target);

struct Fault {
    // Since the start of the soak.
    Duration at {};
    FaultKind kind = FaultKind::Kill;
    Target target = Target::Entry;
    // Below the number of such targets.
    uint32_t index = 0;
    Duration length {};

    friend auto operator<=>(const Fault&, const Fault&) = default;
};

std::string toString(const Fault&);

struct FleetSize {
    uint32_t entries = 2;
    uint32_t agents = 4;
    uint32_t replicas = 3;

    friend bool operator==(const FleetSize&, const FleetSize&) = default;
};

struct PlanOptions {
    // Faults begin after `calm`, and the last one ends before `length`.
    Duration calm { std::chrono::milliseconds(1500) };
    Duration length { std::chrono::seconds(14) };
    // Series of faults. They overlap.
    uint32_t series = 5;
    // Losses of a replica's disk are at least this far apart: a replica needs time to get a copy before the next loss.
    Duration betweenWipes { std::chrono::seconds(7) };
};

// Returns faults in the order of their times; the same for the same arguments. At most one replica's disk is lost at a time,
// and none while another replica is down, paused or cut off.
std::vector<Fault> drawPlan(uint32_t seed, const FleetSize&, const PlanOptions&);

} // namespace fescuegw::soak
