// HTTP client, see client_base.h. A call waits for a connection to its address, has it to itself, and returns it to the
// pool when the connection can be reused.
#include "http/client_base.h"

#include "http/message_reader_internal.h"
#include "http/read_budget_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mimosapier
{

namespace detail
{

namespace http = boost::beast::http;
using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

struct Connection
{
    explicit Connection(const Strand &strand)
        : socket_(strand)
    {
    }

    boost::asio::ip::tcp::socket socket_;
    std::optional<ResponseReader> reader_; // of the response to the current call
    TimePoint idleSince_; // valid while the connection is in the pool
    // Incremented when the connection leaves the pool, so that a late wait result of an earlier idle period is ignored.
    std::uint64_t useCount_ = 0;
};

enum class CallStage : std::uint8_t { Waiting, Connecting, Sent, Finished };

struct Call
{
    Call(const Strand &strand, std::string address, http::request<http::string_body> message, TimePoint deadline,
         HttpCallback callback)
        : address_(std::move(address))
        , message_(std::move(message))
        , deadline_(deadline)
        , callback_(std::move(callback))
        , timer_(strand)
    {
    }

    std::string address_;
    http::request<http::string_body> message_;
    TimePoint deadline_;
    HttpCallback callback_;
    boost::asio::steady_timer timer_;
    CallStage stage_ = CallStage::Waiting;
    std::shared_ptr<Connection> connection_;
    std::optional<ReadBudget::Account> account_; // set while a response is read
};

struct Pool
{
    std::vector<std::shared_ptr<Connection>> idle_;
    std::deque<std::shared_ptr<Call>> waiting_;
    std::vector<std::shared_ptr<Call>> active_; // connecting or sent; each has its own connection
};

// State of the client. Only strand_ may be used outside the strand.
class ClientState : public std::enable_shared_from_this<ClientState>
{
public:
    ClientState(boost::asio::io_context &context, HttpClientOptions options)
        : options_(std::move(options))
        , strand_(boost::asio::make_strand(context))
        , sweepTimer_(strand_)
    {
    }

    void addCall(const std::shared_ptr<Call> &call);
    void closeAll();

    const HttpClientOptions options_;
    Strand strand_;

private:
    void startWaitingCalls(const std::string &address);
    void connect(const std::shared_ptr<Call> &call);
    void sendRequest(const std::shared_ptr<Call> &call);
    void readResponse(const std::shared_ptr<Call> &call);
    void waitForResponse(const std::shared_ptr<Call> &call);
    void onReadable(const std::shared_ptr<Call> &call, boost::system::error_code error);
    void finishResponse(const std::shared_ptr<Call> &call, bool canReuse);
    void armTimer(const std::shared_ptr<Call> &call, TimePoint expiry);
    void returnToPool(const std::string &address, const std::shared_ptr<Connection> &connection);
    void fail(const std::shared_ptr<Call> &call, HttpDelivery delivery, std::error_code error);
    void finish(const std::shared_ptr<Call> &call, HttpResult result);
    void scheduleSweep();

    std::unordered_map<std::string, Pool> pools_;
    boost::asio::steady_timer sweepTimer_; // for closing connections after idleTimeout_
    bool sweepScheduled_ = false;
    bool closed_ = false;
};

void ClientState::addCall(const std::shared_ptr<Call> &call)
{
    if (closed_) {
        fail(call, HttpDelivery::NotSent, std::make_error_code(std::errc::operation_canceled));
        return;
    }
    Pool &pool = pools_[call->address_];
    if (pool.waiting_.size() >= options_.maxWaiting_) {
        fail(call, HttpDelivery::NotSent, std::make_error_code(std::errc::no_buffer_space));
        return;
    }
    pool.waiting_.push_back(call);
    armTimer(call, call->deadline_);
    startWaitingCalls(call->address_);
}

// Starts waiting calls while connections are idle or may be opened.
void ClientState::startWaitingCalls(const std::string &address)
{
    for (;;) {
        const auto found = pools_.find(address);
        if (closed_ || found == pools_.end() || found->second.waiting_.empty()) {
            return;
        }
        Pool &pool = found->second;
        const bool canReuse = !pool.idle_.empty();
        if (!canReuse && pool.active_.size() >= options_.maxConnections_) {
            return;
        }
        const auto call = pool.waiting_.front();
        pool.waiting_.pop_front();
        pool.active_.push_back(call);
        if (canReuse) {
            call->connection_ = pool.idle_.back();
            pool.idle_.pop_back();
            ++call->connection_->useCount_;
            boost::system::error_code ignored;
            call->connection_->socket_.cancel(ignored);
            sendRequest(call);
        } else {
            connect(call);
        }
    }
}

void ClientState::armTimer(const std::shared_ptr<Call> &call, TimePoint expiry)
{
    call->timer_.expires_at(expiry);
    call->timer_.async_wait([self = shared_from_this(), call](boost::system::error_code error) {
        if (!error && call->stage_ != CallStage::Finished && SystemClock().now() >= call->timer_.expiry()) {
            self->fail(call, call->stage_ == CallStage::Sent ? HttpDelivery::MaybeSent : HttpDelivery::NotSent,
                       std::make_error_code(std::errc::timed_out));
        }
    });
}

void ClientState::connect(const std::shared_ptr<Call> &call)
{
    HttpAddress parts;
    boost::system::error_code error;
    boost::asio::ip::address ip;
    if (parseAddress(call->address_, parts)) {
        ip = boost::asio::ip::make_address(parts.ip_, error);
    } else {
        error = boost::asio::error::invalid_argument;
    }
    call->stage_ = CallStage::Connecting;
    if (error) {
        fail(call, HttpDelivery::NotSent, std::make_error_code(std::errc::invalid_argument));
        return;
    }
    call->connection_ = std::make_shared<Connection>(strand_);
    armTimer(call, std::min(call->deadline_, SystemClock().now() + options_.connectTimeout_));
    call->connection_->socket_.async_connect(
        {ip, parts.port_},
        [self = shared_from_this(), call, connection = call->connection_](boost::system::error_code failure) {
            if (call->stage_ == CallStage::Finished) {
                return;
            }
            if (failure) {
                self->fail(call, HttpDelivery::NotSent, failure);
                return;
            }
            boost::system::error_code ignored;
            call->connection_->socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            call->connection_->socket_.non_blocking(true, ignored); // reads take what is there, see onReadable()
            self->armTimer(call, call->deadline_);
            self->sendRequest(call);
        });
}

void ClientState::sendRequest(const std::shared_ptr<Call> &call)
{
    call->stage_ = CallStage::Sent;
    // The handlers own the connection: after a timeout the operation may still complete and use its buffers.
    http::async_write(call->connection_->socket_, call->message_,
                      [self = shared_from_this(), call, connection = call->connection_](boost::system::error_code error,
                                                                                        std::size_t bytes) {
                          if (call->stage_ == CallStage::Finished) {
                              return;
                          }
                          if (error && bytes == 0) {
                              self->fail(call, HttpDelivery::NotSent, error);
                          } else {
                              // After an error too: the server may have responded and closed before it read the whole
                              // request.
                              self->readResponse(call);
                          }
                      });
}

void ClientState::readResponse(const std::shared_ptr<Call> &call)
{
    call->connection_->reader_.emplace(options_.response_);
    call->account_.emplace([strand = strand_, weakSelf = weak_from_this(), weakCall = std::weak_ptr(call)] {
        boost::asio::post(strand, [weakSelf, weakCall] {
            const auto self = weakSelf.lock();
            const auto evicted = weakCall.lock();
            if (self && evicted && evicted->stage_ != CallStage::Finished) {
                self->fail(evicted, HttpDelivery::MaybeSent, std::make_error_code(std::errc::no_buffer_space));
            }
        });
    });
    waitForResponse(call);
}

void ClientState::waitForResponse(const std::shared_ptr<Call> &call)
{
    call->connection_->socket_.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), call](boost::system::error_code error) { self->onReadable(call, error); });
}

