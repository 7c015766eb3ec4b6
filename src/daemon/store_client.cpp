// HTTP client of the store.
#include "daemon/store_client_base.h"

#include "daemon/io_thread_base.h"
#include "daemon/log_func.h"
#include "daemon/metrics_base.h"
#include "daemon/store_codec_func.h"

namespace mimosapier
{

static constexpr unsigned HttpOk = 200;
static constexpr unsigned HttpUnavailable = 503;

struct StoreClient::State
{
    State(StoreClientSettings settings, IoThread &thread, ResultSink sink, Metrics *metrics)
        : settings_(std::move(settings))
        , sink_(std::move(sink))
        , metrics_(metrics)
        , calls_(thread.context(), HttpClientOptions{.maxConnections_ = settings_.maxConnections_})
        , leases_(thread.context(), HttpClientOptions{.maxConnections_ = settings_.maxLeaseConnections_})
        , watches_(thread.context(), HttpClientOptions{.maxConnections_ = settings_.maxWatches_})
    {
    }

    // Leases use separate connections, so that a renewal is not queued behind slow operations and comes too late.
    HttpClient &clientFor(const StoreOp &op)
    {
        if (std::holds_alternative<StoreWatch>(op)) {
            return watches_;
        }
        const bool lease = std::holds_alternative<StoreLeaseGrant>(op) || std::holds_alternative<StoreLeaseRenew>(op)
            || std::holds_alternative<StoreLeaseRevoke>(op);
        return lease ? leases_ : calls_;
    }

    // Logs when the store becomes available or unavailable.
    void logAvailability(StoreStatus status)
    {
        const bool available = status != StoreStatus::Unavailable && status != StoreStatus::Unknown;
        if (available != available_) {
            writeLog(available ? LogLevel::Info : LogLevel::Warning,
                     available ? "[store] Store is available again." : "[store] Store is unavailable.");
        }
        available_ = available;
    }

    StoreClientSettings settings_;
    ResultSink sink_;
    Metrics *metrics_; // may be null
    HttpClient calls_;
    HttpClient leases_;
    HttpClient watches_;
    bool available_ = true; // the last operation got a valid answer
    std::size_t openOperations_ = 0; // operations without a result
};

static StoreResult emptyResult(const StoreRequest &request, StoreStatus status)
{
    StoreResult result;
    result.id_ = request.id_;
    result.component_ = request.component_;
    result.shard_ = request.shard_;
    result.status_ = status;
    return result;
}

StoreResult storeResult(const StoreRequest &request, const HttpResult &answer)
{
    const bool answered = answer.delivery_ == HttpDelivery::Answered;
    const bool noEffect = answer.delivery_ == HttpDelivery::NotSent || (answered && answer.status_ == HttpUnavailable);
    const StoreStatus statusWithoutAnswer
        = noEffect || !changesStore(request.op_) ? StoreStatus::Unavailable : StoreStatus::Unknown;
    if (!answered || answer.status_ != HttpOk) {
        return emptyResult(request, statusWithoutAnswer);
    }
    StoreResult result = emptyResult(request, statusWithoutAnswer);
    return decodeStoreAnswer(request.op_, answer.body_, result) ? result : emptyResult(request, statusWithoutAnswer);
}

StoreClient::StoreClient(StoreClientSettings settings, IoThread &thread, ResultSink sink, Metrics *metrics)
    : state_(std::make_shared<State>(std::move(settings), thread, std::move(sink), metrics))
{
}

StoreClient::~StoreClient()
{
    state_->calls_.close();
    state_->leases_.close();
    state_->watches_.close();
}

void StoreClient::submit(StoreRequest request)
{
    HttpRequest http;
    if (state_->openOperations_ >= state_->settings_.maxOpenOperations_ || !encodeStoreOp(request.op_, http)) {
        state_->sink_(emptyResult(request, StoreStatus::Unavailable));
        return;
    }
    const auto *watch = std::get_if<StoreWatch>(&request.op_);
    const Milliseconds timeout = state_->settings_.timeout_ + (watch != nullptr ? watch->wait_ : Milliseconds(0));
    HttpClient &client = state_->clientFor(request.op_);
    ++state_->openOperations_;
    if (state_->metrics_ != nullptr) {
        state_->metrics_->countStoreCall(storeOpName(request.op_));
    }
    client.send(state_->settings_.address_, std::move(http), timeout,
                [weak = std::weak_ptr(state_), request = std::move(request)](const HttpResult &answer) {
                    const auto state = weak.lock();
                    if (!state) {
                        return;
                    }
                    --state->openOperations_;
                    StoreResult result = storeResult(request, answer);
                    if (state->metrics_ != nullptr) {
                        state->metrics_->countStoreResult(result.status_);
                    }
                    state->logAvailability(result.status_);
                    state->sink_(std::move(result));
                });
}

} // namespace mimosapier
