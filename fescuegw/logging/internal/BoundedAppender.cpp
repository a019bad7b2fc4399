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

bool BoundedAppender::admitLine(std::chrono::steady_clock::time_point now)
{
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_linesInWindow = 0;
    }
    return ++m_linesInWindow <= m_linesPerSecond;
}

// A pipe that poll() reports as writable accepts PIPE_BUF bytes atomically, so a line of at most that size is neither blocked nor
// split.
bool BoundedAppender::write(std::string line) const
{
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF - 1);
        line += '\n';
    }
    pollfd pollDescriptor { m_descriptor, POLLOUT, 0 };
    if (poll(&pollDescriptor, 1, 0) != 1 || (pollDescriptor.revents & POLLOUT) == 0)
        return false;
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void BoundedAppender::reportDropped(const log4cplus::spi::InternalLoggingEvent& event)
{
    const log4cplus::spi::InternalLoggingEvent report(event.getLoggerName(), log4cplus::WARN_LOG_LEVEL,
        "event=log_dropped lines=" + std::to_string(m_droppedLines), __FILE__, __LINE__);
    if (write(formatEvent(report)))
        m_droppedLines = 0;
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (!admitLine(m_clock())) {
        ++m_droppedLines;
        return;
    }
    if (m_droppedLines > 0)
        reportDropped(event);
    if (m_droppedLines > 0 || !write(formatEvent(event)))
        ++m_droppedLines;
}

} // namespace fescuegw::logging::internal
