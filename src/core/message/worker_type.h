// Calls to workers, as the decision logic asks for them, and their results.
#pragma once

#include "core/common/id_type.h"
#include "core/common/work_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosapier
{

// Makes the worker acknowledge the epoch and list what it has.
struct WorkerHold
{
    DaemonId holder_;
    Milliseconds lease_{0};
};

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

struct WorkerStart
{
    std::vector<WorkerTask> tasks_;
    Milliseconds lease_{0};
};

// Renews the lease of all tasks of the worker and waits for news.
struct WorkerPoll
{
    std::vector<TaskId> acks_; // results that the worker may forget
    Milliseconds lease_{0};
    Milliseconds wait_{0};
    std::vector<TaskId> endedTasks_{}; // tasks that have ended, as the caller knows; not reported again
};

enum class StopMode : std::uint8_t { Stop, Checkpoint, Throttle };

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
    Refused, // certainly no effect
    Unknown, // may have taken effect
};

// A task as the worker reports it.
struct WorkerTaskReport
{
    TaskId task_;
    TeamId team_;
    ClassId class_;
    Resources size_; // declared
    Resources used_; // measured, lags
    Outcome outcome_ = Outcome::Running;
    ErrorKind error_ = ErrorKind::None; // of a start that was refused, or of a failed task
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
    bool leaving_ = false;
    std::vector<WorkerTaskReport> tasks_; // Hold: all running and unacknowledged; Start: one per task; Poll: changes
};

} // namespace mimosapier
