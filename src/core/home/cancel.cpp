// Cancels jobs, in bulk. A cancellation is journaled before tasks are stopped, so that a new holder continues it.
#include "core/home/home_internal.h"

#include <algorithm>

namespace mimosapier
{

constexpr Milliseconds StopResendInterval{2000}; // stops are resent until the group reports the end of the task
// Time until a cancellation is answered although jobs are not final: Pending if all Cancelled records are durable, else
// Unknown.
constexpr Milliseconds CancelAnswerTimeout{5000};

void stopTasks(Home &home, HomeJob &job, Context &context)
{
    const bool resend = context.now_ >= job.nextStopAt_;
    std::vector<TaskResult> finalResults;
    bool open = false;
    for (HomeTask &task : job.tasks_) {
        if (isFinal(task.result_.outcome_)) {
            continue;
        }
        if (!task.mayHaveRun_) {
            if (job.cancelDurable_) {
                finalResults.push_back({task.result_.index_, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}});
            } else if (!task.group_.empty()) {
                task.group_ = {};
                task.assignmentDurable_ = false;
                task.call_ = {};
                task.offerSent_ = false;
            }
            continue;
        }
        open = true;
        if (resend) {
            home.pendingStops_[task.group_].push_back({job.spec_.id_, task.result_.index_});
            if (job.nextStopAt_ != TimePoint{}) {
                task.offerSent_ = false; // a stop has no answer, so the state is looked up as well
            }
        }
    }
    finishTasks(home, job, std::move(finalResults), context);
    if (!open) {
        job.gangRestarting_ = false;
        job.nextStopAt_ = {};
        return;
    }
    if (resend) {
        job.nextStopAt_ = context.now_ + StopResendInterval;
    }
    setTimerNoLaterThan(home, job, job.nextStopAt_);
}

// Answer to a cancellation: one result per job, whose index_ is the position of the job in the request. Pending when a
// job is not final.
static JobAnswer cancelState(const Home &home, const std::vector<JobId> &jobs, TimePoint now)
{
    JobAnswer answer;
    answer.outcome_ = Outcome::Done;
    for (std::uint32_t position = 0; position < jobs.size(); ++position) {
        TaskResult result;
        result.index_ = position;
        const auto found = home.jobs_.find(jobs[position]);
        const JobAnswer state
            = found == home.jobs_.end() ? absentJobState(home, jobs[position], now) : jobState(found->second);
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

// Advances cancel.finalJobs_, so that final jobs are not checked again.
static bool areAllJobsFinal(const Home &home, PendingCancel &cancel)
{
    for (; cancel.finalJobs_ < cancel.jobs_.size(); ++cancel.finalJobs_) {
        const auto found = home.jobs_.find(cancel.jobs_[cancel.finalJobs_]);
        if (found != home.jobs_.end() && found->second.unfinishedTasks_ > 0) {
            return false;
        }
    }
    return true;
}

// True when each job is final or its Cancelled record is durable. A new holder then continues the cancellation, so it
// may be answered Pending.
static bool isCancelDurable(const Home &home, const PendingCancel &cancel)
{
    return std::all_of(cancel.jobs_.begin(), cancel.jobs_.end(), [&home](const JobId &id) {
        const auto found = home.jobs_.find(id);
        return found == home.jobs_.end() || found->second.unfinishedTasks_ == 0 || found->second.cancelDurable_;
    });
}

void answerPendingCancels(Home &home, Context &context)
{
    std::erase_if(home.pendingCancels_, [&](PendingCancel &cancel) {
        const bool deadlinePassed = context.now_ >= cancel.requester_.deadline_;
        if (!areAllJobsFinal(home, cancel) && !deadlinePassed) {
            return false;
        }
        JobAnswer answer = cancelState(home, cancel.jobs_, context.now_);
        if (deadlinePassed && !isCancelDurable(home, cancel)) {
            answer.outcome_ = Outcome::Unknown;
            answer.error_ = ErrorKind::StoreUnavailable;
        }
        sendJobAnswer(cancel.requester_, std::move(answer), context);
        return true;
    });
}

void cancelJobs(Home &home, const Requester &requester, const std::vector<JobId> &jobs, Context &context)
{
    for (const JobId &id : jobs) {
        const auto found = home.jobs_.find(id);
        if (found == home.jobs_.end() || found->second.unfinishedTasks_ == 0 || found->second.cancelAppended_) {
            continue;
        }
        HomeJob &job = found->second;
        if (!job.acceptAppended_) {
            // The journal does not know the job, so no Cancelled record is needed.
            answerSubmittersWithError(home, job, Outcome::NotRun, ErrorKind::Cancelled, context);
            home.timers_.erase({job.timer_, id});
            home.jobs_.erase(found);
            continue;
        }
        job.cancelAppended_ = true;
        appendRecord(home, {RecordKind::Cancelled, id, {}, {}, {}}, context);
    }
    home.pendingCancels_.push_back({requester, jobs, 0});
    answerPendingCancels(home, context);
}

void onJobCancel(Home &home, const DaemonId &from, const JobCancel &message, Context &context)
{
    const Requester requester{from, message.replyTo_, context.now_ + CancelAnswerTimeout, false};
    if (home.phase_ == HomePhase::Fenced) {
        JobAnswer answer;
        answer.outcome_ = Outcome::Unknown;
        answer.error_ = ErrorKind::NotHolder;
        sendJobAnswer(requester, std::move(answer), context);
    } else if (home.phase_ == HomePhase::Active) {
        cancelJobs(home, requester, message.jobs_, context);
        sendAcksAndStops(home, context);
    } else {
        home.waitingCancels_.emplace_back(message, requester);
    }
}

} // namespace mimosapier
