// Base64, and the encoding of values in the store.
#include "daemon/base64_func.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace mimosapier
{

static constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
static constexpr std::uint8_t NoDigit = 0xff;

static consteval std::array<std::uint8_t, 256> digitValues()
{
    std::array<std::uint8_t, 256> values{};
    values.fill(NoDigit);
    for (std::size_t i = 0; i < Digits.size(); ++i) {
        values[static_cast<unsigned char>(Digits[i])] = static_cast<std::uint8_t>(i);
    }
    return values;
}

static constexpr std::array<std::uint8_t, 256> DigitValues = digitValues();

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        const std::size_t used = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 4; ++j) {
            text.push_back(j <= used ? Digits[group >> (18 - 6 * j) & 0x3fU] : '=');
        }
    }
    return text;
}

bool decodeBase64(std::string_view text, std::string &bytes)
{
    bytes.clear();
    if (text.size() % 4 != 0) {
        return false;
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.reserve(text.size() / 4 * 3);
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool padded = i >= text.size() - padding;
        const std::uint8_t digit = padded ? 0 : DigitValues[static_cast<unsigned char>(text[i])];
        if (digit == NoDigit) {
            return false;
        }
        group = group << 6U | digit;
        if (i % 4 == 3) {
            bytes.push_back(static_cast<char>(group >> 16U));
            bytes.push_back(static_cast<char>(group >> 8U));
            bytes.push_back(static_cast<char>(group));
            group = 0;
        }
    }
    bytes.resize(bytes.size() - padding);
    return true;
}

// True for ASCII text without control characters except line breaks and tabs. Other text is stored as base64: this
// avoids a check for malformed UTF-8, and control characters would need long escapes in JSON.
static bool isText(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char byte) {
        const auto value = static_cast<unsigned char>(byte);
        return (value >= 0x20U && value < 0x7fU) || value == '\n' || value == '\t' || value == '\r';
    });
}

std::string encodeStoreValue(std::string_view value)
{
    if (isText(value) && !value.starts_with(BinaryValuePrefix)) {
        return std::string(value);
    }
    return std::string(BinaryValuePrefix) + encodeBase64(value);
}

bool decodeStoreValue(std::string_view text, std::string &value)
{
    if (!text.starts_with(BinaryValuePrefix)) {
        value = text;
        return true;
    }
    return decodeBase64(text.substr(BinaryValuePrefix.size()), value);
}

} // namespace mimosapier
