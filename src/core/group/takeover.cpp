// Workers of the group from the instance list, the results of the holds that claim them, and the end of their leases.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

// A new worker counts as unacknowledged until its first hold is answered, because an earlier holder may still start
// tasks on it.
static GroupWorker &addWorker(Group &group, const WorkerInfo &info, Context &context)
{
    const auto index = static_cast<WorkerIndex>(group.workers_.size());
    group.workerIndex_[info.id_] = index;
    group.workers_.push_back(std::make_unique<GroupWorker>());
    GroupWorker &worker = *group.workers_.back();
    worker.index_ = index;
    worker.info_ = info;
    worker.free_ = info.capacity_;
    worker.lastAnswer_ = context.now_;
    worker.leaseEnd_ = context.now_ + detail::TaskLease + detail::LeaseMargin;
    ++group.unacknowledgedWorkers_;
    group.unacknowledgedSlots_ += static_cast<std::uint32_t>(info.capacity_.slots_);
    return worker;
}

void refreshTotals(Group &group)
{
    group.totalCapacity_ = {};
    group.capacityCounts_.clear();
    for (const auto &worker : group.workers_) {
        if (!worker->inInstanceList_) {
            continue;
        }
        const Resources &capacity = worker->info_.capacity_;
        const auto entry = std::find_if(group.capacityCounts_.begin(), group.capacityCounts_.end(),
                                        [&capacity](const auto &known) { return known.first == capacity; });
        if (entry == group.capacityCounts_.end()) {
            group.capacityCounts_.emplace_back(capacity, 1);
        } else {
            ++entry->second;
        }
        if (worker->epochAcknowledged_) {
            group.totalCapacity_ += capacity;
        }
    }
    group.weightedSharesStale_ = true;
}

// Number of tasks of the size that fit on an empty worker.
static std::int64_t tasksPerWorker(const Resources &capacity, const Resources &size)
{
    std::int64_t most = capacity.slots_;
    const auto bound = [&most](std::int64_t available, std::int64_t each) {
        if (each > 0) {
            most = std::min(most, available / each);
        }
    };
    bound(capacity.milliCpus_, size.milliCpus_);
    bound(capacity.memoryMb_, size.memoryMb_);
    bound(capacity.accelerators_, size.accelerators_);
    return most;
}

bool canEverFit(const Group &group, const Resources &size, std::uint32_t tasks)
{
    std::int64_t fitting = 0;
    for (const auto &[capacity, workers] : group.capacityCounts_) {
        fitting += tasksPerWorker(capacity, size) * workers;
    }
    // While the list has no worker, nothing is known about the capacities.
    return group.capacityCounts_.empty() || fitting >= tasks;
}

static void updateWorker(Group &group, GroupWorker &worker, const WorkerInfo &info, Context &context)
{
    if (!worker.inInstanceList_ && !worker.countsAsUnacknowledged_ && !worker.epochAcknowledged_) {
        worker.countsAsUnacknowledged_ = true;
        ++group.unacknowledgedWorkers_;
        group.unacknowledgedSlots_ += static_cast<std::uint32_t>(worker.info_.capacity_.slots_);
    }
    const Resources added = info.capacity_ - worker.info_.capacity_;
    if (worker.countsAsUnacknowledged_ && !worker.epochAcknowledged_) {
        group.unacknowledgedSlots_ += static_cast<std::uint32_t>(added.slots_);
    }
    worker.free_ += added;
    const bool relisted = !worker.inInstanceList_;
    worker.inInstanceList_ = true;
    worker.info_ = info;
    updateIndexedFree(group, worker, context.now_);
    if (relisted) {
        contactWorker(group, worker, context);
    }
}

void setGroupWorkers(Group &group, std::span<const WorkerInfo> workers, Context &context)
{
    beginEvent(group, context);
    std::vector<bool> seen(group.workers_.size() + workers.size(), false);
    bool changed = false;
    for (const WorkerInfo &info : workers) {
        const auto found = group.workerIndex_.find(info.id_);
        if (found == group.workerIndex_.end()) {
            GroupWorker &worker = addWorker(group, info, context);
            seen[worker.index_] = true;
            contactWorker(group, worker, context);
            changed = true;
            continue;
        }
        seen[found->second] = true;
        GroupWorker &worker = *group.workers_[found->second];
        if (!worker.inInstanceList_ || worker.info_ != info) {
            updateWorker(group, worker, info, context);
            changed = true;
        }
    }
    for (const auto &worker : group.workers_) {
        if (worker->inInstanceList_ && !seen[worker->index_]) {
            worker->inInstanceList_ = false;
            worker->unlistedAt_ = context.now_;
            updateIndexedFree(group, *worker, context.now_);
            scheduleContact(group, *worker, context.now_);
            changed = true;
        }
    }
    if (changed) {
        refreshTotals(group);
    }
    runTimers(group, context);
    finishEvent(group, context);
}

