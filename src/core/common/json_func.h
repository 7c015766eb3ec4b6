// Writing of JSON text by the decision logic, for documents of the admin views.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace mimosapier
{

// Appends `text` as a JSON string with quotes. Bytes of 0x80 and above are copied, so that UTF-8 stays as it is.
inline void appendJsonString(std::string &out, std::string_view text)
{
    constexpr std::string_view HexDigits = "0123456789abcdef";
    out += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (c == '\n') {
            out += "\\n";
        } else if (byte < 0x20 || byte == 0x7f) {
            out += "\\u00";
            out += HexDigits[byte >> 4U];
            out += HexDigits[byte & 0xfU];
        } else {
            out += c;
        }
    }
    out += '"';
}

inline std::string jsonString(std::string_view text)
{
    std::string out;
    appendJsonString(out, text);
    return out;
}

} // namespace mimosapier
