// Generates a reproducible plan of faults to inject from a seed.
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
    // Process faults: killed and restarted after `length`; stopped gracefully and restarted once it has exited; suspended for
    // `length`; told to reload its settings.
    Kill,
    Stop,
    Pause,
    Reload,
    // Network faults on the links to a process, for `length`.
    CutBoth,
    CutOutward,
    CutInward,
    Delay,
    // Faults on the connections open at that time: closed; left open but no longer forwarding any data.
    Reset,
    Silence,
    // Upstream faults, for `length`: tasks take several times as long; tasks make no progress; tasks fail; requests get no reply
    // and are executed late; the upstream is restarted under the same name; it drains, leaves and rejoins.
    Slow,
    Hang,
    Fail,
    LateOrders,
    Restart,
    Leave,
    // Disk faults of a replica: the disk is lost; the log ends in a frame left incomplete by a crash during a write.
    WipeDisk,
    TearLog,
    // Upstream faults of a run-bounds plan, for `length`: part of the starts are refused and part of the answers to starts are
    // lost;
    // part of all requests are left undone, without an answer.
    RefuseRepeats,
    LeaveUndone,
    // Upstream faults of a crashes plan: within a second, a start is carried out, but its answer is lost with all connections,
    // and
    // new ones are refused for `length`; the capacity is smaller for `length`.
    ResetAndRefuse,
    Shrink,
    // Upstream fault of a quick-restarts plan: the process crashes, and the next one is there after `length`.
    Crash,
};

std::string_view toString(FaultKind);
std::string_view toString(Target);

struct Fault {
    // Time since the start of the soak test.
    Duration at {};
    FaultKind kind = FaultKind::Kill;
    Target target = Target::Entry;
    // Index of the target among those of its type, from 0.
    uint32_t index = 0;
    Duration length {};

    friend auto operator<=>(const Fault&, const Fault&) = default;
};

std::string toString(const Fault&);

// An order to drain a failure domain, and its withdrawal.
struct DomainDrain {
    // Time since the start of the soak test.
    Duration at {};
    Duration length {};
    // Index of the failure domain, from 0.
    uint32_t domain = 0;

    friend auto operator<=>(const DomainDrain&, const DomainDrain&) = default;
};

// From `at` on, callers of a series use `entry`.
struct EntryChange {
    Duration at {};
    uint32_t entry = 0;

    friend auto operator<=>(const EntryChange&, const EntryChange&) = default;
};

struct FleetSize {
    uint32_t entries = 2;
    uint32_t agents = 4;
    uint32_t replicas = 3;
    // Failure domains, over which agents are spread in turn: agent n is in domain n % domains.
    uint32_t domains = 2;

    friend bool operator==(const FleetSize&, const FleetSize&) = default;
};

struct PlanOptions {
    // No fault starts before `calm`, and every fault ends before `length`, both since the start of the soak test.
    Duration calm { std::chrono::milliseconds(1500) };
    Duration length { std::chrono::seconds(14) };
    // Number of fault series, which may overlap in time.
    uint32_t series = 5;
    // Draws only faults that decide whether a run outlasts its attempt: lost answers, refused repeats, orders that are undone or
    // late, and entries whose links are reset or which are killed or paused.
    bool runBounds = false;
    // Draws only faults of upstreams that live on, to go with tasks that crash their upstreams.
    bool crashes = false;
    // Draws crashes of upstreams that are back within half a second, beside refused connections, late orders and the link faults
    // of a run-bounds plan.
    bool quickRestarts = false;
    // Draws only entries that stand still, for 0.1 to 4 s.
    bool stalls = false;
    // Draws only what decides whether an order that is carried out late takes effect: late orders, agents that are killed or
    // paused, and entries that are paused.
    bool lateLeases = false;
    // Draws drains of failure domains, with the loss of all replicas and of an agent of the domain while each holds. Other faults
    // leave the replicas alone, so that agents can reach them and orders have no excuse.
    bool drains = false;
    // Minimum time between disk losses: a replica needs time to receive a copy of the state before the next loss.
    Duration minWipeInterval { std::chrono::seconds(7) };
};

// Returns faults sorted by time. Deterministic: equal arguments give equal plans. At most one replica's disk is lost at a time,
// and none while another replica is down, paused or partitioned.
std::vector<Fault> drawPlan(uint32_t seed, const FleetSize&, const PlanOptions&);

// Returns the drains that go with a plan of the same arguments, sorted by time, one after the other. None without `drains`.
std::vector<DomainDrain> drawDrains(uint32_t seed, const FleetSize&, const PlanOptions&);

// Returns the entries that uneven or untrusted callers use one after the other, sorted by time. The first change is at the start
// of the faults, and each later one is to another entry, `minGap` to twice `minGap` after the one before. Independent of the
// plan.
std::vector<EntryChange> drawEntryChanges(uint32_t seed, const FleetSize&, const PlanOptions&, Duration minGap);

} // namespace fescuegw::soak
