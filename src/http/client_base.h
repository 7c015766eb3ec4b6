// HTTP/1.1 client with a pool of persistent connections per address. Used by daemons and stand-ins to call the store,
// the workers and the platform, and by mimosapierctl. Runs on the threads of the given io_context; the client does not
// retry.
#pragma once

#include "core/common/time_type.h"
#include "http/http_type.h"
#include "http/message_limits_type.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
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
class ClientState;
} // namespace detail

struct HttpClientOptions
{
    Milliseconds connectTimeout_{1'000};
    Milliseconds idleTimeout_{30'000}; // of unused connections; shorter than the server's: the client closes first
    std::size_t maxConnections_ = 16; // per address
    std::size_t maxWaiting_ = 1'000; // calls per address that wait for a connection; more fail at once
    HttpMessageLimits response_{.maxBodyBytes_ = 8 * 1024 * 1024};
    std::shared_ptr<ReadBudget> budget_{}; // of unfinished responses; null: no common limit
};

enum class HttpDelivery : std::uint8_t {
    Answered, // status_ and body_ are valid
    NotSent, // the server has not received the request; sending it again is safe
    MaybeSent, // the server may have received the request and acted on it
};

struct HttpResult
{
    HttpDelivery delivery_ = HttpDelivery::NotSent;
    unsigned status_ = 0;
    std::string body_;
    std::error_code error_; // std::errc::timed_out after a timeout; no error when Answered
    std::string entityTag_{}; // ETag of the response; empty when it has none
};

using HttpCallback = std::function<void(HttpResult result)>;

class HttpClient
{
public:
    HttpClient(boost::asio::io_context &context, HttpClientOptions options);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    // Calls close().
    ~HttpClient();

    // Sends a request to "ip:port". May be called from any thread. The callback runs exactly once, on the io_context.
    // `timeout` covers the whole call, including the wait for a connection. The errors without a socket error are
    // timed_out, operation_canceled after close(), no_buffer_space when maxWaiting_ calls wait or the budget is
    // exceeded, message_size for a response over its limits, and invalid_argument for a malformed address. A connection
    // whose call failed is closed.
    void send(std::string address, HttpRequest request, Milliseconds timeout, HttpCallback callback);

    // Closes all connections; calls that have not finished fail with std::errc::operation_canceled. May be called from
    // any thread.
    void close();

private:
    std::shared_ptr<detail::ClientState> state_;
};

} // namespace mimosapier
