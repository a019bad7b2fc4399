#include "fescuegw/base/Types.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <random>

#include <xxhash.h>

namespace fescuegw {

namespace {

    // Operators name failure domains with up to 128 characters.
    constexpr size_t maxNameLength = 128;

    bool isNameCharacter(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-'; }

} // namespace

// Leases and time-outs held by other hosts continue while this host is suspended. CLOCK_MONOTONIC doesn't count that time;
// CLOCK_BOOTTIME does.
TimePoint monotonicNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

uint64_t toMicros(TimePoint time) { return static_cast<uint64_t>(time.time_since_epoch().count()); }

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

std::string toString(const AgentId& agent) { return agent.name + "/" + std::to_string(agent.incarnation); }

std::string toString(const StepTask& task)
{
    return task.job + "/" + std::to_string(task.step) + "/" + std::to_string(task.index);
}

AgentId parseAgentId(const std::string& text)
{
    const size_t slash = text.rfind('/');
    AgentId agent;
    agent.name = text.substr(0, slash);
    if (slash != std::string::npos)
        std::from_chars(text.data() + slash + 1, text.data() + text.size(), agent.incarnation);
    return agent;
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string contentDigest(std::string_view content)
{
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    std::array<char, 33> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    return buf.data();
}

uint64_t randomIdentity()
{
    std::random_device device;
    uint64_t n = 0;
    while (n == 0)
        n = (static_cast<uint64_t>(device()) << 32U) | device();
    return n;
}

uint64_t toMs(Duration duration)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return ms > 0 ? static_cast<uint64_t>(ms) : 0;
}

} // namespace fescuegw
