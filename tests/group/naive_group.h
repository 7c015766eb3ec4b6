// Reference model of a group for differential tests: one lock, plain loops over all workers and tasks, no batching, no
// allowances, no faults. Slow, and simple enough to be checked by reading.
#pragma once

#include "core/common/work_type.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <vector>

namespace mimosapier::test
{

struct NaiveGroup
{
    struct Task
    {
        TaskId id_;
        JobSpec job_;
        int runMs_ = 0; // 0: runs until cancelled
        bool fails_ = false;
        Outcome outcome_ = Outcome::Pending;
        std::size_t worker_ = 0;
        TimePoint ends_;
    };

    std::mutex lock_;
    std::vector<Resources> workers_;
    std::map<TeamId, int> limits_;
    std::vector<Task> tasks_; // in order of arrival

    void offer(const JobSpec &job, std::uint32_t count, int runMs, bool fails)
    {
        const std::lock_guard guard(lock_);
        for (std::uint32_t i = 0; i < count; ++i) {
            tasks_.push_back({{job.id_, i}, job, runMs, fails, Outcome::Pending, 0, {}});
        }
        // Number of tasks of this size that fit on the empty workers.
        std::uint32_t fitting = 0;
        for (Resources left : workers_) {
            for (; fits(job.size_, left); left -= job.size_) {
                ++fitting;
            }
        }
        const bool possible = fitting >= (job.mode_ == WorkMode::Gang ? count : 1);
        for (Task &task : tasks_) {
            if (task.job_.id_ == job.id_ && !possible) {
                task.outcome_ = Outcome::NotRun;
            }
        }
    }

    void cancel(const TaskId &id)
    {
        const std::lock_guard guard(lock_);
        for (Task &task : tasks_) {
            if (task.id_ == id && !isFinal(task.outcome_)) {
                task.outcome_ = Outcome::Cancelled;
            }
        }
    }

    Resources free(std::size_t worker) const
    {
        Resources result = workers_[worker];
        for (const Task &task : tasks_) {
            if (task.outcome_ == Outcome::Running && task.worker_ == worker) {
                result -= task.job_.size_;
            }
        }
        return result;
    }

    int running(const TeamId &team) const
    {
        return static_cast<int>(std::count_if(tasks_.begin(), tasks_.end(), [&team](const Task &task) {
            return task.outcome_ == Outcome::Running && task.job_.team_ == team;
        }));
    }

    bool place(Task &task, TimePoint now)
    {
        for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
            if (running(task.job_.team_) < limits_.at(task.job_.team_) && fits(task.job_.size_, free(worker))) {
                task.outcome_ = Outcome::Running;
                task.worker_ = worker;
                task.ends_ = task.runMs_ == 0 ? TimePoint::max() : now + Milliseconds(task.runMs_);
                return true;
            }
        }
        return false;
    }

    void placeGang(const JobId &job, TimePoint now)
    {
        std::vector<Task *> placed;
        for (Task &task : tasks_) {
            if (task.id_.job_ != job || task.outcome_ != Outcome::Pending) {
                continue;
            }
            if (!place(task, now)) {
                for (Task *other : placed) {
                    other->outcome_ = Outcome::Pending;
                }
                return;
            }
            placed.push_back(&task);
        }
    }

    void advance(TimePoint now)
    {
        const std::lock_guard guard(lock_);
        for (Task &task : tasks_) {
            if (task.outcome_ == Outcome::Running && now >= task.ends_) {
                task.outcome_ = task.fails_ ? Outcome::Failed : Outcome::Done;
            }
        }
        for (const Priority priority : {Priority::Urgent, Priority::Normal, Priority::Batch}) {
            for (Task &task : tasks_) {
                if (task.outcome_ != Outcome::Pending || task.job_.priority_ != priority) {
                    continue;
                }
                if (task.job_.mode_ == WorkMode::Gang) {
                    placeGang(task.id_.job_, now);
                } else {
                    place(task, now);
                }
            }
        }
    }
};

} // namespace mimosapier::test
