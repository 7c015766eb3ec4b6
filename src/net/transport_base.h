// Transport between daemons: keeps two connections to each daemon of the peer set and turns frames into events.
//
// One thread runs the transport. The daemon with the lower id dials. A connection that has received nothing for the
// silence limit is closed and replaced; PeerUp follows the first connection, PeerDown the loss of the last. Heartbeats
// take turns on the connections of a peer, and go to more of them when they are rare. Other messages are delivered in
// order and once, as long as the peer is up.
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
    std::string listenAddress_; // "ip:port"; port 0 for any
    std::map<std::string, std::string> addressOverrides_; // daemon name -> "ip:port" to dial instead
    std::uint64_t seed_ = 1; // of the jitter of reconnects
    std::size_t maxQueuedBytes_ = 8'000'000; // per connection; also of unacknowledged messages per peer
    Milliseconds silenceLimit_{1500};
    Milliseconds minBackoff_{50};
    Milliseconds maxBackoff_{1000};
};

// Why a connection was closed.
enum class CloseCause : std::uint8_t {
    Lost, // closed or reset by the other side
    NotConnected, // the dial failed
    Silent,
    MalformedFrame,
    OversizedFrame,
    UnsupportedVersion,
    WrongPeer, // another daemon than the dialled one, or a stale generation
    QueueFull,
    TooManyConnections,
    Retired, // removed from the set, or the link was renewed
    Count, // number of causes
};

std::string_view closeCauseName(CloseCause cause);

struct RegionBytes
{
    std::uint64_t received_ = 0; // bytes on the wire without TCP headers
    std::uint64_t sent_ = 0;
};

struct TransportCounters
{
    std::array<std::uint64_t, static_cast<std::size_t>(CloseCause::Count)> closedByCause_{}; // indexed by CloseCause
    std::map<RegionId, RegionBytes> bytesByRegion_; // by the peer's region
    std::uint64_t messagesReceived_ = 0;
    std::uint64_t messagesSent_ = 0; // repeats not counted
    std::uint64_t messagesDropped_ = 0; // to peers that were down
    std::uint64_t messagesResent_ = 0; // sent again after the loss of a connection
    std::uint64_t connectionsEstablished_ = 0; // connections
};

class PeerTransport
{
public:
    // Receives PeerReceived, PeerUp and PeerDown, on the transport's thread.
    using EventSink = std::function<void(Event)>;

    // Parameters: settings, receiver of events, clock, which outlives the transport.
    PeerTransport(TransportSettings settings, EventSink sink, const Clock &clock);
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    ~PeerTransport();

    // Opens the listening socket. Errors: those of the socket, or BadSetting for a malformed address.
    std::error_code listen();

    // Port that listen() opened.
    [[nodiscard]] std::uint16_t port() const;

    // Serves until stop(). Called by the one thread that runs the transport.
    void run();

    // The functions below may be called from any thread.
    void stop();
    void post(std::function<void()> task); // runs `task` on the transport's thread
    [[nodiscard]] TransportCounters counters() const;

    // The functions below are called on the transport's thread only.
    void setPeers(const PeerSet &peers);
    void send(const DaemonId &to, const PeerMessage &message);
    void reset(const DaemonId &daemon); // closes all connections to the daemon; they are opened again

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
