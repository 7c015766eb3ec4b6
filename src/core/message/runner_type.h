// Calls of the cell's leader to runners, their replies, and the records that runners publish. A runner stops its tasks
// when their lease ends.
#pragma once

#include "core/common/resource_type.h"
#include "core/message/cell_type.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mimosapier
{

using FencingToken = NumberId<struct FencingTokenTag>; // see core/cell/fencing_func.h

// One task of one occurrence of a staged job.
struct StagedTask
{
    StagedJobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;

    auto operator<=>(const StagedTask &) const = default;
};

// A runner's record in the discovery service, written by the runner.
struct RunnerRecord
{
    RunnerId id_;
    std::string service_;
    std::string address_; // "ip:port"
    std::string zone_;
    bool draining_ = false;
    Resources capacity_; // slots_ is not used
    std::string kind_; // kind of the instance
    std::string rack_;
    std::vector<std::string> labels_; // including kind and rack
    std::int64_t startedUnixMs_ = 0; // start of this incarnation; 0: not given
    Milliseconds coldRemaining_{0}; // how much longer the runner is slow after its start; 0: warm
};

// Hold renews the lease of all tasks on the runner and reports runs that have ended.
enum class RunnerOp : std::uint8_t { Start, Stop, Hold };

struct RunnerCall
{
    std::uint64_t id_ = 0; // unique at the daemon
    RunnerOp op_ = RunnerOp::Hold;
    RunnerId runner_;
    std::string address_;
    StagedTask task_; // Start, Stop
    RunNumber run_; // Start, Stop
    std::string spec_; // Start
    std::string checkpoint_; // Start; empty: from the beginning
    std::string ticket_; // Start; empty: none needed
    FencingToken token_; // a runner rejects calls with a lower one than it has seen
    std::int64_t untilMs_ = 0; // end of the lease of all its tasks, on the runner's clock; 0: not extended
    std::uint64_t acknowledgedEnd_ = 0; // Hold: the runner may delete finished runs up to this FinishedRun::number_
    Milliseconds wait_{0}; // Hold: longest wait for a run to end
    Milliseconds timeout_{1000}; // of the call, in addition to wait_
    bool operator==(const RunnerCall &) const = default;
};

// A run in progress, as the runner reports it.
struct ActiveRun
{
    StagedTask task_;
    RunNumber run_;
    std::string checkpoint_; // latest; empty: none
    std::int64_t percent_ = 100; // speed, in percent of the full speed
    std::int64_t usage_ = 0; // serving tasks: tail latency in ms; other tasks: thousandths of a processor
    bool operator==(const ActiveRun &) const = default;
};

// Why a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed, // the lease expired
    Broken, // another member of the gang ended
    Alone, // the other members of the gang did not start
};

// A run that has ended; reported until it is acknowledged.
struct FinishedRun
{
    std::uint64_t number_ = 0; // ascending from 1 in each incarnation of the runner
    StagedTask task_;
    RunNumber run_;
    RunEnd end_ = RunEnd::Stopped;
    std::string checkpoint_;
    bool operator==(const FinishedRun &) const = default;
};

enum class RunnerStatus : std::uint8_t {
    Ok,
    Fenced, // the runner has seen a higher token
    Superseded, // this run, or a later one of the task, has ended on the runner
    Late, // the lease had expired when the call arrived
    NoCapacity, // not enough free capacity
    BadTicket, // the ticket is missing or not valid
    Malformed,
    Unhealthy, // rejected without effect
    OtherIncarnation, // another runner, or incarnation, now has this address
    NotSent, // did not arrive and will not
    Unknown, // may have arrived or may still arrive
};

struct RunnerReply
{
    std::uint64_t id_ = 0;
    RunnerOp op_ = RunnerOp::Hold;
    RunnerId runner_;
    StagedTask task_; // Start, Stop
    RunNumber run_; // Start, Stop
    RunnerStatus status_ = RunnerStatus::Unknown;
    std::int64_t clockMs_ = -1; // the runner's clock; -1: not given
    std::int64_t startedUnixMs_ = 0; // start of the answering incarnation; 0: not given
    std::vector<ActiveRun> active_; // Hold
    std::vector<FinishedRun> finished_; // Hold
    TimePoint sentAt_; // when this process sent the call; not encoded
    bool operator==(const RunnerReply &) const = default;
};

// Calls that the leader sends through a daemon near the runners.
struct RelayedCalls
{
    std::vector<RunnerCall> calls_;
    bool operator==(const RelayedCalls &) const = default;
};

// Replies to RelayedCalls.
struct RelayedReplies
{
    std::vector<RunnerReply> replies_;
    bool operator==(const RelayedReplies &) const = default;
};

constexpr bool isValid(RunnerOp value)
{
    return value <= RunnerOp::Hold;
}

constexpr bool isValid(RunEnd value)
{
    return value <= RunEnd::Alone;
}

constexpr bool isValid(RunnerStatus value)
{
    return value <= RunnerStatus::Unknown;
}

// Names for logs, for example "lapsed" and "bad-ticket".
std::string_view runEndName(RunEnd end);
std::string_view runnerStatusName(RunnerStatus status);

} // namespace mimosapier

template <>
struct std::hash<mimosapier::StagedTask>
{
    std::size_t operator()(const mimosapier::StagedTask &task) const noexcept
    {
        constexpr std::uint64_t GoldenRatio = 0x9e3779b97f4a7c15ULL; // spreads small indices over the buckets
        const std::uint64_t packed
            = (std::uint64_t{task.occurrence_} << 40U) ^ (std::uint64_t{task.step_} << 24U) ^ task.index_;
        return task.job_.value_ ^ ((packed + 1) * GoldenRatio);
    }
};
