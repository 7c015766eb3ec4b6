// HTTP front end for the platform's clients.
#include "platform/client_front_end_base.h"

#include "daemon/io_thread_base.h"
#include "platform/platform_codec_func.h"

#include <atomic>
#include <optional>
#include <unordered_map>

namespace mimosapier
{

static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusMethodNotAllowed = 405;
static constexpr unsigned StatusUnavailable = 503;
static constexpr Milliseconds OverloadRetryAfter{1'000};

struct ClientFrontEnd::State
{
    State(ClientFrontEndSettings settings, IoThread &thread, ClientFrontEndCallbacks callbacks)
        : settings_(std::move(settings))
        , callbacks_(std::move(callbacks))
        , server_(thread.context(), settings_.clients_,
                  [this](const HttpRequest &request, const HttpResponder &respond) { serve(request, respond); })
        , readyServer_(thread.context(), settings_.readiness_,
                       [this](const HttpRequest &, const HttpResponder &respond) {
                           HttpResponse response;
                           response.status_ = callbacks_.isReady_() ? StatusOk : StatusUnavailable;
                           respond(std::move(response));
                       })
    {
    }

    void serve(const HttpRequest &http, const HttpResponder &respond);

    ClientFrontEndSettings settings_;
    ClientFrontEndCallbacks callbacks_;
    std::uint64_t nextCall_ = 1;
    std::unordered_map<std::uint64_t, HttpResponder> openRequests_; // by call id
    std::atomic<std::size_t> openRequestCount_{0}; // size of openRequests_
    HttpServer server_;
    HttpServer readyServer_;
};

void ClientFrontEnd::State::serve(const HttpRequest &http, const HttpResponder &respond)
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
    if (openRequests_.size() >= settings_.maxOpenRequests_ || !callbacks_.submit_(request)) {
        ClientAnswer answer;
        answer.error_ = ErrorKind::Overloaded;
        answer.retryAfter_ = OverloadRetryAfter;
        respond(encodeClientAnswer(answer));
        return;
    }
    openRequests_.emplace(call.value_, respond);
    openRequestCount_ = openRequests_.size();
}

ClientFrontEnd::ClientFrontEnd(ClientFrontEndSettings settings, IoThread &thread, ClientFrontEndCallbacks callbacks)
    : state_(std::make_shared<State>(std::move(settings), thread, std::move(callbacks)))
{
}

ClientFrontEnd::~ClientFrontEnd() = default;

std::error_code ClientFrontEnd::listen(std::string &detail)
{
    detail = "caller_address " + state_->settings_.address_;
    if (const std::error_code error = state_->server_.listen(state_->settings_.address_)) {
        return error;
    }
    detail = "cell.ready_address " + state_->settings_.readyAddress_;
    return state_->readyServer_.listen(state_->settings_.readyAddress_);
}

void ClientFrontEnd::answer(const ClientAnswer &answer)
{
    const auto found = state_->openRequests_.find(answer.call_.value_);
    if (found == state_->openRequests_.end()) {
        return;
    }
    const HttpResponder respond = std::move(found->second);
    state_->openRequests_.erase(found);
    state_->openRequestCount_ = state_->openRequests_.size();
    respond(encodeClientAnswer(answer));
}

void ClientFrontEnd::drain()
{
    state_->server_.drain();
}

void ClientFrontEnd::stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> onStopped)
{
    state_->server_.stop(idleGrace, limit, std::move(onStopped));
}

std::size_t ClientFrontEnd::connectionCount() const
{
    return state_->server_.connectionCount();
}

std::size_t ClientFrontEnd::openRequestCount() const
{
    return state_->openRequestCount_;
}

} // namespace mimosapier