void ClientState::onReadable(const std::shared_ptr<Call> &call, boost::system::error_code error)
{
    if (call->stage_ == CallStage::Finished) {
        return;
    }
    ResponseReader &reader = *call->connection_->reader_;
    auto &buffer = inputBuffer();
    std::size_t bytes = 0;
    if (!error) {
        bytes = call->connection_->socket_.read_some(boost::asio::buffer(buffer), error);
    }
    if (error == boost::asio::error::eof && reader.finishAtEnd()) {
        finishResponse(call, false);
        return;
    }
    if (error && error != boost::asio::error::would_block) {
        fail(call, HttpDelivery::MaybeSent, error);
        return;
    }
    const std::size_t taken = reader.feed({buffer.data(), bytes});
    if (reader.refusal() != HttpRefusal::Count) {
        fail(call, HttpDelivery::MaybeSent, std::make_error_code(std::errc::message_size));
    } else if (reader.isDone()) {
        finishResponse(call, taken == bytes && reader.keepAlive());
    } else {
        if (options_.budget_) {
            options_.budget_->update(*call->account_, reader.heldBytes(), 0);
        }
        waitForResponse(call);
    }
}

void ClientState::finishResponse(const std::shared_ptr<Call> &call, bool canReuse)
{
    const auto connection = call->connection_;
    const unsigned status = connection->reader_->status();
    HttpRequest message = std::move(connection->reader_->message());
    connection->reader_.reset();
    std::string entityTag(headerValue(message, "ETag"));
    if (canReuse) {
        returnToPool(call->address_, connection);
        call->connection_.reset();
    }
    finish(call, {HttpDelivery::Answered, status, std::move(message.body_), {}, std::move(entityTag)});
}

