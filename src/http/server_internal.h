// One connection of the HTTP server, and the state that all connections share. Internal to server.cpp and
// server_connection.cpp.
#pragma once

#include "http/message_reader_internal.h"
#include "http/read_budget_base.h"
#include "http/server_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

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
    std::size_t heldBytes_ = 0; // of the request, then of its response; counted in the budget
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
    void remove(ServerConnection *connection);
    void keepReplaced(ServerConnection &connection);
    void countRefusal(HttpRefusal refusal) const;

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
    std::unordered_map<ServerConnection *, std::weak_ptr<ServerConnection>> connections_;
    std::size_t replacedCount_ = 0; // of connections_, those that are being closed to make room
    std::function<void()> onStopped_;

private:
    void notifyIfStopped(std::unique_lock<std::mutex> lock);
    std::vector<std::shared_ptr<ServerConnection>> openConnections();
    bool makeRoom(std::vector<std::shared_ptr<ServerConnection>> &replaced);
};

// One connection. All members are used on the strand of the socket only; executor() and waitingSince() may be called
// from any thread.
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
    // Since when the connection has had no whole request; TimePoint::max() while it has one.
    [[nodiscard]] TimePoint waitingSince() const { return waitingSince_; }
    // Closes the connection to make room for another one, unless a request has become whole meanwhile.
    void replace();
    bool replaced_ = false; // to be closed by replace(); guarded by the server's mutex
    [[nodiscard]] boost::asio::any_io_executor executor() { return socket_.get_executor(); }

private:
    void read();
    void onReadable(boost::system::error_code error);
    void processInput(std::string_view input);
    [[nodiscard]] bool mayRead() const;
    void dispatch();
    void reject(HttpRefusal refusal);
    void evict();
    void updateBudget();
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
    std::string unreadInput_; // received while reading was paused; at most one piece
    std::optional<RequestReader> reader_; // of the next request, once bytes of it have been read
    TimePoint requestStartedAt_; // first byte of the request in reader_
    std::size_t requestBytes_ = 0; // received of that request
    std::deque<std::shared_ptr<HttpExchange>> openExchanges_; // in the order of the requests
    std::size_t openBytes_ = 0; // sum of their heldBytes_
    std::optional<ReadBudget::Account> account_; // set by start()
    std::atomic<TimePoint> waitingSince_;
    bool reading_ = false;
    bool writing_ = false;
    bool noMoreRequests_ = false; // the connection is closed after the responses to the open requests
    bool lingering_ = false; // sending side shut down; input is discarded until the client closes
    bool closed_ = false;
};

} // namespace mimosapier::detail
