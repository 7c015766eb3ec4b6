// Reads the settings file and the command line's overrides, and checks them. Called by main() before any thread starts.
#pragma once

#include "daemon/settings_type.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace mimosapier
{

// One setting before the checks: a scalar with its key path, for example "limits.max_open_requests".
struct RawSetting
{
    std::string key_;
    std::string value_;
    std::string origin_; // "FILE:LINE" or "--set"
};

// Settings, and one line for each problem: origin, key, value and allowed values. The settings are valid only if
// `problems_` is empty.
struct SettingsResult
{
    Settings settings_;
    std::vector<std::string> problems_;
};

// Flattens a YAML text into key paths; `file` names it in messages. Syntax errors, lists and duplicate keys are
// appended to `problems`.
std::vector<RawSetting> parseYamlSettings(std::string_view text, const std::string &file,
                                          std::vector<std::string> &problems);

// Checks the settings and applies them in order: a later value of a key overrides an earlier one. Reports unknown keys,
// values that are not allowed, and required keys that are missing.
SettingsResult applySettings(std::span<const RawSetting> rawSettings);

// Reads `file` and then the overrides, each "key=value". Returns all problems at once.
SettingsResult readSettings(const std::string &file, std::span<const std::string> overrides);

} // namespace mimosapier
