// Encodes and decodes peer messages.
#include "core/message/codec_func.h"

#include "core/message/enum_func.h"
#include "core/message/fields.h"

#include "core/message/pack_func.h"

namespace mimosapier
{

std::string encodeMessage(const PeerMessage &message)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(message.index()));
    std::visit([&packer](const auto &body) { packValue(packer, body); }, message);
    return {buffer.data(), buffer.size()};
}

// Unpacks the alternative with the given index into `message`; compares the indices from I on.
template <std::size_t I = 0>
static bool unpackAlternative(std::size_t index, const msgpack::object &object, PeerMessage &message)
{
    if constexpr (I < std::variant_size_v<PeerMessage>) {
        if (index != I) {
            return unpackAlternative<I + 1>(index, object, message);
        }
        std::variant_alternative_t<I, PeerMessage> body;
        if (!unpackValue(object, body)) {
            return false;
        }
        message = std::move(body);
        return true;
    } else {
        return false;
    }
}

namespace
{

// The outer array of a frame. A type of its own, so that unpackFromString() can unpack into a PeerMessage.
struct Envelope
{
    PeerMessage &message_;
};

bool unpackValue(const msgpack::object &object, Envelope &envelope)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
        return false;
    }
    std::uint32_t index = 0;
    if (!mimosapier::unpackValue(object.via.array.ptr[0], index)) {
        return false;
    }
    return unpackAlternative(index, object.via.array.ptr[1], envelope.message_);
}

} // namespace

std::error_code decodeMessage(std::string_view bytes, PeerMessage &message)
{
    Envelope envelope{message};
    if (!unpackFromString(bytes, envelope)) {
        return ErrorKind::MalformedFrame;
    }
    return {};
}

} // namespace mimosapier
