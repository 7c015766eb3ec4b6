// Link between two daemons: ordered delivery without duplicates over several connections. When one connection is lost
// and another stays up, unacknowledged numbered messages are sent again on the other one, and the receiver drops
// duplicates by sequence number. Messages that are unacknowledged when the link is reset are lost. Each side gives its
// end of the link a generation. A newer generation in the peer's hello means that the peer has discarded its state of
// the link, so this side has to discard its own. Called by the transport on its thread; does no I/O.
#pragma once

#include "net/frame_func.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>

namespace mimosapier
{

using SharedFrame = std::shared_ptr<const std::string>;

// State of the link at one side. The sequence numbers start at 0 with each generation.
struct PeerLink
{
    std::uint64_t generation_ = 0; // own; greater than all earlier ones of this process
    std::uint64_t peerGeneration_ = 0; // 0: no hello received since the reset
    std::uint64_t lastSentSequence_ = 0; // of the newest numbered message
    std::uint64_t lastReceivedSequence_ = 0; // highest one delivered
    std::deque<SharedFrame> unacknowledged_; // frames in order of sequence; the last one is lastSentSequence_
    std::size_t unacknowledgedBytes_ = 0; // sum over unacknowledged_, with headers
};

enum class GenerationCheck : std::uint8_t {
    Current, // the generation belongs to this link
    Stale, // the generation is older; the caller closes the connection
    Newer, // the peer has reset its side; the caller closes the other connections and resets the link
};

// Compares the generation in a peer's hello with the known one; records the first one after a reset.
GenerationCheck checkGeneration(PeerLink &link, std::uint64_t peerGeneration);

// Discards all unacknowledged messages and starts over with the given generation.
void resetLink(PeerLink &link, std::uint64_t generation);

// Encodes an unnumbered message, which is neither acknowledged nor sent again.
SharedFrame makeUnnumberedFrame(const PeerLink &link, std::string_view message);

// Encodes the next numbered message and keeps the frame until the peer acknowledges it.
SharedFrame makeNumberedFrame(PeerLink &link, std::string_view message);

enum class SequenceCheck : std::uint8_t {
    Deliver, // the next numbered message, or an unnumbered one
    Duplicate, // delivered before; the caller drops it
    Invalid, // a gap, or an acknowledgement of a message never sent; the caller closes the connection
};

// Processes the numbers of a received frame: drops acknowledged frames and advances lastReceivedSequence_.
SequenceCheck receiveNumbers(PeerLink &link, const FrameNumbers &numbers);

} // namespace mimosapier
