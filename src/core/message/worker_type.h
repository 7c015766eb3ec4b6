// Calls to workers, which the holder of a group requests, and their results. A worker rejects calls with an epoch lower
// than the highest it has seen, and stops tasks whose lease expires.
#pragma once

#include "core/common/id_type.h"
#include "core/common/work_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosapier
{

// Makes the worker acknowledge the holder's epoch and report its running and unacknowledged tasks.
struct WorkerHold
{
    DaemonId holder_;
    Milliseconds lease_{0};
};

// A task to start.
struct WorkerTask
{
    TaskId task_;
    TeamId team_;
    ClassId class_;
    std::string requestId_;
    Resources size_;
    bool idempotent_ = true;
    std::string payload_;
};

// Starts tasks. Each gets one report in the result.
struct WorkerStart
{
    std::vector<WorkerTask> tasks_;
    Milliseconds lease_{0};
};

// Renews the lease of all tasks of the worker and waits up to wait_ for changes to report.
struct WorkerPoll
{
    std::vector<TaskId> acks_; // results that the worker may delete
    Milliseconds lease_{0};
    Milliseconds wait_{0};
    std::vector<TaskId> endedTasks_{}; // tasks whose end the holder knows already; need not be reported again
};

enum class StopMode : std::uint8_t { Stop, Checkpoint, Throttle };

// Stops, checkpoints or throttles tasks.
struct WorkerStop
{
    std::vector<TaskId> tasks_;
    StopMode mode_ = StopMode::Stop;
};

using WorkerOp = std::variant<WorkerHold, WorkerStart, WorkerPoll, WorkerStop>;

struct WorkerRequest
{
    WorkerOpId id_;
    ShardId group_;
    WorkerId worker_;
    std::string address_; // "ip:port"
    Epoch epoch_;
    WorkerOp op_;
};

enum class WorkerStatus : std::uint8_t {
    Ok,
    StaleEpoch, // the worker has seen a higher epoch
    Refused, // had no effect
    Unknown, // may have taken effect
};

// A task as the worker reports it.
struct WorkerTaskReport
{
    TaskId task_;
    TeamId team_;
    ClassId class_;
    Resources size_; // declared
    Resources used_; // measured, with a delay
    Outcome outcome_ = Outcome::Running;
    ErrorKind error_ = ErrorKind::None; // of a rejected start or a failed task
    bool idempotent_ = true;
    std::string result_;
};

struct WorkerResult
{
    WorkerOpId id_;
    ShardId group_;
    WorkerId worker_;
    WorkerStatus status_ = WorkerStatus::Unknown;
    Epoch highestEpoch_; // seen by the worker
    bool leaving_ = false; // the worker accepts no new tasks
    std::vector<WorkerTaskReport> tasks_; // Hold: all running and unacknowledged; Start: one per task; Poll: changes
};

} // namespace mimosapier
