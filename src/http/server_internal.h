// One connection of the HTTP server, and the state that all connections share.
#pragma once

#include "http/server_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace mimosapier::detail
{

class ServerConnection;

// A request that waits for its answer. Everything but responded_ belongs to the connection's strand.
class HttpExchange
{
public:
    std::weak_ptr<ServerConnection> connection_;
    std::atomic<bool> responded_{false};
    std::optional<HttpResponse> response_;
    bool keepAlive_ = true;
    std::function<void()> onDisconnect_; // called when the connection is lost before the answer
};

// Listener and set of connections.
class ServerState : public std::enable_shared_from_this<ServerState>
{
public:
    ServerState(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler);

    std::error_code listen(std::string_view address);
    void accept();
    void drain();
    void stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> onStopped);
    void closeAll();
    void remove(const ServerConnection *connection);

    boost::asio::io_context &context_;
    const HttpServerOptions options_;
    const HttpHandler handler_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_; // of the acceptor
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptRetryTimer_; // before the next attempt when accept fails
    std::string address_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> stopping_{false};

    std::mutex mutex_; // guards the members below
    std::unordered_map<const ServerConnection *, std::weak_ptr<ServerConnection>> connections_;
    std::function<void()> onStopped_;

private:
    void notifyIfStopped(std::unique_lock<std::mutex> lock);
    std::vector<std::shared_ptr<ServerConnection>> openConnections();
};

// One connection. All member functions run on the strand of the socket.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(std::shared_ptr<ServerState> server, boost::asio::ip::tcp::socket socket);
    ~ServerConnection();

    void start();
    void respond(const std::shared_ptr<HttpExchange> &exchange, HttpResponse response);
    void setOnDisconnect(const std::shared_ptr<HttpExchange> &exchange, std::function<void()> callback);
    void stop(TimePoint idleDeadline, TimePoint hardDeadline);
    void close();
    [[nodiscard]] boost::asio::any_io_executor executor() { return socket_.get_executor(); }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void onRead(boost::system::error_code error, std::size_t bytes);
    void dispatch();
    void reject(unsigned status, const char *reason);
    void write();
    void shutdownSend();
    void discardInput();
    void armTimer();
    [[nodiscard]] TimePoint deadline() const;
    void updateReadDeadline();

    std::shared_ptr<ServerState> server_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    TimePoint timerExpiry_ = TimePoint::max(); // when the timer fires
    TimePoint readDeadline_ = TimePoint::max();
    TimePoint writeDeadline_ = TimePoint::max();
    TimePoint hardDeadline_ = TimePoint::max(); // set by stop()
    TimePoint idleDeadline_ = TimePoint::max(); // set by stop()
    boost::beast::flat_buffer buffer_;
    std::array<char, 4096> discardBuffer_{}; // read while lingering; buffer_ may still belong to a read under way
    std::optional<Parser> parser_;
    std::deque<std::shared_ptr<HttpExchange>> openExchanges_; // in the order of the requests
    bool requestPartlyRead_ = false; // bytes of the next request have been read
    bool reading_ = false;
    bool writing_ = false;
    bool noMoreRequests_ = false; // the client or the server wants the connection closed after the open answers
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace mimosapier::detail
