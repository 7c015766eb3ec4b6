// Log through log4cxx.
#include "daemon/log_func.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <string>

namespace mimosapier
{

static log4cxx::LevelPtr levelOf(std::string_view name)
{
    if (name == "debug") {
        return log4cxx::Level::getDebug();
    }
    if (name == "warning") {
        return log4cxx::Level::getWarn();
    }
    return name == "error" ? log4cxx::Level::getError() : log4cxx::Level::getInfo();
}

static constexpr int StructuredQueue = 4'096; // lines; about 1 MB

static log4cxx::LoggerPtr structuredLogger()
{
    return log4cxx::Logger::getLogger(LOG4CXX_STR("structured"));
}

void startLog(std::string_view level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    const auto async = std::make_shared<log4cxx::AsyncAppender>();
    async->addAppender(console);
    async->setBlocking(false); // lines are dropped rather than stopping the decisions when stderr is stuck
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(async);
    root->setLevel(levelOf(level));

    const auto lines = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("{\"time\":\"%d{yyyy-MM-dd HH:mm:ss.SSS}\",\"level\":\"%p\",%m%n"));
    const auto output = std::make_shared<log4cxx::ConsoleAppender>(lines, LOG4CXX_STR("System.out"));
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->addAppender(output);
    queue->setBlocking(false);
    queue->setBufferSize(StructuredQueue);
    const log4cxx::LoggerPtr structured = structuredLogger();
    structured->removeAllAppenders();
    structured->setAdditivity(false);
    structured->addAppender(queue);
}

void writeStructuredLog(LogLevel level, std::string_view object)
{
    static const log4cxx::LoggerPtr logger = structuredLogger();
    object.remove_prefix(object.starts_with('{') ? 1 : 0); // the layout begins the object
    switch (level) {
    case LogLevel::Info:
        LOG4CXX_INFO(logger, std::string(object));
        break;
    case LogLevel::Warning:
        LOG4CXX_WARN(logger, std::string(object));
        break;
    case LogLevel::Error:
        LOG4CXX_ERROR(logger, std::string(object));
        break;
    }
}

void writeLog(LogLevel level, std::string_view text)
{
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    switch (level) {
    case LogLevel::Info:
        LOG4CXX_INFO(root, std::string(text));
        break;
    case LogLevel::Warning:
        LOG4CXX_WARN(root, std::string(text));
        break;
    case LogLevel::Error:
        LOG4CXX_ERROR(root, std::string(text));
        break;
    }
}

void stopLog()
{
    log4cxx::LogManager::shutdown();
}

} // namespace mimosapier
