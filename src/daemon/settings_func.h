// Reading and checking of settings.
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

// One setting as it was given: a scalar with its key path, for example "limits.max_open_requests".
struct RawSetting
{
    std::string key_;
    std::string value_;
    std::string origin_; // "FILE:LINE" or "--set"
};

// What reading gives: settings, and one line for each problem with origin, key, value and what is allowed.
struct SettingsResult
{
    Settings settings_;
    std::vector<std::string> problems_;
};

// Flattens a YAML text. Problems of the syntax, lists and repeated keys are appended to `problems`.
std::vector<RawSetting> parseYamlSettings(std::string_view text, const std::string &file,
                                          std::vector<std::string> &problems);

// Checks the given settings and applies them in order, so that later ones override earlier ones.
SettingsResult applySettings(std::span<const RawSetting> rawSettings);

// Reads FILE and the overrides "key=value" of the command line.
SettingsResult readSettings(const std::string &file, std::span<const std::string> overrides);

} // namespace mimosapier
