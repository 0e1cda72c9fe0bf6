#include "LibCore/EventLog.h"

#include "NonBlockingAppender.h"
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <unistd.h>

namespace Core {

static log4cplus::LogLevel levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case Severity::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Severity::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

static log4cplus::Initializer& initializer()
{
    static log4cplus::Initializer instance;
    return instance;
}

void initialiseLog(const std::string& processName, Severity lowest, LogTarget target)
{
    initializer();
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender;
    if (target == LogTarget::StandardOutput)
        appender = new NonBlockingAppender(STDOUT_FILENO);
    else
        appender = new log4cplus::ConsoleAppender(true, true);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} " + processName + " %p %m%n"));
    root.addAppender(appender);
    root.setLogLevel(levelOf(lowest));
}

void closeLog()
{
    log4cplus::Logger::getRoot().closeNestedAppenders();
}

void logEvent(const Event& event, const std::string& text)
{
    initializer();
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    log4cplus::LogLevel level = levelOf(event.severity);
    if (!root.isEnabledFor(level))
        return;
    root.log(level, "E" + std::to_string(event.number) + " " + event.name + ": " + text, __FILE__, __LINE__);
}

}
