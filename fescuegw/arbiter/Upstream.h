// Message types between an agent and its upstream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// State that an upstream announces to its agent.
struct Announcement {
    std::string instance;
    // Start time of the upstream process in milliseconds since 1970. Identifies its incarnation: an upstream that restarts keeps
    // its name, but has no record of earlier runs.
    uint64_t bornMs = 0;
    // Increases with each announcement of an incarnation.
    uint64_t sequence = 0;
    std::string service;
    // Address that the sender claims to be called at.
    std::string address;
    std::string domain;
    std::vector<std::string> labels;
    Resources capacity;
    bool leaving = false;
    // How much longer the upstream is slower than usual, since it has started or was idle.
    Duration coldFor {};

    friend bool operator==(const Announcement&, const Announcement&) = default;
};

// How a run ended, as listed by its upstream.
enum class RunEnd : uint8_t {
    Done,
    Failed,
    // Stopped by an order, ended by the expiry of its lease, or ended for another reason outside the task.
    Stopped,
    Lapsed,
    Other,
};

std::string_view toString(RunEnd);

struct RunningRow {
    StepTask task;
    uint64_t run = 0;
    // Share of the work that is done.
    uint32_t percent = 0;

    friend bool operator==(const RunningRow&, const RunningRow&) = default;
};

struct EndedRow {
    // Sequence number of the end within an incarnation, from 1.
    uint64_t number = 0;
    StepTask task;
    uint64_t run = 0;
    RunEnd how = RunEnd::Other;

    friend bool operator==(const EndedRow&, const EndedRow&) = default;
};

// Current runs of an upstream, and ended runs that are not yet acknowledged.
struct Listing {
    uint64_t bornMs = 0;
    uint64_t clockMs = 0;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
    // Whether all rows could be read. If not, a run that is not listed may be there.
    bool complete = true;

    friend bool operator==(const Listing&, const Listing&) = default;
};

// Orders name the process that they are meant for, so that an order which is carried out late, or reaches the address of a
// process that has been replaced, is refused. Empty: any process.
struct StartOrder {
    StepTask task;
    uint64_t run = 0;
    std::string specification;
    // On the upstream's clock. The upstream refuses the order after this time, and ends the run then unless its lease is renewed.
    uint64_t leaseUntilMs = 0;
    uint64_t fence = 0;
    // The order is not sent after this time: an upstream that has restarted since has another clock and would carry it out.
    TimePoint sendBy = TimePoint::max();
    std::string instance;
};

struct StopOrder {
    StepTask task;
    uint64_t run = 0;
    uint64_t fence = 0;
    std::string instance;
};

// Long poll: renews the lease of all runs, acknowledges ended runs and returns a listing when a run ends or after `wait`.
struct HoldOrder {
    std::optional<uint64_t> leaseUntilMs;
    uint64_t fence = 0;
    uint64_t acknowledged = 0;
    Duration wait {};
    std::string instance;
};

enum class StartVerdict : uint8_t {
    // The task runs, or has run before under the same run number.
    Accepted,
    // Refused without effect:
    Fenced,
    Superseded,
    Late,
    NoRoom,
    Unhealthy,
    Invalid,
    // Another process than the one that the order names is there.
    OtherProcess,
    // No answer: the task may be running, or start seconds later.
    Unanswered,
};

std::string_view toString(StartVerdict);

// Why a hold returned no listing.
enum class HoldFailure : uint8_t {
    // No answer, or one that cannot be read.
    Unanswered,
    // Its fencing token was too low.
    Fenced,
    // The connection was refused: no process listens.
    Refused,
    // Another process than the one that the hold names is there.
    OtherProcess,
};

} // namespace fescuegw::arbiter
