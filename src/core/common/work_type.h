// Jobs and tasks as callers describe them, and what becomes of them.
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
    Interactive, // request/response; not journaled when idempotent
    Journaled, // accepted durably, then run to completion
    Service, // runs until cancelled; restarted after a loss
    Gang, // all tasks start together or none does
};

enum class Priority : std::uint8_t { Urgent, Normal, Batch };

// What became of a job or a task.
enum class Outcome : std::uint8_t {
    Pending, // accepted or queued; no outcome yet
    Running,
    Done, // ran and succeeded
    Failed, // ran and failed
    NotRun, // certainly did not run
    Cancelled, // stopped on request, or never started because of it
    Unknown, // may or may not have run
};

// True when the outcome never changes again.
constexpr bool isFinal(Outcome outcome)
{
    return outcome != Outcome::Pending && outcome != Outcome::Running;
}

// A job as admitted at an entry daemon; it travels whole to the home partition and to groups.
struct JobSpec
{
    JobId id_;
    std::string requestId_; // caller's id, unique per team
    TeamId team_;
    ClassId class_;
    WorkMode mode_ = WorkMode::Interactive; // from the class at admission
    Priority priority_ = Priority::Normal; // from the class at admission
    RegionId homeRegion_; // region whose groups or partitions decide for this job
    std::uint32_t tasks_ = 1; // >= 1
    Resources size_; // of one task; slots_ is 1
    Milliseconds declaredRun_{0}; // caller's estimate for one task; may be off by a factor of ten
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
    WorkerId worker_; // empty when it never started
    std::string result_; // output of the task; opaque

    bool operator==(const TaskResult &) const = default;
};

// Name on the wire, for example "not-run".
std::string_view outcomeName(Outcome outcome);
std::string_view workModeName(WorkMode mode);
std::string_view priorityName(Priority priority);

} // namespace mimosapier
