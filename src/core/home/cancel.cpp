// Cancellation of jobs, in bulk and durable, before or after their start.
#include "core/home/home_internal.h"

#include <algorithm>

namespace mimosapier
{

constexpr Milliseconds StopRepeat{2000}; // stops are repeated until the group tells the end
constexpr Milliseconds CancelWaitLimit{5000}; // a cancellation is then answered as accepted

void stopTasks(Home &home, HomeJob &job, Context &context)
{
    const bool repeat = context.now_ >= job.stopAt_;
    std::vector<TaskResult> ended;
    bool open = false;
    for (HomeTask &task : job.tasks_) {
        if (isFinal(task.result_.outcome_)) {
            continue;
        }
        if (!task.mayHaveRun_) {
            if (job.cancelled_) {
                ended.push_back({task.result_.index_, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}});
            } else if (!task.group_.empty()) {
                task.group_ = {};
                task.assigned_ = false;
                task.call_ = {};
                task.offered_ = false;
            }
            continue;
        }
        open = true;
        if (repeat) {
            home.stops_[task.group_].push_back({job.spec_.id_, task.result_.index_});
            if (job.stopAt_ != TimePoint{}) {
                task.offered_ = false; // asks for the state as well, because a stop has no answer
            }
        }
    }
    finishTasks(home, job, std::move(ended), context);
    if (!open) {
        job.gangRestart_ = false;
        job.stopAt_ = {};
        return;
    }
    if (repeat) {
        job.stopAt_ = context.now_ + StopRepeat;
    }
    setTimer(home, job, job.stopAt_);
}

// Answer to a cancellation once all its jobs are final, or when it has waited long enough: one result per job, with
// the position of the job in the request as index.
static JobAnswer cancelState(const Home &home, const std::vector<JobId> &jobs, TimePoint now)
{
    JobAnswer answer;
    answer.outcome_ = Outcome::Done;
    for (std::uint32_t position = 0; position < jobs.size(); ++position) {
        TaskResult result;
        result.index_ = position;
        const auto found = home.jobs_.find(jobs[position]);
        const JobAnswer state
            = found == home.jobs_.end() ? pastState(home, jobs[position], now) : jobState(found->second);
        result.outcome_ = state.outcome_;
        if (state.error_ == ErrorKind::UnknownJob) {
            result.error_ = answer.error_ = ErrorKind::UnknownJob;
        }
        if (result.outcome_ == Outcome::Pending) {
            answer.outcome_ = Outcome::Pending;
        }
        answer.results_.push_back(std::move(result));
    }
    return answer;
}

static bool isSettled(const Home &home, CancelWait &wait)
{
    for (; wait.settled_ < wait.jobs_.size(); ++wait.settled_) {
        const auto found = home.jobs_.find(wait.jobs_[wait.settled_]);
        if (found != home.jobs_.end() && found->second.unfinished_ > 0) {
            return false;
        }
    }
    return true;
}

// True when every cancellation is durable, so that it may be answered before the tasks have stopped.
static bool isDurable(const Home &home, const CancelWait &wait)
{
    return std::all_of(wait.jobs_.begin(), wait.jobs_.end(), [&home](const JobId &id) {
        const auto found = home.jobs_.find(id);
        return found == home.jobs_.end() || found->second.unfinished_ == 0 || found->second.cancelled_;
    });
}

void checkCancelWaits(Home &home, Context &context)
{
    std::erase_if(home.cancelWaits_, [&](CancelWait &wait) {
        const bool late = context.now_ >= wait.asker_.until_;
        if (!isSettled(home, wait) && !late) {
            return false;
        }
        JobAnswer answer = cancelState(home, wait.jobs_, context.now_);
        if (late && !isDurable(home, wait)) {
            answer.outcome_ = Outcome::Unknown;
            answer.error_ = ErrorKind::StoreUnavailable;
        }
        sendJobAnswer(wait.asker_, std::move(answer), context);
        return true;
    });
}

void cancelJobs(Home &home, const Asker &asker, const std::vector<JobId> &jobs, Context &context)
{
    for (const JobId &id : jobs) {
        const auto found = home.jobs_.find(id);
        if (found == home.jobs_.end() || found->second.unfinished_ == 0 || found->second.cancelRecorded_) {
            continue;
        }
        HomeJob &job = found->second;
        if (!job.recorded_) {
            // No record exists, so that none is needed: the job ends here.
            refuseSubmitters(home, job, Outcome::NotRun, ErrorKind::Cancelled, context);
            home.timers_.erase({job.timer_, id});
            home.jobs_.erase(found);
            continue;
        }
        job.cancelRecorded_ = true;
        appendRecord(home, {RecordKind::Cancelled, id, {}, {}, {}}, context);
    }
    home.cancelWaits_.push_back({asker, jobs, 0});
    checkCancelWaits(home, context);
}

void onJobCancel(Home &home, const DaemonId &from, const JobCancel &message, Context &context)
{
    const Asker asker{from, message.replyTo_, context.now_ + CancelWaitLimit, false};
    if (home.phase_ == HomePhase::Fenced) {
        JobAnswer answer;
        answer.outcome_ = Outcome::Unknown;
        answer.error_ = ErrorKind::NotHolder;
        sendJobAnswer(asker, std::move(answer), context);
    } else if (home.phase_ == HomePhase::Active) {
        cancelJobs(home, asker, message.jobs_, context);
        sendBatches(home, context);
    } else {
        home.waitingCancels_.emplace_back(message, asker);
    }
}

} // namespace mimosapier
