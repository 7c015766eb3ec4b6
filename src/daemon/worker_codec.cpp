// JSON of the workers' protocol.
#include "daemon/worker_codec_func.h"

#include "http/json_func.h"

#include <algorithm>
#include <array>

namespace mimosapier
{

static constexpr std::array<std::string_view, std::variant_size_v<WorkerOp>> OpNames {"hold", "start", "poll", "stop"};
static constexpr std::array<std::string_view, 3> StopModeNames {"stop", "checkpoint", "throttle"};

std::string_view workerOpName(const WorkerOp &op)
{
    return OpNames.at(op.index());
}

static Json taskIds(const std::vector<TaskId> &tasks)
{
    Json json = Json::array();
    for (const TaskId &task : tasks) {
        json.push_back({{"job", task.job_.value_}, {"index", task.index_}});
    }
    return json;
}

static void fill(Json &json, const WorkerHold &op)
{
    json["holder"] = op.holder_.value_;
    json["lease_ms"] = op.lease_.count();
}

static void fill(Json &json, const WorkerStart &op)
{
    json["lease_ms"] = op.lease_.count();
    Json &tasks = json["tasks"] = Json::array();
    for (const WorkerTask &task : op.tasks_) {
        tasks.push_back({{"job", task.task_.job_.value_},
                         {"index", task.task_.index_},
                         {"team", task.team_.value_},
                         {"class", task.class_.value_},
                         {"request_id", task.requestId_},
                         {"milli_cpus", task.size_.milliCpus_},
                         {"memory_mb", task.size_.memoryMb_},
                         {"accelerators", task.size_.accelerators_},
                         {"idempotent", task.idempotent_},
                         {"payload", task.payload_}});
    }
}

static void fill(Json &json, const WorkerPoll &op)
{
    if (!op.acks_.empty()) {
        json["ack"] = taskIds(op.acks_);
    }
    if (!op.known_.empty()) {
        json["known"] = taskIds(op.known_);
    }
    json["lease_ms"] = op.lease_.count();
    json["wait_ms"] = op.wait_.count();
}

static void fill(Json &json, const WorkerStop &op)
{
    json["tasks"] = taskIds(op.tasks_);
    json["mode"] = StopModeNames.at(static_cast<std::size_t>(op.mode_));
}

HttpRequest encodeWorkerOp(const WorkerRequest &request)
{
    Json json {{"epoch", request.epoch_.value_}};
    std::visit([&json](const auto &op) { fill(json, op); }, request.op_);
    HttpRequest http;
    http.method_ = "POST";
    http.target_ = "/v1/";
    http.target_ += workerOpName(request.op_);
    http.body_ = dumpJson(json);
    return http;
}

static bool readOutcome(const Json &json, Outcome &outcome)
{
    constexpr std::array Allowed {Outcome::Running, Outcome::Done, Outcome::Failed, Outcome::Cancelled,
                                  Outcome::NotRun};
    std::string name;
    if (!readField(json, "outcome", name)) {
        return false;
    }
    const auto found = std::find_if(Allowed.begin(), Allowed.end(),
                                    [&name](Outcome candidate) { return outcomeName(candidate) == name; });
    if (found == Allowed.end()) {
        return false;
    }
    outcome = *found;
    return true;
}

static bool readReport(const Json &json, WorkerTaskReport &report)
{
    std::string error;
    const bool valid = readField(json, "job", report.task_.job_.value_) && readField(json, "index", report.task_.index_)
        && readField(json, "team", report.team_.value_) && readField(json, "class", report.class_.value_)
        && readField(json, "milli_cpus", report.size_.milliCpus_)
        && readField(json, "memory_mb", report.size_.memoryMb_)
        && readField(json, "accelerators", report.size_.accelerators_)
        && readField(json, "used_milli_cpus", report.used_.milliCpus_)
        && readField(json, "used_memory_mb", report.used_.memoryMb_) && readField(json, "error", error)
        && readField(json, "idempotent", report.idempotent_) && readField(json, "result", report.result_)
        && readOutcome(json, report.outcome_);
    report.error_ = error.empty() ? ErrorKind::None : errorFromName(error);
    report.size_.slots_ = 1;
    return valid && !report.task_.job_.empty();
}

static bool readReports(const Json &json, std::vector<WorkerTaskReport> &reports)
{
    const auto tasks = json.find("tasks");
    if (tasks == json.end() || !tasks->is_array()) {
        return false;
    }
    reports.resize(tasks->size());
    for (std::size_t i = 0; i < reports.size(); ++i) {
        if (!readReport((*tasks)[i], reports[i])) {
            return false;
        }
    }
    return true;
}

// True when there is one report per started task, in any order.
static bool coversStart(const WorkerStart &start, const std::vector<WorkerTaskReport> &reports)
{
    std::vector<TaskId> asked;
    std::vector<TaskId> reported;
    asked.reserve(start.tasks_.size());
    reported.reserve(reports.size());
    for (const WorkerTask &task : start.tasks_) {
        asked.push_back(task.task_);
    }
    for (const WorkerTaskReport &report : reports) {
        reported.push_back(report.task_);
    }
    std::sort(asked.begin(), asked.end());
    std::sort(reported.begin(), reported.end());
    return asked == reported;
}

bool decodeWorkerAnswer(const WorkerRequest &request, std::string_view body, WorkerResult &result)
{
    Json json;
    if (!parseJson(body, json) || !json.is_object()) {
        return false;
    }
    result.highestEpoch_ = request.epoch_;
    if (!readField(json, "epoch", result.highestEpoch_.value_) || !readField(json, "leaving", result.leaving_)
        || !readReports(json, result.tasks_)) {
        return false;
    }
    const auto *start = std::get_if<WorkerStart>(&request.op_);
    return start == nullptr || coversStart(*start, result.tasks_);
}

bool decodeStaleEpoch(std::string_view body, Epoch &epoch)
{
    Json json;
    return parseJson(body, json) && readField(json, "epoch", epoch.value_) && epoch != Epoch {};
}

} // namespace mimosapier
