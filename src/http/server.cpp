// Listener of the HTTP server, graceful stop, and the responder that handlers receive. See server_base.h.
#include "http/server_internal.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace mimosapier
{

namespace detail
{

constexpr Milliseconds AcceptRetryDelay{100}; // after a failed accept, for example without a free file descriptor
// Connections over the limit that may still be open while they are closed to make room.
constexpr std::size_t MaxReplaced = 16;

ServerState::ServerState(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler)
    : context_(context)
    , options_(std::move(options))
    , handler_(std::move(handler))
    , strand_(boost::asio::make_strand(context))
    , acceptor_(strand_)
    , acceptRetryTimer_(strand_)
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
                self->acceptRetryTimer_.expires_after(AcceptRetryDelay);
                self->acceptRetryTimer_.async_wait([self](boost::system::error_code cancelled) {
                    if (!cancelled) {
                        self->accept();
                    }
                });
                return;
            }
            std::shared_ptr<ServerConnection> connection;
            std::vector<std::shared_ptr<ServerConnection>> replaced;
            {
                const std::scoped_lock lock(self->mutex_);
                if (self->makeRoom(replaced)) {
                    connection = std::make_shared<ServerConnection>(self, std::move(socket));
                    self->connections_.emplace(connection.get(), connection);
                }
            }
            for (const auto &other : replaced) {
                boost::asio::post(other->executor(), [other] { other->replace(); });
            }
            if (!connection) {
                self->countRefusal(HttpRefusal::Connections);
            }
            if (connection) {
                boost::asio::post(connection->executor(), [connection] { connection->start(); });
            }
            self->accept();
        });
}

// Chooses connections to close so that one more fits: those that have waited longest without a whole request. Returns
// false when there are too few, or too many are still being closed. Called with mutex_ locked.
bool ServerState::makeRoom(std::vector<std::shared_ptr<ServerConnection>> &replaced)
{
    while (connections_.size() - replacedCount_ >= options_.maxConnections_) {
        auto longest = connections_.end();
        for (auto item = connections_.begin(); item != connections_.end(); ++item) {
            // The pointer is valid: the destructor needs mutex_ to remove its connection from the map.
            const bool canClose = !item->first->replaced_ && item->first->waitingSince() != TimePoint::max();
            if (canClose
                && (longest == connections_.end() || item->first->waitingSince() < longest->first->waitingSince())) {
                longest = item;
            }
        }
        if (longest == connections_.end() || replacedCount_ >= MaxReplaced) {
            return false;
        }
        longest->first->replaced_ = true;
        ++replacedCount_;
        if (auto connection = longest->second.lock()) {
            replaced.push_back(std::move(connection));
        }
    }
    return true;
}

// Keeps a connection that was to be closed.
void ServerState::keepReplaced(ServerConnection &connection)
{
    const std::scoped_lock lock(mutex_);
    replacedCount_ -= connection.replaced_ ? 1 : 0;
    connection.replaced_ = false;
}

std::vector<std::shared_ptr<ServerConnection>> ServerState::openConnections()
{
    const std::scoped_lock lock(mutex_);
    std::vector<std::shared_ptr<ServerConnection>> result;
    for (const auto &[key, weak] : connections_) {
        if (auto connection = weak.lock()) {
            result.push_back(std::move(connection));
        }
    }
    return result;
}

void ServerState::drain()
{
    draining_ = true;
}

void ServerState::stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> onStopped)
{
    draining_ = true;
    const TimePoint now = SystemClock().now();
    boost::asio::post(strand_, [self = shared_from_this(), now, idleGrace, limit, onStopped = std::move(onStopped)] {
        self->stopping_ = true;
        self->acceptRetryTimer_.cancel();
        boost::system::error_code ignored;
        self->acceptor_.close(ignored);
        for (auto &connection : self->openConnections()) {
            boost::asio::post(connection->executor(),
                              [connection, now, idleGrace, limit] { connection->stop(now + idleGrace, now + limit); });
        }
        std::unique_lock lock(self->mutex_);
        self->onStopped_ = onStopped;
        self->notifyIfStopped(std::move(lock));
    });
}

void ServerState::closeAll()
{
    stopping_ = true;
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->acceptRetryTimer_.cancel();
        boost::system::error_code ignored;
        self->acceptor_.close(ignored);
    });
    for (auto &connection : openConnections()) {
        boost::asio::post(connection->executor(), [connection] { connection->close(); });
    }
}

void ServerState::remove(ServerConnection *connection)
{
    std::unique_lock lock(mutex_);
    connections_.erase(connection);
    replacedCount_ -= connection->replaced_ ? 1 : 0;
    notifyIfStopped(std::move(lock));
}

void ServerState::countRefusal(HttpRefusal refusal) const
{
    if (options_.refusals_) {
        options_.refusals_->add(refusal);
    }
}

void ServerState::notifyIfStopped(std::unique_lock<std::mutex> lock)
{
    if (!connections_.empty() || !onStopped_) {
        return;
    }
    auto onStopped = std::move(onStopped_);
    onStopped_ = nullptr;
    lock.unlock();
    boost::asio::post(context_, std::move(onStopped));
}

} // namespace detail

// Responds with status 500 when the last copy of a responder is destroyed without a response.
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
        if (exchange_->responded_.exchange(true)) {
            return;
        }
        if (const auto connection = exchange_->connection_.lock()) {
            boost::asio::post(connection->executor(),
                              [connection, exchange = exchange_, response = std::move(response)] {
                                  connection->respond(exchange, response);
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
    if (guard_->exchange_->responded_.exchange(true)) {
        return;
    }
    if (const auto connection = guard_->exchange_->connection_.lock()) {
        boost::asio::post(connection->executor(), [connection] { connection->close(); });
    }
}

void HttpResponder::onDisconnect(std::function<void()> callback) const
{
    const auto connection = guard_->exchange_->connection_.lock();
    if (!connection) {
        callback();
        return;
    }
    boost::asio::post(connection->executor(),
                      [connection, exchange = guard_->exchange_, callback = std::move(callback)]() mutable {
                          connection->setOnDisconnect(exchange, std::move(callback));
                      });
}

HttpServer::HttpServer(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler)
    : state_(std::make_shared<detail::ServerState>(context, std::move(options), std::move(handler)))
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

void HttpServer::stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> onStopped)
{
    state_->stop(idleGrace, limit, std::move(onStopped));
}

std::size_t HttpServer::connectionCount() const
{
    const std::scoped_lock lock(state_->mutex_);
    return state_->connections_.size();
}

} // namespace mimosapier
