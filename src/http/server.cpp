// Listener of the HTTP server, graceful stop, and the responder handed to handlers.
#include "http/server_internal.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace mimosapier
{

namespace detail
{

constexpr Milliseconds AcceptPause{100}; // after a failed accept, for example when file descriptors are used up

ServerState::ServerState(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler)
    : context_(context)
    , options_(options)
    , handler_(std::move(handler))
    , strand_(boost::asio::make_strand(context))
    , acceptor_(strand_)
    , acceptPause_(strand_)
{
}

std::error_code ServerState::listen(std::string_view address)
{
    HttpAddress parts;
    boost::system::error_code error;
    if (!parseAddress(address, parts)) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    const auto ip = boost::asio::ip::make_address(parts.ip_, error);
    if (error) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    const boost::asio::ip::tcp::endpoint endpoint(ip, parts.port_);
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        return error;
    }
    const auto local = acceptor_.local_endpoint(error);
    const std::string name = ip.is_v6() ? "[" + ip.to_string() + "]" : ip.to_string();
    address_ = name + ":" + std::to_string(local.port());
    boost::asio::post(strand_, [self = shared_from_this()] { self->accept(); });
    return {};
}

void ServerState::accept()
{
    if (stopping_ || !acceptor_.is_open()) {
        return;
    }
    acceptor_.async_accept(
        boost::asio::make_strand(context_),
        [self = shared_from_this()](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (self->stopping_) {
                return;
            }
            if (error) {
                self->acceptPause_.expires_after(AcceptPause);
                self->acceptPause_.async_wait([self](boost::system::error_code cancelled) {
                    if (!cancelled) {
                        self->accept();
                    }
                });
                return;
            }
            std::shared_ptr<Session> session;
            {
                const std::scoped_lock lock(self->mutex_);
                if (self->sessions_.size() < self->options_.maxConnections_) {
                    session = std::make_shared<Session>(self, std::move(socket));
                    self->sessions_.emplace(session.get(), session);
                }
            }
            if (session) {
                boost::asio::post(session->executor(), [session] { session->start(); });
            }
            self->accept();
        });
}

std::vector<std::shared_ptr<Session>> ServerState::sessions()
{
    const std::scoped_lock lock(mutex_);
    std::vector<std::shared_ptr<Session>> result;
    for (const auto &[key, weak] : sessions_) {
        if (auto session = weak.lock()) {
            result.push_back(std::move(session));
        }
    }
    return result;
}

void ServerState::drain()
{
    draining_ = true;
}

void ServerState::stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> stopped)
{
    draining_ = true;
    const TimePoint now = SystemClock().now();
    boost::asio::post(strand_, [self = shared_from_this(), now, idleGrace, limit, stopped = std::move(stopped)] {
        self->stopping_ = true;
        self->acceptPause_.cancel();
        boost::system::error_code ignored;
        self->acceptor_.close(ignored);
        for (auto &session : self->sessions()) {
            boost::asio::post(session->executor(),
                              [session, now, idleGrace, limit] { session->stop(now + idleGrace, now + limit); });
        }
        std::unique_lock lock(self->mutex_);
        self->stopped_ = stopped;
        self->finishStop(std::move(lock));
    });
}

void ServerState::closeAll()
{
    stopping_ = true;
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->acceptPause_.cancel();
        boost::system::error_code ignored;
        self->acceptor_.close(ignored);
    });
    for (auto &session : sessions()) {
        boost::asio::post(session->executor(), [session] { session->close(); });
    }
}

void ServerState::remove(const Session *session)
{
    std::unique_lock lock(mutex_);
    sessions_.erase(session);
    finishStop(std::move(lock));
}

void ServerState::finishStop(std::unique_lock<std::mutex> lock)
{
    if (!sessions_.empty() || !stopped_) {
        return;
    }
    auto stopped = std::move(stopped_);
    stopped_ = nullptr;
    lock.unlock();
    boost::asio::post(context_, std::move(stopped));
}

} // namespace detail

// Answers with an error when the last copy of a responder goes without an answer.
struct HttpResponder::Guard
{
    explicit Guard(std::shared_ptr<detail::HttpExchange> exchange)
        : exchange_(std::move(exchange))
    {
    }
    Guard(const Guard &) = delete;
    Guard &operator=(const Guard &) = delete;
    ~Guard() { respond({500, R"({"outcome":"unknown","error":"internal"})", "application/json"}); }

    void respond(HttpResponse response)
    {
        if (exchange_->answered_.exchange(true)) {
            return;
        }
        if (const auto session = exchange_->session_.lock()) {
            boost::asio::post(session->executor(), [session, exchange = exchange_, response = std::move(response)] {
                session->answer(exchange, response);
            });
        }
    }

    std::shared_ptr<detail::HttpExchange> exchange_;
};

HttpResponder::HttpResponder(std::shared_ptr<detail::HttpExchange> exchange)
    : guard_(std::make_shared<Guard>(std::move(exchange)))
{
}

void HttpResponder::operator()(HttpResponse response) const
{
    guard_->respond(std::move(response));
}

void HttpResponder::drop() const
{
    if (guard_->exchange_->answered_.exchange(true)) {
        return;
    }
    if (const auto session = guard_->exchange_->session_.lock()) {
        boost::asio::post(session->executor(), [session] { session->close(); });
    }
}

void HttpResponder::onGone(std::function<void()> gone) const
{
    const auto session = guard_->exchange_->session_.lock();
    if (!session) {
        gone();
        return;
    }
    boost::asio::post(session->executor(), [session, exchange = guard_->exchange_, gone = std::move(gone)]() mutable {
        session->setGone(exchange, std::move(gone));
    });
}

HttpServer::HttpServer(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler)
    : state_(std::make_shared<detail::ServerState>(context, options, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    state_->closeAll();
}

std::error_code HttpServer::listen(std::string_view address)
{
    return state_->listen(address);
}

std::string HttpServer::address() const
{
    return state_->address_;
}

void HttpServer::drain()
{
    state_->drain();
}

void HttpServer::stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> stopped)
{
    state_->stop(idleGrace, limit, std::move(stopped));
}

std::size_t HttpServer::connections() const
{
    const std::scoped_lock lock(state_->mutex_);
    return state_->sessions_.size();
}

} // namespace mimosapier
