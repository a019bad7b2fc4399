// What an agent and its upstream tell each other about runs, as values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// An upstream's account of itself.
struct Announcement {
    std::string instance;
    // Start of this life of the upstream, in milliseconds since 1970: an upstream that starts again keeps its name, but has
    // forgotten all runs.
    uint64_t bornMs = 0;
    // Grows with each announcement of one life.
    uint64_t sequence = 0;
    std::string service;
    std::string domain;
    std::vector<std::string> labels;
    Resources capacity;
    bool leaving = false;

    friend bool operator==(const Announcement&, const Announcement&) = default;
};

// How a run ended, as its upstream lists it.
enum class RunEnd : uint8_t {
    Done,
    Failed,
    // Ended by an order, or because its lease ran out, or for another reason that isn't the task's.
    Stopped,
    Lapsed,
    Other,
};

std::string_view toString(RunEnd);

struct RunningRow {
    StepTask task;
    uint64_t run = 0;
    // Share of its work that is done.
    uint32_t percent = 0;

    friend bool operator==(const RunningRow&, const RunningRow&) = default;
};

struct EndedRow {
    // Counts the ends of one life from 1.
    uint64_t number = 0;
    StepTask task;
    uint64_t run = 0;
    RunEnd how = RunEnd::Other;

    friend bool operator==(const EndedRow&, const EndedRow&) = default;
};

// What runs on an upstream and what has ended and was not acknowledged.
struct Listing {
    uint64_t bornMs = 0;
    uint64_t clockMs = 0;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;

    friend bool operator==(const Listing&, const Listing&) = default;
};

struct StartOrder {
    StepTask task;
    uint64_t run = 0;
    std::string specification;
    // On the upstream's clock; an order carried out later is refused, and everything that runs lapses then.
    uint64_t leaseUntilMs = 0;
    uint64_t fence = 0;
};

struct StopOrder {
    StepTask task;
    uint64_t run = 0;
    uint64_t fence = 0;
};

// Renews the lease of all runs, acknowledges ends and asks for a listing, which comes when something ends or after `wait`.
struct HoldOrder {
    std::optional<uint64_t> leaseUntilMs;
    uint64_t fence = 0;
    uint64_t acknowledged = 0;
    Duration wait {};
};

enum class StartVerdict : uint8_t {
    // It runs, or ran before under the same number.
    Accepted,
    // Nothing was done, because ...
    Fenced,
    Superseded,
    Late,
    NoRoom,
    Unhealthy,
    Invalid,
    // No answer: it may run, now or seconds later.
    Unanswered,
};

std::string_view toString(StartVerdict);

} // namespace fescuegw::arbiter
