// JSON encoding of requests to workers, and decoding of answers with status 409.
#include "daemon/worker_codec_func.h"

#include "http/json_func.h"

#include <array>

namespace mimosapier
{

static constexpr std::array<std::string_view, std::variant_size_v<WorkerOp>> WorkerOpNames{"hold", "start", "poll",
                                                                                           "stop"};
static constexpr std::array<std::string_view, 3> StopModeNames{"stop", "checkpoint", "throttle"};

std::string_view workerOpName(const WorkerOp &op)
{
    return WorkerOpNames.at(op.index());
}

static Json taskIds(const std::vector<TaskId> &tasks)
{
    Json json = Json::array();
    for (const TaskId &task : tasks) {
        json.push_back({{"job", task.job_.value_}, {"index", task.index_}});
    }
    return json;
}

static void encodeFields(Json &json, const WorkerHold &op)
{
    json["holder"] = op.holder_.value_;
    json["lease_ms"] = op.lease_.count();
}

static void encodeFields(Json &json, const WorkerStart &op)
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

static void encodeFields(Json &json, const WorkerPoll &op)
{
    if (!op.acks_.empty()) {
        json["ack"] = taskIds(op.acks_);
    }
    if (!op.endedTasks_.empty()) {
        json["known"] = taskIds(op.endedTasks_);
    }
    json["lease_ms"] = op.lease_.count();
    json["wait_ms"] = op.wait_.count();
}

static void encodeFields(Json &json, const WorkerStop &op)
{
    json["tasks"] = taskIds(op.tasks_);
    json["mode"] = StopModeNames.at(static_cast<std::size_t>(op.mode_));
}

HttpRequest encodeWorkerOp(const WorkerRequest &request)
{
    Json json{{"epoch", request.epoch_.value_}};
    std::visit([&json](const auto &op) { encodeFields(json, op); }, request.op_);
    HttpRequest http;
    http.method_ = "POST";
    http.target_ = "/v1/";
    http.target_ += workerOpName(request.op_);
    http.body_ = dumpJson(json);
    return http;
}

bool decodeStaleEpoch(std::string_view body, Epoch &epoch)
{
    Json json;
    return parseJson(body, json) && readField(json, "epoch", epoch.value_) && epoch != Epoch{};
}

} // namespace mimosapier
