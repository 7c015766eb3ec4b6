// Tests of framing, hello, message numbers and the session's state machine, without sockets.
#include "core/common/error_type.h"
#include "net/link_func.h"
#include "net/peer_session_func.h"

#include <criterion/criterion.h>

#include <random>
#include <vector>

using namespace mimosapier;

// Decodes a stream that arrives in pieces of the given size. Returns the bodies.
static std::vector<std::string> splitIntoFrames(const std::string &stream, std::size_t piece)
{
    std::vector<std::string> bodies;
    FrameDecoder decoder;
    decoder.setMaxBodyBytes(MaxFrameBytes);
    std::error_code error;
    for (std::size_t i = 0; i < stream.size(); i += piece) {
        decoder.append(std::string_view(stream).substr(i, piece));
        std::string_view body;
        while (decoder.next(body, error)) {
            bodies.emplace_back(body);
        }
        cr_assert(!error);
    }
    return bodies;
}

// Guards against frames that are lost or merged. TCP may deliver the stream in pieces of any size.
Test(frame, anyPieceSizeGivesTheSameFrames)
{
    const std::string stream
        = encodeFrame({1, 2}, "abc") + encodeFrame({0, 7}, "") + encodeFrame({3, 0}, std::string(700, 'x'));
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        const std::vector<std::string> bodies = splitIntoFrames(stream, piece);
        cr_assert_eq(bodies.size(), 3U);
        FrameNumbers numbers;
        std::string_view message;
        cr_assert(!decodeFrame(bodies[0], numbers, message));
        cr_assert(numbers.sequence_ == 1 && numbers.acknowledged_ == 2 && message == "abc");
        cr_assert(!decodeFrame(bodies[2], numbers, message));
        cr_assert(message == std::string(700, 'x'));
    }
}

// Guards against unlimited buffering for an unknown sender: the length in the header is checked before the body
// arrives.
Test(frame, oversizedFrameIsRefusedByItsHeader)
{
    FrameDecoder decoder;
    decoder.append(std::string("\x00\x00\x04\x01", 4)); // one byte more than a hello may have
    std::string_view body;
    std::error_code error;
    cr_assert(!decoder.next(body, error));
    cr_assert(errorKind(error) == ErrorKind::BodyTooLarge);
}

// Guards against accepting a hello of another protocol version or without a daemon id.
Test(frame, helloIsChecked)
{
    const auto check = [](const Hello &sent) {
        Hello received;
        return errorKind(decodeHello(std::string_view(encodeHello(sent)).substr(FrameHeaderBytes), received));
    };
    const Hello good{PeerProtocolVersion, DaemonId("a#1"), RegionId("hobart"), 5};
    cr_assert(check(good) == ErrorKind::None);
    Hello other = good;
    other.version_ = PeerProtocolVersion + 1;
    cr_assert(check(other) == ErrorKind::UnsupportedVersion);
    other = good;
    other.daemon_ = {};
    cr_assert(check(other) == ErrorKind::MalformedFrame);
}

// Guards against crashes and unexpected errors on corrupted streams. Changes up to 5 random bytes of a valid stream.
Test(frame, corruptedStreamsNeverCrash)
{
    const std::string hello = encodeHello({PeerProtocolVersion, DaemonId("a#1"), RegionId("hobart"), 5});
    std::mt19937_64 random(2);
    for (int round = 0; round < 20'000; ++round) {
        std::string stream = hello + encodeFrame({1, 0}, "message");
        for (std::size_t i = 0; i <= static_cast<std::size_t>(round % 5); ++i) {
            stream[random() % stream.size()] = static_cast<char>(random());
        }
        FrameDecoder decoder;
        decoder.append(stream);
        std::string_view body;
        std::error_code error;
        while (decoder.next(body, error)) {
            Hello received;
            const ErrorKind kind = errorKind(decodeHello(body, received));
            cr_assert(kind == ErrorKind::None || kind == ErrorKind::MalformedFrame
                      || kind == ErrorKind::UnsupportedVersion);
        }
        cr_assert(!error || errorKind(error) == ErrorKind::BodyTooLarge);
    }
}

// Guards against messages that are delivered twice or out of order after a resend, or kept after their acknowledgement.
Test(link, repeatsAreDroppedAndAcknowledgedMessagesForgotten)
{
    PeerLink link;
    resetLink(link, 1);
    makeNumberedFrame(link, "one");
    makeNumberedFrame(link, "two");
    cr_assert(receiveNumbers(link, {1, 1}) == SequenceCheck::Deliver);
    cr_assert_eq(link.unacknowledged_.size(), 1U);
    cr_assert(receiveNumbers(link, {1, 1}) == SequenceCheck::Duplicate);
    cr_assert(receiveNumbers(link, {2, 0}) == SequenceCheck::Deliver);
    cr_assert(receiveNumbers(link, {0, 2}) == SequenceCheck::Deliver);
    cr_assert_eq(link.unacknowledgedBytes_, 0U);
    cr_assert(receiveNumbers(link, {4, 2}) == SequenceCheck::Invalid);
    cr_assert(receiveNumbers(link, {3, 3}) == SequenceCheck::Invalid);
}

// Guards against using a link after the peer has reset its side: sequence numbers would no longer match.
Test(link, newGenerationOfThePeerIsNoticed)
{
    PeerLink link;
    resetLink(link, 1);
    cr_assert(checkGeneration(link, 4) == GenerationCheck::Current);
    cr_assert(checkGeneration(link, 4) == GenerationCheck::Current);
    cr_assert(checkGeneration(link, 3) == GenerationCheck::Stale);
    cr_assert(checkGeneration(link, 5) == GenerationCheck::Newer);
}

struct CountingHooks final : SessionHooks
{
    void sendHello() override { ++hellos_; }
    void onEstablished() override { ++established_; }
    void onClosed(bool wasEstablished) override
    {
        (wasEstablished ? closedAfterEstablished_ : closedBeforeEstablished_) += 1;
    }
    int hellos_ = 0;
    int established_ = 0;
    int closedAfterEstablished_ = 0;
    int closedBeforeEstablished_ = 0;
};

// Guards against a session that is established or closed twice, when an event arrives in a state that does not expect
// it.
Test(session, eachEventHasItsEffectOnce)
{
    CountingHooks hooks;
    const Handle<PeerSession> dialled = makePeerSession(hooks);
    cr_assert(processEvent(*dialled, SessionEvent::HelloValid) == SessionState::Connecting);
    cr_assert(processEvent(*dialled, SessionEvent::Connected) == SessionState::AwaitingHello);
    cr_assert(processEvent(*dialled, SessionEvent::HelloValid) == SessionState::Established);
    cr_assert(processEvent(*dialled, SessionEvent::HelloValid) == SessionState::Established);
    cr_assert(processEvent(*dialled, SessionEvent::Fault) == SessionState::Closed);
    cr_assert(processEvent(*dialled, SessionEvent::Fault) == SessionState::Closed);
    cr_assert(hooks.hellos_ == 1 && hooks.established_ == 1 && hooks.closedAfterEstablished_ == 1);

    const Handle<PeerSession> parked = makePeerSession(hooks);
    cr_assert(processEvent(*parked, SessionEvent::Accepted) == SessionState::AwaitingHello);
    cr_assert(processEvent(*parked, SessionEvent::HelloOutsideSet) == SessionState::Parked);
    cr_assert_eq(hooks.hellos_, 1);
    cr_assert(processEvent(*parked, SessionEvent::Admitted) == SessionState::Established);
    cr_assert_eq(hooks.hellos_, 2);
}
