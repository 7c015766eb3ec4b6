// Tests the encoding of peer messages: a decoded message equals the one that was encoded, and malformed frames give
// MalformedFrame.
#include "core/message/codec_func.h"

#include <criterion/criterion.h>

#include <random>

using namespace mimosapier;

static PeerMessage sampleOffer()
{
    TaskOffer offer;
    offer.replyTo_ = {ReplyComponent::Home, ShardId("p/hobart/0"), CallId{7}};
    offer.group_ = ShardId("g/hobart/rack-1");
    offer.job_.id_ = JobId("school:1");
    offer.job_.size_ = {500, 256, 0, 1};
    offer.job_.payload_ = std::string("\0\x01\xff", 3);
    offer.remaining_ = Milliseconds(250);
    offer.lookupOnly_ = true;
    return offer;
}

// Guards against fields that are lost or swapped by encoding and decoding.
Test(codec, roundTrip)
{
    const PeerMessage sent = sampleOffer();
    PeerMessage received;
    cr_assert(!decodeMessage(encodeMessage(sent), received));
    cr_assert(received == sent);
}

// Guards against rejecting doubles with whole values: msgpack packs them as integers, which a decoder
// that expects floats takes for a malformed field.
Test(codec, wholeNumberRatio)
{
    CellRequest request;
    request.verb_ = CellVerb::Submit;
    request.job_ = StagedJobId{0xfedcba9876543210};
    request.policy_.slackFactor_ = 2;
    request.policy_.decideMs_ = 390.5;
    request.submitted_.steps_.resize(2);
    request.submitted_.steps_[1].after_ = {0};
    PeerMessage received;
    cr_assert(!decodeMessage(encodeMessage(request), received));
    cr_assert(received == PeerMessage(request));
}

// Guards against accepting a truncated frame, which would leave fields at their defaults.
Test(codec, truncatedFrameIsRefused)
{
    const std::string bytes = encodeMessage(sampleOffer());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        PeerMessage received;
        cr_assert(errorKind(decodeMessage(bytes.substr(0, length), received)) == ErrorKind::MalformedFrame);
    }
}

// Guards against crashes of the decoder on corrupted frames: up to four random bytes of a valid frame are changed.
Test(codec, corruptedFramesNeverCrash)
{
    const std::string bytes = encodeMessage(sampleOffer());
    std::mt19937_64 random(1);
    for (int round = 0; round < 20'000; ++round) {
        std::string corrupted = bytes;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t i = 0; i < changes; ++i) {
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
        }
        PeerMessage received;
        const std::error_code error = decodeMessage(corrupted, received);
        cr_assert(!error || errorKind(error) == ErrorKind::MalformedFrame);
    }
}
