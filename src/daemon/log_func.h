// Log of the process: sentences for operators on stderr, and JSON lines on stdout. Separate threads do the output, so
// the threads that log never wait for it.
#pragma once

#include "core/message/event_type.h"
#include "daemon/log_queue_base.h"

#include <span>
#include <string_view>

namespace mimosapier
{

// Sets up both outputs. `level` is the lowest level written to stderr: "debug", "info", "warning" or "error"; any other
// value means "info". Structured lines are written at all levels.
void startLog(std::string_view level);

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

// Writes the pending lines and closes the log. Call last. Blocks while stdout is stuck.
void stopLog();

} // namespace mimosapier
