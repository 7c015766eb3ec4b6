// One connection of the HTTP server, and the state that all connections share. Internal to server.cpp and
// server_connection.cpp.
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

// A request that waits for its response. Everything but connection_ and responded_ belongs to the connection's strand.
class HttpExchange
{
public:
    std::weak_ptr<ServerConnection> connection_;
    std::atomic<bool> responded_{false}; // a responder was called; the response may not be sent yet
    std::optional<HttpResponse> response_;
    bool keepAlive_ = true; // the connection stays open after the response
    std::function<void()> onDisconnect_; // called when the connection is lost before the response
};

// Listener and set of connections. listen() is called once, before the others; accept() runs on strand_; the other
// functions may be called from any thread.
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
    boost::asio::strand<boost::asio::io_context::executor_type> strand_; // of acceptor_ and acceptRetryTimer_
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptRetryTimer_; // delays the next accept after an error
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

// One connection. All members are used on the strand of the socket only; executor() may be called from any thread.
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
    TimePoint timerExpiry_ = TimePoint::max(); // when timer_ expires; max(): timer not set
    TimePoint readDeadline_ = TimePoint::max();
    TimePoint writeDeadline_ = TimePoint::max();
    TimePoint hardDeadline_ = TimePoint::max(); // set by stop(); the connection is closed
    TimePoint idleDeadline_ = TimePoint::max(); // set by stop(); the connection is closed if it is idle
    boost::beast::flat_buffer buffer_;
    std::array<char, 4096> discardBuffer_{}; // input while lingering; buffer_ may still be in use by a pending read
    std::optional<Parser> parser_;
    std::deque<std::shared_ptr<HttpExchange>> openExchanges_; // in the order of the requests
    bool requestPartlyRead_ = false; // bytes of the next request have been read
    bool reading_ = false;
    bool writing_ = false;
    bool noMoreRequests_ = false; // the connection is closed after the responses to the open requests
    bool lingering_ = false; // sending side shut down; input is discarded until the client closes
    bool closed_ = false;
};

} // namespace mimosapier::detail
