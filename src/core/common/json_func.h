// Writes JSON text for the admin views. Not a parser: JSON from outside is parsed by the shells.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosapier
{

// Appends `text` as a JSON string with quotes; control characters are escaped, bytes above 127 are copied.
void appendJsonString(std::string &out, std::string_view text);

// Builds one JSON object member by member; finish() returns the text.
class JsonObject
{
public:
    JsonObject &text(std::string_view name, std::string_view value);
    JsonObject &number(std::string_view name, std::int64_t value);
    JsonObject &real(std::string_view name, double value); // non-finite values are written as null
    JsonObject &boolean(std::string_view name, bool value);
    JsonObject &raw(std::string_view name, std::string_view json); // `json` is valid JSON
    std::string finish();

private:
    void key(std::string_view name);

    std::string out_ = "{"; // without the closing brace
};

// Builds one JSON array of raw elements.
class JsonArray
{
public:
    JsonArray &raw(std::string_view json); // `json` is valid JSON
    JsonArray &text(std::string_view value);
    std::string finish();

private:
    void separate();

    std::string out_ = "["; // without the closing bracket
};

} // namespace mimosapier
