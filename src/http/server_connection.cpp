// One connection of the HTTP server: reads requests, sends responses in order and enforces the timeouts.
#include "http/server_internal.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace mimosapier::detail
{

namespace http = boost::beast::http;

constexpr Milliseconds LingerLimit{2'000}; // time for the client to read the last response and close

ServerConnection::ServerConnection(std::shared_ptr<ServerState> server, boost::asio::ip::tcp::socket socket)
    : server_(std::move(server))
    , socket_(std::move(socket))
    , timer_(socket_.get_executor())
{
}

ServerConnection::~ServerConnection()
{
    server_->remove(this);
}

void ServerConnection::start()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    updateReadDeadline();
    read();
}

// Sets the deadline for the next request, depending on what has been read.
void ServerConnection::updateReadDeadline()
{
    const TimePoint now = SystemClock().now();
    if (requestPartlyRead_) {
        readDeadline_ = now + server_->options_.requestTimeout_;
    } else if (openExchanges_.empty()) {
        readDeadline_ = now + server_->options_.idleTimeout_;
    } else {
        readDeadline_ = TimePoint::max();
    }
    armTimer();
}

TimePoint ServerConnection::deadline() const
{
    const bool isIdle = openExchanges_.empty() && !requestPartlyRead_ && !writing_ && !lingering_;
    TimePoint earliest = std::min({writeDeadline_, hardDeadline_, isIdle ? idleDeadline_ : TimePoint::max()});
    return std::min(earliest, readDeadline_);
}

// Sets the timer to the earliest deadline. When a deadline moves to a later time, the timer stays, and is set again
// when it expires; so most requests do not change the timer.
void ServerConnection::armTimer()
{
    const TimePoint nextDeadline = deadline();
    if (closed_ || nextDeadline >= timerExpiry_) {
        return;
    }
    timerExpiry_ = nextDeadline;
    timer_.expires_at(nextDeadline);
    timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->closed_) {
            return;
        }
        self->timerExpiry_ = TimePoint::max();
        const TimePoint now = SystemClock().now();
        if (self->deadline() > now) {
            self->armTimer();
        } else if (now >= self->idleDeadline_ && self->openExchanges_.empty() && !self->lingering_
                   && !self->requestPartlyRead_) {
            self->noMoreRequests_ = true;
            self->shutdownSend();
        } else {
            self->close();
        }
    });
}

void ServerConnection::read()
{
    if (reading_ || closed_ || noMoreRequests_ || openExchanges_.size() >= server_->options_.maxOpenPerConnection_) {
        return;
    }
    if (!parser_) {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(server_->options_.maxHeaderBytes_));
        parser_->body_limit(server_->options_.maxBodyBytes_);
        parser_->eager(true);
        requestPartlyRead_ = false;
    }
    reading_ = true;
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                              self->onRead(error, bytes);
                          });
}

void ServerConnection::onRead(boost::system::error_code error, std::size_t bytes)
{
    reading_ = false;
    if (closed_ || lingering_) {
        return;
    }
    if (error == http::error::body_limit) {
        reject(413, "body-too-large");
    } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        reject(431, "malformed-request");
    } else if (error && error.category() == http::make_error_code(http::error::bad_value).category()
               && error != http::error::end_of_stream && error != http::error::partial_message) {
        reject(400, "malformed-request");
    } else if (error) {
        close(); // the client has closed the connection, so it cannot receive the open responses
    } else if (parser_->is_done()) {
        dispatch();
    } else {
        if (bytes > 0 && !requestPartlyRead_) {
            requestPartlyRead_ = true;
            updateReadDeadline();
        }
        read();
    }
}

