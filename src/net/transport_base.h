// Transport between daemons: keeps two connections to each daemon of the peer set and turns received frames into
// events.
//
// The daemon's process owns the transport and runs it on one thread. Of two daemons, the one with the lower id dials.
// A connection that has received nothing for silenceLimit_ is closed, and dialled again. PeerUp is reported when the
// first connection to a peer is established, PeerDown when the last one is lost. A heartbeat or beacon is sent on the
// connection that was used least recently, and also on each one that the peer could otherwise find silent. Other
// messages are delivered in order and once, as long as the peer is up; messages to a peer that is down are dropped.
#pragma once

#include "core/common/time_type.h"
#include "core/message/event_type.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace mimosapier
{

struct TransportSettings
{
    DaemonId self_;
    RegionId region_;
    std::string listenAddress_; // "ip:port"; port 0 for any free port
    // Daemon name to the "ip:port" that is dialled instead of the announced address.
    std::map<std::string, std::string> addressOverrides_;
    std::uint64_t seed_ = 1; // of the random delays between dials
    std::size_t maxQueuedBytes_ = 8'000'000; // unsent bytes per connection; also unacknowledged bytes per peer
    std::size_t maxBufferedBytes_ = 64'000'000; // of unfinished frames of all connections; at least two frames
    Milliseconds silenceLimit_{1500};
    Milliseconds minBackoff_{50}; // before a repeated dial; doubled with each failure in a row
    Milliseconds maxBackoff_{1000};
};

// Why a connection was closed. The names of the values are exported as metric labels, see closeCauseName().
enum class CloseCause : std::uint8_t {
    Lost, // closed or reset by the peer
    NotConnected, // the dial failed
    Silent, // nothing received for silenceLimit_
    MalformedFrame, // also an unexpected sequence number
    OversizedFrame, // longer than MaxHelloBytes or MaxFrameBytes
    UnsupportedVersion,
    WrongPeer, // not the dialled daemon, dialled by the wrong side, or an old generation
    QueueFull, // more than maxQueuedBytes_, or reset()
    TooManyConnections, // of one peer, or without a valid hello
    ReadBudget, // held the most bytes when all connections together exceeded maxBufferedBytes_
    Retired, // the peer left the set or reset its link, or the transport stops
    Count, // number of causes; as a result it means "no cause"
};

// Name for metrics. `cause` must not be Count.
std::string_view closeCauseName(CloseCause cause);

struct RegionBytes
{
    std::uint64_t received_ = 0; // frames and hellos, without TCP headers
    std::uint64_t sent_ = 0;
};

struct TransportCounters
{
    std::array<std::uint64_t, static_cast<std::size_t>(CloseCause::Count)> closedByCause_{}; // indexed by CloseCause
    std::map<RegionId, RegionBytes> bytesByRegion_; // by the region in the peer's hello; empty before the hello
    std::uint64_t messagesReceived_ = 0;
    std::uint64_t messagesSent_ = 0; // without those sent again
    std::uint64_t messagesDropped_ = 0; // to peers that were down, or too long
    std::uint64_t messagesResent_ = 0; // sent again after the loss of a connection
    std::uint64_t connectionsEstablished_ = 0;
};

class PeerTransport
{
public:
    // Receives PeerReceived, PeerUp and PeerDown on the transport's thread.
    using EventSink = std::function<void(Event)>;

    // `clock` must outlive the transport. Neither listens nor dials yet.
    PeerTransport(TransportSettings settings, EventSink sink, const Clock &clock);
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    // Closes all connections. run() must have returned.
    ~PeerTransport();

    // Opens the listening socket; call before run(). Errors: BadSetting for a malformed address, or that of the socket.
    std::error_code listen();

    // Port that listen() opened; 0 before that.
    [[nodiscard]] std::uint16_t port() const;

    // Runs the transport on the calling thread until stop().
    void run();

    // The functions below may be called from any thread.
    void stop(); // closes all connections; returns before run() does
    void post(std::function<void()> task); // runs `task` on the transport's thread
    [[nodiscard]] TransportCounters counters() const;

    // The functions below are called on the transport's thread only.
    // Replaces the peer set: dials added peers and closes the connections to removed ones.
    void setPeers(const PeerSet &peers);
    // Sends a message, or drops it when the peer is down or the message is longer than a frame.
    void send(const DaemonId &to, const PeerMessage &message);
    void reset(const DaemonId &daemon); // closes all connections to the daemon; they are dialled again

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
