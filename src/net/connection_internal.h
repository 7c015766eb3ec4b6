// One TCP connection to a peer: reads and writes frames and drives the session's state machine. Created by the
// transport and used on its thread only.
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

// Transport counters, updated on the transport's thread and read on the metrics thread.
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

// Decision about the hello of a peer.
enum class Admission : std::uint8_t {
    Admit,
    Park, // keep the connection open until the peer joins the set or is found silent
    Refuse // close the connection
};

// Callbacks of a connection to its owner, the transport.
class ConnectionOwner
{
public:
    ConnectionOwner() = default;
    ConnectionOwner(const ConnectionOwner &) = delete;
    ConnectionOwner &operator=(const ConnectionOwner &) = delete;
    virtual ~ConnectionOwner() = default;

    // Decides about a valid hello, which connection.peerHello() returns.
    virtual Admission admit(PeerConnection &connection) = 0;
    // Returns the own hello for the connection, as a whole frame.
    virtual std::string helloFrame(PeerConnection &connection) = 0;
    virtual void onEstablished(PeerConnection &connection) = 0;
    // Called once per connection, when it is closed.
    virtual void onClosed(PeerConnection &connection, bool wasEstablished) = 0;
    // Called after bytes were received, unless the connection was closed.
    virtual void onBuffered(PeerConnection &connection) = 0;
    // Processes the body of a frame. Returns why the connection must be closed, or Count to keep it.
    virtual CloseCause onFrame(PeerConnection &connection, std::string_view body) = 0;
};

class PeerConnection final : public SessionHooks, public std::enable_shared_from_this<PeerConnection>
{
public:
    PeerConnection(boost::asio::ip::tcp::socket socket, ConnectionOwner &owner, SharedCounters &counters,
                   std::size_t maxQueuedBytes, TimePoint now);

    // Connects to `endpoint`. `expectedPeer` is the daemon that the hello of the other side must name.
    void dial(const boost::asio::ip::tcp::endpoint &endpoint, const DaemonId &expectedPeer);

    // Starts an incoming connection.
    void accept();

    // Queues a frame. When the queue is full, drops the frame and closes the connection from the event loop.
    void send(const SharedFrame &frame);

    // Establishes a parked connection after its peer has joined the set.
    void admitParked();

    // Counts the cause and closes the connection; no effect on a closed one.
    void fail(CloseCause cause);

    [[nodiscard]] SessionState state() const { return sessionState(*session_); }
    // The dialled daemon, or the one in the hello; empty before the hello of an incoming connection.
    [[nodiscard]] const DaemonId &peer() const { return peer_; }
    [[nodiscard]] const Hello &peerHello() const { return peerHello_; }
    [[nodiscard]] bool isOutgoing() const { return outgoing_; }
    [[nodiscard]] TimePoint lastReceivedAt() const { return lastReceivedAt_; }
    void setLastReceivedAt(TimePoint now) { lastReceivedAt_ = now; }
    [[nodiscard]] TimePoint lastSentAt() const { return lastSentAt_; }
    void setLastSentAt(TimePoint now) { lastSentAt_ = now; }
    [[nodiscard]] bool receivedSinceCheck() const { return receivedSinceCheck_; }
    void clearReceived() { receivedSinceCheck_ = false; }
    [[nodiscard]] std::size_t bufferedBytes() const { return decoder_.bufferedBytes(); }
    // Bytes that the owner has counted for the connection.
    [[nodiscard]] std::size_t countedBytes() const { return countedBytes_; }
    void setCountedBytes(std::size_t bytes) { countedBytes_ = bytes; }

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
    Hello peerHello_; // all defaults until it is received
    bool outgoing_ = false;
    bool receivedSinceCheck_ = false; // set by reads, cleared by clearReceived()
    TimePoint lastReceivedAt_; // creation, or the last silence check that found receivedSinceCheck_
    TimePoint lastSentAt_; // of a heartbeat or a new message, not of one sent again; the clock's epoch before that
    FrameDecoder decoder_;
    std::array<char, 16384> input_{};
    std::deque<SharedFrame> queue_; // waits for the write in progress
    std::vector<SharedFrame> writing_; // in the write in progress; empty when there is none
    std::size_t queuedBytes_ = 0; // in queue_ and writing_
    std::size_t countedBytes_ = 0; // of bufferedBytes(), as last counted by the owner
};

} // namespace mimosapier
