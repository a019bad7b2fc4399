// Writes log lines to a descriptor without ever waiting for its reader.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include <log4cplus/appender.h>

namespace fescuegw::logging::internal {

// Drops lines beyond `linesPerSecond`, and lines for which the descriptor has no room; counts them in a line of its own once
// there is room again. log4cplus serialises the calls.
class BoundedAppender : public log4cplus::Appender {
public:
    using Clock = std::function<std::chrono::steady_clock::time_point()>;

    explicit BoundedAppender(
        int descriptor, uint32_t linesPerSecond = defaultLinesPerSecond,
        Clock clock = [] { return std::chrono::steady_clock::now(); });
    ~BoundedAppender() override;
    BoundedAppender(const BoundedAppender&) = delete;
    BoundedAppender& operator=(const BoundedAppender&) = delete;
    BoundedAppender(BoundedAppender&&) = delete;
    BoundedAppender& operator=(BoundedAppender&&) = delete;

    void close() override;

    // About twice what an entry writes at the load of docs/CAPACITY.md, and 0.5 MB/s at most.
    static constexpr uint32_t defaultLinesPerSecond = 1000;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent&) override;

private:
    bool admits(std::chrono::steady_clock::time_point now);
    bool write(std::string line) const;
    void reportDropped(const log4cplus::spi::InternalLoggingEvent&);

    int m_descriptor;
    uint32_t m_linesPerSecond;
    Clock m_clock;
    std::chrono::steady_clock::time_point m_second;
    uint32_t m_lines = 0;
    uint64_t m_dropped = 0;
};

} // namespace fescuegw::logging::internal
