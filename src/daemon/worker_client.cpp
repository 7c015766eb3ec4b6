// HTTP client of the workers.
#include "daemon/worker_client_base.h"

#include "daemon/io_thread_base.h"
#include "daemon/metrics_base.h"
#include "daemon/worker_codec_func.h"
#include "net/address_func.h"

namespace mimosapier
{

static constexpr unsigned HttpOk = 200;
static constexpr unsigned HttpConflict = 409;
static constexpr unsigned HttpGone = 410;
static constexpr unsigned HttpTooMany = 429;

struct WorkerClient::State
{
    State(WorkerClientSettings settings, IoThread &thread, ResultSink sink, Metrics *metrics)
        : settings_(std::move(settings))
        , sink_(std::move(sink))
        , metrics_(metrics)
        , calls_(thread.context(), HttpClientOptions{.maxConnections_ = settings_.maxConnections_})
        , polls_(thread.context(), HttpClientOptions{.maxConnections_ = settings_.maxPolls_})
    {
    }

    WorkerClientSettings settings_;
    ResultSink sink_;
    Metrics *metrics_; // may be null
    HttpClient calls_;
    HttpClient polls_;
    std::size_t openOperations_ = 0; // operations without a result
};

static WorkerResult emptyResult(const WorkerRequest &request, WorkerStatus status)
{
    WorkerResult result;
    result.id_ = request.id_;
    result.group_ = request.group_;
    result.worker_ = request.worker_;
    result.status_ = status;
    return result;
}

WorkerResult refusedResult(const WorkerRequest &request)
{
    return emptyResult(request, WorkerStatus::Refused);
}

WorkerResult workerResult(const WorkerRequest &request, const HttpResult &answer)
{
    if (answer.delivery_ == HttpDelivery::NotSent) {
        return refusedResult(request);
    }
    WorkerResult result = emptyResult(request, WorkerStatus::Unknown);
    if (answer.delivery_ == HttpDelivery::MaybeSent) {
        return result;
    }
    switch (answer.status_) {
    case HttpOk:
        if (decodeWorkerAnswer(request, answer.body_, result)) {
            result.status_ = WorkerStatus::Ok;
            return result;
        }
        return emptyResult(request, WorkerStatus::Unknown);
    case HttpConflict:
        if (decodeStaleEpoch(answer.body_, result.highestEpoch_)) {
            result.status_ = WorkerStatus::StaleEpoch;
        }
        return result;
    case HttpGone:
        result.status_ = WorkerStatus::Refused;
        result.leaving_ = true;
        return result;
    case HttpTooMany:
        result.status_ = WorkerStatus::Refused;
        return result;
    default:
        return result;
    }
}

WorkerClient::WorkerClient(WorkerClientSettings settings, IoThread &thread, ResultSink sink, Metrics *metrics)
    : state_(std::make_shared<State>(std::move(settings), thread, std::move(sink), metrics))
{
}

WorkerClient::~WorkerClient()
{
    state_->calls_.close();
    state_->polls_.close();
}

void WorkerClient::submit(WorkerRequest request)
{
    if (state_->openOperations_ >= state_->settings_.maxOpenOperations_) {
        state_->sink_(refusedResult(request));
        return;
    }
    const auto *poll = std::get_if<WorkerPoll>(&request.op_);
    const Milliseconds timeout = state_->settings_.timeout_ + (poll != nullptr ? poll->wait_ : Milliseconds(0));
    HttpClient &client = poll != nullptr ? state_->polls_ : state_->calls_;
    std::string address = addressOrOverride(state_->settings_.addressOverrides_, request.address_, request.address_);
    HttpRequest http = encodeWorkerOp(request);
    ++state_->openOperations_;
    client.send(std::move(address), std::move(http), timeout,
                [weak = std::weak_ptr(state_), request = std::move(request)](const HttpResult &answer) {
                    const auto state = weak.lock();
                    if (!state) {
                        return;
                    }
                    --state->openOperations_;
                    WorkerResult result = workerResult(request, answer);
                    if (state->metrics_ != nullptr) {
                        state->metrics_->countWorkerCall(workerOpName(request.op_), result.status_);
                    }
                    state->sink_(std::move(result));
                });
}

} // namespace mimosapier
