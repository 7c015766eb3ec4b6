// State of the peer transport.
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
// A replaced connection can stay open at the accepting side until it is found silent, so more are accepted than
// dialled.
constexpr std::size_t MaxEstablishedPerPeer = 4;
constexpr std::size_t MaxUnidentifiedConnections
    = 256; // accepted connections that have not given a valid hello of the set

using ConnectionPtr = std::shared_ptr<PeerConnection>;

// One of the connections that this side dials.
struct DialSlot
{
    explicit DialSlot(boost::asio::io_context &context)
        : timer_(context)
    {
    }

    ConnectionPtr connection_; // null while waiting for the timer
    boost::asio::steady_timer timer_;
    unsigned consecutiveFailures_ = 0; // in a row
    TimePoint dialledAt_;
};

// A daemon of the peer set.
struct Peer
{
    std::string address_; // as dialled
    PeerLink link_;
    std::vector<std::unique_ptr<DialSlot>> slots_; // empty when the peer dials
    std::vector<ConnectionPtr> establishedConnections_; // the first carries the numbered messages
};

struct PeerTransport::State final : ConnectionOwner
{
    State(TransportSettings settings, EventSink sink, const Clock &clock);

    Admission admit(PeerConnection &connection) override;
    std::string helloFrame(PeerConnection &connection) override;
    void onEstablished(PeerConnection &connection) override;
    void onClosed(PeerConnection &connection, bool wasEstablished) override;
    CloseCause onFrame(PeerConnection &connection, std::string_view body) override;

    void acceptNext();
    void closeSilentConnections();
    void addPeer(const PeerAddress &address);
    void removePeer(const DaemonId &daemon);
    void dial(const DaemonId &daemon, Peer &peer, DialSlot &slot);
    void scheduleDial(const DaemonId &daemon, DialSlot &slot);
    void sendHeartbeat(Peer &peer, std::string_view bytes);
    void sendNumbered(const DaemonId &daemon, Peer &peer, std::string_view bytes);
    // Closes all connections of the peer; the link begins anew.
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
    TimePoint lastSilenceCheck_;
    std::mt19937_64 random_;
    std::uint64_t lastGeneration_ = 0; // of links
    std::map<DaemonId, Peer> peers_; // the peer set
    std::set<ConnectionPtr> connections_; // all that are not closed
    bool stopping_ = false;
};

} // namespace mimosapier
