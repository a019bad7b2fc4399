// Value types that every other library shares: identifiers, verdicts, errors and time.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace fescuegw {

// Time by which functions decide. The origin is arbitrary; only differences have meaning.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Returns the present monotonic time, which counts time spent suspended. Only daemons' loops call this; deciding functions take
// the time as an argument.
TimePoint monotonicNow();

// Returns the wall clock in milliseconds since 1970.
uint64_t wallClockMs();

// Returns whole milliseconds, 0 for what is negative.
uint64_t toMs(Duration);

// Returns microseconds since the clock's origin.
uint64_t toMicros(TimePoint);

// Says whether the work a request asked for may have been started.
enum class Verdict : uint8_t {
    NotRun,
    MayHaveRun,
    Ran,
};

// Returns "not-run", "may-have-run" or "ran".
std::string_view toString(Verdict);

// A failure as a caller sees it. `status` is the HTTP status that stands for it.
struct Error {
    Verdict verdict = Verdict::NotRun;
    int status = 500;
    std::string detail;

    friend bool operator==(const Error&, const Error&) = default;
};

template <typename T> using Result = tl::expected<T, Error>;

// Names a submission within its team.
struct SubmissionKey {
    std::string team;
    std::string id;

    friend auto operator<=>(const SubmissionKey&, const SubmissionKey&) = default;
};

// Names one process lifetime of an agent. Later lifetimes of one agent have larger incarnations.
struct AgentId {
    std::string name;
    uint64_t incarnation = 0;

    friend auto operator<=>(const AgentId&, const AgentId&) = default;
};

// Returns "name/incarnation".
std::string toString(const AgentId&);

// Returns the agent in "name/incarnation".
AgentId parseAgentId(const std::string& text);

// Names one task of a job that consists of steps.
struct StepTask {
    std::string job;
    uint32_t step = 0;
    uint32_t index = 0;

    friend auto operator<=>(const StepTask&, const StepTask&) = default;
};

// Returns "job/step/index".
std::string toString(const StepTask&);

// Returns whether `text` may name a team, service, submission or process: 1 to 96 of [A-Za-z0-9._-].
bool isValidName(std::string_view text);

// Returns the 128-bit XXH3 digest of `content` as 32 hexadecimal digits.
std::string contentDigest(std::string_view content);

// Returns a random 64-bit number other than 0, from the system's entropy source.
uint64_t randomIdentity();

} // namespace fescuegw
