// Frames of the peer protocol: a 4-byte big-endian length and a body. The first frame of each direction is a hello.
// The body of the others is a sequence number, an acknowledgement (8 bytes each, big endian) and a msgpack message.
#pragma once

#include "core/common/id_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace mimosapier
{

constexpr std::size_t FrameHeaderBytes = 4;
constexpr std::size_t FrameNumbersBytes = 16;
constexpr std::size_t MaxFrameBytes = 4'000'000; // of a body
constexpr std::size_t MaxHelloBytes = 1024; // of a hello's body; bounds what an unknown sender can make us buffer
constexpr std::uint32_t PeerProtocolVersion = 2;

// First frame of a connection in each direction.
struct Hello
{
    std::uint32_t version_ = PeerProtocolVersion;
    DaemonId daemon_;
    RegionId region_;
    std::uint64_t generation_ = 0; // of the link between the two daemons, see link_func.h; rises at the sender
};

// Numbers in front of a message.
struct FrameNumbers
{
    std::uint64_t sequence_ = 0; // 0: unnumbered, for heartbeats
    std::uint64_t acknowledged_ = 0; // highest sequence received from the other side
};

// Frame with a message. Its body is at most MaxFrameBytes long.
std::string encodeFrame(const FrameNumbers &numbers, std::string_view message);

// Splits the body of a frame. Error: MalformedFrame when it is too short.
std::error_code decodeFrame(std::string_view body, FrameNumbers &numbers, std::string_view &message);

std::string encodeHello(const Hello &hello);

// Errors: MalformedFrame; UnsupportedVersion when the version differs.
std::error_code decodeHello(std::string_view body, Hello &hello);

// Cuts a byte stream into frames.
class FrameDecoder
{
public:
    // Limit for the bodies that follow.
    void setMaxBodyBytes(std::size_t bytes) { maxBodyBytes_ = bytes; }

    void append(std::string_view bytes);

    // Result: true and the next body, valid until the next append(); false when more bytes are needed or on error.
    // Error: BodyTooLarge, after which the stream is unusable.
    bool next(std::string_view &body, std::error_code &error);

private:
    std::string buffer_;
    std::size_t start_ = 0; // first byte of buffer_ that was not returned
    std::size_t maxBodyBytes_ = MaxHelloBytes;
};

} // namespace mimosapier
