// One connection of the HTTP server: reads requests, sends responses in order and enforces the timeouts.
#include "http/server_internal.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace mimosapier::detail
{

namespace http = boost::beast::http;

constexpr Milliseconds LingerLimit{2'000}; // time for the client to read the last response and close

static unsigned refusalStatus(HttpRefusal refusal)
{
    switch (refusal) {
    case HttpRefusal::StartLine:
    case HttpRefusal::HeaderBytes:
    case HttpRefusal::Fields:
    case HttpRefusal::TrailerBytes:
        return 431;
    case HttpRefusal::ChunkLine:
    case HttpRefusal::ChunkOverhead:
    case HttpRefusal::BodyBytes:
        return 413;
    case HttpRefusal::HeaderTimeout:
    case HttpRefusal::BodyTimeout:
        return 408;
    case HttpRefusal::Budget:
        return 503;
    default:
        return 400;
    }
}

static const char *refusalError(unsigned status)
{
    switch (status) {
    case 413:
        return "body-too-large";
    case 408:
        return "request-timeout";
    case 503:
        return "overloaded";
    default:
        return "malformed-request";
    }
}

ServerConnection::ServerConnection(std::shared_ptr<ServerState> server, boost::asio::ip::tcp::socket socket)
    : server_(std::move(server))
    , socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , waitingSince_(SystemClock().now())
{
}

ServerConnection::~ServerConnection()
{
    if (account_ && server_->options_.budget_) {
        server_->options_.budget_->remove(*account_);
    }
    server_->remove(this);
}

void ServerConnection::start()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored); // reads take what is there, see onReadable()
    // Only the strand locks the pointer, as the last reference must not be released in the budget.
    account_.emplace([weak = weak_from_this(), executor = executor()] {
        boost::asio::post(executor, [weak] {
            if (const auto self = weak.lock()) {
                self->evict();
            }
        });
    });
    updateReadDeadline();
    read();
}

// Sets the deadline for the next request, depending on what has been read.
void ServerConnection::updateReadDeadline()
{
    const TimePoint now = SystemClock().now();
    const HttpServerOptions &options = server_->options_;
    if (reader_) {
        readDeadline_ = requestStartedAt_ + options.requestTimeout_;
        if (reader_->isHeaderDone()) {
            constexpr std::size_t MsPerSecond = 1'000;
            const std::size_t rate = std::max<std::size_t>(options.minBytesPerSecond_, 1);
            readDeadline_ += Milliseconds(requestBytes_ * MsPerSecond / rate);
        }
    } else if (openExchanges_.empty()) {
        readDeadline_ = now + options.idleTimeout_;
    } else {
        readDeadline_ = TimePoint::max();
    }
    armTimer();
}

TimePoint ServerConnection::deadline() const
{
    const bool isIdle = openExchanges_.empty() && !reader_ && !writing_ && !lingering_;
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
        } else if (now >= self->idleDeadline_ && self->openExchanges_.empty() && !self->lingering_ && !self->reader_) {
            self->noMoreRequests_ = true;
            self->shutdownSend();
        } else if (now >= self->writeDeadline_) {
            self->server_->countRefusal(HttpRefusal::WriteTimeout);
            self->close();
        } else if (self->reader_ && !self->lingering_ && now < self->hardDeadline_) {
            self->reject(self->reader_->isHeaderDone() ? HttpRefusal::BodyTimeout : HttpRefusal::HeaderTimeout);
        } else {
            self->close();
        }
    });
}

bool ServerConnection::mayRead() const
{
    return !closed_ && !lingering_ && !noMoreRequests_
        && openExchanges_.size() < server_->options_.maxOpenPerConnection_;
}

void ServerConnection::read()
{
    if (reading_) {
        return;
    }
    while (mayRead() && !unreadInput_.empty()) {
        const std::string input = std::exchange(unreadInput_, {});
        processInput(input);
    }
    if (!mayRead()) {
        return;
    }
    reading_ = true;
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](boost::system::error_code error) { self->onReadable(error); });
}

void ServerConnection::onReadable(boost::system::error_code error)
{
    reading_ = false;
    if (closed_ || lingering_) {
        return;
    }
    auto &buffer = inputBuffer();
    std::size_t bytes = 0;
    if (!error) {
        bytes = socket_.read_some(boost::asio::buffer(buffer), error);
    }
    if (error && error != boost::asio::error::would_block) {
        close(); // the client has closed the connection, so it cannot receive the open responses
        return;
    }
    processInput({buffer.data(), bytes});
    read();
}

