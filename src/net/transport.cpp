// Peer transport: start, stop, peer set, dialling and sending. See transport_base.h.
#include "net/transport_internal.h"

#include "core/message/codec_func.h"
#include "net/address_func.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace mimosapier
{

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr std::array<std::string_view, static_cast<std::size_t>(CloseCause::Count)> CloseCauseNames{
    "lost",
    "not-connected",
    "silent",
    "malformed-frame",
    "oversized-frame",
    "unsupported-version",
    "wrong-peer",
    "queue-full",
    "too-many-connections",
    "read-budget",
    "retired"};

std::string_view closeCauseName(CloseCause cause)
{
    return CloseCauseNames.at(static_cast<std::size_t>(cause));
}

static std::error_code parseEndpoint(const std::string &text, tcp::endpoint &endpoint)
{
    HttpAddress address;
    if (!parseNumericAddress(text, address)) {
        return ErrorKind::BadSetting;
    }
    endpoint = tcp::endpoint(asio::ip::make_address(address.ip_), address.port_);
    return {};
}

PeerTransport::State::State(TransportSettings settings, EventSink sink, const Clock &clock)
    : settings_(std::move(settings))
    , sink_(std::move(sink))
    , clock_(clock)
    , lastSilenceCheck_(clock.now())
    , random_(settings_.seed_)
{
}

PeerTransport::PeerTransport(TransportSettings settings, EventSink sink, const Clock &clock)
    : state_(std::make_unique<State>(std::move(settings), std::move(sink), clock))
{
}

PeerTransport::~PeerTransport()
{
    state_->closeAll();
    // Pending handlers of closed sockets own connections that refer to the state; run them before it is destroyed.
    state_->context_.restart();
    state_->context_.poll();
}

std::error_code PeerTransport::listen()
{
    tcp::endpoint endpoint;
    if (const std::error_code error = parseEndpoint(state_->settings_.listenAddress_, endpoint)) {
        return error;
    }
    boost::system::error_code error;
    tcp::acceptor &acceptor = state_->acceptor_;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

std::uint16_t PeerTransport::port() const
{
    boost::system::error_code error;
    return state_->acceptor_.local_endpoint(error).port();
}

void PeerTransport::run()
{
    if (state_->acceptor_.is_open()) {
        state_->acceptNext();
    }
    state_->closeSilentConnections();
    const auto work = asio::make_work_guard(state_->context_);
    state_->context_.run();
}

void PeerTransport::stop()
{
    post([this] {
        state_->closeAll();
        state_->context_.stop();
    });
}

void PeerTransport::post(std::function<void()> task)
{
    asio::post(state_->context_, std::move(task));
}

TransportCounters PeerTransport::counters() const
{
    return state_->counters_.read();
}

void PeerTransport::setPeers(const PeerSet &peers)
{
    State &state = *state_;
    std::set<DaemonId> peerIds;
    for (const PeerAddress &address : peers.peers_) {
        if (address.daemon_ != state.settings_.self_ && peerIds.insert(address.daemon_).second) {
            state.addPeer(address);
        }
    }
    std::vector<DaemonId> removedPeers;
    for (const auto &[daemon, peer] : state.peers_) {
        if (!peerIds.contains(daemon)) {
            removedPeers.push_back(daemon);
        }
    }
    for (const DaemonId &daemon : removedPeers) {
        state.removePeer(daemon);
    }
    for (const ConnectionPtr &connection : std::vector(state.connections_.begin(), state.connections_.end())) {
        if (connection->state() == SessionState::Parked && peerIds.contains(connection->peer())) {
            if (state.admit(*connection) == Admission::Admit) {
                connection->admitParked();
            } else {
                connection->fail(CloseCause::WrongPeer);
            }
        }
    }
}

void PeerTransport::reset(const DaemonId &daemon)
{
    state_->resetPeer(daemon, CloseCause::QueueFull);
}

void PeerTransport::State::addPeer(const PeerAddress &address)
{
    const std::string &dialAddress
        = addressOrOverride(settings_.addressOverrides_, daemonName(address.daemon_.value_), address.address_);
    const auto [entry, inserted] = peers_.try_emplace(address.daemon_);
    Peer &peer = entry->second;
    peer.address_ = dialAddress;
    if (!inserted) {
        return;
    }
    resetLink(peer.link_, ++lastGeneration_);
    if (settings_.self_ < address.daemon_) {
        for (std::size_t i = 0; i < ConnectionsPerPeer; ++i) {
            peer.slots_.push_back(std::make_unique<DialSlot>(context_));
            dial(address.daemon_, peer, *peer.slots_.back());
        }
    }
}

void PeerTransport::State::removePeer(const DaemonId &daemon)
{
    resetPeer(daemon, CloseCause::Retired);
    peers_.erase(daemon);
}

void PeerTransport::State::resetPeer(const DaemonId &daemon, CloseCause cause)
{
    for (const ConnectionPtr &connection : std::vector(connections_.begin(), connections_.end())) {
        if (connection->peer() == daemon) {
            connection->fail(cause);
        }
    }
}

void PeerTransport::State::dial(const DaemonId &daemon, Peer &peer, DialSlot &slot)
{
    tcp::endpoint endpoint;
    slot.dialledAt_ = clock_.now();
    if (parseEndpoint(peer.address_, endpoint)) {
        counters_.update([](TransportCounters &counters) {
            ++counters.closedByCause_.at(static_cast<std::size_t>(CloseCause::NotConnected));
        });
        scheduleDial(daemon, slot);
        return;
    }
    slot.connection_ = createConnection(tcp::socket(context_));
    slot.connection_->dial(endpoint, daemon);
}

void PeerTransport::State::scheduleDial(const DaemonId &daemon, DialSlot &slot)
{
    if (stopping_) {
        return;
    }
    constexpr unsigned MaxDoublings = 10;
    const Milliseconds maxDelay = std::min(
        settings_.maxBackoff_, settings_.minBackoff_ * (1U << std::min(slot.consecutiveFailures_, MaxDoublings)));
    ++slot.consecutiveFailures_;
    // A random delay, so that daemons that lost the same peer do not all dial it at the same time.
    std::uniform_int_distribution<std::int64_t> delayMs(maxDelay.count() / 2, maxDelay.count());
    slot.timer_.expires_after(Milliseconds(delayMs(random_)));
    slot.timer_.async_wait([this, daemon, &slot](const boost::system::error_code &error) {
        const auto peer = error ? peers_.end() : peers_.find(daemon); // after a cancellation the slot may be destroyed
        if (peer != peers_.end()) {
            dial(daemon, peer->second, slot);
        }
    });
}

void PeerTransport::send(const DaemonId &to, const PeerMessage &message)
{
    State &state = *state_;
    const auto found = state.peers_.find(to);
    const std::string bytes = encodeMessage(message);
    const bool isUp = found != state.peers_.end() && !found->second.establishedConnections_.empty();
    if (!isUp || bytes.size() > MaxFrameBytes - FrameNumbersBytes) {
        state.counters_.update([](TransportCounters &counters) { ++counters.messagesDropped_; });
        return;
    }
    state.counters_.update([](TransportCounters &counters) { ++counters.messagesSent_; });
    Peer &peer = found->second;
    if (!std::holds_alternative<Heartbeat>(message) && !std::holds_alternative<CellBeacon>(message)) {
        state.sendNumbered(to, peer, bytes);
        return;
    }
    state.sendHeartbeat(peer, bytes);
}

// Sends on the connection that was used least recently, and on each other one that the peer could find silent before
// the next heartbeat.
void PeerTransport::State::sendHeartbeat(Peer &peer, std::string_view bytes)
{
    const TimePoint now = clock_.now();
    const SharedFrame frame = makeUnnumberedFrame(peer.link_, bytes);
    const auto leastRecent = *std::min_element(
        peer.establishedConnections_.begin(), peer.establishedConnections_.end(),
        [](const ConnectionPtr &left, const ConnectionPtr &right) { return left->lastSentAt() < right->lastSentAt(); });
    for (const ConnectionPtr &connection : peer.establishedConnections_) {
        if (connection == leastRecent || now - connection->lastSentAt() > settings_.silenceLimit_ / 2) {
            connection->setLastSentAt(now);
            connection->send(frame);
        }
    }
}

void PeerTransport::State::sendNumbered(const DaemonId &daemon, Peer &peer, std::string_view bytes)
{
    if (peer.link_.unacknowledgedBytes_ + bytes.size() > settings_.maxQueuedBytes_) {
        resetPeer(daemon, CloseCause::QueueFull);
        return;
    }
    peer.establishedConnections_.front()->setLastSentAt(clock_.now());
    peer.establishedConnections_.front()->send(makeNumberedFrame(peer.link_, bytes));
}

} // namespace mimosapier
