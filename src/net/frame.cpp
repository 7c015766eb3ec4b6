// Encoding and decoding of frames and hellos, see frame_func.h.
#include "net/frame_func.h"

#include "core/common/error_type.h"
#include "core/message/pack_func.h"

namespace mimosapier
{

template <typename S, typename Visit>
static void visitHello(S &s, Visit &&visit)
{
    visit(s.version_, s.daemon_, s.region_, s.generation_);
}

// packToString() and unpackFromString() find these through argument-dependent lookup.
template <typename Visit>
void visitFields(Hello &s, Visit &&visit)
{
    visitHello(s, visit);
}

template <typename Visit>
void visitFields(const Hello &s, Visit &&visit)
{
    visitHello(s, visit);
}

static void appendNumber(std::string &bytes, std::uint64_t number, int width)
{
    for (int shift = 8 * (width - 1); shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>(number >> shift));
    }
}

static std::uint64_t readNumber(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char byte : bytes) {
        number = number << 8U | static_cast<unsigned char>(byte);
    }
    return number;
}

std::string encodeFrame(const FrameNumbers &numbers, std::string_view message)
{
    std::string frame;
    frame.reserve(FrameHeaderBytes + FrameNumbersBytes + message.size());
    appendNumber(frame, FrameNumbersBytes + message.size(), FrameHeaderBytes);
    appendNumber(frame, numbers.sequence_, FrameNumbersBytes / 2);
    appendNumber(frame, numbers.acknowledged_, FrameNumbersBytes / 2);
    frame += message;
    return frame;
}

std::error_code decodeFrame(std::string_view body, FrameNumbers &numbers, std::string_view &message)
{
    if (body.size() < FrameNumbersBytes) {
        return ErrorKind::MalformedFrame;
    }
    numbers.sequence_ = readNumber(body.substr(0, FrameNumbersBytes / 2));
    numbers.acknowledged_ = readNumber(body.substr(FrameNumbersBytes / 2, FrameNumbersBytes / 2));
    message = body.substr(FrameNumbersBytes);
    return {};
}

std::string encodeHello(const Hello &hello)
{
    const std::string body = packToString(hello);
    std::string frame;
    appendNumber(frame, body.size(), FrameHeaderBytes);
    return frame += body;
}

std::error_code decodeHello(std::string_view body, Hello &hello)
{
    if (!unpackFromString(body, hello)) {
        return ErrorKind::MalformedFrame;
    }
    if (hello.version_ != PeerProtocolVersion) {
        return ErrorKind::UnsupportedVersion;
    }
    if (hello.daemon_.empty() || hello.region_.empty()) {
        return ErrorKind::MalformedFrame;
    }
    return {};
}

// A decoder keeps a larger buffer only while it holds a part of a frame: each of two connections to each peer would
// otherwise keep the memory of its longest frame.
static constexpr std::size_t MaxKeptCapacity = 64 * 1024;

void FrameDecoder::append(std::string_view bytes)
{
    buffer_.erase(0, start_);
    start_ = 0;
    if (buffer_.empty() && buffer_.capacity() > MaxKeptCapacity) {
        std::string().swap(buffer_); // an assignment of {} would keep the capacity
    }
    buffer_ += bytes;
}

bool FrameDecoder::next(std::string_view &body, std::error_code &error)
{
    const std::string_view rest = std::string_view(buffer_).substr(start_);
    if (rest.size() < FrameHeaderBytes) {
        return false;
    }
    const std::size_t length = readNumber(rest.substr(0, FrameHeaderBytes));
    if (length > maxBodyBytes_) {
        error = ErrorKind::BodyTooLarge;
        return false;
    }
    if (rest.size() - FrameHeaderBytes < length) {
        return false;
    }
    body = rest.substr(FrameHeaderBytes, length);
    start_ += FrameHeaderBytes + length;
    return true;
}

} // namespace mimosapier
