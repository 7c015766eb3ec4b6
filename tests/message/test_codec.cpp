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

static CellBeacon sampleBeacon()
{
    CellBeacon beacon;
    beacon.sequence_ = 7;
    beacon.leader_ = DaemonId("d1");
    beacon.leaderSeen_ = true;
    beacon.evacuatedZones_ = {"north", "south"};
    beacon.zonesRevision_ = 41;
    return beacon;
}

// Guards against evacuated zones that are lost between daemons.
Test(codec, beaconCarriesTheEvacuatedZones)
{
    PeerMessage received;
    cr_assert(!decodeMessage(encodeMessage(sampleBeacon()), received));
    cr_assert(received == PeerMessage(sampleBeacon()));
}

// Guards against an update that disconnects daemons: the beacons of the previous version end before the evacuated
// zones, and were refused as too short.
Test(codec, beaconOfThePreviousVersionIsRead)
{
    CellBeacon sent = sampleBeacon();
    sent.evacuatedZones_.clear();
    sent.zonesRevision_ = 0;
    std::string bytes = encodeMessage(sent);
    cr_assert_eq(bytes[2], '\x9b', "an array of eleven fields");
    cr_assert(bytes.ends_with(std::string("\x90\x00", 2)), "of which the last two are empty and 0");
    bytes[2] = '\x99';
    bytes.resize(bytes.size() - 2);
    PeerMessage received = sampleBeacon();
    cr_assert(!decodeMessage(bytes, received));
    cr_assert(received == PeerMessage(sent));
    bytes[2] = '\x98'; // without leaderSeen_, which the previous version sends
    bytes.resize(bytes.size() - 1);
    cr_assert(errorKind(decodeMessage(bytes, received)) == ErrorKind::MalformedFrame);
}

// Guards against an update that disconnects daemons: a decoder that refuses the fields which a later version adds at
// the end. The decoder of the previous version takes surplus fields by the same rule.
Test(codec, beaconOfALaterVersionIsRead)
{
    std::string bytes = encodeMessage(sampleBeacon());
    bytes[2] = '\x9c';
    bytes += '\x01';
    PeerMessage received;
    cr_assert(!decodeMessage(bytes, received));
    cr_assert(received == PeerMessage(sampleBeacon()));
}
