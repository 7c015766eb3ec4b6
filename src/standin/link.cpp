// Forwards TCP connections with a delay and injects faults into them.
#include "standin/link_service.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>

namespace mimosapier::standin
{

using boost::asio::ip::tcp;

constexpr std::size_t ChunkBytes = 16 * 1024;
constexpr std::size_t MaxQueuedBytes = 1024 * 1024; // per direction; above this, reading pauses

// One direction of a forwarded connection. Each chunk stays queued until its delay has passed.
struct Direction
{
    Direction(tcp::socket &source, tcp::socket &destination, std::uint64_t &byteCount, boost::asio::io_context &context)
        : source_(source)
        , destination_(destination)
        , byteCount_(byteCount)
        , timer_(context)
    {
    }

    tcp::socket &source_;
    tcp::socket &destination_;
    std::uint64_t &byteCount_;
    boost::asio::steady_timer timer_;
    std::array<char, ChunkBytes> chunk_{};
    std::deque<std::pair<TimePoint, std::string>> queue_; // send time and data; empty data marks the end of the stream
    std::size_t queuedBytes_ = 0; // bytes in queue_
    bool reading_ = false;
    bool writing_ = false;
    bool endOfStreamRead_ = false; // no more reads
};

// Connection from a client to the target of a link. Kept alive by its pending asynchronous operations.
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
    LinkConnection(boost::asio::io_context &context, Link &link, tcp::socket client)
        : link_(link)
        , client_(std::move(client))
        , target_(context)
        , toTarget_(client_, target_, link.bytesToTarget_, context)
        , toClient_(target_, client_, link.bytesToClient_, context)
    {
    }

    void start()
    {
        target_.async_connect(link_.target_, [self = shared_from_this()](boost::system::error_code error) {
            if (error || self->closed_) {
                self->reset();
                return;
            }
            boost::system::error_code ignored;
            self->client_.set_option(tcp::no_delay(true), ignored);
            self->target_.set_option(tcp::no_delay(true), ignored);
            self->read(self->toTarget_);
            self->read(self->toClient_);
        });
    }

    // Closes both sockets with a TCP reset, as after a network failure.
    void reset()
    {
        closed_ = true;
        toTarget_.timer_.cancel();
        toClient_.timer_.cancel();
        boost::system::error_code ignored;
        for (tcp::socket *socket : {&client_, &target_}) {
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    // From now on discards all data and forwards neither data nor the end of the stream; both sockets stay open.
    void silence() { silent_ = true; }

private:
    void read(Direction &direction)
    {
        if (direction.reading_ || direction.endOfStreamRead_ || closed_ || direction.queuedBytes_ > MaxQueuedBytes) {
            return;
        }
        direction.reading_ = true;
        direction.source_.async_read_some(
            boost::asio::buffer(direction.chunk_),
            [self = shared_from_this(), &direction](boost::system::error_code error, std::size_t bytes) {
                direction.reading_ = false;
                if (self->closed_) {
                    return;
                }
                if (self->silent_) {
                    if (!error) {
                        self->read(direction); // discards the data; an end of stream is not forwarded either
                    }
                    return;
                }
                if (error && error != boost::asio::error::eof) {
                    self->reset();
                    return;
                }
                direction.endOfStreamRead_ = bytes == 0;
                direction.byteCount_ += bytes;
                direction.queuedBytes_ += bytes;
                direction.queue_.emplace_back(SystemClock().now() + self->link_.delay_,
                                              std::string(direction.chunk_.data(), bytes));
                self->write(direction);
                self->read(direction);
            });
    }

    void write(Direction &direction)
    {
        if (direction.writing_ || direction.queue_.empty() || closed_) {
            return;
        }
        direction.writing_ = true;
        direction.timer_.expires_at(direction.queue_.front().first);
        direction.timer_.async_wait([self = shared_from_this(), &direction](boost::system::error_code error) {
            if (error || self->closed_ || self->silent_) {
                return;
            }
            if (direction.queue_.front().second.empty()) {
                boost::system::error_code ignored;
                direction.destination_.shutdown(tcp::socket::shutdown_send, ignored);
                return;
            }
            boost::asio::async_write(direction.destination_, boost::asio::buffer(direction.queue_.front().second),
                                     [self, &direction](boost::system::error_code failure, std::size_t bytes) {
                                         direction.writing_ = false;
                                         if (self->closed_) {
                                             return;
                                         }
                                         if (failure) {
                                             self->reset();
                                             return;
                                         }
                                         direction.queuedBytes_ -= bytes;
                                         direction.queue_.pop_front();
                                         self->write(direction);
                                         self->read(direction);
                                     });
        });
    }

    Link &link_;
    tcp::socket client_;
    tcp::socket target_;
    Direction toTarget_;
    Direction toClient_;
    bool silent_ = false;
    bool closed_ = false;
};

LinkService::LinkService(boost::asio::io_context &context, const Json &settings)
    : context_(context)
    , configuredControlAddress_(textOr(settings, "control_address", "127.0.0.1:0"))
    , control_(context, {},
               [this](const HttpRequest &request, const HttpResponder &respond) { handle(request, respond); })
{
    const auto list = settings.find("links");
    if (list == settings.end() || !list->is_array()) {
        return;
    }
    for (const auto &item : *list) {
        auto link = std::make_unique<Link>();
        link->name_ = textOr(item, "name", "");
        link->listen_ = textOr(item, "listen", "");
        const std::chrono::duration<double, std::milli> delay(realOr(item, "delay_ms", 0));
        link->delay_ = std::chrono::duration_cast<Duration>(delay);
        HttpAddress target;
        boost::system::error_code error;
        if (parseAddress(textOr(item, "target", ""), target)) {
            link->target_ = {boost::asio::ip::make_address(target.ip_, error), target.port_};
        }
        addressesValid_ = addressesValid_ && !error && link->target_.port() != 0;
        links_.push_back(std::move(link));
    }
}

bool LinkService::listen()
{
    for (const auto &link : links_) {
        if (!open(*link)) {
            std::fprintf(stderr, "standin-link: cannot listen on %s\n", link->listen_.c_str());
            return false;
        }
    }
    if (!addressesValid_) {
        std::fprintf(stderr, "standin-link: a target address in the settings is missing or malformed\n");
        return false;
    }
    return listenOrReport(control_, configuredControlAddress_, "standin-link");
}

bool LinkService::open(Link &link)
{
    HttpAddress address;
    if (!parseAddress(link.listen_, address)) {
        return false;
    }
    boost::system::error_code error;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip_, error), address.port_);
    auto acceptor = std::make_unique<tcp::acceptor>(context_);
    if (error || acceptor->open(endpoint.protocol(), error)
        || acceptor->set_option(tcp::acceptor::reuse_address(true), error) || acceptor->bind(endpoint, error)
        || acceptor->listen(boost::asio::socket_base::max_listen_connections, error)) {
        return false;
    }
    link.acceptor_ = std::move(acceptor);
    link.cut_ = false;
    accept(link);
    return true;
}

