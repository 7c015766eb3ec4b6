// YAML text as a tree of plain structs with line numbers, for the validation of bundles. Only yaml.cpp uses yaml-cpp,
// and no exception of that library gets out.
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
    std::string scalar_; // text of a Scalar
    std::vector<YamlNode> items_; // elements of a List, or values of a Map in the order of keys_
    std::vector<std::pair<std::string, int>> keys_; // of a Map: key and line; keys may repeat
};

// A syntax error in YAML text.
struct YamlProblem
{
    int line_ = 0; // 1-based; 0 when unknown
    std::string text_;
};

// Parses one document. Returns false and fills `problem` when the text is not YAML, nests deeper than 32 levels, or
// expands to more than 500,000 nodes; `root` is then unchanged.
bool parseYaml(std::string_view text, YamlNode &root, YamlProblem &problem);

// Value of the first entry with a key; nullptr when the key is missing or `map` is not a Map. Owned by `map`.
const YamlNode *findKey(const YamlNode &map, std::string_view key);

// Short description of a node for error messages: the scalar (shortened), "a list", "a map" or "nothing".
std::string describe(const YamlNode &node);

} // namespace mimosapier
