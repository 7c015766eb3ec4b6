// Reading and writing of JSON. Readers keep the default of a missing field and report a field of the wrong type.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosapier
{

using Json = nlohmann::json;

// Parses a whole text. Returns false when it is not valid JSON.
bool parseJson(std::string_view text, Json &value);

// Compact text; bytes that are not valid UTF-8 are replaced.
std::string dumpJson(const Json &value);

// Each reads object[name] into `out`. Returns true when the field is missing (out is unchanged) or has the right
// type, false otherwise or when `object` is not an object. Numbers must be integers in the range of the type.
bool readField(const Json &object, const char *name, std::string &out);
bool readField(const Json &object, const char *name, bool &out);
bool readField(const Json &object, const char *name, std::int64_t &out);
bool readField(const Json &object, const char *name, std::uint64_t &out);
bool readField(const Json &object, const char *name, std::uint32_t &out);
bool readField(const Json &object, const char *name, double &out);

} // namespace mimosapier
