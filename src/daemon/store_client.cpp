// Client of the platform's store.
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

    // Leases have connections of their own: behind slow operations a renewal could come too late.
    HttpClient &clientFor(const StoreOp &op)
    {
        if (std::holds_alternative<StoreWatch>(op)) {
            return watches_;
        }
        const bool lease = std::holds_alternative<StoreLeaseGrant>(op) || std::holds_alternative<StoreLeaseRenew>(op)
            || std::holds_alternative<StoreLeaseRevoke>(op);
        return lease ? leases_ : calls_;
    }

    // Logs when the store stops or starts to answer.
    void noteReach(StoreStatus status)
    {
        const bool reached = status != StoreStatus::Unavailable && status != StoreStatus::Unknown;
        if (reached != reached_) {
            writeLog(reached ? LogLevel::Info : LogLevel::Warning,
                     reached ? "[store] The store answers again." : "[store] The store does not answer.");
        }
        reached_ = reached;
    }

    StoreClientSettings settings_;
    ResultSink sink_;
    Metrics *metrics_; // may be null
    HttpClient calls_;
    HttpClient leases_;
    HttpClient watches_;
    bool reached_ = true; // the last operation got an answer of the store
    std::size_t open_ = 0; // operations without a result
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
    const StoreStatus lost = noEffect || !changesStore(request.op_) ? StoreStatus::Unavailable : StoreStatus::Unknown;
    if (!answered || answer.status_ != HttpOk) {
        return emptyResult(request, lost);
    }
    StoreResult result = emptyResult(request, lost);
    return decodeStoreAnswer(request.op_, answer.body_, result) ? result : emptyResult(request, lost);
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
    if (state_->open_ >= state_->settings_.maxOpen_ || !encodeStoreOp(request.op_, http)) {
        state_->sink_(emptyResult(request, StoreStatus::Unavailable));
        return;
    }
    const auto *watch = std::get_if<StoreWatch>(&request.op_);
    const Milliseconds timeout = state_->settings_.timeout_ + (watch != nullptr ? watch->wait_ : Milliseconds(0));
    HttpClient &client = state_->clientFor(request.op_);
    ++state_->open_;
    if (state_->metrics_ != nullptr) {
        state_->metrics_->countStoreCall(storeOpName(request.op_));
    }
    client.send(state_->settings_.address_, std::move(http), timeout,
                [weak = std::weak_ptr(state_), request = std::move(request)](const HttpResult &answer) {
                    const auto state = weak.lock();
                    if (!state) {
                        return;
                    }
                    --state->open_;
                    StoreResult result = storeResult(request, answer);
                    if (state->metrics_ != nullptr) {
                        state->metrics_->countStoreResult(result.status_);
                    }
                    state->noteReach(result.status_);
                    state->sink_(std::move(result));
                });
}

} // namespace mimosapier
