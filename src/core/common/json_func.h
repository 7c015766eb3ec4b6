// Writes JSON for admin views and log lines. There is no parser here: the code that receives JSON parses it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosapier
{

// Appends `text` as a JSON string with quotes. Escapes quotes, backslashes and control characters; copies bytes above
// 127, so `text` must be UTF-8.
void appendJsonString(std::string &out, std::string_view text);

// Builds a JSON object. Members are written in the order of the calls; names are not checked for duplicates. finish()
// returns the text and must be called last and only once.
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

// Builds a JSON array. finish() returns the text and must be called last and only once.
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
