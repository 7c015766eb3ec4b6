// JSON output.
#include "core/common/json_func.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace mimosapier
{

void appendJsonString(std::string &out, std::string_view text)
{
    out += '"';
    const auto needsEscape = [](char c) { return c == '"' || c == '\\' || static_cast<unsigned char>(c) < 0x20; };
    if (std::none_of(text.begin(), text.end(), needsEscape)) { // the usual case
        out += text;
        out += '"';
        return;
    }
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (c == '\n') {
            out += "\\n";
        } else if (static_cast<unsigned char>(c) < 0x20) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned>(c));
            out += escape.data();
        } else {
            out += c;
        }
    }
    out += '"';
}

void JsonObject::key(std::string_view name)
{
    if (out_.size() > 1) {
        out_ += ',';
    }
    appendJsonString(out_, name);
    out_ += ':';
}

JsonObject &JsonObject::text(std::string_view name, std::string_view value)
{
    key(name);
    appendJsonString(out_, value);
    return *this;
}

JsonObject &JsonObject::number(std::string_view name, std::int64_t value)
{
    key(name);
    out_ += std::to_string(value);
    return *this;
}

JsonObject &JsonObject::real(std::string_view name, double value)
{
    key(name);
    if (!std::isfinite(value)) {
        out_ += "null";
        return *this;
    }
    std::array<char, 32> number{};
    std::snprintf(number.data(), number.size(), "%.6g", value);
    out_ += number.data();
    return *this;
}

JsonObject &JsonObject::boolean(std::string_view name, bool value)
{
    key(name);
    out_ += value ? "true" : "false";
    return *this;
}

JsonObject &JsonObject::raw(std::string_view name, std::string_view json)
{
    key(name);
    out_ += json;
    return *this;
}

std::string JsonObject::finish()
{
    out_ += '}';
    return std::move(out_);
}

void JsonArray::separate()
{
    if (out_.size() > 1) {
        out_ += ',';
    }
}

JsonArray &JsonArray::raw(std::string_view json)
{
    separate();
    out_ += json;
    return *this;
}

JsonArray &JsonArray::text(std::string_view value)
{
    separate();
    appendJsonString(out_, value);
    return *this;
}

std::string JsonArray::finish()
{
    out_ += ']';
    return std::move(out_);
}

} // namespace mimosapier
