// Ordered delivery between two daemons over their connections. A connection can be lost while another stays up;
// numbered messages that the other side has not acknowledged are then sent again on the other connection, and the
// receiver drops repeats by their sequence number. Both sides give up the link together: each link has a generation
// at each side, and a new generation in the peer's hello means that the peer has given up the former one.
#pragma once

#include "net/frame_func.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>

namespace mimosapier
{

using SharedFrame = std::shared_ptr<const std::string>;

// State of one side. The counters start at 0 with each generation.
struct PeerLink
{
    std::uint64_t generation_ = 0; // own; greater than that of all former links of this process
    std::uint64_t peerGeneration_ = 0; // 0: none seen since the link began
    std::uint64_t lastSentSequence_ = 0; // sequence of the newest numbered message
    std::uint64_t lastReceivedSequence_ = 0; // highest sequence delivered
    std::deque<SharedFrame> unacknowledged_; // the newest ones, ending with lastSentSequence_
    std::size_t unacknowledgedBytes_ = 0;
};

enum class GenerationCheck : std::uint8_t {
    Current, // the generation belongs to this link
    Stale, // the generation is older; the connection is to be closed
    Newer, // the peer has begun a new link; this side must begin one too
};

// Checks the generation of a peer's hello, and records the first one.
GenerationCheck checkGeneration(PeerLink &link, std::uint64_t peerGeneration);

// Gives up what is under way and begins a link of the given generation.
void resetLink(PeerLink &link, std::uint64_t generation);

// Frame for an unnumbered message.
SharedFrame makeUnnumberedFrame(const PeerLink &link, std::string_view message);

// Frame for the next numbered message, kept until it is acknowledged.
SharedFrame makeNumberedFrame(PeerLink &link, std::string_view message);

enum class SequenceCheck : std::uint8_t {
    Deliver,
    Duplicate, // delivered before
    Invalid, // a number that the peer cannot have sent
};

// Accounts for a frame of the peer.
SequenceCheck receiveNumbers(PeerLink &link, const FrameNumbers &numbers);

} // namespace mimosapier
