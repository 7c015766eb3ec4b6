// HTTP/1.1 client on a given io_context with a pool of kept-alive connections per address.
#pragma once

#include "core/common/time_type.h"
#include "http/http_type.h"

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

namespace detail
{
class ClientState;
} // namespace detail

struct HttpClientOptions
{
    Milliseconds connectTimeout_{1'000};
    Milliseconds idleTimeout_{30'000}; // a connection unused for longer is closed; less than the server's
    std::size_t maxConnections_ = 16; // per address
    std::size_t maxWaiting_ = 1'000; // calls per address that wait for a connection; further ones fail at once
    std::size_t maxBodyBytes_ = 8 * 1024 * 1024; // of an answer
};

enum class HttpDelivery : std::uint8_t {
    Answered, // status_ and body_ are valid
    NotSent, // the server certainly did not get the request
    MaybeSent, // the request may have been carried out
};

struct HttpResult
{
    HttpDelivery delivery_ = HttpDelivery::NotSent;
    unsigned status_ = 0;
    std::string body_;
    std::error_code error_; // std::errc::timed_out after a timeout; none when answered
    std::string entityTag_{}; // of the answer; empty when it has none
};

using HttpCallback = std::function<void(HttpResult result)>;

class HttpClient
{
public:
    HttpClient(boost::asio::io_context &context, HttpClientOptions options);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    // Ends all calls as close() does.
    ~HttpClient();

    // Sends a request to "ip:port". The callback runs exactly once on the io_context, at the latest after `timeout`,
    // which includes waiting for a connection. May be called from any thread. A connection whose call failed or
    // timed out is closed; the next call opens another.
    void send(std::string address, HttpRequest request, Milliseconds timeout, HttpCallback callback);

    // Closes all connections; open calls end with the error std::errc::operation_canceled.
    void close();

private:
    std::shared_ptr<detail::ClientState> state_;
};

} // namespace mimosapier
