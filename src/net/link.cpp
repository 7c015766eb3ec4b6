// Numbering and acknowledgement of messages between two daemons, see link_func.h.
#include "net/link_func.h"

namespace mimosapier
{

GenerationCheck checkGeneration(PeerLink &link, std::uint64_t peerGeneration)
{
    if (peerGeneration < link.peerGeneration_) {
        return GenerationCheck::Stale;
    }
    if (link.peerGeneration_ != 0 && peerGeneration > link.peerGeneration_) {
        return GenerationCheck::Newer;
    }
    link.peerGeneration_ = peerGeneration;
    return GenerationCheck::Current;
}

void resetLink(PeerLink &link, std::uint64_t generation)
{
    link = {};
    link.generation_ = generation;
}

SharedFrame makeUnnumberedFrame(const PeerLink &link, std::string_view message)
{
    return std::make_shared<const std::string>(encodeFrame({0, link.lastReceivedSequence_}, message));
}

SharedFrame makeNumberedFrame(PeerLink &link, std::string_view message)
{
    const FrameNumbers numbers{++link.lastSentSequence_, link.lastReceivedSequence_};
    auto frame = std::make_shared<const std::string>(encodeFrame(numbers, message));
    link.unacknowledged_.push_back(frame);
    link.unacknowledgedBytes_ += frame->size();
    return frame;
}

SequenceCheck receiveNumbers(PeerLink &link, const FrameNumbers &numbers)
{
    if (numbers.acknowledged_ > link.lastSentSequence_ || numbers.sequence_ > link.lastReceivedSequence_ + 1) {
        return SequenceCheck::Invalid;
    }
    while (link.lastSentSequence_ - link.unacknowledged_.size() < numbers.acknowledged_) {
        link.unacknowledgedBytes_ -= link.unacknowledged_.front()->size();
        link.unacknowledged_.pop_front();
    }
    if (numbers.sequence_ == 0) {
        return SequenceCheck::Deliver;
    }
    if (numbers.sequence_ <= link.lastReceivedSequence_) {
        return SequenceCheck::Duplicate;
    }
    link.lastReceivedSequence_ = numbers.sequence_;
    return SequenceCheck::Deliver;
}

} // namespace mimosapier
