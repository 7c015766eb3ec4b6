// Calls to runners under leases, their replies, and what runners publish about themselves.
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

// One task of one occurrence of a staged job.
struct StagedTask
{
    StagedJobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;

    auto operator<=>(const StagedTask &) const = default;
};

// A runner's own report in the discovery list.
struct RunnerRecord
{
    RunnerId id_;
    std::string service_;
    std::string address_; // "ip:port"
    std::string zone_;
    bool draining_ = false;
    Resources capacity_; // slots_ is not used
    std::string kind_; // of its instance
    std::string rack_;
    std::vector<std::string> labels_; // all of them, kind and rack included
    std::int64_t startedUnixMs_ = 0; // start of this life; 0: not given
};

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
    CellEpoch token_; // a runner ignores lower ones than it has seen
    std::int64_t untilMs_ = 0; // on the runner's clock: end of the lease of all its tasks; 0: not extended
    std::uint64_t acknowledgedEnd_ = 0; // Hold: ends up to this number may be forgotten
    Milliseconds wait_{0}; // Hold: longest wait for an end
    Milliseconds timeout_{1000}; // added to wait_
    bool operator==(const RunnerCall &) const = default;
};

struct ActiveRun
{
    StagedTask task_;
    RunNumber run_;
    std::string checkpoint_; // latest; empty: none
    std::int64_t percent_ = 100; // share at which it works
    std::int64_t usage_ = 0; // serving tasks: tail of the response time in ms; others: thousandths of a processor
    bool operator==(const ActiveRun &) const = default;
};

enum class RunEnd : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed, // the lease ended
    Broken, // another member of the gang ended
    Alone, // the other members of the gang did not come
};

struct FinishedRun
{
    std::uint64_t number_ = 0; // rises from 1 in each life of the runner
    StagedTask task_;
    RunNumber run_;
    RunEnd end_ = RunEnd::Stopped;
    std::string checkpoint_;
    bool operator==(const FinishedRun &) const = default;
};

enum class RunnerStatus : std::uint8_t {
    Ok,
    Fenced, // a higher token was seen
    Superseded, // that run, or a later one, was stopped or ended there
    Late, // the lease had ended on arrival
    NoCapacity,
    BadTicket,
    Malformed,
    Unhealthy, // nothing was done
    OtherIncarnation, // another runner has this address
    NotSent, // certainly did not arrive
    Unknown, // may have arrived, or may arrive later
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
    std::int64_t startedUnixMs_ = 0; // 0: not given
    std::vector<ActiveRun> active_; // Hold
    std::vector<FinishedRun> finished_; // Hold
    TimePoint sentAt_; // of this process; not sent to others
    bool operator==(const RunnerReply &) const = default;
};

// Calls that the leader asks a daemon near the runners to make, and the replies.
struct RelayedCalls
{
    std::vector<RunnerCall> calls_;
    bool operator==(const RelayedCalls &) const = default;
};

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
