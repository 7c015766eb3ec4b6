// Peer transport: accepting, admission, loss and silence of connections, and received frames. See transport_base.h.
#include "net/transport_internal.h"

#include "core/message/codec_func.h"

#include <algorithm>

namespace mimosapier
{

namespace asio = boost::asio;
using asio::ip::tcp;

ConnectionPtr PeerTransport::State::createConnection(tcp::socket socket)
{
    auto connection = std::make_shared<PeerConnection>(std::move(socket), *this, counters_, settings_.maxQueuedBytes_,
                                                       clock_.now());
    connections_.insert(connection);
    return connection;
}

void PeerTransport::State::acceptNext()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || stopping_) {
            return;
        }
        if (error) {
            // For example no free file descriptors; an immediate retry would busy-loop.
            acceptTimer_.expires_after(settings_.minBackoff_);
            acceptTimer_.async_wait([this](const boost::system::error_code &aborted) {
                if (!aborted) {
                    acceptNext();
                }
            });
            return;
        }
        const auto unidentifiedCount
            = std::count_if(connections_.begin(), connections_.end(), [](const auto &connection) {
                  return !connection->isOutgoing() && connection->state() != SessionState::Established;
              });
        const ConnectionPtr connection = createConnection(std::move(socket));
        if (static_cast<std::size_t>(unidentifiedCount) >= MaxUnidentifiedConnections) {
            connection->fail(CloseCause::TooManyConnections);
        } else {
            connection->accept();
        }
        acceptNext();
    });
}

Admission PeerTransport::State::admit(PeerConnection &connection)
{
    const auto found = peers_.find(connection.peer());
    if (connection.peer() == settings_.self_) {
        return Admission::Refuse;
    }
    if (found == peers_.end()) {
        return connection.isOutgoing() ? Admission::Refuse : Admission::Park;
    }
    Peer &peer = found->second;
    if (connection.isOutgoing() == peer.slots_.empty()) {
        return Admission::Refuse; // the daemon with the higher id has dialled
    }
    switch (checkGeneration(peer.link_, connection.peerHello().generation_)) {
    case GenerationCheck::Current:
        return Admission::Admit;
    case GenerationCheck::Stale:
        return Admission::Refuse;
    case GenerationCheck::Newer:
        break;
    }
    // The peer has reset its side of the link. Closing its other connections resets the link here.
    const DaemonId daemon = connection.peer();
    for (const ConnectionPtr &other : std::vector(connections_.begin(), connections_.end())) {
        if (other->peer() == daemon && other.get() != &connection) {
            other->fail(CloseCause::Retired);
        }
    }
    if (connection.isOutgoing()) {
        return Admission::Refuse; // the hello already sent names the old generation; the slot dials again
    }
    resetLink(peer.link_, ++lastGeneration_);
    checkGeneration(peer.link_, connection.peerHello().generation_);
    return Admission::Admit;
}

std::string PeerTransport::State::helloFrame(PeerConnection &connection)
{
    const auto found = peers_.find(connection.peer());
    const std::uint64_t generation = found == peers_.end() ? 0 : found->second.link_.generation_;
    return encodeHello({PeerProtocolVersion, settings_.self_, settings_.region_, generation});
}

void PeerTransport::State::onEstablished(PeerConnection &connection)
{
    const DaemonId daemon = connection.peer();
    Peer &peer = peers_.at(daemon);
    if (peer.establishedConnections_.size() >= MaxEstablishedPerPeer) {
        const ConnectionPtr oldestConnection = peer.establishedConnections_.front();
        asio::post(context_, [oldestConnection] { oldestConnection->fail(CloseCause::TooManyConnections); });
    }
    peer.establishedConnections_.push_back(connection.shared_from_this());
    if (peer.establishedConnections_.size() == 1) {
        sink_(PeerUp{daemon});
    }
}

