// msgpack encoding of peer messages and of values kept in the store.
//
// Wire form of a message: array [index of the alternative in PeerMessage, fields in the order of fields.h]. Decoding
// never throws: malformed input gives ErrorKind::MalformedFrame.
#pragma once

#include "core/message/peer_type.h"

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace mimosapier
{

std::string encodeMessage(const PeerMessage &message);

// Parameters: bytes of one frame, result. Error: MalformedFrame.
std::error_code decodeMessage(std::string_view bytes, PeerMessage &message);

} // namespace mimosapier
