// Parses YAML with yaml-cpp and converts its nodes to trees of YamlNode.
#include "core/config/yaml_func.h"

#include <yaml-cpp/yaml.h>

namespace mimosapier
{

static constexpr std::size_t MaxNodes = 500'000; // aliases can expand a short text without bound
static constexpr int MaxDepth = 32;
static constexpr std::size_t MaxDescription = 60; // bytes of a value that an error message quotes

static bool convert(const YAML::Node &from, YamlNode &to, int depth, std::size_t &nodes)
{
    if (depth > MaxDepth || ++nodes > MaxNodes) {
        return false;
    }
    to.line_ = from.Mark().line + 1;
    if (from.IsScalar()) {
        to.kind_ = YamlKind::Scalar;
        to.scalar_ = from.Scalar();
    } else if (from.IsSequence()) {
        to.kind_ = YamlKind::List;
        for (const auto &item : from) {
            if (!convert(item, to.items_.emplace_back(), depth + 1, nodes)) {
                return false;
            }
        }
    } else if (from.IsMap()) {
        to.kind_ = YamlKind::Map;
        for (const auto &entry : from) {
            YamlNode key;
            if (!convert(entry.first, key, depth + 1, nodes)
                || !convert(entry.second, to.items_.emplace_back(), depth + 1, nodes)) {
                return false;
            }
            to.keys_.emplace_back(key.scalar_, key.line_);
        }
    }
    return true;
}

bool parseYaml(std::string_view text, YamlNode &root, YamlProblem &problem)
{
    try {
        const YAML::Node node = YAML::Load(std::string(text));
        YamlNode converted;
        std::size_t nodes = 0;
        if (!convert(node, converted, 0, nodes)) {
            problem = {0, "nests or expands too far"};
            return false;
        }
        root = std::move(converted);
        return true;
    } catch (const YAML::Exception &error) {
        problem = {error.mark.line + 1, error.msg};
        return false;
    }
}

const YamlNode *findKey(const YamlNode &map, std::string_view key)
{
    for (std::size_t i = 0; i < map.keys_.size(); ++i) {
        if (map.keys_[i].first == key) {
            return &map.items_[i];
        }
    }
    return nullptr;
}

std::string describe(const YamlNode &node)
{
    switch (node.kind_) {
    case YamlKind::Scalar:
        return node.scalar_.size() <= MaxDescription ? node.scalar_ : node.scalar_.substr(0, MaxDescription) + "...";
    case YamlKind::List:
        return "a list";
    case YamlKind::Map:
        return "a map";
    case YamlKind::Null:
        break;
    }
    return "nothing";
}

} // namespace mimosapier