void PeerTransport::State::onClosed(PeerConnection &connection, bool wasEstablished)
{
    const ConnectionPtr closedConnection = connection.shared_from_this();
    connections_.erase(closedConnection);
    bufferedBytes_ -= connection.countedBytes();
    connection.setCountedBytes(0);
    const DaemonId daemon = connection.peer();
    const auto found = peers_.find(daemon);
    if (found == peers_.end()) {
        return;
    }
    Peer &peer = found->second;
    for (const auto &slot : peer.slots_) {
        if (slot->connection_ == closedConnection) {
            slot->connection_.reset();
            if (wasEstablished && clock_.now() - slot->dialledAt_ > settings_.maxBackoff_) {
                slot->consecutiveFailures_ = 0;
            }
            scheduleDial(daemon, *slot);
        }
    }
    const auto position
        = std::find(peer.establishedConnections_.begin(), peer.establishedConnections_.end(), closedConnection);
    if (position == peer.establishedConnections_.end()) {
        return;
    }
    const bool wasPrimary = position == peer.establishedConnections_.begin();
    peer.establishedConnections_.erase(position);
    if (peer.establishedConnections_.empty()) {
        resetLink(peer.link_, ++lastGeneration_);
        sink_(PeerDown{daemon});
    } else if (wasPrimary) {
        for (const SharedFrame &frame : peer.link_.unacknowledged_) {
            peer.establishedConnections_.front()->send(frame);
        }
        const std::size_t resentCount = peer.link_.unacknowledged_.size();
        counters_.update([resentCount](TransportCounters &counters) { counters.messagesResent_ += resentCount; });
    }
}

// Closes the connection with the most bytes of an unfinished frame when all together hold too many. The hello does not
// prove who a peer is, so the limit on one frame alone does not bound the memory.
void PeerTransport::State::onBuffered(PeerConnection &connection)
{
    bufferedBytes_ = bufferedBytes_ - connection.countedBytes() + connection.bufferedBytes();
    connection.setCountedBytes(connection.bufferedBytes());
    if (bufferedBytes_ <= settings_.maxBufferedBytes_) {
        return;
    }
    const auto largest
        = std::max_element(connections_.begin(), connections_.end(), [](const auto &left, const auto &right) {
              return left->countedBytes() < right->countedBytes();
          });
    const ConnectionPtr closed = (*largest)->shared_from_this(); // outlives its removal from connections_
    closed->fail(CloseCause::ReadBudget);
}

CloseCause PeerTransport::State::onFrame(PeerConnection &connection, std::string_view body)
{
    FrameNumbers numbers;
    std::string_view bytes;
    PeerMessage message;
    if (decodeFrame(body, numbers, bytes) || decodeMessage(bytes, message)) {
        return CloseCause::MalformedFrame;
    }
    Peer &peer = peers_.at(connection.peer());
    switch (receiveNumbers(peer.link_, numbers)) {
    case SequenceCheck::Deliver:
        counters_.update([](TransportCounters &counters) { ++counters.messagesReceived_; });
        sink_(PeerReceived{connection.peer(), std::move(message)});
        break;
    case SequenceCheck::Duplicate:
        break;
    case SequenceCheck::Invalid:
        return CloseCause::MalformedFrame;
    }
    return CloseCause::Count;
}

void PeerTransport::State::closeSilentConnections()
{
    if (stopping_) {
        return;
    }
    constexpr int ChecksPerLimit = 10;
    const TimePoint now = clock_.now();
    const Milliseconds interval = settings_.silenceLimit_ / ChecksPerLimit;
    // After a pause of the whole process, data that arrived meanwhile is still unread in the sockets. The check then
    // gives each connection a new full limit.
    const bool wasPaused = now - lastSilenceCheck_ > settings_.silenceLimit_ / 2;
    lastSilenceCheck_ = now;
    for (const ConnectionPtr &connection : std::vector(connections_.begin(), connections_.end())) {
        if (connection->receivedSinceCheck() || wasPaused) {
            connection->setLastReceivedAt(now);
            connection->clearReceived();
        } else if (now - connection->lastReceivedAt() > settings_.silenceLimit_) {
            connection->fail(CloseCause::Silent);
        }
    }
    silenceTimer_.expires_after(interval);
    silenceTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            closeSilentConnections();
        }
    });
}

void PeerTransport::State::closeAll()
{
    stopping_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    silenceTimer_.cancel();
    acceptTimer_.cancel();
    for (auto &[daemon, peer] : peers_) {
        for (const auto &slot : peer.slots_) {
            slot->timer_.cancel();
        }
    }
    for (const ConnectionPtr &connection : std::vector(connections_.begin(), connections_.end())) {
        connection->fail(CloseCause::Retired);
    }
}

} // namespace mimosapier
