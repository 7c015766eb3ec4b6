// Reading and writing of JSON, for request bodies, responses and output. The functions do not throw and may run on any
// thread.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mimosapier
{

using Json = nlohmann::json;

// Parses a whole text. Returns false when the text is not valid JSON.
bool parseJson(std::string_view text, Json &value);

// Like parseJson(), for bodies that clients send. Also returns false when the text has more than MaxClientJsonValues
// commas and brackets, or is nested deeper than MaxClientJsonDepth: a body of 1 MB that consists of brackets takes
// 80 MB once it is parsed. A body of 262,144 bytes with no more than one value in two bytes is within the limits.
constexpr std::size_t MaxClientJsonValues = 131'072;
constexpr std::size_t MaxClientJsonDepth = 64;
bool parseClientJson(std::string_view text, Json &value);

// Returns compact JSON text. Replaces bytes that are not valid UTF-8.
std::string dumpJson(const Json &value);

// Each reads object[name] into `out`. Returns true when the field has the right type, or is missing (`out` keeps its
// value). Returns false when the field has another type or `object` is not an object. Integers must be in the range of
// the type of `out`.
bool readField(const Json &object, const char *name, std::string &out);
bool readField(const Json &object, const char *name, bool &out);
bool readField(const Json &object, const char *name, std::int64_t &out);
bool readField(const Json &object, const char *name, std::uint64_t &out);
bool readField(const Json &object, const char *name, std::uint32_t &out);
bool readField(const Json &object, const char *name, double &out);

} // namespace mimosapier
