// HTTP front end for callers and operators.
#include "daemon/caller_front_base.h"

#include "daemon/caller_codec_func.h"
#include "daemon/io_thread_base.h"
#include "daemon/metrics_base.h"
#include "http/server_base.h"

#include <unordered_map>

namespace mimosapier
{

// A request may be under way on an idle connection when the server stops; it is still answered within this time.
static constexpr Milliseconds IdleGrace{500};

struct CallerFront::State : std::enable_shared_from_this<CallerFront::State>
{
    State(CallerFrontSettings settings, IoThread &thread, CallerFrontLinks links, Metrics *metrics)
        : settings_(std::move(settings))
        , thread_(thread)
        , links_(std::move(links))
        , metrics_(metrics)
    {
    }

    void handle(const HttpRequest &request, const HttpResponder &respond);
    void refuse(const HttpResponder &respond, const CallerAnswer &answer) const;
    void callerGone(CallId call);
    [[nodiscard]] bool handleHealth(const HttpRequest &request, const HttpResponder &respond) const;

    CallerFrontSettings settings_;
    IoThread &thread_;
    CallerFrontLinks links_;
    Metrics *metrics_; // may be null
    std::unique_ptr<HttpServer> server_;
    std::unordered_map<CallId, HttpResponder> openCalls_; // requests without an answer
    std::atomic<std::size_t> open_{0}; // size of openCalls_
    std::uint64_t lastCall_ = 0;
};

bool CallerFront::State::handleHealth(const HttpRequest &request, const HttpResponder &respond) const
{
    const bool health = request.target_ == "/healthz";
    if (request.method_ != "GET" || (!health && request.target_ != "/readyz")) {
        return false;
    }
    const bool good = health || links_.ready_();
    HttpResponse response;
    response.status_ = httpStatus(good ? ErrorKind::None : ErrorKind::ShuttingDown);
    response.body_ = good ? R"({"ok":true})" : R"({"ok":false})";
    respond(std::move(response));
    return true;
}

void CallerFront::State::refuse(const HttpResponder &respond, const CallerAnswer &answer) const
{
    if (metrics_ != nullptr) {
        metrics_->countAnswer(answer.outcome_, answer.error_);
    }
    respond(renderAnswer(answer));
}

void CallerFront::State::handle(const HttpRequest &request, const HttpResponder &respond)
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
    if (openCalls_.size() >= settings_.maxOpenRequests_ || !links_.submit_(call)) {
        refuse(respond, refusal(call.body_, ErrorKind::Overloaded, {}));
        return;
    }
    openCalls_.emplace(id, respond);
    open_ = openCalls_.size();
    respond.onDisconnect([weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            self->callerGone(id);
        }
    });
}

void CallerFront::State::callerGone(CallId call)
{
    // The entry stays until the decisions answer, which bounds the requests they have open.
    if (openCalls_.contains(call)) {
        links_.gone_(CallerGone{call});
    }
}

CallerFront::CallerFront(CallerFrontSettings settings, IoThread &thread, CallerFrontLinks links, Metrics *metrics)
    : state_(std::make_shared<State>(std::move(settings), thread, std::move(links), metrics))
{
    HttpServerOptions options;
    options.maxBodyBytes_ = state_->settings_.maxBodyBytes_;
    state_->server_ = std::make_unique<HttpServer>(
        thread.context(), options, [state = state_.get()](const HttpRequest &request, const HttpResponder &respond) {
            state->handle(request, respond);
        });
}

CallerFront::~CallerFront()
{
    state_->server_.reset();
}

std::error_code CallerFront::listen()
{
    return state_->server_->listen(state_->settings_.address_);
}

std::string CallerFront::address() const
{
    return state_->server_->address();
}

void CallerFront::answer(const CallerAnswer &answer)
{
    const auto found = state_->openCalls_.find(answer.call_);
    if (found == state_->openCalls_.end()) {
        return;
    }
    const HttpResponder respond = found->second;
    state_->openCalls_.erase(found);
    state_->open_ = state_->openCalls_.size();
    if (state_->metrics_ != nullptr) {
        state_->metrics_->countAnswer(answer.outcome_, answer.error_);
    }
    respond(renderAnswer(answer));
}

void CallerFront::abandon()
{
    while (!state_->openCalls_.empty()) {
        CallerAnswer unknown;
        unknown.call_ = state_->openCalls_.begin()->first;
        unknown.outcome_ = Outcome::Unknown;
        unknown.error_ = ErrorKind::ShuttingDown;
        unknown.detail_ = "The daemon stopped at its shutdown limit; the work may or may not have run.";
        answer(unknown);
    }
}

void CallerFront::stop(Milliseconds limit, std::function<void()> stopped)
{
    state_->server_->stop(std::min(IdleGrace, limit), limit, std::move(stopped));
}

void CallerFront::drain()
{
    state_->server_->drain();
}

std::size_t CallerFront::open() const
{
    return state_->open_;
}

} // namespace mimosapier
