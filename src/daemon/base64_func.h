// Base64 (RFC 4648, with padding), and the encoding of values in the store: ASCII text is stored unchanged, other bytes
// as base64 after BinaryValuePrefix.
#pragma once

#include <string>
#include <string_view>

namespace mimosapier
{

std::string encodeBase64(std::string_view bytes);

// Returns false if `text` is not base64; the content of `bytes` is then undefined.
bool decodeBase64(std::string_view text, std::string &bytes);

constexpr std::string_view BinaryValuePrefix = "base64:";

// Encodes a value for the store.
std::string encodeStoreValue(std::string_view value);

// Reverses encodeStoreValue(). Returns false if the text after the prefix is not base64.
bool decodeStoreValue(std::string_view text, std::string &value);

} // namespace mimosapier
