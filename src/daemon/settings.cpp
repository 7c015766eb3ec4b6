// Checks settings against the table in table/settings_table.h and stores them.
#include "daemon/settings_func.h"

#include "daemon/table/settings_table.h"
#include "net/address_func.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace mimosapier
{

static constexpr std::size_t MaxNameLength = 64;
static constexpr std::string_view InstanceListKey = "instance_list_address";
static constexpr std::array<std::string_view, 4> LogLevelNames{"debug", "info", "warning", "error"};

static bool isName(std::string_view text)
{
    constexpr std::string_view Allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    return !text.empty() && text.size() <= MaxNameLength && text.find_first_not_of(Allowed) == std::string_view::npos;
}

static bool readCount(std::string_view text, std::uint64_t &count)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

static bool readRatio(std::string_view text, double &ratio)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ratio);
    return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

static std::string allowedValues(const SettingRow &row)
{
    switch (row.rule_) {
    case SettingRule::Name:
        return "1 to 64 characters of A-Za-z0-9._-";
    case SettingRule::Address:
        return "an address ip:port with a port from 1 to 65535";
    case SettingRule::ListenAddress:
        return "an address ip:port with a port from 0 (any) to 65535";
    case SettingRule::OptionalListenAddress:
        return "an address ip:port with a port from 0 (any) to 65535, or nothing";
    case SettingRule::Level:
        return "debug, info, warning or error";
    case SettingRule::Seed:
        return "an integer from 0 to 18446744073709551615";
    case SettingRule::Ratio:
        return "a number from " + std::to_string(row.min_) + " to " + std::to_string(row.max_);
    case SettingRule::Count:
        break;
    }
    const std::string zero = row.allowsZero_ ? "0 or " : "";
    return zero + "an integer from " + std::to_string(row.min_) + " to " + std::to_string(row.max_);
}

static bool isDialAddress(std::string_view text)
{
    return isAddress(text) && !text.ends_with(":0");
}

static bool isAllowedText(SettingRule rule, std::string_view value)
{
    switch (rule) {
    case SettingRule::Name:
        return isName(value);
    case SettingRule::Address:
        return isDialAddress(value);
    case SettingRule::ListenAddress:
        return isAddress(value);
    case SettingRule::OptionalListenAddress:
        return value.empty() || isAddress(value);
    case SettingRule::Level:
        return std::find(LogLevelNames.begin(), LogLevelNames.end(), value) != LogLevelNames.end();
    default:
        return false;
    }
}

// Stores a value in the field of its row. Returns false if the value is not allowed.
static bool applySetting(const SettingRow &row, const std::string &value, Settings &settings)
{
    std::uint64_t count = 0;
    switch (row.rule_) {
    case SettingRule::Name:
    case SettingRule::Address:
    case SettingRule::ListenAddress:
    case SettingRule::OptionalListenAddress:
    case SettingRule::Level:
        if (!isAllowedText(row.rule_, value)) {
            return false;
        }
        (row.cellText_ != nullptr ? settings.cell_.*row.cellText_ : settings.*row.text_) = value;
        return true;
    case SettingRule::Seed:
        if (!readCount(value, count)) {
            return false;
        }
        settings.seed_ = count;
        return true;
    case SettingRule::Ratio: {
        double ratio = 0;
        if (!readRatio(value, ratio) || ratio < static_cast<double>(row.min_)
            || ratio > static_cast<double>(row.max_)) {
            return false;
        }
        settings.cell_.*row.cellRatio_ = ratio;
        return true;
    }
    case SettingRule::Count:
        break;
    }
    const bool isRead = readCount(value, count);
    if (!isRead || ((count < row.min_ || count > row.max_) && !(row.allowsZero_ && count == 0))) {
        return false;
    }
    (row.cellCount_ != nullptr ? settings.cell_.*row.cellCount_ : settings.limits_.*row.count_) = count;
    return true;
}

static std::string problemText(const RawSetting &setting, std::string_view allowed)
{
    return setting.origin_ + ": " + setting.key_ + ": got \"" + setting.value_ + "\"; allowed: " + std::string(allowed);
}

// Stores a member of a map setting, or reports its problem. Returns false if the key does not belong to a map setting.
static bool applyMapSetting(const RawSetting &setting, SettingsResult &result)
{
    for (const MapSettingRow &row : MapSettingTable) {
        const std::string prefix = std::string(row.key_) + ".";
        if (!setting.key_.starts_with(prefix)) {
            continue;
        }
        const std::string member = setting.key_.substr(prefix.size());
        const bool byName = row.memberRule_ == SettingRule::Name;
        if (!isAllowedText(row.memberRule_, member) || !isDialAddress(setting.value_)) {
            result.problems_.push_back(problemText(setting,
                                                   byName ? "a daemon's name mapped to an address ip:port"
                                                          : "an address ip:port mapped to an address ip:port"));
        } else {
            (result.settings_.*row.map_)[member] = setting.value_;
        }
        return true;
    }
    return false;
}

static std::string knownKeys()
{
    std::string keys;
    for (const SettingRow &row : SettingTable) {
        keys += keys.empty() ? "" : ", ";
        keys += row.key_;
    }
    for (const MapSettingRow &row : MapSettingTable) {
        keys += ", ";
        keys += row.key_;
    }
    return keys;
}

SettingsResult applySettings(std::span<const RawSetting> rawSettings)
{
    SettingsResult result;
    std::set<std::string_view> applied;
    for (const RawSetting &setting : rawSettings) {
        const auto row
            = std::find_if(SettingTable.begin(), SettingTable.end(),
                           [&setting](const SettingRow &candidate) { return candidate.key_ == setting.key_; });
        if (row == SettingTable.end()) {
            if (!applyMapSetting(setting, result)) {
                result.problems_.push_back(problemText(setting, "the keys " + knownKeys()));
            }
            continue;
        }
        applied.insert(row->key_);
        if (!applySetting(*row, setting.value_, result.settings_)) {
            result.problems_.push_back(problemText(setting, allowedValues(*row)));
        }
    }
    // A daemon of a cell needs no instance list: it reads the runners from the store.
    const bool hasInstanceList = applied.contains(InstanceListKey) || applied.contains("cell.ready_address");
    for (const SettingRow &row : SettingTable) {
        const bool required = row.required_ || (row.key_ == InstanceListKey && !hasInstanceList);
        if (required && !applied.contains(row.key_)) {
            result.problems_.push_back(std::string(row.key_) + ": missing; allowed: " + allowedValues(row));
        }
    }
    return result;
}

SettingsResult readSettings(const std::string &file, std::span<const std::string> overrides)
{
    std::vector<std::string> problems;
    std::vector<RawSetting> rawSettings;
    const std::ifstream stream(file);
    if (stream) {
        std::ostringstream text;
        text << stream.rdbuf();
        rawSettings = parseYamlSettings(text.str(), file, problems);
    } else {
        problems.push_back(file + ": cannot be read");
    }
    for (const std::string &text : overrides) {
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos) {
            problems.push_back("--set: got \"" + text + "\"; allowed: key=value");
        } else {
            rawSettings.push_back({text.substr(0, equals), text.substr(equals + 1), "--set"});
        }
    }
    SettingsResult result = applySettings(rawSettings);
    for (std::string &line : problems) {
        result.problems_.push_back(std::move(line));
    }
    return result;
}

} // namespace mimosapier
