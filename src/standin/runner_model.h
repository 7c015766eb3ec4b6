// In-memory model of a runner that follows the platform's rules for fencing tokens, leases, runs and lists of finished
// runs. It has no capacity, rejects no start as late, and ends a stopped run at once. It performs no I/O and reads no
// clock: callers pass the time. Not thread-safe.
#pragma once

#include "core/message/runner_type.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosapier
{

struct RunnerModel
{
    static constexpr std::size_t ListedEnds = 500; // most ends that one answer names
    RunnerRecord record_;
    bool reachable_ = true; // false: calls are not executed
    bool hasLeftAddress_ = false; // another runner answers at the address
    bool givesClock_ = true; // in its answers
    bool dropsReplies_ = false; // calls are executed, but their replies are lost
    bool needsTickets_ = false; // a run begins only with a ticket of this incarnation that is still valid
    std::uint64_t token_ = 0; // highest fencing token seen
    std::int64_t startedUnixMs_ = 1;
    std::int64_t clockOffsetMs_ = 1'000; // the runner's clock when elapsedMs is 0
    std::int64_t leaseUntilMs_ = 0; // on the runner's clock
    std::int64_t holdMaxMs_ = 10'000; // longest lease, on the runner's clock; a longer one is shortened to it
    std::map<StagedTask, std::uint64_t> active_; // run number by task
    std::map<StagedTask, std::string> checkpoints_; // latest one by task; named by lists and ends
    std::vector<FinishedRun> finished_; // not acknowledged, ascending by number
    std::map<StagedTask, std::uint64_t> highestEndedRuns_; // by task; later starts need a higher run number
    std::vector<std::string> startSpecs_; // of all start calls, including repeated ones
    std::uint64_t lastEndNumber_ = 0; // number of the latest finished run
    std::vector<std::pair<StagedTask, std::uint64_t>> starts_; // all started runs, in order: task and run number

    std::int64_t clockMs(std::int64_t elapsedMs) const { return clockOffsetMs_ + elapsedMs; }

    // Ends all runs when the lease has expired. `elapsedMs` is the time since the start of the test or process.
    void expire(std::int64_t elapsedMs)
    {
        if (clockMs(elapsedMs) > leaseUntilMs_) {
            while (!active_.empty()) {
                end(active_.begin()->first, RunEnd::Lapsed);
            }
        }
    }

    // Starts the runner again under its id: it holds and knows nothing of before, and its clock begins anew.
    void restart(std::int64_t startedUnixMs, std::int64_t elapsedMs)
    {
        const RunnerRecord record = record_;
        const auto starts = starts_; // of all incarnations
        const std::int64_t holdMaxMs = holdMaxMs_;
        const bool needsTickets = needsTickets_;
        *this = {};
        holdMaxMs_ = holdMaxMs;
        needsTickets_ = needsTickets;
        record_ = record;
        record_.startedUnixMs_ = startedUnixMs;
        starts_ = starts;
        startedUnixMs_ = startedUnixMs;
        clockOffsetMs_ = -elapsedMs;
    }

    std::string checkpointOf(const StagedTask &task) const
    {
        const auto found = checkpoints_.find(task);
        return found == checkpoints_.end() ? "" : found->second;
    }

    // Moves the active run of the task to the finished ones. Does nothing when the task has no active run.
    void end(const StagedTask &task, RunEnd reason)
    {
        const auto found = active_.find(task);
        if (found != active_.end()) {
            finished_.push_back({++lastEndNumber_, task, RunNumber{found->second}, reason, checkpointOf(task)});
            highestEndedRuns_[task] = std::max(highestEndedRuns_[task], found->second);
            active_.erase(found);
        }
    }

    // Executes the call and returns the reply as the caller receives it: status Unknown when the runner cannot be
    // reached or drops its replies.
    RunnerReply answer(const RunnerCall &call, TimePoint now, std::int64_t elapsedMs)
    {
        RunnerReply reply = execute(call, now, elapsedMs);
        if (dropsReplies_) {
            reply.status_ = RunnerStatus::Unknown;
            reply.clockMs_ = -1;
            reply.startedUnixMs_ = 0;
            reply.active_.clear();
            reply.finished_.clear();
        }
        return reply;
    }

    RunnerReply execute(const RunnerCall &call, TimePoint now, std::int64_t elapsedMs)
    {
        RunnerReply reply;
        reply.id_ = call.id_;
        reply.op_ = call.op_;
        reply.runner_ = call.runner_;
        reply.task_ = call.task_;
        reply.run_ = call.run_;
        reply.sentAt_ = now;
        if (!reachable_) {
            return reply;
        }
        if (hasLeftAddress_) {
            reply.status_ = RunnerStatus::OtherIncarnation;
            return reply;
        }
        reply.clockMs_ = givesClock_ ? clockMs(elapsedMs) : -1;
        reply.status_ = RunnerStatus::Ok;
        if (call.token_.value_ < token_) {
            reply.status_ = RunnerStatus::Fenced;
            return reply;
        }
        token_ = call.token_.value_;
        if (call.op_ == RunnerOp::Start) {
            startSpecs_.push_back(call.spec_);
            reply.status_ = start(call, elapsedMs);
        } else if (call.op_ == RunnerOp::Stop) {
            const auto active = active_.find(call.task_);
            if (active != active_.end() && active->second == call.run_.value_) {
                end(call.task_, RunEnd::Stopped);
            }
            highestEndedRuns_[call.task_] = std::max(highestEndedRuns_[call.task_], call.run_.value_);
        } else {
            lengthenLease(call, elapsedMs);
            std::erase_if(finished_, [&call](const FinishedRun &run) { return run.number_ <= call.acknowledgedEnd_; });
            reply.startedUnixMs_ = startedUnixMs_; // only lists of runs name the incarnation
            const auto listed = static_cast<std::ptrdiff_t>(std::min(finished_.size(), ListedEnds));
            reply.finished_.assign(finished_.begin(), finished_.begin() + listed);
            for (const auto &[task, run] : active_) {
                reply.active_.push_back({task, RunNumber{run}, checkpointOf(task), 100, 0});
            }
        }
        return reply;
    }

    // The lease applies to everything that runs here and is never shortened.
    void lengthenLease(const RunnerCall &call, std::int64_t elapsedMs)
    {
        leaseUntilMs_ = std::max(leaseUntilMs_, std::min(call.untilMs_, clockMs(elapsedMs) + holdMaxMs_));
    }

    // A ticket of this incarnation that is valid for `validMs` from now.
    std::string issueTicket(std::int64_t elapsedMs, std::int64_t validMs) const
    {
        return std::to_string(startedUnixMs_) + "@" + std::to_string(elapsedMs + validMs);
    }

    bool isValidTicket(const std::string &ticket, std::int64_t elapsedMs) const
    {
        const std::size_t separator = ticket.find('@');
        return separator != std::string::npos && ticket.substr(0, separator) == std::to_string(startedUnixMs_)
            && std::stoll(ticket.substr(separator + 1)) >= elapsedMs;
    }

    // A start that is rejected as superseded lengthens the lease all the same, one without a valid ticket does not.
    RunnerStatus start(const RunnerCall &call, std::int64_t elapsedMs)
    {
        const auto active = active_.find(call.task_);
        const auto ended = highestEndedRuns_.find(call.task_);
        const bool isNew
            = active == active_.end() && (ended == highestEndedRuns_.end() || call.run_.value_ > ended->second);
        if (isNew && needsTickets_ && !isValidTicket(call.ticket_, elapsedMs)) {
            return RunnerStatus::BadTicket;
        }
        lengthenLease(call, elapsedMs);
        if (active != active_.end()) {
            return active->second == call.run_.value_ ? RunnerStatus::Ok : RunnerStatus::Superseded;
        }
        if (ended != highestEndedRuns_.end() && call.run_.value_ <= ended->second) {
            return RunnerStatus::Superseded;
        }
        active_.emplace(call.task_, call.run_.value_);
        starts_.emplace_back(call.task_, call.run_.value_);
        return RunnerStatus::Ok;
    }
};

} // namespace mimosapier
