// Texts and JSON about the group for operators and callers. Reads the state only.
#include "core/group/group_internal.h"

#include <array>
#include <cstdio>
#include <map>

namespace mimosapier
{

// By TaskStage.
static constexpr std::array<std::string_view, 9> StageTexts{
    "waits for checks before it may start",
    "waits in the queue",
    "was forwarded to the second candidate group",
    "is placed, start not sent yet",
    "is being started",
    "runs",
    "was started, the answer of the worker is missing",
    "was stopped or lost and will be started again",
    "has finished, result not acknowledged yet",
};

static std::string waitReason(const Group &group, const GroupTask &task)
{
    const auto priority = static_cast<std::uint32_t>(task.priority_);
    if (group.stopping_ || group.fenced_) {
        return "the group is handed over";
    }
    if (task.gang_ != nullptr && task.gang_->waiting_) {
        return "the gang needs room for " + std::to_string(task.gang_->tasks_.size()) + " tasks at once";
    }
    if (task.team_->atAllowance_) {
        return "the team is at its allowance of "
            + std::to_string(usableAllowance(*group.allowances_, group.id_, task.team_->id_)) + " in this group";
    }
    if (task.team_->lacksCapacity_.at(priority)) {
        return "no worker has room for the declared size";
    }
    if (group.totalCapacity_.slots_ == 0) {
        return "no worker has acknowledged the holder yet";
    }
    if (group.freeSlots_ <= 0) {
        return "all slots are taken";
    }
    return "next in turn";
}

std::string explainTask(const Group &group, const TaskId &id, TimePoint now)
{
    const auto found = group.tasks_.find(id);
    if (found == group.tasks_.end()) {
        const OutcomeRecord *known = findOutcome(group, id, now);
        if (known == nullptr) {
            return {};
        }
        std::string text = "ended as " + std::string(outcomeName(known->result_.outcome_));
        if (known->result_.error_ != ErrorKind::None) {
            text += " (" + std::string(errorName(known->result_.error_)) + ")";
        }
        return known->result_.worker_.empty() ? text : text + " on " + known->result_.worker_.value_;
    }
    const GroupTask &task = *found->second;
    std::string text(StageTexts.at(static_cast<std::size_t>(task.stage_)));
    if (holdsResources(task.stage_)) {
        text += " on " + task.lastWorker_.value_;
    } else if (task.stage_ == TaskStage::Queued) {
        text += ": " + waitReason(group, task);
        const auto wait = waitEstimate(group, task.priority_, now);
        text += ", estimated wait " + std::to_string(wait.count()) + " ms";
    } else if (task.stage_ == TaskStage::Checking) {
        text += task.waitsForWorkers_ ? ": workers of the group have not acknowledged the holder"
                                      : ": the second candidate group has not answered";
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(now - task.arrivedAt_);
    return text + ", known for " + std::to_string(age.count()) + " ms";
}

static std::string jsonString(std::string_view text)
{
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result += '\\';
            result += c;
        } else if (static_cast<unsigned char>(c) < ' ') {
            std::array<char, 8> code{};
            std::snprintf(code.data(), code.size(), "\\u%04x", static_cast<unsigned>(c));
            result += code.data();
        } else {
            result += c;
        }
    }
    return result + '"';
}

static std::string jsonField(std::string_view name, std::string_view value)
{
    return jsonString(name) + ':' + std::string(value);
}

static std::string jsonResources(const Resources &amount)
{
    return '{' + jsonField("milli_cpus", std::to_string(amount.milliCpus_)) + ','
        + jsonField("memory_mb", std::to_string(amount.memoryMb_)) + ','
        + jsonField("accelerators", std::to_string(amount.accelerators_)) + ','
        + jsonField("slots", std::to_string(amount.slots_)) + '}';
}

static std::string_view workerState(const GroupWorker &worker)
{
    if (!worker.epochAcknowledged_) {
        return "unacknowledged";
    }
    if (worker.reportedLeaving_ || worker.info_.leaving_ || !worker.inInstanceList_) {
        return "leaving";
    }
    if (worker.silent_ || !worker.holdConfirmed_) {
        return "silent";
    }
    return worker.quarantined_ ? "quarantined" : "live";
}

std::string groupDocument(const Group &group, TimePoint now)
{
    std::string text = '{' + jsonField("group", jsonString(group.id_.value_)) + ','
        + jsonField("epoch", std::to_string(group.epoch_.value_)) + ','
        + jsonField("fenced", group.fenced_ ? "true" : "false") + ','
        + jsonField("stopping", group.stopping_ ? "true" : "false") + ','
        + jsonField("wait_ms", std::to_string(waitEstimate(group, Priority::Urgent, now).count())) + ','
        + jsonField("placements", std::to_string(group.placements_)) + ','
        + jsonField("preemptions", std::to_string(group.preemptions_)) + ','
        + jsonField("forwards", std::to_string(group.forwards_)) + ','
        + jsonField("total", jsonResources(group.totalCapacity_)) + ",\"workers\":[";
    Resources used;
    bool first = true;
    for (const auto &worker : group.workers_) {
        if (!worker->inInstanceList_ && worker->tasks_.empty()) {
            continue;
        }
        const Resources taken = worker->info_.capacity_ - worker->free_;
        used += taken;
        text += first ? "{" : ",{";
        first = false;
        text += jsonField("id", jsonString(worker->info_.id_.value_)) + ','
            + jsonField("state", jsonString(workerState(*worker))) + ','
            + jsonField("tasks", std::to_string(worker->tasks_.size())) + ','
            + jsonField("reserved", jsonResources(taken)) + ','
            + jsonField("measured_milli_cpus", std::to_string(worker->measuredUse_.milliCpus_)) + '}';
    }
    text += "]," + jsonField("used", jsonResources(used)) + ",\"teams\":[";
    std::map<TeamId, const GroupTeam *> teams;
    for (const GroupTeam *team : group.teamList_) {
        teams.emplace(team->id_, team);
    }
    first = true;
    for (const auto &[id, team] : teams) {
        std::uint32_t queued = 0;
        for (const TaskQueue &queue : team->queues_) {
            queued += queue.taskCount_;
        }
        text += first ? "{" : ",{";
        first = false;
        text += jsonField("team", jsonString(id.value_)) + ',' + jsonField("running", std::to_string(team->running_))
            + ',' + jsonField("queued", std::to_string(queued)) + ','
            + jsonField("allowance", std::to_string(usableAllowance(*group.allowances_, group.id_, id))) + '}';
    }
    return text + "]}";
}

} // namespace mimosapier
