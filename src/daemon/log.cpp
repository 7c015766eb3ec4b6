// Log output with log4cxx. Sentences go to stderr through an asynchronous appender. Structured lines go through a
// LogQueue to a thread that writes them to stdout.
#include "daemon/log_func.h"

#include "core/common/json_func.h"

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
#include <thread>
#include <vector>

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

// Limits of the queued structured lines, about 10,000 lines. The smallest instance has 160 MB.
static constexpr LogQueueLimits QueueLimits{512 * 1024, 2 * 1024 * 1024};
static constexpr std::size_t MaxWriteBytes = 4'096 - 1; // PIPE_BUF without the line break

// The queue of structured lines. It outlives the LogScope, because any thread may add lines later.
static LogQueue &structuredQueue()
{
    static LogQueue queue(QueueLimits);
    return queue;
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

static constexpr std::size_t LogLevelCount = 3;

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

// Begins a structured line: its time and level.
static std::string lineHead(LogLevel level)
{
    return "{\"time\":\"" + formatTime(std::chrono::system_clock::now()) + "\",\"level\":\""
        + std::string(levelName(level)) + "\",";
}

// Writes the lines of the queue until it is closed. A line `log-dropped` says how many lines were dropped before it.
static void writeQueuedLines(LogQueue &queue, const log4cxx::LoggerPtr &logger)
{
    std::vector<std::string> lines;
    LogDrops drops;
    while (queue.take(lines, drops)) {
        if (drops != LogDrops{}) {
            JsonObject line;
            line.text("event", "log-dropped").number("frequent", static_cast<std::int64_t>(drops.frequent_));
            line.number("rare", static_cast<std::int64_t>(drops.rare_));
            lines.push_back(lineHead(LogLevel::Warning) + line.finish().substr(1));
        }
        // Each block is one event of the library, because its cost is per event.
        for (const std::string &block : joinLogLines(lines, MaxWriteBytes)) {
            logger->forcedLog(log4cxx::Level::getInfo(), block);
        }
        lines.clear();
    }
}

LogScope::LogScope(std::string_view level)
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
    const log4cxx::LoggerPtr structured = log4cxx::Logger::getLogger(LOG4CXX_STR("structured"));
    structured->removeAllAppenders();
    structured->setAdditivity(false);
    structured->addAppender(output);
    std::setvbuf(stdout, nullptr, _IOFBF, MaxWriteBytes + 1);
    writer_ = std::thread([structured] { writeQueuedLines(structuredQueue(), structured); });
}

LogScope::~LogScope()
{
    structuredQueue().close();
    writer_.join();
    log4cxx::LogManager::shutdown();
}

void writeStructuredLog(std::span<const LogLine> lines)
{
    std::array<std::string, LogLevelCount> heads; // by LogLevel; made on first use
    std::vector<QueuedLogLine> queued;
    queued.reserve(lines.size());
    for (const LogLine &line : lines) {
        std::string &head = heads.at(static_cast<std::size_t>(line.level_));
        if (head.empty()) {
            head = lineHead(line.level_);
        }
        std::string_view object = line.text_;
        const LogRate rate = logRate(object);
        object.remove_prefix(object.starts_with('{') ? 1 : 0); // `head` has the opening brace
        std::string text = head;
        queued.push_back({rate, std::move(text.append(object))});
    }
    if (!queued.empty()) {
        structuredQueue().put(std::move(queued));
    }
}

LogDrops droppedLogLines()
{
    return structuredQueue().drops();
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

} // namespace mimosapier