// Reads requests from `input` while more are accepted, and keeps the rest.
void ServerConnection::processInput(std::string_view input)
{
    while (!input.empty() && mayRead()) {
        if (!reader_) {
            reader_.emplace(server_->options_);
            requestStartedAt_ = SystemClock().now();
            requestBytes_ = 0;
        }
        const std::size_t taken = reader_->feed(input);
        input.remove_prefix(taken);
        requestBytes_ += taken;
        if (reader_->refusal() != HttpRefusal::Count) {
            reject(reader_->refusal());
        } else if (reader_->isDone()) {
            dispatch();
        }
    }
    if (!noMoreRequests_) {
        unreadInput_ = input;
    }
    updateBudget();
    if (reader_) {
        updateReadDeadline();
    }
}

void ServerConnection::updateBudget()
{
    const auto &budget = server_->options_.budget_;
    if (budget && account_ && !closed_) {
        const std::size_t unfinished = (reader_ ? reader_->heldBytes() : 0) + unreadInput_.size();
        budget->update(*account_, unfinished, openBytes_);
    }
}

// Refuses the unfinished request, or closes the connection if its open requests hold the most bytes.
void ServerConnection::evict()
{
    if (closed_) {
        return;
    }
    if (reader_) {
        reject(HttpRefusal::Budget);
    } else if (openBytes_ > 0 || !unreadInput_.empty()) {
        server_->countRefusal(HttpRefusal::Budget);
        close();
    }
}

void ServerConnection::replace()
{
    if (closed_) {
        return;
    }
    if (!openExchanges_.empty()) {
        server_->keepReplaced(*this);
        return;
    }
    server_->countRefusal(HttpRefusal::Connections);
    close();
}

void ServerConnection::dispatch()
{
    const std::size_t heldBytes = reader_->heldBytes();
    const auto &budget = server_->options_.budget_;
    if (budget && !budget->hasRoomForOpen(heldBytes)) {
        reject(HttpRefusal::Budget);
        return;
    }
    HttpRequest request = std::move(reader_->message());
    auto exchange = std::make_shared<HttpExchange>();
    exchange->connection_ = weak_from_this();
    exchange->keepAlive_ = reader_->keepAlive();
    exchange->heldBytes_ = heldBytes;
    reader_.reset();
    openBytes_ += heldBytes;
    waitingSince_ = TimePoint::max();
    noMoreRequests_ = noMoreRequests_ || !exchange->keepAlive_;
    openExchanges_.push_back(exchange);
    updateBudget();
    updateReadDeadline();
    server_->handler_(std::move(request), HttpResponder(exchange));
}

// Responds to a request that is refused before it is whole, and frees what was read of it. Closes the connection, as
// the start of the next request is unknown.
void ServerConnection::reject(HttpRefusal refusal)
{
    server_->countRefusal(refusal);
    const unsigned status = refusalStatus(refusal);
    auto exchange = std::make_shared<HttpExchange>();
    exchange->connection_ = weak_from_this();
    exchange->keepAlive_ = false;
    exchange->responded_ = true;
    noMoreRequests_ = true;
    reader_.reset();
    unreadInput_ = {};
    openExchanges_.push_back(exchange);
    updateBudget();
    updateReadDeadline();
    HttpResponse response{status, std::string(R"({"outcome":"not-run","error":")") + refusalError(status) + "\"}",
                          "application/json"};
    if (refusal == HttpRefusal::Budget) {
        response.headers_.push_back({"Retry-After", "1"});
    }
    respond(exchange, std::move(response));
}

void ServerConnection::respond(const std::shared_ptr<HttpExchange> &exchange, HttpResponse response)
{
    if (closed_) {
        return;
    }
    exchange->onDisconnect_ = nullptr;
    openBytes_ = openBytes_ - exchange->heldBytes_ + response.body_.size();
    exchange->heldBytes_ = response.body_.size();
    exchange->response_ = std::move(response);
    updateBudget();
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
        message->keep_alive(openExchanges_.size() > 1 || reader_);
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
            self->openBytes_ -= self->openExchanges_.front()->heldBytes_;
            self->openExchanges_.pop_front();
            self->updateBudget();
            if (self->openExchanges_.empty()) {
                self->waitingSince_ = SystemClock().now();
            }
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
    socket_.async_wait(
        boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
            if (self->closed_) {
                return;
            }
            if (!error) {
                self->socket_.read_some(boost::asio::buffer(inputBuffer()), error);
            }
            if (error && error != boost::asio::error::operation_aborted && error != boost::asio::error::would_block) {
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
    reader_.reset();
    unreadInput_ = {};
    if (account_ && server_->options_.budget_) {
        server_->options_.budget_->remove(*account_);
    }
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
