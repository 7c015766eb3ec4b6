// Log of the process: sentences for operators on stderr, and JSON lines on stdout. Separate threads do the output, so
// the threads that log never wait for it.
#pragma once

#include "core/message/event_type.h"
#include "daemon/log_queue_base.h"

#include <span>
#include <string_view>
#include <thread>

namespace mimosapier
{

// The running log of the process, at most one. Both outputs are written from its construction to its destruction. It
// has to be destroyed before the process exits: its threads use static objects of the log library.
class LogScope
{
public:
    // `level` is the lowest level written to stderr: "debug", "info", "warning" or "error"; any other value means
    // "info". Structured lines are written at all levels.
    explicit LogScope(std::string_view level);
    // Writes the pending lines. Lines that come later are dropped. Blocks while stdout is stuck.
    ~LogScope();
    LogScope(const LogScope &) = delete;
    LogScope &operator=(const LogScope &) = delete;

private:
    std::thread writer_; // writes the structured lines
};

// Writes one line to stderr. `text` starts with the name of its part, for example "[peer]". Lines are dropped when the
// output is stuck. May be called from any thread.
void writeLog(LogLevel level, std::string_view text);

// Writes JSON objects to stdout, one per line, and adds the fields "time" (UTC) and "level". The text of each line must
// be a JSON object that begins with the member "event". Lines are dropped when the output is slower than the lines
// come; frequent events (see table/log_event_table.h) never displace rare ones. A line with the event "log-dropped"
// says how many were dropped. May be called from any thread.
void writeStructuredLog(std::span<const LogLine> lines);

// Structured lines dropped since the start of the process. May be called from any thread.
LogDrops droppedLogLines();

} // namespace mimosapier
