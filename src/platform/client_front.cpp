// HTTP front end: turns requests into the product's types and answers into responses.
#include "platform/client_front_base.h"

#include "daemon/io_thread_base.h"
#include "http/server_base.h"
#include "platform/wire_func.h"

#include <atomic>
#include <optional>
#include <unordered_map>

namespace mimosapier
{

static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusMethodNotAllowed = 405;
static constexpr unsigned StatusUnavailable = 503;
static constexpr Milliseconds OverloadRetryAfter{1'000};

struct ClientFront::State
{
    State(ClientFrontSettings settings, IoThread &thread, ClientFrontLinks links)
        : settings_(std::move(settings))
        , links_(std::move(links))
        , server_(thread.context(), serverOptions(settings_),
                  [this](const HttpRequest &request, const HttpResponder &respond) { serve(request, respond); })
        , ready_(thread.context(), HttpServerOptions{}, [this](const HttpRequest &, const HttpResponder &respond) {
            HttpResponse response;
            response.status_ = links_.ready_() ? StatusOk : StatusUnavailable;
            respond(std::move(response));
        })
    {
    }

    static HttpServerOptions serverOptions(const ClientFrontSettings &settings)
    {
        HttpServerOptions options;
        options.maxBodyBytes_ = settings.maxBodyBytes_;
        options.maxConnections_ = settings.maxConnections_;
        return options;
    }

    void serve(const HttpRequest &http, const HttpResponder &respond);

    ClientFrontSettings settings_;
    ClientFrontLinks links_;
    std::uint64_t nextCall_ = 1;
    std::unordered_map<std::uint64_t, HttpResponder> waiting_; // by call id
    std::atomic<std::size_t> open_{0};
    HttpServer server_;
    HttpServer ready_;
};

void ClientFront::State::serve(const HttpRequest &http, const HttpResponder &respond)
{
    ClientRequest request;
    if (!decodeClientRequest(http, request)) {
        HttpResponse response;
        response.status_ = StatusMethodNotAllowed;
        respond(std::move(response));
        return;
    }
    request.call_ = CallId{nextCall_++};
    const CallId call = request.call_;
    if (waiting_.size() >= settings_.maxOpenRequests_ || !links_.submit_(request)) {
        ClientAnswer answer;
        answer.error_ = ErrorKind::Overloaded;
        answer.retryAfter_ = OverloadRetryAfter;
        respond(encodeClientAnswer(answer));
        return;
    }
    waiting_.emplace(call.value_, respond);
    open_ = waiting_.size();
}

ClientFront::ClientFront(ClientFrontSettings settings, IoThread &thread, ClientFrontLinks links)
    : state_(std::make_shared<State>(std::move(settings), thread, std::move(links)))
{
}

ClientFront::~ClientFront() = default;

std::error_code ClientFront::listen(std::string &detail)
{
    detail = "caller_address " + state_->settings_.address_;
    if (const std::error_code error = state_->server_.listen(state_->settings_.address_)) {
        return error;
    }
    detail = "cell.ready_address " + state_->settings_.readyAddress_;
    return state_->ready_.listen(state_->settings_.readyAddress_);
}

void ClientFront::answer(const ClientAnswer &answer)
{
    const auto found = state_->waiting_.find(answer.call_.value_);
    if (found == state_->waiting_.end()) {
        return;
    }
    const HttpResponder respond = std::move(found->second);
    state_->waiting_.erase(found);
    state_->open_ = state_->waiting_.size();
    respond(encodeClientAnswer(answer));
}

void ClientFront::drain()
{
    state_->server_.drain();
}

void ClientFront::stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> stopped)
{
    state_->server_.stop(idleGrace, limit, std::move(stopped));
}

std::size_t ClientFront::open() const
{
    return state_->open_;
}

} // namespace mimosapier
