// Values of the trace of jobs, which mimosapierctl reads from the daemons' structured logs.
#pragma once

#include "core/common/time_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosapier
{

// A line of a structured log.
struct TraceLine
{
    std::int64_t unixMs_ = 0; // wall clock time of the daemon that wrote it
    std::string event_;
    std::string job_; // 16 hexadecimal digits; empty: the line is about no job
    std::string task_; // "job.occurrence.step.index"; empty: the line is about no task
    std::string text_; // JSON object
};

// Lines of all files, ascending by time.
struct TraceLog
{
    std::vector<TraceLine> lines_;
    std::uint64_t damagedLines_ = 0; // looked like a log line and could not be read
    std::uint64_t droppedLines_ = 0; // that the daemons report as dropped
};

// Parts of the time of a job, in the order in which they occur.
enum class TracePart : std::uint8_t {
    Store, // from the submit until the job is stored
    Policy, // until the first start, as far as a policy query was in flight
    Queue, // the rest of the time until the first start
    Repeats, // runs that did not end as done, until the last run of the same task starts
    Run, // from the last start to the last end
    Note, // from the last end to the job's end
    Count
};

enum class JobFate : std::uint8_t {
    Refused,
    NotStored,
    NotStarted,
    NotEnded,
    Failed,
    Cancelled,
    Late,
    InTime,
};

// What became of a job.
struct JobTrace
{
    std::string job_;
    std::string account_;
    std::string queue_;
    std::int64_t submittedMs_ = -1; // Unix time of the last submit; -1: none seen
    std::int64_t objectiveMs_ = 0;
    JobFate fate_ = JobFate::NotStored;
    std::string refusal_; // reason of a refusal
    std::array<std::int64_t, static_cast<std::size_t>(TracePart::Count)> partMs_{}; // by TracePart
    std::uint32_t starts_ = 0;
    std::map<std::string, std::uint32_t> ends_; // number of ends by kind
    std::int64_t pastUseShiftMs_ = 0; // largest known shift of its steps in the order by the past use of its account
    std::uint32_t leaderChanges_ = 0; // elections between the submit and the end
};

} // namespace mimosapier