void LinkService::accept(Link &link)
{
    link.acceptor_->async_accept([this, &link](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || link.cut_) {
            return;
        }
        if (!error) {
            std::erase_if(link.connections_, [](const auto &weak) { return weak.expired(); });
            auto connection = std::make_shared<LinkConnection>(context_, link, std::move(socket));
            link.connections_.push_back(connection);
            connection->start();
        }
        accept(link);
    });
}

void LinkService::cut(Link &link)
{
    link.cut_ = true;
    link.acceptor_.reset();
    for (const auto &weak : link.connections_) {
        if (const auto connection = weak.lock()) {
            connection->reset();
        }
    }
    link.connections_.clear();
}

// True when the name equals an item of the list or starts with an item that ends in "*", without the "*".
static bool matches(const Json &names, const std::string &name)
{
    if (!names.is_array()) {
        return false;
    }
    return std::any_of(names.begin(), names.end(), [&](const Json &item) {
        if (!item.is_string()) {
            return false;
        }
        const auto &pattern = item.get_ref<const std::string &>();
        return pattern.ends_with('*') ? name.starts_with(pattern.substr(0, pattern.size() - 1)) : pattern == name;
    });
}

void LinkService::handle(const HttpRequest &request, const HttpResponder &respond)
{
    if (splitTarget(request.target_).path_ == "/v1/stats") {
        Json links = Json::object();
        for (const auto &link : links_) {
            links[link->name_] = {{"out", link->bytesToTarget_},
                                  {"back", link->bytesToClient_},
                                  {"connections", link->connections_.size()}};
        }
        respondJson(respond, {{"links", std::move(links)}});
        return;
    }
    Json body;
    if (!readBody(request, respond, body)) {
        return;
    }
    const std::string action = textOr(body, "action", "");
    const Json names = body.value("names", Json::array());
    std::int64_t matchedCount = 0;
    bool succeeded = action == "cut" || action == "restore" || action == "silence";
    for (const auto &link : links_) {
        if (!matches(names, link->name_)) {
            continue;
        }
        ++matchedCount;
        if (action == "cut" && !link->cut_) {
            cut(*link);
        } else if (action == "restore" && link->cut_) {
            succeeded = open(*link) && succeeded;
        } else if (action == "silence") {
            for (const auto &weak : link->connections_) {
                if (const auto connection = weak.lock()) {
                    connection->silence();
                }
            }
        }
    }
    respondJson(respond, {{"ok", succeeded}, {"links", matchedCount}}, succeeded ? 200 : 400);
}

} // namespace mimosapier::standin
