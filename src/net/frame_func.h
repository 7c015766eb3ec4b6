// Frames of the peer protocol. A frame is a 4-byte big-endian length and a body of that length. The first frame in each
// direction is a hello. The body of every other frame is a sequence number, an acknowledgement (8 bytes each, big
// endian) and a msgpack message. Used by connections and links on the transport's thread; does no I/O.
#pragma once

#include "core/common/id_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace mimosapier
{

constexpr std::size_t FrameHeaderBytes = 4;
constexpr std::size_t FrameNumbersBytes = 16; // sequence and acknowledgement
constexpr std::size_t MaxFrameBytes = 4'000'000; // longest body after the hello
constexpr std::size_t MaxHelloBytes = 1024; // longest body of a hello; limits the buffer for an unknown sender
constexpr std::uint32_t PeerProtocolVersion = 2;

// First frame in each direction of a connection; identifies the sender.
struct Hello
{
    std::uint32_t version_ = PeerProtocolVersion;
    DaemonId daemon_;
    RegionId region_;
    std::uint64_t generation_ = 0; // of the link, see link_func.h; increases at the sender
};

// Numbers that precede the message in a frame.
struct FrameNumbers
{
    std::uint64_t sequence_ = 0; // 0: unnumbered (heartbeats and beacons)
    std::uint64_t acknowledged_ = 0; // highest sequence number received from the peer
};

// Encodes a whole frame. The caller ensures that the body, FrameNumbersBytes and the message, fits MaxFrameBytes.
std::string encodeFrame(const FrameNumbers &numbers, std::string_view message);

// Splits the body of a frame; `message` refers to `body`. Error: MalformedFrame when the body is too short.
std::error_code decodeFrame(std::string_view body, FrameNumbers &numbers, std::string_view &message);

// Encodes a whole hello frame, with its length.
std::string encodeHello(const Hello &hello);

// Decodes the body of a hello. Errors: UnsupportedVersion when the version differs from PeerProtocolVersion;
// MalformedFrame when the body cannot be decoded, or the daemon or region is empty.
std::error_code decodeHello(std::string_view body, Hello &hello);

// Splits a byte stream into frame bodies. Not thread-safe.
class FrameDecoder
{
public:
    // Sets the longest body accepted from now on; MaxHelloBytes at the start.
    void setMaxBodyBytes(std::size_t bytes) { maxBodyBytes_ = bytes; }

    void append(std::string_view bytes);

    // Returns true and the next body, valid until the next append(); false when more bytes are needed or on error.
    // Error: BodyTooLarge; the decoder must not be used after that.
    bool next(std::string_view &body, std::error_code &error);

    // Bytes of frames that have not been returned yet.
    [[nodiscard]] std::size_t bufferedBytes() const { return buffer_.size() - start_; }

private:
    std::string buffer_;
    std::size_t start_ = 0; // offset in buffer_ of the first byte not yet returned
    std::size_t maxBodyBytes_ = MaxHelloBytes;
};

} // namespace mimosapier
