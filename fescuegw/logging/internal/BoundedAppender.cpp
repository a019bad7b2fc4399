#include "fescuegw/logging/internal/BoundedAppender.h"

#include <climits>

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace fescuegw::logging::internal {

BoundedAppender::BoundedAppender(int descriptor, uint32_t linesPerSecond, Clock clock)
    : m_descriptor(descriptor)
    , m_linesPerSecond(linesPerSecond)
    , m_clock(std::move(clock))
{
}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

void BoundedAppender::close() { closed = true; }

bool BoundedAppender::admits(std::chrono::steady_clock::time_point now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_lines = 0;
    }
    return ++m_lines <= m_linesPerSecond;
}

// A pipe that polls as writable takes PIPE_BUF bytes at once, so that a line of at most that size neither blocks nor tears.
bool BoundedAppender::write(std::string line) const
{
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF - 1);
        line += '\n';
    }
    pollfd room { m_descriptor, POLLOUT, 0 };
    if (poll(&room, 1, 0) != 1 || (room.revents & POLLOUT) == 0)
        return false;
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void BoundedAppender::reportDropped(const log4cplus::spi::InternalLoggingEvent& event)
{
    const log4cplus::spi::InternalLoggingEvent report(event.getLoggerName(), log4cplus::WARN_LOG_LEVEL,
        "event=log_dropped lines=" + std::to_string(m_dropped), __FILE__, __LINE__);
    if (write(formatEvent(report)))
        m_dropped = 0;
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (!admits(m_clock())) {
        ++m_dropped;
        return;
    }
    if (m_dropped > 0)
        reportDropped(event);
    if (m_dropped > 0 || !write(formatEvent(event)))
        ++m_dropped;
}

} // namespace fescuegw::logging::internal
