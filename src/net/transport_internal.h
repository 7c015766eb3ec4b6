// State of the peer transport, shared by transport.cpp and transport_connection.cpp. Everything but counters_ belongs
// to the transport's thread.
#pragma once

#include "net/connection_internal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <set>

namespace mimosapier
{

constexpr std::size_t ConnectionsPerPeer = 2;
// Greater than ConnectionsPerPeer, because the accepting side keeps a replaced connection until it is found silent.
constexpr std::size_t MaxEstablishedPerPeer = 4;
// Incoming connections without a valid hello from a daemon of the peer set.
constexpr std::size_t MaxUnidentifiedConnections = 256;

using ConnectionPtr = std::shared_ptr<PeerConnection>;

// Keeps one outgoing connection to a peer open.
struct DialSlot
{
    explicit DialSlot(boost::asio::io_context &context)
        : timer_(context)
    {
    }

    ConnectionPtr connection_; // null while timer_ runs
    boost::asio::steady_timer timer_; // until the next dial
    unsigned consecutiveFailures_ = 0; // gives the delay before the next dial
    TimePoint dialledAt_; // start of the last dial
};

// A daemon of the peer set.
struct Peer
{
    std::string address_; // to dial, after overrides
    PeerLink link_;
    std::vector<std::unique_ptr<DialSlot>> slots_; // ConnectionsPerPeer of them, or none when the peer dials
    std::vector<ConnectionPtr> establishedConnections_; // the first one carries the numbered messages
};

struct PeerTransport::State final : ConnectionOwner
{
    State(TransportSettings settings, EventSink sink, const Clock &clock);

    Admission admit(PeerConnection &connection) override;
    std::string helloFrame(PeerConnection &connection) override;
    void onEstablished(PeerConnection &connection) override;
    void onClosed(PeerConnection &connection, bool wasEstablished) override;
    void onBuffered(PeerConnection &connection) override;
    CloseCause onFrame(PeerConnection &connection, std::string_view body) override;

    void acceptNext();
    void closeSilentConnections();
    void addPeer(const PeerAddress &address);
    void removePeer(const DaemonId &daemon);
    void dial(const DaemonId &daemon, Peer &peer, DialSlot &slot);
    void scheduleDial(const DaemonId &daemon, DialSlot &slot);
    void sendHeartbeat(Peer &peer, std::string_view bytes);
    void sendNumbered(const DaemonId &daemon, Peer &peer, std::string_view bytes);
    // Closes all connections of the peer, which also resets its link.
    void resetPeer(const DaemonId &daemon, CloseCause cause);
    [[nodiscard]] ConnectionPtr createConnection(boost::asio::ip::tcp::socket socket);
    void closeAll();

    TransportSettings settings_;
    EventSink sink_;
    const Clock &clock_;
    SharedCounters counters_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_{context_};
    boost::asio::steady_timer silenceTimer_{context_};
    boost::asio::steady_timer acceptTimer_{context_};
    TimePoint lastSilenceCheck_; // a late check shows that the process was paused
    std::mt19937_64 random_;
    std::uint64_t lastGeneration_ = 0; // of the link that was reset last
    std::map<DaemonId, Peer> peers_; // the peer set
    std::set<ConnectionPtr> connections_; // all in a state other than Closed
    std::size_t bufferedBytes_ = 0; // sum of the countedBytes() of connections_
    bool stopping_ = false;
};

} // namespace mimosapier
