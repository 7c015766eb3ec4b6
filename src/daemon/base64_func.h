// Base64 (RFC 4648, with padding), and the form of values in the store: text as it is, other bytes as base64 behind a
// prefix.
#pragma once

#include <string>
#include <string_view>

namespace mimosapier
{

std::string encodeBase64(std::string_view bytes);

// Returns false when the text is not base64.
bool decodeBase64(std::string_view text, std::string &bytes);

constexpr std::string_view BinaryValuePrefix = "base64:";

// Form of a value in the store.
std::string encodeStoreValue(std::string_view value);

// Returns false when the prefix is followed by anything but base64.
bool decodeStoreValue(std::string_view text, std::string &value);

} // namespace mimosapier