// Puts a connection into the pool, and removes it from there when the server closes it.
void ClientState::returnToPool(const std::string &address, const std::shared_ptr<Connection> &connection)
{
    connection->idleSince_ = SystemClock().now();
    pools_[address].idle_.push_back(connection);
    connection->socket_.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), address, connection, useCount = connection->useCount_](boost::system::error_code) {
            if (connection->useCount_ == useCount) {
                std::erase(self->pools_[address].idle_, connection);
                boost::system::error_code ignored;
                connection->socket_.close(ignored);
            }
        });
    if (!sweepScheduled_) {
        scheduleSweep();
    }
}

void ClientState::scheduleSweep()
{
    sweepScheduled_ = true;
    sweepTimer_.expires_after(options_.idleTimeout_ / 2);
    sweepTimer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->closed_) {
            return;
        }
        const TimePoint oldestAllowed = SystemClock().now() - self->options_.idleTimeout_;
        bool idleLeft = false;
        for (auto &[address, pool] : self->pools_) {
            std::erase_if(pool.idle_, [oldestAllowed](const auto &connection) {
                if (connection->idleSince_ >= oldestAllowed) {
                    return false;
                }
                boost::system::error_code ignored;
                ++connection->useCount_;
                connection->socket_.close(ignored);
                return true;
            });
            idleLeft = idleLeft || !pool.idle_.empty();
        }
        std::erase_if(self->pools_, [](const auto &item) {
            return item.second.idle_.empty() && item.second.waiting_.empty() && item.second.active_.empty();
        });
        self->sweepScheduled_ = false;
        if (idleLeft) {
            self->scheduleSweep();
        }
    });
}

void ClientState::fail(const std::shared_ptr<Call> &call, HttpDelivery delivery, std::error_code error)
{
    finish(call, {delivery, 0, {}, error, {}});
}

void ClientState::finish(const std::shared_ptr<Call> &call, HttpResult result)
{
    call->stage_ = CallStage::Finished;
    call->timer_.cancel();
    if (call->account_ && options_.budget_) {
        options_.budget_->remove(*call->account_);
    }
    if (call->connection_) {
        boost::system::error_code ignored;
        call->connection_->socket_.close(ignored);
        call->connection_.reset();
    }
    const auto pool = pools_.find(call->address_);
    if (pool != pools_.end()) {
        std::erase(pool->second.active_, call);
        std::erase(pool->second.waiting_, call);
    }
    boost::asio::post(strand_,
                      [self = shared_from_this(), address = call->address_, callback = std::move(call->callback_),
                       result = std::move(result)]() mutable {
                          self->startWaitingCalls(address);
                          callback(std::move(result));
                      });
}

void ClientState::closeAll()
{
    closed_ = true;
    sweepTimer_.cancel();
    std::vector<std::shared_ptr<Call>> calls;
    for (auto &[address, pool] : pools_) {
        calls.insert(calls.end(), pool.waiting_.begin(), pool.waiting_.end());
        calls.insert(calls.end(), pool.active_.begin(), pool.active_.end());
        for (auto &connection : pool.idle_) {
            boost::system::error_code ignored;
            ++connection->useCount_;
            connection->socket_.close(ignored);
        }
        pool.idle_.clear();
    }
    for (const auto &call : calls) {
        fail(call, call->stage_ == CallStage::Sent ? HttpDelivery::MaybeSent : HttpDelivery::NotSent,
             std::make_error_code(std::errc::operation_canceled));
    }
}

} // namespace detail

HttpClient::HttpClient(boost::asio::io_context &context, HttpClientOptions options)
    : state_(std::make_shared<detail::ClientState>(context, std::move(options)))
{
}

HttpClient::~HttpClient()
{
    close();
}

void HttpClient::send(std::string address, HttpRequest request, Milliseconds timeout, HttpCallback callback)
{
    namespace http = boost::beast::http;
    http::request<http::string_body> message(http::string_to_verb(request.method_), request.target_, 11);
    if (message.method() == http::verb::unknown) {
        message.method_string(request.method_);
    }
    message.set(http::field::host, address);
    for (const auto &header : request.headers_) {
        message.set(header.name_, header.value_);
    }
    if (!request.body_.empty() && message[http::field::content_type].empty()) {
        message.set(http::field::content_type, "application/json");
    }
    message.body() = std::move(request.body_);
    message.prepare_payload();
    auto call = std::make_shared<detail::Call>(state_->strand_, std::move(address), std::move(message),
                                               SystemClock().now() + timeout, std::move(callback));
    boost::asio::post(state_->strand_, [state = state_, call] { state->addCall(call); });
}

void HttpClient::close()
{
    boost::asio::post(state_->strand_, [state = state_] { state->closeAll(); });
}

} // namespace mimosapier
