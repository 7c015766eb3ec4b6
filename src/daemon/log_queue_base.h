// Queue between the threads that log and the thread that writes the structured log. The load that it answers: thousands
// of lines a second of starts and ends on a leader with little processor time. Frequent and rare lines have separate
// limits, so that a flood of frequent lines never displaces a rare one. Nothing here blocks a thread that logs.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace mimosapier
{

enum class LogRate : std::uint8_t {
    Rare, // of the process, its dependencies, the leadership or the configuration
    Frequent, // of a request, a task, a runner or a policy query
};

// Rate of a structured log line, a JSON object with "event" as its first member. Lines of another form are rare.
LogRate logRate(std::string_view object);

// Numbers of dropped lines, by rate.
struct LogDrops
{
    std::uint64_t rare_ = 0;
    std::uint64_t frequent_ = 0;
    bool operator==(const LogDrops &) const = default;
};

// A line without its line break.
struct QueuedLogLine
{
    LogRate rate_ = LogRate::Rare;
    std::string text_;
};

// Limits of the queued text, in bytes.
struct LogQueueLimits
{
    std::size_t rareBytes_ = 0;
    std::size_t frequentBytes_ = 0;
};

// The functions may be called from any thread.
class LogQueue
{
public:
    explicit LogQueue(LogQueueLimits limits);

    // Queues the lines; drops and counts those whose rate has no room left.
    void put(std::vector<QueuedLogLine> lines);

    // Waits until there are lines, drops or a close. Appends the queued lines, oldest first, and sets `drops` to the
    // number of lines dropped since the last call. Result: false when the queue is closed and empty.
    bool take(std::vector<std::string> &lines, LogDrops &drops);

    // Ends take() once the queue is empty. Later lines are dropped.
    void close();

    // All lines dropped so far.
    [[nodiscard]] LogDrops drops() const;

private:
    mutable std::mutex mutex_; // guards all members below
    std::condition_variable notEmpty_;
    std::deque<QueuedLogLine> lines_; // in the order of put()
    LogQueueLimits room_; // bytes that each rate may still add
    LogDrops drops_;
    LogDrops reportedDrops_; // part of drops_ that take() has returned
    bool closed_ = false;
};

// Joins lines to blocks of at most `maxBytes` without the last line break. A pipe takes a write of up to 4,096 bytes as
// a whole, so a process that is killed leaves no incomplete line. A longer line is a block of its own.
std::vector<std::string> joinLogLines(const std::vector<std::string> &lines, std::size_t maxBytes);

} // namespace mimosapier
