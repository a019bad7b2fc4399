#include "fescuegw/logging/Log.h"

#include <algorithm>

#include <log4cplus/configurator.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include "fescuegw/logging/internal/BoundedAppender.h"

namespace fescuegw::logging {

namespace {

    std::string processName;

    log4cplus::LogLevel toLogLevel(Level level)
    {
        switch (level) {
        case Level::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case Level::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case Level::Warn:
            return log4cplus::WARN_LOG_LEVEL;
        case Level::Error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

    log4cplus::LogLevel parseLevel(const std::string& level)
    {
        if (level == "debug")
            return log4cplus::DEBUG_LOG_LEVEL;
        if (level == "warn")
            return log4cplus::WARN_LOG_LEVEL;
        if (level == "error")
            return log4cplus::ERROR_LOG_LEVEL;
        return log4cplus::INFO_LOG_LEVEL;
    }

    log4cplus::Logger& rootLogger()
    {
        static log4cplus::Logger logger = log4cplus::Logger::getRoot();
        return logger;
    }

    bool needsQuotes(std::string_view text) { return text.empty() || text.find_first_of(" \"=\n\r\t") != std::string_view::npos; }

    void appendValue(std::string& line, std::string_view text)
    {
        if (!needsQuotes(text)) {
            line += text;
            return;
        }
        line += '"';
        for (const char c : text) {
            if (c == '"' || c == '\\')
                line += '\\';
            line += (c == '\n' || c == '\r') ? ' ' : c;
        }
        line += '"';
    }

} // namespace

void initialise(const std::string& process, const std::string& level, const std::string& file)
{
    static const log4cplus::Initializer initializer;
    processName = process;
    log4cplus::SharedAppenderPtr appender;
    if (file.empty())
        appender = new internal::BoundedAppender(STDOUT_FILENO);
    else
        appender = new log4cplus::FileAppender(file, std::ios::app);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    rootLogger().removeAllAppenders();
    rootLogger().addAppender(appender);
    rootLogger().setLogLevel(parseLevel(level));
}

Event::Event(Level level, std::string_view name)
    : m_level(level)
    , m_enabled(!processName.empty() && rootLogger().isEnabledFor(toLogLevel(level)))
{
    if (!m_enabled)
        return;
    m_line = "process=" + processName + " event=";
    m_line += name;
}

Event::~Event()
{
    if (m_enabled)
        rootLogger().log(toLogLevel(m_level), m_line);
}

Event& Event::with(std::string_view key, std::string_view value)
{
    if (!m_enabled)
        return *this;
    m_line += ' ';
    m_line += key;
    m_line += '=';
    appendValue(m_line, value);
    return *this;
}

} // namespace fescuegw::logging
