// HTTP/1.1 server on a given io_context. Connections are kept alive, several requests may be open on one connection,
// and answers go out in the order of the requests. The io_context may be run by any number of threads.
#pragma once

#include "core/common/time_type.h"
#include "http/http_type.h"

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

namespace detail
{
class ServerState;
class HttpExchange;
} // namespace detail

struct HttpServerOptions
{
    std::size_t maxHeaderBytes_ = 16 * 1024;
    std::size_t maxBodyBytes_ = 1024 * 1024;
    std::size_t maxConnections_ = 4096; // further ones are closed at once
    std::size_t maxOpenPerConnection_ = 64; // unanswered requests; reading pauses at this number
    Milliseconds idleTimeout_{60'000}; // without any open or partly read request
    Milliseconds requestTimeout_{10'000}; // from the first byte of a request to its last
    Milliseconds writeTimeout_{10'000}; // for sending one answer
};

// Answers one request. Copies answer the same request; only the first call has an effect. May be called from any
// thread, also after the connection or the server is gone. A request whose responders are all destroyed without a
// call is answered with status 500.
class HttpResponder
{
public:
    explicit HttpResponder(std::shared_ptr<detail::HttpExchange> exchange);
    void operator()(HttpResponse response) const;

    // Closes the connection without an answer to this request.
    void drop() const;

    // Registers a function that runs once, on the server's threads, when the connection is lost before the answer.
    void onDisconnect(std::function<void()> callback) const;

private:
    struct Guard;
    std::shared_ptr<Guard> guard_;
};

// Called on the threads of the io_context; calls of one connection never overlap. Must not throw.
using HttpHandler = std::function<void(HttpRequest request, HttpResponder respond)>;

class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    // Closes everything at once; stop() beforehand for a graceful end.
    ~HttpServer();

    // Starts to accept on "ip:port"; port 0 takes a free port. Returns the error of the socket calls.
    std::error_code listen(std::string_view address);

    // "ip:port" that the server listens on.
    [[nodiscard]] std::string address() const;

    // From now on each answer asks the client to close the connection; requests are still accepted.
    void drain();

    // Graceful end: accepts no connection, answers the open requests, closes each connection after its answers.
    // A connection without an open request stays until `idleGrace` has passed, because a request may be under way
    // on it. Connections left after `limit` are closed. `onStopped` runs on the io_context when all are closed.
    void stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> onStopped);

    [[nodiscard]] std::size_t connectionCount() const;

private:
    std::shared_ptr<detail::ServerState> state_;
};

} // namespace mimosapier
