// Numbering and acknowledgement of messages between two daemons.
#include "net/link_func.h"

namespace mimosapier
{

LinkGreeting greetLink(PeerLink &link, std::uint64_t peerGeneration)
{
    if (peerGeneration < link.peerGeneration_) {
        return LinkGreeting::Stale;
    }
    if (link.peerGeneration_ != 0 && peerGeneration > link.peerGeneration_) {
        return LinkGreeting::Renewed;
    }
    link.peerGeneration_ = peerGeneration;
    return LinkGreeting::Current;
}

void renewLink(PeerLink &link, std::uint64_t generation)
{
    link = {};
    link.generation_ = generation;
}

SharedFrame unnumberedFrame(const PeerLink &link, std::string_view message)
{
    return std::make_shared<const std::string>(encodeFrame({0, link.lastReceived_}, message));
}

SharedFrame numberedFrame(PeerLink &link, std::string_view message)
{
    const FrameNumbers numbers{++link.lastSent_, link.lastReceived_};
    auto frame = std::make_shared<const std::string>(encodeFrame(numbers, message));
    link.unacknowledged_.push_back(frame);
    link.unacknowledgedBytes_ += frame->size();
    return frame;
}

LinkReceipt receiveNumbers(PeerLink &link, const FrameNumbers &numbers)
{
    if (numbers.acknowledged_ > link.lastSent_ || numbers.sequence_ > link.lastReceived_ + 1) {
        return LinkReceipt::Broken;
    }
    while (link.lastSent_ - link.unacknowledged_.size() < numbers.acknowledged_) {
        link.unacknowledgedBytes_ -= link.unacknowledged_.front()->size();
        link.unacknowledged_.pop_front();
    }
    if (numbers.sequence_ == 0) {
        return LinkReceipt::Deliver;
    }
    if (numbers.sequence_ <= link.lastReceived_) {
        return LinkReceipt::Repeat;
    }
    link.lastReceived_ = numbers.sequence_;
    return LinkReceipt::Deliver;
}

} // namespace mimosapier
