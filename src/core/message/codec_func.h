// msgpack encoding of the messages between daemons, called by the connections to peers.
//
// A message is the array [index of the alternative in PeerMessage, array of its fields in the order of fields.h].
// Decoding does not throw on malformed input.
#pragma once

#include "core/message/peer_type.h"

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace mimosapier
{

std::string encodeMessage(const PeerMessage &message);

// Decodes `bytes`, the payload of one frame. On error (MalformedFrame) the contents of `message` are unspecified.
std::error_code decodeMessage(std::string_view bytes, PeerMessage &message);

} // namespace mimosapier
