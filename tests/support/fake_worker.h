// Simulated worker that follows docs/protocols.md: epochs, task leases, slots and sizes. It calls an observer for each
// start and end of a task, so that tests can compare what ran with what the scheduler reports. Simulated time only.
#pragma once

#include "core/message/worker_type.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace mimosapier::test
{

struct FakeWorker
{
    // Task that runs, or that has ended and is not acknowledged.
    struct Run
    {
        WorkerTask task_;
        TimePoint endsAt_ = TimePoint::max(); // max: runs until stopped
        Outcome outcome_ = Outcome::Running;
        ErrorKind error_ = ErrorKind::None;
        bool willFail_ = false; // fails at the end of its run time
        bool reported_ = false; // its present state was reported to a poll
    };

    std::string name_;
    Resources capacity_;
    Epoch highestEpoch_; // of all requests so far
    TimePoint leaseEnd_;
    bool leaving_ = false;
    bool rejectsAllStarts_ = false; // each start is answered with not-run and task-failed
    WorkerPoll lastPoll_;
    bool omitsKnownTasks_ = true; // false: also reports tasks that the poll lists as known, which workers may do
    std::map<TaskId, Run> runs_;
    int overcommittedStarts_ = 0; // starts that exceeded the free capacity: an error of the group
    std::function<void(const TaskId &, bool)> observer_ = [](const TaskId &, bool) {}; // true: starts, false: ends

    Resources used() const
    {
        Resources sum;
        for (const auto &[id, run] : runs_) {
            if (run.outcome_ == Outcome::Running) {
                sum += {run.task_.size_.milliCpus_, run.task_.size_.memoryMb_, run.task_.size_.accelerators_, 1};
            }
        }
        return sum;
    }

    void end(Run &run, Outcome outcome, ErrorKind error)
    {
        run.outcome_ = outcome;
        run.error_ = error;
        run.reported_ = false;
        observer_(run.task_.task_, false);
    }

    // Ends the tasks whose run time is over and, when the lease has expired, all others.
    void advance(TimePoint now)
    {
        for (auto &[id, run] : runs_) {
            if (run.outcome_ != Outcome::Running) {
                continue;
            }
            if (now >= leaseEnd_ && run.endsAt_ > leaseEnd_) {
                end(run, Outcome::Failed, ErrorKind::TaskLeaseLapsed);
            } else if (now >= run.endsAt_) {
                end(run, run.willFail_ ? Outcome::Failed : Outcome::Done,
                    run.willFail_ ? ErrorKind::TaskFailed : ErrorKind::None);
            }
        }
    }

    WorkerTaskReport report(const Run &run) const
    {
        const WorkerTask &task = run.task_;
        WorkerTaskReport report{task.task_,   task.team_, task.class_,      task.size_, task.size_,
                                run.outcome_, run.error_, task.idempotent_, {}};
        if (run.outcome_ == Outcome::Done) {
            report.result_ = task.requestId_ + "/" + std::to_string(task.task_.index_) + " on " + name_;
        }
        return report;
    }

    WorkerTaskReport start(const WorkerTask &task, TimePoint now)
    {
        const auto known = runs_.find(task.task_);
        if (known != runs_.end()) {
            return report(known->second);
        }
        Run run;
        run.task_ = task;
        Resources required = task.size_;
        required.slots_ = 1;
        const bool fitsFree = fits(required, capacity_ - used());
        if (!fitsFree || rejectsAllStarts_) {
            overcommittedStarts_ += fitsFree ? 0 : 1;
            run.outcome_ = Outcome::NotRun;
            run.error_ = fitsFree ? ErrorKind::TaskFailed : ErrorKind::WorkerFull;
            return report(run);
        }
        const std::size_t at = task.payload_.find("run_ms=");
        const int ms = at == std::string::npos ? 10 : std::stoi(task.payload_.substr(at + 7));
        run.endsAt_ = ms == 0 ? TimePoint::max() : now + Milliseconds(ms);
        run.willFail_ = task.payload_.find("fail") != std::string::npos;
        observer_(task.task_, true);
        return report(runs_.emplace(task.task_, run).first->second);
    }

    // First part of a poll: renews the lease and removes the acknowledged runs.
    void beginPoll(const WorkerPoll &poll, TimePoint now)
    {
        lastPoll_ = poll;
        leaseEnd_ = now + poll.lease_;
        for (const TaskId &id : poll.acks_) {
            const auto run = runs_.find(id);
            if (run != runs_.end() && run->second.outcome_ != Outcome::Running) {
                runs_.erase(run);
            }
        }
    }

    // Second part of a poll: adds the reports to its result.
    void collectPoll(const WorkerPoll &poll, WorkerResult &result)
    {
        for (auto &[id, run] : runs_) {
            const bool known = omitsKnownTasks_
                && std::find(poll.endedTasks_.begin(), poll.endedTasks_.end(), id) != poll.endedTasks_.end();
            if (run.outcome_ != Outcome::Running ? !known : !run.reported_) {
                run.reported_ = true;
                result.tasks_.push_back(report(run));
            }
        }
    }

    // Executes one request. A poll is answered at once, even without reports.
    WorkerResult handle(const WorkerRequest &request, TimePoint now)
    {
        advance(now);
        WorkerResult result{request.id_, request.group_, request.worker_, WorkerStatus::Ok, highestEpoch_, leaving_,
                            {}};
        if (request.epoch_ < highestEpoch_) {
            result.status_ = WorkerStatus::StaleEpoch;
            return result;
        }
        highestEpoch_ = request.epoch_;
        result.highestEpoch_ = highestEpoch_;
        if (const auto *hold = std::get_if<WorkerHold>(&request.op_)) {
            leaseEnd_ = now + hold->lease_;
            for (const auto &[id, run] : runs_) {
                result.tasks_.push_back(report(run));
            }
        } else if (const auto *begin = std::get_if<WorkerStart>(&request.op_)) {
            if (leaving_) {
                result.status_ = WorkerStatus::Refused;
                return result;
            }
            leaseEnd_ = now + begin->lease_;
            for (const WorkerTask &task : begin->tasks_) {
                result.tasks_.push_back(start(task, now));
            }
        } else if (const auto *poll = std::get_if<WorkerPoll>(&request.op_)) {
            beginPoll(*poll, now);
            collectPoll(*poll, result);
        } else if (const auto *stop = std::get_if<WorkerStop>(&request.op_)) {
            for (const TaskId &id : stop->tasks_) {
                const auto run = runs_.find(id);
                if (run == runs_.end()) {
                    continue;
                }
                if (stop->mode_ != StopMode::Throttle && run->second.outcome_ == Outcome::Running) {
                    end(run->second, Outcome::Cancelled, ErrorKind::Cancelled);
                }
                result.tasks_.push_back(report(run->second));
            }
        }
        return result;
    }

    // True when a run has a state that was not reported to a poll.
    bool hasPendingReports() const
    {
        for (const auto &[id, run] : runs_) {
            if (!run.reported_) {
                return true;
            }
        }
        return false;
    }
};

} // namespace mimosapier::test