void resumeWaitingTasks(Group &group, Context &context)
{
    if (group.unacknowledgedWorkers_ > 0) {
        return;
    }
    for (GroupTeam *team : group.teamList_) {
        queueDemandReport(group, *team);
    }
    if (group.tasksWaitingForWorkers_ == 0) {
        return;
    }
    std::vector<GroupTask *> waiting;
    for (const auto &[id, task] : group.tasks_) {
        if (task->waitsForWorkers_) {
            waiting.push_back(task.get());
        }
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const GroupTask *left, const GroupTask *right) { return left->sequence_ < right->sequence_; });
    std::map<JobId, std::vector<GroupTask *>> gangs;
    for (GroupTask *task : waiting) {
        task->waitsForWorkers_ = false;
        --group.tasksWaitingForWorkers_;
        if (task->mode_ == WorkMode::Gang && task->idempotent_ && !task->cancelled_) {
            gangs[task->id_.job_].push_back(task);
        } else {
            onChecksDone(group, *task, context);
        }
    }
    for (auto &[job, tasks] : gangs) {
        makeGang(group, std::move(tasks));
    }
}

// Handles tasks assigned to the worker that its answer to a hold does not list: lost by the worker, or never started.
static void handleMissingTasks(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                               Context &context)
{
    std::set<TaskId> reported;
    for (const WorkerTaskReport &report : result.tasks_) {
        reported.insert(report.task_);
    }
    std::vector<TaskId> missing;
    for (const GroupTask *task : worker.tasks_) {
        if (!reported.contains(task->id_)) {
            missing.push_back(task->id_);
        }
    }
    for (const TaskId &id : missing) {
        // Handling the loss of one task of a gang may have removed others.
        GroupTask *task = findTask(group, id);
        if (task == nullptr || task->worker_ != worker.index_) {
            continue;
        }
        if (task->stage_ == TaskStage::Running && task->confirmedAt_ < call.sentAt_) {
            // The worker ran the task and has lost it, for example because its process restarted.
            removeFromWorker(group, *task, context);
            task->worker_ = NoWorker;
            onTaskLost(group, *task, ErrorKind::WorkerLost, false, context);
        } else if (task->stage_ == TaskStage::Uncertain) {
            if (task->absenceProvenAfter_ == TimePoint{}) {
                // The worker answers again, but a delayed start call may still arrive within LeaseMargin.
                task->absenceProvenAfter_ = context.now_ + detail::LeaseMargin;
            } else if (call.sentAt_ >= task->absenceProvenAfter_) {
                onStartRefused(group, *task, ErrorKind::WorkerLost, context);
            }
        }
    }
    for (auto unexpected = worker.unexpectedTasks_.begin(); unexpected != worker.unexpectedTasks_.end();) {
        if (reported.contains(unexpected->first)) {
            ++unexpected;
            continue;
        }
        releaseCapacity(group, worker, unexpected->second, context.now_);
        unexpected = worker.unexpectedTasks_.erase(unexpected);
    }
}

void onHoldResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result, Context &context)
{
    if (result.status_ != WorkerStatus::Ok) {
        return;
    }
    for (const WorkerTaskReport &report : result.tasks_) {
        applyReport(group, worker, report, call.sentAt_, context);
    }
    handleMissingTasks(group, worker, call, result, context);
    worker.holdConfirmed_ = true;
    const bool first = !worker.epochAcknowledged_;
    if (first) {
        worker.epochAcknowledged_ = true;
        if (worker.countsAsUnacknowledged_) {
            worker.countsAsUnacknowledged_ = false;
            --group.unacknowledgedWorkers_;
            group.unacknowledgedSlots_ -= static_cast<std::uint32_t>(worker.info_.capacity_.slots_);
        }
        if (worker.inInstanceList_) {
            group.totalCapacity_ += worker.info_.capacity_;
            group.weightedSharesStale_ = true;
        }
    }
    updateIndexedFree(group, worker, context.now_);
    group.freedWorkers_.push_back(worker.index_);
    queueWorkerFlush(group, worker);
    if (first) {
        resumeWaitingTasks(group, context);
    }
}

void onWorkerLeaseEnd(Group &group, GroupWorker &worker, Context &context)
{
    logLine(context, LogLevel::Warning, "[group] task lease of worker " + worker.info_.id_.value_ + " has expired");
    while (!worker.tasks_.empty()) {
        GroupTask &task = *worker.tasks_.front();
        removeFromWorker(group, task, context);
        task.worker_ = NoWorker;
        onTaskLost(group, task, ErrorKind::WorkerLost, false, context);
    }
    for (const auto &[id, size] : worker.unexpectedTasks_) {
        releaseCapacity(group, worker, size, context.now_);
    }
    worker.unexpectedTasks_.clear();
    const std::vector<TaskId> acks = std::move(worker.acks_);
    worker.acks_.clear();
    for (const TaskId &id : acks) {
        requeueCleared(group, id, context);
    }
}

} // namespace mimosapier
