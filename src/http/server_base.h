// HTTP/1.1 server with persistent connections. Used by the front ends of the daemons and by the stand-ins.
// Several requests may be open on one connection (pipelining); responses are sent in the order of the requests. Runs on
// the given io_context, which any number of threads may run.
#pragma once

#include "core/common/time_type.h"
#include "http/http_type.h"
#include "http/message_limits_type.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace mimosapier
{

class ReadBudget;

namespace detail
{
class ServerState;
class HttpExchange;
} // namespace detail

struct HttpServerOptions : HttpMessageLimits
{
    // For a further connection, the one that has waited longest without a whole request is closed; if all have an open
    // request, the further one is closed.
    std::size_t maxConnections_ = 4096;
    std::size_t maxOpenPerConnection_ = 64; // requests without a response; reading pauses at this number
    Milliseconds idleTimeout_{60'000}; // without an open or partly read request
    // From the first byte of a request to the end of its header, and to the end of its body. The time for the body is
    // extended by the time in which the bytes received would arrive at the minimum rate.
    Milliseconds requestTimeout_{10'000};
    std::size_t minBytesPerSecond_ = 16 * 1024;
    Milliseconds writeTimeout_{10'000}; // for sending one response
    std::shared_ptr<ReadBudget> budget_; // null: no common limit on the connections' bytes
    std::shared_ptr<HttpRefusalCounters> refusals_; // null: not counted
};

// Sends the response to one request. Copies share the request; only the first call of operator() or drop() has an
// effect. May be called from any thread, also after the connection or the server has been destroyed. When all copies
// are destroyed without a call, the response is status 500.
class HttpResponder
{
public:
    explicit HttpResponder(std::shared_ptr<detail::HttpExchange> exchange);
    void operator()(HttpResponse response) const;

    // Closes the connection without a response to this request.
    void drop() const;

    // Registers a function that runs at most once, when the connection is lost before the response. It runs on the
    // server's threads, or in this call when the connection has already been destroyed.
    void onDisconnect(std::function<void()> callback) const;

private:
    struct Guard;
    std::shared_ptr<Guard> guard_;
};

// Called on the threads of the io_context; calls for one connection never overlap. Must not throw.
using HttpHandler = std::function<void(HttpRequest request, HttpResponder respond)>;

class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    // Closes all connections at once; call stop() before for a graceful end.
    ~HttpServer();

    // Starts to accept on "ip:port"; port 0 takes a free port. Errors: invalid_argument for a malformed address, or
    // that of the socket.
    std::error_code listen(std::string_view address);

    // "ip:port" that the server listens on; empty before listen().
    [[nodiscard]] std::string address() const;

    // From now on responses ask the client to close the connection; requests are still accepted. May be called from any
    // thread.
    void drain();

    // Graceful end: accepts no new connection, and closes each one after the responses to its open requests. A
    // connection without an open request stays open for `idleGrace`, because the client may just have sent a request.
    // Connections left after `limit` are closed. `onStopped` runs on the io_context when all are closed.
    void stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> onStopped);

    [[nodiscard]] std::size_t connectionCount() const; // open ones; may be called from any thread

private:
    std::shared_ptr<detail::ServerState> state_;
};

} // namespace mimosapier
