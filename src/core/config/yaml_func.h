// YAML text as a plain tree with line numbers. The only user of yaml-cpp is yaml.cpp.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosapier
{

enum class YamlKind : std::uint8_t { Null, Scalar, List, Map };

struct YamlNode
{
    YamlKind kind_ = YamlKind::Null;
    int line_ = 0; // 1-based
    std::string scalar_; // of a Scalar
    std::vector<YamlNode> items_; // of a List; values of a Map, in the order of keys_
    std::vector<std::pair<std::string, int>> keys_; // of a Map: key and its line; may repeat
};

// What is wrong with the text as YAML.
struct YamlProblem
{
    int line_ = 0; // 1-based; 0 when unknown
    std::string text_;
};

// Parses one document. Returns false and fills `problem` when the text is not YAML, or nests or expands too far.
bool parseYaml(std::string_view text, YamlNode &root, YamlProblem &problem);

// Value of a key of a Map; nullptr when it is missing.
const YamlNode *findKey(const YamlNode &map, std::string_view key);

// Short text of a node for messages: the scalar, "a list", "a map" or "nothing".
std::string describe(const YamlNode &node);

} // namespace mimosapier
