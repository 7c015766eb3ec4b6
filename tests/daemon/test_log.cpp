// Tests of the structured log: what is kept and what is dropped when the output cannot keep up.
#include "daemon/log_func.h"
#include "http/json_func.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <optional>
#include <sstream>
#include <thread>

using namespace mimosapier;

static constexpr int FloodLines = 100'000;

static LogLine logLine(std::string_view event, int number)
{
    return {LogLevel::Info, R"({"event":")" + std::string(event) + R"(","number":)" + std::to_string(number) + "}"};
}

// Reads until the end of the file.
static std::string readAll(int file)
{
    std::string text;
    std::array<char, 4'096> bytes{};
    for (ssize_t count = read(file, bytes.data(), bytes.size()); count > 0;
         count = read(file, bytes.data(), bytes.size())) {
        text.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return text;
}

// Guards against rare lines that give way to a flood of frequent ones while stdout is stuck, against drops that nothing
// tells of, and against lines that are no JSON object.
Test(log, rareLinesSurviveAFlood)
{
    std::array<int, 2> output{};
    cr_assert(pipe(output.data()) == 0);
    cr_assert(dup2(output[1], STDOUT_FILENO) == STDOUT_FILENO);
    close(output[1]);
    std::optional<LogScope> log(std::in_place, "error");
    for (int i = 0; i < FloodLines; ++i) {
        const LogLine frequent = logLine("start", i);
        writeStructuredLog(std::span(&frequent, 1));
        if (i % (FloodLines / 10) == FloodLines / 10 - 1) {
            const LogLine rare = logLine("recovered", i);
            writeStructuredLog(std::span(&rare, 1));
        }
    }
    std::string text;
    std::thread reader([&] { text = readAll(output[0]); });
    log.reset();
    fclose(stdout);
    close(STDOUT_FILENO);
    reader.join();
    int rare = 0;
    std::int64_t frequent = 0;
    std::int64_t dropped = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const Json json = Json::parse(line, nullptr, false);
        cr_assert(json.is_object(), "%s", line.c_str());
        const std::string event = json.value("event", "");
        rare += event == "recovered" ? 1 : 0;
        frequent += event == "start" ? 1 : 0;
        if (event == "log-dropped") {
            cr_assert(json.value("rare", 1) == 0);
            dropped += json.value("frequent", 0);
        }
    }
    cr_assert(rare == 10, "%d", rare);
    cr_assert(frequent + dropped == FloodLines, "%ld %ld", static_cast<long>(frequent), static_cast<long>(dropped));
    cr_assert(dropped > 0);
}

// Writes lines in a process of its own and exits in the midst of them. Result: the status of waitpid().
static int exitWhileLogging(int lines)
{
    const pid_t child = fork();
    cr_assert(child >= 0);
    if (child == 0) {
        const int null = open("/dev/null", O_WRONLY);
        dup2(null, STDOUT_FILENO);
        {
            const LogScope log("error");
            for (int i = 0; i < lines; ++i) {
                const LogLine line = logLine("start", i);
                writeStructuredLog(std::span(&line, 1));
            }
        }
        std::exit(0);
    }
    int status = 0;
    cr_assert(waitpid(child, &status, 0) == child);
    return status;
}

// Guards against a thread that still writes while the process exits, when static objects of the log library are gone.
Test(log, processThatLogsExitsCleanly, .timeout = 60)
{
    constexpr int Processes = 500;
    constexpr int MaxLines = 40;
    for (int i = 0; i < Processes; ++i) {
        const int status = exitWhileLogging(i % MaxLines);
        cr_assert(status == 0, "process %d: wait status %d", i, status);
    }
}

// Guards against frequent lines that use the room of rare ones, and against wrong counts of drops.
Test(log, queueDropsByRate)
{
    LogQueue queue({8, 8});
    queue.put({{LogRate::Frequent, "12345678"}, {LogRate::Frequent, "x"}, {LogRate::Rare, "abc"}});
    std::vector<std::string> lines;
    LogDrops drops;
    cr_assert(queue.take(lines, drops));
    cr_assert((lines == std::vector<std::string>{"12345678", "abc"}));
    cr_assert((drops == LogDrops{0, 1}));
    queue.put({{LogRate::Frequent, "y"}}); // there is room again
    queue.close();
    queue.put({{LogRate::Rare, "z"}});
    lines.clear();
    cr_assert(queue.take(lines, drops));
    cr_assert((lines == std::vector<std::string>{"y"} && drops == LogDrops{1, 0}));
    cr_assert(!queue.take(lines, drops));
    cr_assert((queue.drops() == LogDrops{1, 1}));
}

// Guards against writes that a pipe may split, so that a killed process would leave an incomplete line.
Test(log, linesAreJoinedToWholeBlocks)
{
    const std::vector<std::string> lines{"aa", "bb", "ccccccc", "d"};
    cr_assert((joinLogLines(lines, 5) == std::vector<std::string>{"aa\nbb", "ccccccc", "d"}));
    cr_assert(joinLogLines({}, 5).empty());
}

// Guards against a wrong order of the table, in which names are searched, and against lines of another form.
Test(log, eventsHaveARate)
{
    cr_assert(logRate(R"({"event":"start","task":"a.0.0.0"})") == LogRate::Frequent);
    cr_assert(logRate(R"({"event":"accepted"})") == LogRate::Frequent);
    cr_assert(logRate(R"({"event":"task-absent"})") == LogRate::Frequent);
    for (const char *event : {"started", "recovered", "elected", "config", "store-lost", "leaving"}) {
        cr_assert(logRate(R"({"event":")" + std::string(event) + R"("})") == LogRate::Rare);
    }
    cr_assert(logRate("text") == LogRate::Rare);
}
