// Structured logs: one line of key=value pairs for each event.
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

// Starts logging for this process. `level` is debug, info, warn or error; lines go to standard output, or are appended to
// `file` unless it is empty. Standard output never blocks: lines beyond a limit a second, and lines that a slow reader leaves
// no room for, are dropped and counted in an event `log_dropped`. Called once, before any thread starts.
void initialise(const std::string& process, const std::string& level, const std::string& file);

// One log line, written when it goes out of scope. Thread-safe across instances.
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
