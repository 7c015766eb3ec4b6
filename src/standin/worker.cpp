// Logic of one simulated worker.
#include "standin/worker_base.h"

#include "standin/program_func.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace mimosapier::standin
{

constexpr Milliseconds UsageLag{1'000}; // from the start of a task until its resource usage is reported
constexpr Milliseconds DefaultRunTime{10};

static Resources readSize(const Json &request)
{
    return {numberOr(request, "milli_cpus", 0), numberOr(request, "memory_mb", 0), numberOr(request, "accelerators", 0),
            1};
}

// Run time given by "run_ms=" in a payload, or the default.
static Milliseconds payloadRunTime(const std::string &payload)
{
    constexpr std::string_view Name = "run_ms=";
    const std::size_t at = payload.find(Name);
    std::int64_t value = DefaultRunTime.count();
    if (at != std::string::npos) {
        std::from_chars(payload.data() + at + Name.size(), payload.data() + payload.size(), value);
    }
    return Milliseconds(std::max<std::int64_t>(value, 0));
}

static TaskKey readKey(const Json &request)
{
    return {textOr(request, "job", ""), numberOr(request, "index", 0)};
}

static Json listOf(const Json &request, const char *name)
{
    const auto found = request.find(name);
    return found != request.end() && found->is_array() ? *found : Json::array();
}

SimulatedWorker::SimulatedWorker(const Json &settings, JournalFunction journal, std::uint64_t seed)
    : id_(textOr(settings, "id", ""))
    , capacity_{numberOr(settings, "milli_cpus", 16'000), numberOr(settings, "memory_mb", 32'000),
                numberOr(settings, "accelerators", 0), numberOr(settings, "slots", 8)}
    , free_(capacity_)
    , journal_(std::move(journal))
    , randomState_(seed * 2 + 1)
{
    journal_({{"t", wallNanoseconds()},
              {"event", "worker"},
              {"worker", id_},
              {"milli_cpus", capacity_.milliCpus_},
              {"memory_mb", capacity_.memoryMb_},
              {"accelerators", capacity_.accelerators_},
              {"slots", capacity_.slots_}});
}

bool SimulatedWorker::admitEpoch(const Json &request, WorkerAnswer &answer)
{
    std::uint64_t epoch = 0;
    if (!request.contains("epoch") || !readField(request, "epoch", epoch)) {
        answer = {400, {{"error", "malformed-request"}}};
        return false;
    }
    if (epoch < highestEpoch_) {
        answer = {409, {{"epoch", highestEpoch_}}};
        return false;
    }
    highestEpoch_ = epoch;
    return true;
}

void SimulatedWorker::renew(const Json &request, TimePoint now)
{
    leaseEnd_ = now + Milliseconds(numberOr(request, "lease_ms", 0));
}

WorkerAnswer SimulatedWorker::hold(const Json &request, TimePoint now)
{
    advance(now);
    renew(request, now);
    Json tasks = Json::array();
    for (const auto &[key, task] : tasks_) {
        tasks.push_back(report(key, task));
    }
    return {200, {{"epoch", highestEpoch_}, {"leaving", leaving_}, {"tasks", std::move(tasks)}}};
}

WorkerAnswer SimulatedWorker::start(const Json &request, TimePoint now)
{
    advance(now);
    renew(request, now);
    Json reports = Json::array();
    bool anyAccepted = false;
    for (const auto &task : listOf(request, "tasks")) {
        reports.push_back(startTask(task, now));
        anyAccepted = anyAccepted || textOr(reports.back(), "outcome", "") != "not-run";
    }
    // A status other than 200 tells why no task of the call was started.
    const std::string error = reports.empty() ? "" : textOr(reports.back(), "error", "");
    unsigned status = 200;
    if (!anyAccepted && error == "worker-full") {
        status = 429;
    } else if (!anyAccepted && error == "worker-leaving") {
        status = 410;
    }
    return {status, {{"epoch", highestEpoch_}, {"leaving", leaving_}, {"tasks", std::move(reports)}}};
}

Json SimulatedWorker::startTask(const Json &request, TimePoint now)
{
    const TaskKey key = readKey(request);
    if (const auto found = tasks_.find(key); found != tasks_.end()) {
        return report(key, found->second);
    }
    SimulatedTask task;
    task.team_ = textOr(request, "team", "");
    task.class_ = textOr(request, "class", "");
    task.requestId_ = textOr(request, "request_id", "");
    task.size_ = readSize(request);
    task.idempotent_ = flagOr(request, "idempotent", true);
    task.outcome_ = "not-run";
    if (leaving_) {
        task.error_ = "worker-leaving";
    } else if (!fits(task.size_, free_)) {
        task.error_ = "worker-full";
    } else if (mode_ == WorkerMode::Refuse) {
        task.error_ = "task-failed";
    } else {
        const std::string payload = textOr(request, "payload", "");
        task.outcome_ = "running";
        task.isService_ = payload.find("service") != std::string::npos;
        task.willFail_ = mode_ == WorkerMode::Fail || payload.find("fail") != std::string::npos;
        task.startedAt_ = now;
        task.finishesAt_ = now + (mode_ == WorkerMode::Fail ? Milliseconds(1) : payloadRunTime(payload));
        randomState_ = randomState_ * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto percent = static_cast<std::int64_t>(20 + (randomState_ >> 33) % 100); // of the declared size
        task.actualUsage_ = {task.size_.milliCpus_ * percent / 100, task.size_.memoryMb_ * percent / 100,
                             task.size_.accelerators_, 1};
        free_ -= task.size_;
        const auto &stored = tasks_.emplace(key, std::move(task)).first->second;
        journal("start", key, stored);
        return report(key, stored);
    }
    return report(key, task);
}

void SimulatedWorker::acknowledge(const Json &request, TimePoint now)
{
    advance(now);
    renew(request, now);
    for (const auto &item : listOf(request, "ack")) {
        const auto found = tasks_.find(readKey(item));
        if (found != tasks_.end() && found->second.outcome_ != "running") {
            tasks_.erase(found);
        }
    }
}

std::set<TaskKey> SimulatedWorker::knownTasks(const Json &request)
{
    std::set<TaskKey> known;
    for (const auto &item : listOf(request, "known")) {
        known.insert(readKey(item));
    }
    return known;
}

bool SimulatedWorker::hasPendingReports(const std::set<TaskKey> &known) const
{
    return (leaving_ && !leavingReported_) || std::any_of(tasks_.begin(), tasks_.end(), [&known](const auto &item) {
               return item.second.outcome_ != "running" && !known.contains(item.first);
           });
}

WorkerAnswer SimulatedWorker::pollAnswer(TimePoint now, const std::set<TaskKey> &known)
{
    Json tasks = Json::array();
    for (auto &[key, task] : tasks_) {
        const bool running = task.outcome_ == "running";
        const bool usageIsNew = running && !task.usageReported_ && now - task.startedAt_ >= UsageLag;
        task.usageReported_ = task.usageReported_ || usageIsNew;
        if (usageIsNew || (!running && !known.contains(key))) {
            tasks.push_back(report(key, task));
        }
    }
    leavingReported_ = leaving_;
    return {200, {{"epoch", highestEpoch_}, {"leaving", leaving_}, {"tasks", std::move(tasks)}}};
}

WorkerAnswer SimulatedWorker::stop(const Json &request, TimePoint now)
{
    advance(now);
    const std::string mode = textOr(request, "mode", "stop");
    Json tasks = Json::array();
    for (const auto &item : listOf(request, "tasks")) {
        const auto found = tasks_.find(readKey(item));
        if (found != tasks_.end()) {
            stopTask(found->first, found->second, mode, now);
            tasks.push_back(report(found->first, found->second));
        }
    }
    return {200, {{"epoch", highestEpoch_}, {"leaving", leaving_}, {"tasks", std::move(tasks)}}};
}

void SimulatedWorker::stopTask(const TaskKey &key, SimulatedTask &task, const std::string &mode, TimePoint now)
{
    if (task.outcome_ != "running") {
        return;
    }
    if (mode != "throttle") {
        finish(key, task, "stop", "cancelled", mode == "checkpoint" ? "preempted" : "cancelled");
    } else if (!task.throttled_) {
        task.throttled_ = true;
        task.actualUsage_.milliCpus_ /= 2;
        task.usageReported_ = false;
        task.finishesAt_ += task.finishesAt_ - now; // at half speed, the remaining time doubles
    }
}

void SimulatedWorker::advance(TimePoint now)
{
    for (auto &[key, task] : tasks_) {
        if (task.outcome_ != "running") {
            continue;
        }
        if (!task.isService_ && task.finishesAt_ <= std::min(now, leaseEnd_)) {
            finish(key, task, "finish", task.willFail_ ? "failed" : "done", task.willFail_ ? "task-failed" : "none");
        } else if (leaseEnd_ <= now) {
            finish(key, task, "stop", "failed", "task-lease-lapsed");
        }
    }
}

void SimulatedWorker::finish(const TaskKey &key, SimulatedTask &task, const char *event, const char *outcome,
                             const char *error)
{
    task.outcome_ = outcome;
    task.error_ = error;
    if (task.outcome_ == "done") {
        task.result_ = task.requestId_ + "/" + std::to_string(key.second) + " on " + id_;
    }
    free_ += task.size_;
    journal(event, key, task);
}

void SimulatedWorker::setLeaving(bool leaving)
{
    leaving_ = leaving;
    leavingReported_ = false;
    journal_({{"t", wallNanoseconds()}, {"event", "leaving"}, {"worker", id_}, {"leaving", leaving}});
}

std::size_t SimulatedWorker::running() const
{
    return static_cast<std::size_t>(std::count_if(tasks_.begin(), tasks_.end(),
                                                  [](const auto &item) { return item.second.outcome_ == "running"; }));
}

Json SimulatedWorker::report(const TaskKey &key, const SimulatedTask &task) const
{
    const Resources used = task.usageReported_ ? task.actualUsage_ : Resources{};
    return {{"job", key.first},
            {"index", key.second},
            {"team", task.team_},
            {"class", task.class_},
            {"milli_cpus", task.size_.milliCpus_},
            {"memory_mb", task.size_.memoryMb_},
            {"accelerators", task.size_.accelerators_},
            {"used_milli_cpus", used.milliCpus_},
            {"used_memory_mb", used.memoryMb_},
            {"outcome", task.outcome_},
            {"error", task.error_},
            {"idempotent", task.idempotent_},
            {"result", task.result_}};
}

void SimulatedWorker::journal(const char *event, const TaskKey &key, const SimulatedTask &task)
{
    Json line{{"t", wallNanoseconds()}, {"event", event},     {"worker", id_},        {"job", key.first},
              {"index", key.second},    {"team", task.team_}, {"class", task.class_}, {"request_id", task.requestId_},
              {"epoch", highestEpoch_}};
    if (task.outcome_ == "running") {
        line["milli_cpus"] = task.size_.milliCpus_;
        line["memory_mb"] = task.size_.memoryMb_;
        line["accelerators"] = task.size_.accelerators_;
        line["idempotent"] = task.idempotent_;
    } else {
        line["outcome"] = task.outcome_;
        line["error"] = task.error_;
    }
    journal_(line);
}

} // namespace mimosapier::standin
