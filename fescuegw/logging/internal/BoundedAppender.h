// log4cplus appender that never blocks on its reader.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include <log4cplus/appender.h>

namespace fescuegw::logging::internal {

// Writes log lines to a file descriptor. Drops lines beyond `linesPerSecond` and lines that arrive while the descriptor is not
// writable; logs their number once it is writable again. log4cplus serialises the calls.
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

    // About twice the log rate of an entry under the load of docs/CAPACITY.md, and at most 0.5 MB/s.
    static constexpr uint32_t defaultLinesPerSecond = 1000;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent&) override;

private:
    bool admitLine(std::chrono::steady_clock::time_point now);
    bool write(std::string line) const;
    void reportDropped(const log4cplus::spi::InternalLoggingEvent&);

    int m_descriptor;
    uint32_t m_linesPerSecond;
    Clock m_clock;
    std::chrono::steady_clock::time_point m_windowStart;
    uint32_t m_linesInWindow = 0;
    uint64_t m_droppedLines = 0;
};

} // namespace fescuegw::logging::internal
