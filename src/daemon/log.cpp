// Log output with log4cxx: one asynchronous appender for each of stderr and stdout.
#include "daemon/log_func.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>

namespace mimosapier
{

static log4cxx::LevelPtr logLevel(std::string_view name)
{
    if (name == "debug") {
        return log4cxx::Level::getDebug();
    }
    if (name == "warning") {
        return log4cxx::Level::getWarn();
    }
    return name == "error" ? log4cxx::Level::getError() : log4cxx::Level::getInfo();
}

static constexpr int StructuredQueueCapacity = 2'048; // calls of writeStructuredLog(); each is about 1 KB

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
    async->setBlocking(false); // if stderr is stuck, drop lines instead of blocking the decision thread
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(async);
    root->setLevel(logLevel(level));

    const auto lines = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    const auto output = std::make_shared<log4cxx::ConsoleAppender>(lines, LOG4CXX_STR("System.out"));
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->addAppender(output);
    queue->setBlocking(false);
    queue->setBufferSize(StructuredQueueCapacity);
    const log4cxx::LoggerPtr structured = structuredLogger();
    structured->removeAllAppenders();
    structured->setAdditivity(false);
    structured->addAppender(queue);
}

// "2026-01-31 23:59:59.999", in UTC.
static std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    constexpr std::int64_t MillisPerSecond = 1'000;
    const auto seconds = static_cast<std::time_t>(millis / MillisPerSecond);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03d", static_cast<int>(millis % MillisPerSecond));
    return std::string(text.data(), length) + fraction.data();
}

static std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        break;
    case LogLevel::Warning:
        return "WARN";
    case LogLevel::Error:
        return "ERROR";
    }
    return "INFO";
}

void writeStructuredLog(std::span<const LogLine> lines)
{
    if (lines.empty()) {
        return;
    }
    static const log4cxx::LoggerPtr logger = structuredLogger();
    // Log all lines as one event, because the library's cost is per event.
    const std::string head = "{\"time\":\"" + formatTime(std::chrono::system_clock::now()) + "\",\"level\":\"";
    std::string text;
    for (const LogLine &line : lines) {
        std::string_view object = line.text_;
        object.remove_prefix(object.starts_with('{') ? 1 : 0); // `head` has the opening brace
        text.append(text.empty() ? "" : "\n").append(head).append(levelName(line.level_)).append("\",").append(object);
    }
    logger->forcedLog(log4cxx::Level::getInfo(), text);
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