void ServerConnection::dispatch()
{
    auto message = parser_->release();
    parser_.reset();
    requestPartlyRead_ = false;
    HttpRequest request;
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    for (const auto &field : message) {
        request.headers_.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body_ = std::move(message.body());

    auto exchange = std::make_shared<HttpExchange>();
    exchange->connection_ = weak_from_this();
    exchange->keepAlive_ = message.keep_alive();
    noMoreRequests_ = noMoreRequests_ || !exchange->keepAlive_;
    openExchanges_.push_back(exchange);
    updateReadDeadline();
    server_->handler_(std::move(request), HttpResponder(exchange));
    read();
}

// Responds to a request that cannot be parsed. Closes the connection, as the start of the next request is unknown.
void ServerConnection::reject(unsigned status, const char *reason)
{
    auto exchange = std::make_shared<HttpExchange>();
    exchange->connection_ = weak_from_this();
    exchange->keepAlive_ = false;
    exchange->responded_ = true;
    noMoreRequests_ = true;
    requestPartlyRead_ = false;
    openExchanges_.push_back(exchange);
    updateReadDeadline();
    respond(exchange, {status, std::string(R"({"outcome":"not-run","error":")") + reason + "\"}", "application/json"});
}

void ServerConnection::respond(const std::shared_ptr<HttpExchange> &exchange, HttpResponse response)
{
    if (closed_) {
        return;
    }
    exchange->onDisconnect_ = nullptr;
    exchange->response_ = std::move(response);
    write();
}

void ServerConnection::setOnDisconnect(const std::shared_ptr<HttpExchange> &exchange, std::function<void()> callback)
{
    if (closed_) {
        callback();
    } else if (!exchange->response_) {
        exchange->onDisconnect_ = std::move(callback);
    }
}

// Sends the response to the oldest open request, if it is available.
void ServerConnection::write()
{
    if (writing_ || closed_ || openExchanges_.empty() || !openExchanges_.front()->response_) {
        return;
    }
    writing_ = true;
    const auto exchange = openExchanges_.front();
    auto &response = *exchange->response_;
    using Message = http::response<http::string_body>;
    auto message = std::make_shared<Message>(static_cast<http::status>(response.status_), 11);
    message->set(http::field::content_type, response.contentType_);
    if (!response.entityTag_.empty()) {
        message->set(http::field::etag, response.entityTag_);
    }
    for (const HttpHeader &header : response.headers_) {
        message->set(header.name_, header.value_);
    }
    message->body() = std::move(response.body_);
    if (server_->draining_) {
        exchange->keepAlive_ = false;
        // Requests that the client has pipelined after this one get their responses before the connection is closed.
        message->keep_alive(openExchanges_.size() > 1 || requestPartlyRead_);
    } else {
        message->keep_alive(exchange->keepAlive_);
    }
    const bool isLastResponse = !message->keep_alive();
    message->prepare_payload();
    writeDeadline_ = SystemClock().now() + server_->options_.writeTimeout_;
    armTimer();
    http::async_write(
        socket_, *message,
        [self = shared_from_this(), message, isLastResponse](boost::system::error_code error, std::size_t) {
            self->writing_ = false;
            self->writeDeadline_ = TimePoint::max();
            if (self->closed_) {
                return;
            }
            if (error) {
                self->close();
                return;
            }
            self->openExchanges_.pop_front();
            if (isLastResponse) {
                self->noMoreRequests_ = true;
                self->shutdownSend();
                return;
            }
            self->updateReadDeadline();
            self->read();
            self->write();
        });
}

// Shuts down the sending side after the last response, and waits for the client to close.
void ServerConnection::shutdownSend()
{
    if (closed_ || lingering_ || writing_) {
        return;
    }
    lingering_ = true;
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    socket_.cancel(ignored);
    readDeadline_ = SystemClock().now() + LingerLimit;
    armTimer();
    discardInput();
}

// Reads and discards further input. Closing a socket with unread input resets the connection, and the reset can make
// the client lose the last response.
void ServerConnection::discardInput()
{
    socket_.async_read_some(boost::asio::buffer(discardBuffer_),
                            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                                if (self->closed_) {
                                    return;
                                }
                                if (error && error != boost::asio::error::operation_aborted) {
                                    self->close();
                                    return;
                                }
                                self->discardInput();
                            });
}

void ServerConnection::stop(TimePoint idleDeadline, TimePoint hardDeadline)
{
    idleDeadline_ = idleDeadline;
    hardDeadline_ = hardDeadline;
    armTimer();
}

void ServerConnection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    std::deque<std::shared_ptr<HttpExchange>> open;
    open.swap(openExchanges_);
    for (const auto &exchange : open) {
        if (exchange->onDisconnect_ && !exchange->response_) {
            const auto callback = std::move(exchange->onDisconnect_);
            exchange->onDisconnect_ = nullptr;
            callback();
        }
    }
}

} // namespace mimosapier::detail
