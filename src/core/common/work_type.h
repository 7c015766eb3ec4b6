// Jobs and tasks as callers describe them, and their outcomes.
#pragma once

#include "core/common/error_type.h"
#include "core/common/id_type.h"
#include "core/common/resource_type.h"
#include "core/common/time_type.h"

#include <cstdint>
#include <string>

namespace mimosapier
{

// How work of a class is run.
enum class WorkMode : std::uint8_t {
    Interactive, // request and response; idempotent work is not journaled
    Journaled, // stored durably when accepted, then run to completion
    Service, // runs until cancelled; restarted when lost
    Gang, // all tasks start together or none does
};

enum class Priority : std::uint8_t { Urgent, Normal, Batch };

// State or outcome of a job or a task.
enum class Outcome : std::uint8_t {
    Pending, // accepted or queued; no outcome yet
    Running,
    Done, // ran and succeeded
    Failed, // ran and failed
    NotRun, // did not run and will not
    Cancelled, // stopped, or not started, on request
    Unknown, // may or may not have run
};

// Whether the outcome can no longer change.
constexpr bool isFinal(Outcome outcome)
{
    return outcome != Outcome::Pending && outcome != Outcome::Running;
}

// A job as the entry daemon admitted it. The complete struct is sent to the home partition and to groups.
struct JobSpec
{
    JobId id_;
    std::string requestId_; // caller's id, unique per team
    TeamId team_;
    ClassId class_;
    WorkMode mode_ = WorkMode::Interactive; // from the class at admission
    Priority priority_ = Priority::Normal; // from the class at admission
    RegionId homeRegion_; // region whose groups or partitions schedule this job
    std::uint32_t tasks_ = 1; // >= 1
    Resources size_; // of one task; slots_ is 1
    Milliseconds declaredRun_{0}; // caller's estimate of one task's run time; may be wrong by a factor of ten
    bool idempotent_ = true; // false: each task starts at most once
    std::string payload_; // opaque; handed to the worker

    bool operator==(const JobSpec &) const = default;
};

// What became of one task.
struct TaskResult
{
    std::uint32_t index_ = 0;
    Outcome outcome_ = Outcome::Pending;
    ErrorKind error_ = ErrorKind::None;
    WorkerId worker_; // empty when the task never started
    std::string result_; // output of the task; opaque

    bool operator==(const TaskResult &) const = default;
};

// Names on the wire, for example "not-run".
std::string_view outcomeName(Outcome outcome);
std::string_view workModeName(WorkMode mode);
std::string_view priorityName(Priority priority);

} // namespace mimosapier
