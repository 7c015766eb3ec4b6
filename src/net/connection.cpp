// Reading, writing and closing of a peer connection, see connection_internal.h.
#include "net/connection_internal.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace mimosapier
{

namespace asio = boost::asio;
using boost::system::error_code;

PeerConnection::PeerConnection(asio::ip::tcp::socket socket, ConnectionOwner &owner, SharedCounters &counters,
                               std::size_t maxQueuedBytes, TimePoint now)
    : socket_(std::move(socket))
    , owner_(owner)
    , counters_(counters)
    , maxQueuedBytes_(maxQueuedBytes)
    , session_(makePeerSession(*this))
    , lastReceivedAt_(now)
{
}

void PeerConnection::dial(const asio::ip::tcp::endpoint &endpoint, const DaemonId &expectedPeer)
{
    peer_ = expectedPeer;
    outgoing_ = true;
    socket_.async_connect(endpoint, [self = shared_from_this()](const error_code &error) {
        if (error) {
            self->fail(CloseCause::NotConnected);
            return;
        }
        if (self->state() == SessionState::Connecting) {
            processEvent(*self->session_, SessionEvent::Connected);
            self->read();
        }
    });
}

void PeerConnection::accept()
{
    processEvent(*session_, SessionEvent::Accepted);
    read();
}

void PeerConnection::admitParked()
{
    processEvent(*session_, SessionEvent::Admitted);
}

void PeerConnection::fail(CloseCause cause)
{
    if (state() == SessionState::Closed) {
        return;
    }
    counters_.update(
        [cause](TransportCounters &counters) { ++counters.closedByCause_.at(static_cast<std::size_t>(cause)); });
    processEvent(*session_, SessionEvent::Fault);
}

void PeerConnection::sendHello()
{
    send(std::make_shared<const std::string>(owner_.helloFrame(*this)));
}

void PeerConnection::onEstablished()
{
    decoder_.setMaxBodyBytes(MaxFrameBytes);
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    counters_.update([](TransportCounters &counters) { ++counters.connectionsEstablished_; });
    owner_.onEstablished(*this);
}

void PeerConnection::onClosed(bool wasEstablished)
{
    error_code ignored;
    socket_.close(ignored);
    queue_.clear();
    owner_.onClosed(*this, wasEstablished);
}

void PeerConnection::send(const SharedFrame &frame)
{
    if (queuedBytes_ + frame->size() > maxQueuedBytes_) {
        // Closes from the event loop, because callers iterate over the connections while they send.
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->fail(CloseCause::QueueFull); });
        return;
    }
    queuedBytes_ += frame->size();
    queue_.push_back(frame);
    if (writing_.empty()) {
        write();
    }
}

void PeerConnection::write()
{
    if (queue_.empty()) {
        return;
    }
    writing_.assign(queue_.begin(), queue_.end());
    queue_.clear();
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(writing_.size());
    for (const SharedFrame &frame : writing_) {
        buffers.push_back(asio::buffer(*frame));
    }
    asio::async_write(socket_, buffers, [self = shared_from_this()](const error_code &error, std::size_t bytes) {
        self->writing_.clear();
        self->queuedBytes_ -= std::min(bytes, self->queuedBytes_);
        self->counters_.update(
            [&](TransportCounters &counters) { counters.bytesByRegion_[self->peerHello_.region_].sent_ += bytes; });
        if (error) {
            self->fail(CloseCause::Lost);
        } else {
            self->write();
        }
    });
}

void PeerConnection::read()
{
    socket_.async_read_some(asio::buffer(input_), [self = shared_from_this()](const error_code &error, std::size_t n) {
        if (error) {
            self->fail(CloseCause::Lost);
            return;
        }
        self->receivedSinceCheck_ = true;
        self->processBytes({self->input_.data(), n});
        self->counters_.update(
            [&](TransportCounters &counters) { counters.bytesByRegion_[self->peerHello_.region_].received_ += n; });
        if (self->state() != SessionState::Closed) {
            self->read();
        }
    });
}

void PeerConnection::processBytes(std::string_view bytes)
{
    decoder_.append(bytes);
    std::string_view body;
    std::error_code error;
    while (state() != SessionState::Closed && decoder_.next(body, error)) {
        if (state() == SessionState::Parked) {
            fail(CloseCause::MalformedFrame); // the peer must wait for the hello of this side
        } else if (state() != SessionState::Established) {
            onHello(body);
        } else if (const CloseCause cause = owner_.onFrame(*this, body); cause != CloseCause::Count) {
            fail(cause);
        }
    }
    if (error) {
        fail(CloseCause::OversizedFrame);
    }
    if (state() != SessionState::Closed) {
        owner_.onBuffered(*this);
    }
}

void PeerConnection::onHello(std::string_view body)
{
    Hello hello;
    if (const std::error_code error = decodeHello(body, hello)) {
        fail(errorKind(error) == ErrorKind::UnsupportedVersion ? CloseCause::UnsupportedVersion
                                                               : CloseCause::MalformedFrame);
        return;
    }
    if (outgoing_ && hello.daemon_ != peer_) {
        fail(CloseCause::WrongPeer);
        return;
    }
    peerHello_ = std::move(hello);
    peer_ = peerHello_.daemon_;
    switch (owner_.admit(*this)) {
    case Admission::Admit:
        processEvent(*session_, SessionEvent::HelloValid);
        break;
    case Admission::Park:
        processEvent(*session_, SessionEvent::HelloOutsideSet);
        break;
    case Admission::Refuse:
        fail(CloseCause::WrongPeer);
        break;
    }
}

} // namespace mimosapier
