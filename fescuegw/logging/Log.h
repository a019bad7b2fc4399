// Structured logging: one line of key=value pairs for each event.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescuegw::logging {

enum class Level : uint8_t {
    Debug,
    Info,
    Warn,
    Error,
};

// Initialises logging for this process; must be called once, before any thread starts. `level` is debug, info, warn or error.
// Lines go to standard output if `file` is empty, otherwise they are appended to `file`. Writes to standard output never block:
// lines that exceed a rate limit, or arrive while a slow reader leaves the output full, are dropped and counted in an event
// `log_dropped`.
void initialise(const std::string& process, const std::string& level, const std::string& file);

// One log line, written by the destructor. Different instances may be used concurrently.
class Event {
public:
    Event(Level, std::string_view name);
    ~Event();
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;
    Event(Event&&) = delete;
    Event& operator=(Event&&) = delete;

    Event& with(std::string_view key, std::string_view value);
    template <std::integral T> Event& with(std::string_view key, T value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }

private:
    Level m_level;
    bool m_enabled;
    std::string m_line;
};

} // namespace fescuegw::logging
