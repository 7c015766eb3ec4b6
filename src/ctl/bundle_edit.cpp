// Edits of the YAML text of a bundle, with yaml-cpp.
#include "ctl/ctl_internal.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace mimosapier
{

// Returns the shortest text that is parsed as the same number.
static std::string numberText(double number)
{
    std::array<char, 32> text{};
    const auto result = std::to_chars(text.data(), text.data() + text.size(), number);
    return {text.data(), result.ptr};
}

static bool addTeam(YAML::Node &root, const BundleOptions &options, std::string &reason)
{
    YAML::Node teams = root["teams"];
    if (teams.IsDefined() && teams.IsMap() && teams[options.team_].IsDefined()) {
        reason = "The team " + options.team_ + " exists already.";
        return false;
    }
    YAML::Node team;
    team["share"] = numberText(options.value_);
    team["limit"] = std::to_string(options.limit_);
    team["home_region"] = options.homeRegion_;
    root["teams"][options.team_] = team;
    return true;
}

static bool withdrawKey(YAML::Node &team, const std::string &hash, std::string &reason)
{
    YAML::Node remainingKeys(YAML::NodeType::Sequence);
    bool found = false;
    if (team["keys"].IsDefined()) {
        for (const auto &key : team["keys"]) {
            found = found || key.Scalar() == hash;
            if (key.Scalar() != hash) {
                remainingKeys.push_back(key.Scalar());
            }
        }
    }
    if (!found) {
        reason = "The team does not have this key.";
        return false;
    }
    team["keys"] = remainingKeys;
    return true;
}

static bool grantKey(YAML::Node &team, const std::string &hash, std::string &reason)
{
    if (team["keys"].IsDefined()) {
        for (const auto &key : team["keys"]) {
            if (key.Scalar() == hash) {
                reason = "The team has this key already.";
                return false;
            }
        }
    }
    team["keys"].push_back(hash);
    return true;
}

static bool editTeam(BundleEdit edit, YAML::Node &root, const BundleOptions &options, std::string &reason)
{
    if (!root["teams"].IsDefined() || !root["teams"].IsMap() || !root["teams"][options.team_].IsDefined()) {
        reason = "There is no team " + options.team_ + ".";
        return false;
    }
    YAML::Node team = root["teams"][options.team_];
    switch (edit) {
    case BundleEdit::RemoveTeam:
        root["teams"].remove(options.team_);
        return true;
    case BundleEdit::GrantKey:
        return grantKey(team, options.hash_, reason);
    case BundleEdit::WithdrawKey:
        return withdrawKey(team, options.hash_, reason);
    case BundleEdit::SetShare:
        team["share"] = numberText(options.value_);
        return true;
    case BundleEdit::SetLimit:
        team["limit"] = std::to_string(options.limit_);
        return true;
    case BundleEdit::AddTeam:
    case BundleEdit::SetPolicy:
        break;
    }
    return false;
}

// Makes the output have one line per value, which line diffs need. A bundle written as JSON would stay on one line.
static void setBlockStyle(YAML::Node node)
{
    if (node.IsMap()) {
        for (const auto &entry : node) {
            setBlockStyle(entry.second);
        }
    } else if (node.IsSequence()) {
        for (const auto &item : node) {
            setBlockStyle(item);
        }
    } else {
        return;
    }
    node.SetStyle(YAML::EmitterStyle::Block);
}

bool editBundle(BundleEdit edit, const BundleOptions &options, const std::string &text, std::string &editedText,
                std::string &reason)
{
    try {
        YAML::Node root = YAML::Load(text);
        bool applied = true;
        if (edit == BundleEdit::AddTeam) {
            applied = addTeam(root, options, reason);
        } else if (edit == BundleEdit::SetPolicy) {
            root["weights"][options.weightName_] = numberText(options.value_);
        } else {
            applied = editTeam(edit, root, options, reason);
        }
        if (applied) {
            setBlockStyle(root);
            editedText = YAML::Dump(root) + "\n";
        }
        return applied;
    } catch (const YAML::Exception &error) {
        reason = std::string("The bundle in force cannot be edited: ") + error.what();
        return false;
    }
}

} // namespace mimosapier
