// Value types shared by all libraries: identifiers, verdicts, errors and time.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace fescuegw {

// Monotonic time. The origin is arbitrary; only differences have meaning.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Returns the current monotonic time, including time during which the host was suspended. Called only in the daemons' event
// loops; functions with decision logic take the time as an argument.
TimePoint monotonicNow();

// Returns the wall clock in milliseconds since 1970.
uint64_t wallClockMs();

// Returns whole milliseconds, rounded down; 0 for a negative duration.
uint64_t toMs(Duration);

// Returns microseconds since the clock's origin.
uint64_t toMicros(TimePoint);

// Whether the work of a request may have been started.
enum class Verdict : uint8_t {
    NotRun,
    MayHaveRun,
    Ran,
};

// Returns "not-run", "may-have-run" or "ran".
std::string_view toString(Verdict);

// An error as reported to a caller. `status` is its HTTP status code.
struct Error {
    Verdict verdict = Verdict::NotRun;
    int status = 500;
    std::string detail;

    friend bool operator==(const Error&, const Error&) = default;
};

template <typename T> using Result = tl::expected<T, Error>;

// Identifies a submission within its team.
struct SubmissionKey {
    std::string team;
    std::string id;

    friend auto operator<=>(const SubmissionKey&, const SubmissionKey&) = default;
};

// Identifies one incarnation of an agent, which lasts from its start to its exit. The number grows with each restart.
struct AgentId {
    std::string name;
    uint64_t incarnation = 0;

    friend auto operator<=>(const AgentId&, const AgentId&) = default;
};

// Returns "name/incarnation".
std::string toString(const AgentId&);

// Parses "name/incarnation".
AgentId parseAgentId(const std::string& text);

// Identifies one task of a multi-step job.
struct StepTask {
    std::string job;
    uint32_t step = 0;
    uint32_t index = 0;

    friend auto operator<=>(const StepTask&, const StepTask&) = default;
};

// Returns "job/step/index".
std::string toString(const StepTask&);

// Returns whether `text` is a valid name of a team, service, submission or process: 1 to 96 characters of [A-Za-z0-9._-].
bool isValidName(std::string_view text);

// Returns the 128-bit XXH3 digest of `content` as 32 hexadecimal digits.
std::string contentDigest(std::string_view content);

// Returns a nonzero random 64-bit number from the system's entropy source.
uint64_t randomIdentity();

} // namespace fescuegw
