// Poller of the platform's instance list.
#include "daemon/instance_poller_base.h"

#include "core/common/shard_func.h"
#include "daemon/io_thread_base.h"
#include "http/json_func.h"

#include <algorithm>

namespace mimosapier
{

static constexpr unsigned HttpOk = 200;
static constexpr Milliseconds ListTimeout{2000};

// Reads one row. Returns false if it is malformed. For a row of another kind than "worker" the id of `worker` stays
// empty.
static bool readInstance(const Json &row, WorkerInfo &worker)
{
    std::string kind;
    std::string rack;
    std::string state;
    WorkerInfo read;
    const bool valid = readField(row, "kind", kind) && readField(row, "id", read.id_.value_)
        && readField(row, "region", read.region_.value_) && readField(row, "zone", read.zone_.value_)
        && readField(row, "rack", rack) && readField(row, "address", read.address_) && readField(row, "state", state)
        && readField(row, "milli_cpus", read.capacity_.milliCpus_)
        && readField(row, "memory_mb", read.capacity_.memoryMb_)
        && readField(row, "accelerators", read.capacity_.accelerators_)
        && readField(row, "slots", read.capacity_.slots_);
    if (!valid) {
        return false;
    }
    if (kind != "worker") {
        return true;
    }
    const Resources &capacity = read.capacity_;
    const bool negative
        = capacity.milliCpus_ < 0 || capacity.memoryMb_ < 0 || capacity.accelerators_ < 0 || capacity.slots_ < 0;
    if (read.id_.empty() || read.region_.empty() || rack.empty() || read.address_.empty() || negative) {
        return false;
    }
    read.group_ = groupShard(read.region_, rack);
    read.leaving_ = state != "live";
    worker = std::move(read);
    return true;
}

bool decodeInstances(std::string_view body, InstanceSnapshot &snapshot)
{
    Json json;
    if (!parseJson(body, json) || !json.is_object()) {
        return false;
    }
    const auto rows = json.find("instances");
    if (rows == json.end() || !rows->is_array()) {
        return false;
    }
    InstanceSnapshot read;
    for (const Json &row : *rows) {
        WorkerInfo worker;
        if (!readInstance(row, worker)) {
            return false;
        }
        if (!worker.id_.empty()) {
            read.workers_.push_back(std::move(worker));
        }
    }
    snapshot = std::move(read);
    return true;
}

struct InstancePoller::State : std::enable_shared_from_this<InstancePoller::State>
{
    State(std::string address, Milliseconds interval, IoThread &thread, SnapshotSink sink)
        : address_(std::move(address))
        , interval_(interval)
        , thread_(thread)
        , sink_(std::move(sink))
        , client_(thread.context(), HttpClientOptions{.maxConnections_ = 1})
    {
    }

    void poll()
    {
        HttpRequest request;
        request.method_ = "GET";
        request.target_ = "/v1/instances";
        if (!entityTag_.empty()) {
            request.headers_.push_back({"If-None-Match", entityTag_});
        }
        client_.send(address_, std::move(request), ListTimeout, [weak = weak_from_this()](const HttpResult &answer) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            InstanceSnapshot snapshot;
            if (answer.delivery_ == HttpDelivery::Answered && answer.status_ == HttpOk
                && decodeInstances(answer.body_, snapshot)) {
                self->entityTag_ = answer.entityTag_;
                self->sink_(std::move(snapshot));
            }
            self->thread_.postAfter(self->interval_, [weak] {
                if (const auto poller = weak.lock()) {
                    poller->poll();
                }
            });
        });
    }

    std::string address_;
    Milliseconds interval_;
    IoThread &thread_;
    SnapshotSink sink_;
    HttpClient client_;
    std::string entityTag_; // of the list last passed to sink_; empty if its answer had none
};

InstancePoller::InstancePoller(std::string address, Milliseconds interval, IoThread &thread, SnapshotSink sink)
    : state_(std::make_shared<State>(std::move(address), interval, thread, std::move(sink)))
{
}

InstancePoller::~InstancePoller()
{
    state_->client_.close();
}

void InstancePoller::start()
{
    state_->poll();
}

} // namespace mimosapier
