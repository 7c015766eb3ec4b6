// Flattens a YAML file into key paths and values.
#include "daemon/settings_func.h"

#include <yaml-cpp/yaml.h>

namespace mimosapier
{

static std::string originOf(const std::string &file, const YAML::Mark &mark)
{
    return file + ":" + std::to_string(mark.line + 1);
}

static void addProblem(std::vector<std::string> &problems, std::string origin, std::string_view text)
{
    origin.append(": ").append(text);
    problems.push_back(std::move(origin));
}

static void flatten(const YAML::Node &node, const std::string &prefix, const std::string &file,
                    std::vector<RawSetting> &rawSettings, std::vector<std::string> &problems)
{
    std::set<std::string> seen;
    for (const auto &entry : node) {
        const std::string origin = originOf(file, entry.first.Mark());
        const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        std::string key = prefix;
        key.append(prefix.empty() ? "" : ".").append(name);
        if (!seen.insert(name).second) {
            addProblem(problems, origin, key.append(": given twice; allowed: once"));
        } else if (entry.second.IsMap()) {
            flatten(entry.second, key, file, rawSettings, problems);
        } else if (entry.second.IsScalar()) {
            rawSettings.push_back({key, entry.second.Scalar(), origin});
        } else {
            key.append(entry.second.IsNull() ? ": got nothing" : ": got a list");
            addProblem(problems, origin, key.append("; allowed: a value or a map"));
        }
    }
}

std::vector<RawSetting> parseYamlSettings(std::string_view text, const std::string &file,
                                          std::vector<std::string> &problems)
{
    std::vector<RawSetting> rawSettings;
    try {
        const YAML::Node root = YAML::Load(std::string(text));
        if (root.IsMap()) {
            flatten(root, {}, file, rawSettings, problems);
        } else {
            addProblem(problems, originOf(file, root.Mark()), "allowed: a map of settings");
        }
    } catch (const YAML::Exception &error) {
        addProblem(problems, originOf(file, error.mark), "not valid YAML: " + error.msg);
    }
    return rawSettings;
}

} // namespace mimosapier
