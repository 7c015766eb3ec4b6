// HTTP front end for callers and operators.
#include "daemon/caller_front_end_base.h"

#include "daemon/caller_codec_func.h"
#include "daemon/io_thread_base.h"
#include "daemon/metrics_base.h"
#include "http/server_base.h"

#include <unordered_map>

namespace mimosapier
{

// After stop(), an idle connection stays open this long, because a request may be in transit on it.
static constexpr Milliseconds IdleGrace{500};

struct CallerFrontEnd::State : std::enable_shared_from_this<CallerFrontEnd::State>
{
    State(CallerFrontEndSettings settings, IoThread &thread, CallerFrontEndCallbacks callbacks, Metrics *metrics)
        : settings_(std::move(settings))
        , thread_(thread)
        , callbacks_(std::move(callbacks))
        , metrics_(metrics)
    {
    }

    void handle(const HttpRequest &request, const HttpResponder &respond);
    void refuse(const HttpResponder &respond, const CallerAnswer &answer) const;
    void onCallerGone(CallId call);
    [[nodiscard]] bool handleHealth(const HttpRequest &request, const HttpResponder &respond) const;

    CallerFrontEndSettings settings_;
    IoThread &thread_;
    CallerFrontEndCallbacks callbacks_;
    Metrics *metrics_; // may be null
    std::unique_ptr<HttpServer> server_;
    std::unordered_map<CallId, HttpResponder> openRequests_;
    std::atomic<std::size_t> openRequestCount_{0}; // size of openRequests_
    std::uint64_t lastCall_ = 0;
};

bool CallerFrontEnd::State::handleHealth(const HttpRequest &request, const HttpResponder &respond) const
{
    const bool health = request.target_ == "/healthz";
    if (request.method_ != "GET" || (!health && request.target_ != "/readyz")) {
        return false;
    }
    const bool good = health || callbacks_.isReady_();
    HttpResponse response;
    response.status_ = httpStatus(good ? ErrorKind::None : ErrorKind::ShuttingDown);
    response.body_ = good ? R"({"ok":true})" : R"({"ok":false})";
    respond(std::move(response));
    return true;
}

void CallerFrontEnd::State::refuse(const HttpResponder &respond, const CallerAnswer &answer) const
{
    if (metrics_ != nullptr) {
        metrics_->countAnswer(answer.outcome_, answer.error_);
    }
    respond(renderAnswer(answer));
}

void CallerFrontEnd::State::handle(const HttpRequest &request, const HttpResponder &respond)
{
    if (handleHealth(request, respond)) {
        return;
    }
    CallerRequest call;
    std::string detail;
    const std::error_code error = parseCallerRequest(request, call.body_, detail);
    if (metrics_ != nullptr) {
        metrics_->countRequest(error ? "malformed" : callerBodyName(call.body_));
    }
    if (error) {
        refuse(respond, refusal(call.body_, errorKind(error), std::move(detail)));
        return;
    }
    call.call_ = CallId{++lastCall_};
    const CallId id = call.call_;
    if (openRequests_.size() >= settings_.maxOpenRequests_ || !callbacks_.submit_(call)) {
        refuse(respond, refusal(call.body_, ErrorKind::Overloaded, {}));
        return;
    }
    openRequests_.emplace(id, respond);
    openRequestCount_ = openRequests_.size();
    respond.onDisconnect([weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            self->onCallerGone(id);
        }
    });
}

void CallerFrontEnd::State::onCallerGone(CallId call)
{
    // The entry stays until the decision thread answers: openRequests_ bounds the requests that are open there.
    if (openRequests_.contains(call)) {
        callbacks_.onCallerGone_(CallerGone{call});
    }
}

CallerFrontEnd::CallerFrontEnd(CallerFrontEndSettings settings, IoThread &thread, CallerFrontEndCallbacks callbacks,
                               Metrics *metrics)
    : state_(std::make_shared<State>(std::move(settings), thread, std::move(callbacks), metrics))
{
    state_->server_ = std::make_unique<HttpServer>(
        thread.context(), state_->settings_.http_,
        [state = state_.get()](const HttpRequest &request, const HttpResponder &respond) {
            state->handle(request, respond);
        });
}

CallerFrontEnd::~CallerFrontEnd()
{
    state_->server_.reset();
}

std::error_code CallerFrontEnd::listen()
{
    return state_->server_->listen(state_->settings_.address_);
}

std::string CallerFrontEnd::address() const
{
    return state_->server_->address();
}

void CallerFrontEnd::answer(const CallerAnswer &answer)
{
    const auto found = state_->openRequests_.find(answer.call_);
    if (found == state_->openRequests_.end()) {
        return;
    }
    const HttpResponder respond = found->second;
    state_->openRequests_.erase(found);
    state_->openRequestCount_ = state_->openRequests_.size();
    if (state_->metrics_ != nullptr) {
        state_->metrics_->countAnswer(answer.outcome_, answer.error_);
    }
    respond(renderAnswer(answer));
}

void CallerFrontEnd::answerAllUnknown()
{
    while (!state_->openRequests_.empty()) {
        CallerAnswer unknown;
        unknown.call_ = state_->openRequests_.begin()->first;
        unknown.outcome_ = Outcome::Unknown;
        unknown.error_ = ErrorKind::ShuttingDown;
        unknown.detail_ = "The daemon stopped at its shutdown limit; the work may or may not have run.";
        answer(unknown);
    }
}

void CallerFrontEnd::stop(Milliseconds limit, std::function<void()> onStopped)
{
    state_->server_->stop(std::min(IdleGrace, limit), limit, std::move(onStopped));
}

void CallerFrontEnd::drain()
{
    state_->server_->drain();
}

std::size_t CallerFrontEnd::openRequestCount() const
{
    return state_->openRequestCount_;
}

} // namespace mimosapier
