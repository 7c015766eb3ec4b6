// One TCP connection to a peer: reads and writes frames and drives its session machine.
#pragma once

#include "net/link_func.h"
#include "net/session_func.h"
#include "net/transport_base.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

namespace mimosapier
{

class PeerConnection;

// Counters shared with the metrics thread.
class CounterBoard
{
public:
    template <typename Change>
    void update(Change change)
    {
        const std::lock_guard lock(mutex_);
        change(counters_);
    }
    [[nodiscard]] TransportCounters read() const
    {
        const std::lock_guard lock(mutex_);
        return counters_;
    }

private:
    mutable std::mutex mutex_; // guards counters_
    TransportCounters counters_;
};

enum class Admission : std::uint8_t { Admit, Park, Refuse };

// What a connection asks of the transport.
class ConnectionOwner
{
public:
    ConnectionOwner() = default;
    ConnectionOwner(const ConnectionOwner &) = delete;
    ConnectionOwner &operator=(const ConnectionOwner &) = delete;
    virtual ~ConnectionOwner() = default;

    // Decides about a valid hello.
    virtual Admission admit(PeerConnection &connection) = 0;
    // Own hello for the connection, as a frame.
    virtual std::string helloFrame(PeerConnection &connection) = 0;
    virtual void onEstablished(PeerConnection &connection) = 0;
    // Called once per connection.
    virtual void onClosed(PeerConnection &connection, bool wasEstablished) = 0;
    // Result: why the connection must be closed, or Count.
    virtual CloseCause onFrame(PeerConnection &connection, std::string_view body) = 0;
};

class PeerConnection final : public SessionHooks, public std::enable_shared_from_this<PeerConnection>
{
public:
    PeerConnection(boost::asio::ip::tcp::socket socket, ConnectionOwner &owner, CounterBoard &board,
                   std::size_t maxQueuedBytes, TimePoint now);

    // Dials. `expected` is the daemon that must answer.
    void dial(const boost::asio::ip::tcp::endpoint &endpoint, const DaemonId &expected);

    // Serves a connection that was dialled by the peer.
    void accept();

    // Queues a frame; closes the connection when the queue is full.
    void send(const SharedFrame &frame);

    // The parked peer now belongs to the set.
    void admitParked();

    void fail(CloseCause cause);

    [[nodiscard]] SessionState state() const { return sessionState(*session_); }
    [[nodiscard]] const DaemonId &peer() const { return peer_; } // dialled or named by the hello; may be empty
    [[nodiscard]] const Hello &hello() const { return hello_; }
    [[nodiscard]] bool dialled() const { return dialled_; }
    [[nodiscard]] TimePoint lastReceived() const { return lastReceived_; }
    void setLastReceived(TimePoint now) { lastReceived_ = now; }
    [[nodiscard]] TimePoint lastSent() const { return lastSent_; }
    void setLastSent(TimePoint now) { lastSent_ = now; }
    [[nodiscard]] bool receivedSinceCheck() const { return received_; }
    void clearReceived() { received_ = false; }

private:
    void sendHello() override;
    void established() override;
    void closed(bool wasEstablished) override;

    void read();
    void write();
    void consume(std::string_view bytes);
    void onHello(std::string_view body);

    boost::asio::ip::tcp::socket socket_;
    ConnectionOwner &owner_;
    CounterBoard &board_;
    std::size_t maxQueuedBytes_;
    Handle<Session> session_;
    DaemonId peer_;
    Hello hello_; // of the peer, once received
    bool dialled_ = false;
    bool received_ = false; // bytes arrived since the last clearReceived()
    TimePoint lastReceived_; // or creation; advanced by the transport's check
    TimePoint lastSent_; // of a heartbeat or the first sending of a message; the epoch before that
    FrameDecoder decoder_;
    std::array<char, 16384> input_{};
    std::deque<SharedFrame> queue_; // not handed to the socket yet
    std::vector<SharedFrame> writing_; // handed to the socket
    std::size_t queuedBytes_ = 0; // in queue_ and writing_
};

} // namespace mimosapier
