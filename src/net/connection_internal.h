// One TCP connection to a peer: reads and writes frames and drives its session machine.
#pragma once

#include "net/link_func.h"
#include "net/peer_session_func.h"
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
class SharedCounters
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
    PeerConnection(boost::asio::ip::tcp::socket socket, ConnectionOwner &owner, SharedCounters &counters,
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
    [[nodiscard]] const Hello &peerHello() const { return peerHello_; }
    [[nodiscard]] bool isOutgoing() const { return outgoing_; }
    [[nodiscard]] TimePoint lastReceivedAt() const { return lastReceivedAt_; }
    void setLastReceivedAt(TimePoint now) { lastReceivedAt_ = now; }
    [[nodiscard]] TimePoint lastSentAt() const { return lastSentAt_; }
    void setLastSentAt(TimePoint now) { lastSentAt_ = now; }
    [[nodiscard]] bool receivedSinceCheck() const { return receivedSinceCheck_; }
    void clearReceived() { receivedSinceCheck_ = false; }

private:
    void sendHello() override;
    void onEstablished() override;
    void onClosed(bool wasEstablished) override;

    void read();
    void write();
    void processBytes(std::string_view bytes);
    void onHello(std::string_view body);

    boost::asio::ip::tcp::socket socket_;
    ConnectionOwner &owner_;
    SharedCounters &counters_;
    std::size_t maxQueuedBytes_;
    Handle<PeerSession> session_;
    DaemonId peer_;
    Hello peerHello_; // of the peer, once received
    bool outgoing_ = false;
    bool receivedSinceCheck_ = false; // bytes arrived since the last clearReceived()
    TimePoint lastReceivedAt_; // or creation; advanced by the transport's check
    TimePoint lastSentAt_; // of a heartbeat or the first sending of a message; the epoch before that
    FrameDecoder decoder_;
    std::array<char, 16384> input_{};
    std::deque<SharedFrame> queue_; // not handed to the socket yet
    std::vector<SharedFrame> writing_; // handed to the socket
    std::size_t queuedBytes_ = 0; // in queue_ and writing_
};

} // namespace mimosapier
