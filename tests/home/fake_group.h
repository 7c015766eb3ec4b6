// Simulated group as home partitions see it: starts a task at most once while it knows it, refuses and loses a given
// share. Results go back through a SendFunction; starts are counted in a TaskHistory that all groups share.
#pragma once

#include "core/message/peer_type.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosapier::test
{

// Starts and runs of tasks over all groups.
struct TaskHistory
{
    std::map<TaskId, int> starts_;
    std::map<TaskId, int> running_; // places where the task runs now
    std::set<TaskId> ranTwiceAtOnce_; // a task ran in two places at the same time
};

// Outcome of a task that runs to its end; depends on the job id only.
inline Outcome expectedOutcome(const JobId &job)
{
    return std::hash<std::string>{}(job.value_) % 4 == 0 ? Outcome::Failed : Outcome::Done;
}

struct FakeTask
{
    TaskResult result_; // Running until the task ends
    bool idempotent_ = true;
    bool service_ = false;
    TimePoint endsAt_;
    TimePoint nextRepeatAt_;
    std::map<CallId, std::pair<DaemonId, ReplyTo>> requesters_;
};

// Answer that the group repeats for a task which it refused, cancelled or has forgotten after an acknowledgement. Only
// a higher call of the same daemon overrides a refusal.
struct RememberedAnswer
{
    TaskResult result_;
    DaemonId from_;
    CallId call_;
    TimePoint expiresAt_;
};

using SendFunction = std::function<void(const DaemonId &, PeerMessage)>;

struct FakeGroup
{
    ShardId id_;
    DaemonId holder_;
    Epoch epoch_{1};
    TaskHistory *history_ = nullptr;
    std::map<TaskId, FakeTask> tasks_;
    std::map<TaskId, RememberedAnswer> rememberedAnswers_;
    int refusePercent_ = 0;
    int losePercent_ = 0;
    Milliseconds runTime_{100};
    ErrorKind refusal_ = ErrorKind::Overloaded;
    std::vector<TaskOffer> offers_; // in the order of arrival
    TimePoint historyIncompleteUntil_; // before this, the group cannot tell whether an unknown task ran

    static void answer(const FakeGroup &group, const JobId &job, const DaemonId &to, const ReplyTo &replyTo,
                       const TaskResult &result, const SendFunction &send)
    {
        send(to, TaskAnswer{replyTo, group.id_, job, {result}});
    }

    void end(const TaskId &id, FakeTask &task, Outcome outcome, ErrorKind error, const SendFunction &send)
    {
        task.result_.outcome_ = outcome;
        task.result_.error_ = error;
        --history_->running_[id];
        for (const auto &[call, requester] : task.requesters_) {
            answer(*this, id.job_, requester.first, requester.second, task.result_, send);
        }
    }

    void onOffer(const DaemonId &from, const TaskOffer &offer, TimePoint now, std::mt19937_64 &random,
                 const SendFunction &send)
    {
        offers_.push_back(offer);
        for (std::uint32_t index = offer.firstIndex_; index < offer.firstIndex_ + offer.count_; ++index) {
            const TaskId id{offer.job_.id_, index};
            const auto reply = [&](Outcome outcome, ErrorKind error) {
                answer(*this, id.job_, from, offer.replyTo_, {index, outcome, error, {}, {}}, send);
            };
            if (const auto known = tasks_.find(id); known != tasks_.end()) {
                known->second.requesters_[offer.replyTo_.call_] = {from, offer.replyTo_};
                if (isFinal(known->second.result_.outcome_) || offer.lookupOnly_) {
                    answer(*this, id.job_, from, offer.replyTo_, known->second.result_, send);
                }
                continue;
            }
            const auto refused = rememberedAnswers_.find(id);
            if (refused != rememberedAnswers_.end() && refused->second.expiresAt_ > now
                && (refused->second.result_.outcome_ != Outcome::NotRun || refused->second.from_ != from
                    || offer.replyTo_.call_ <= refused->second.call_)) {
                answer(*this, id.job_, from, offer.replyTo_, refused->second.result_, send);
                continue;
            }
            if (offer.lookupOnly_) {
                reply(Outcome::NotRun, ErrorKind::UnknownJob);
                continue;
            }
            if (offer.mayHaveRun_ && !offer.job_.idempotent_ && now < historyIncompleteUntil_) {
                reply(Outcome::Unknown, ErrorKind::OutcomeUnknown);
                continue;
            }
            if (static_cast<int>(random() % 100) < refusePercent_) {
                const TaskResult result{index, Outcome::NotRun, refusal_, {}, {}};
                rememberedAnswers_[id] = {result, from, offer.replyTo_.call_, now + Milliseconds(60'000)};
                reply(Outcome::NotRun, refusal_);
                continue;
            }
            FakeTask &task = tasks_[id];
            task.result_ = {index, Outcome::Running, ErrorKind::None, WorkerId("w@" + id_.value_), "ran"};
            task.idempotent_ = offer.job_.idempotent_;
            task.service_ = offer.job_.mode_ == WorkMode::Service;
            task.endsAt_ = now + runTime_;
            task.requesters_[offer.replyTo_.call_] = {from, offer.replyTo_};
            ++history_->starts_[id];
            if (++history_->running_[id] > 1) {
                history_->ranTwiceAtOnce_.insert(id);
            }
        }
    }

    void onCancel(const TaskCancel &message, TimePoint now, const SendFunction &send)
    {
        for (const TaskId &id : message.tasks_) {
            const auto found = tasks_.find(id);
            if (found != tasks_.end() && !isFinal(found->second.result_.outcome_)) {
                end(id, found->second, Outcome::Cancelled, ErrorKind::Cancelled, send);
            } else if (found == tasks_.end() && !rememberedAnswers_.contains(id)) {
                const TaskResult result{id.index_, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}};
                rememberedAnswers_[id] = {result, {}, {}, now + Milliseconds(60'000)};
            }
        }
    }

    void onAck(const TaskAck &message, TimePoint now)
    {
        for (const TaskId &id : message.tasks_) {
            const auto found = tasks_.find(id);
            if (found != tasks_.end() && isFinal(found->second.result_.outcome_)) {
                const bool lost = found->second.idempotent_ && found->second.result_.error_ == ErrorKind::WorkerLost;
                if (!lost) {
                    rememberedAnswers_[id] = {found->second.result_, {}, {}, now + Milliseconds(60'000)};
                }
                tasks_.erase(found);
            }
        }
    }

    // Ends tasks that are due, and repeats unacknowledged results to `home`.
    void tick(TimePoint now, const DaemonId &home, std::mt19937_64 &random, const SendFunction &send)
    {
        for (auto &[id, task] : tasks_) {
            if (!isFinal(task.result_.outcome_)) {
                if (now >= task.endsAt_ && static_cast<int>(random() % 100) < losePercent_) {
                    end(id, task, task.idempotent_ ? Outcome::Failed : Outcome::Unknown, ErrorKind::WorkerLost, send);
                } else if (now >= task.endsAt_ && !task.service_) {
                    const Outcome outcome = expectedOutcome(id.job_);
                    end(id, task, outcome, outcome == Outcome::Failed ? ErrorKind::TaskFailed : ErrorKind::None, send);
                } else if (now >= task.endsAt_) {
                    task.endsAt_ = now + runTime_;
                }
                task.nextRepeatAt_ = now + Milliseconds(2000);
            } else if (now >= task.nextRepeatAt_ && !task.requesters_.empty()) {
                task.nextRepeatAt_ = now + Milliseconds(2000);
                answer(*this, id.job_, home, task.requesters_.rbegin()->second.second, task.result_, send);
            }
        }
    }

    // Moves the group to another daemon, which learns the tasks from the workers but not the remembered answers.
    void changeHolder(DaemonId holder, TimePoint now)
    {
        historyIncompleteUntil_ = now + Milliseconds(60'000);
        holder_ = std::move(holder);
        ++epoch_.value_;
        rememberedAnswers_.clear();
        for (auto &[id, task] : tasks_) {
            task.requesters_.clear();
        }
    }
};

} // namespace mimosapier::test
