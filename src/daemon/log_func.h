// Log of the process: short sentences on stderr and structured lines on stdout, written by a thread of the log library
// so that no duty waits for the output.
#pragma once

#include "core/message/event_type.h"

#include <span>
#include <string_view>

namespace mimosapier
{

// Parameters: lowest level that is written: "debug", "info", "warning" or "error".
void startLog(std::string_view level);

// Writes a line; it starts with the prefix of its part, for example "[peer]". May be called from any thread.
void writeLog(LogLevel level, std::string_view text);

// Writes JSON objects to stdout, one a line, with time and level added. Lines are dropped, and the library says how
// many, when the output is stuck or the queue is full. May be called from any thread.
void writeStructuredLog(std::span<const LogLine> lines);

// Writes out what is pending.
void stopLog();

} // namespace mimosapier
