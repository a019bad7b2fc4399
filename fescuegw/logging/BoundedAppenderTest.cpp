// Log lines that the reader does not consume, or beyond the rate limit, are dropped and counted without blocking the writer.
#include <array>
#include <string>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include "fescuegw/logging/internal/BoundedAppender.h"

namespace {

using fescuegw::logging::internal::BoundedAppender;

struct Pipe {
    Pipe() { cr_assert(pipe(ends.data()) == 0); }

    std::string drain() const
    {
        std::string text(1U << 20U, '\0');
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        const ssize_t n = read(ends[0], text.data(), text.size());
        text.resize(n > 0 ? static_cast<size_t>(n) : 0);
        return text;
    }

    std::array<int, 2> ends {};
};

void log(BoundedAppender& appender, const std::string& text)
{
    appender.doAppend(log4cplus::spi::InternalLoggingEvent("root", log4cplus::INFO_LOG_LEVEL, text, __FILE__, __LINE__));
}

void useLayout(BoundedAppender& appender) { appender.setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n")); }

} // namespace

// A write that blocks on the full pipe makes this test hang.
Test(BoundedAppender, doesNotBlockOnAStalledReader)
{
    const log4cplus::Initializer initializer;
    const Pipe pipe;
    BoundedAppender appender(pipe.ends[1], 100000);
    useLayout(appender);
    const std::string line(1000, 'x');
    for (int n = 0; n < 1000; ++n)
        log(appender, line);
    const std::string before = pipe.drain();
    cr_assert(before.size() <= 65536, "more than the pipe holds: %zu", before.size());
    log(appender, "after");
    const std::string text = pipe.drain();
    cr_assert(text.starts_with("event=log_dropped lines="), "%s", text.c_str());
    cr_assert(text.ends_with("\nafter\n"), "%s", text.c_str());
}

Test(BoundedAppender, countsLinesDroppedByTheRateLimit)
{
    const log4cplus::Initializer initializer;
    const Pipe pipe;
    std::chrono::steady_clock::time_point now;
    BoundedAppender appender(pipe.ends[1], 10, [&now] { return now; });
    useLayout(appender);
    now += std::chrono::hours(1);
    for (int n = 0; n < 25; ++n)
        log(appender, "line");
    cr_assert_eq(pipe.drain().size(), 10 * std::string("line\n").size());
    now += std::chrono::seconds(1);
    log(appender, "later");
    cr_assert_str_eq(pipe.drain().c_str(), "event=log_dropped lines=15\nlater\n");
}

Test(BoundedAppender, truncatesLinesToThePipeBufferSize)
{
    const log4cplus::Initializer initializer;
    const Pipe pipe;
    BoundedAppender appender(pipe.ends[1], 10);
    useLayout(appender);
    log(appender, std::string(10000, 'y'));
    const std::string text = pipe.drain();
    cr_assert_eq(text.size(), 4096);
    cr_assert_eq(text.back(), '\n');
}
