// Tests of the settings template in deploy/: each value from the platform must reach the daemon's settings. A section
// that names a table is rendered once per entry and its names are looked up in the entry first, so a name of the table
// itself is not found there and the value is lost.
#include "daemon/settings_func.h"
#include "http/json_func.h"

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

using namespace mimosapier;

static const Json *lookUp(const Json &root, std::string_view name)
{
    const Json *value = &root;
    while (!name.empty()) {
        const std::size_t dot = name.find('.');
        const std::string part(name.substr(0, dot));
        if (!value->is_object() || !value->contains(part)) {
            return nullptr;
        }
        value = &(*value)[part];
        name.remove_prefix(dot == std::string_view::npos ? name.size() : dot + 1);
    }
    return value;
}

// Renders a template like the platform: {{a.b}} inserts a value. {{#a}}..{{/a}} is rendered for each entry of a list or
// table, or once for any other value; names inside are looked up in the entry first, then in `root`.
static std::string render(std::string_view text, const Json &root, const Json &entry)
{
    std::string out;
    while (!text.empty()) {
        const std::size_t open = text.find("{{");
        out += text.substr(0, open);
        if (open == std::string_view::npos) {
            break;
        }
        const std::size_t close = text.find("}}", open);
        const std::string name(text.substr(open + 2, close - open - 2));
        text.remove_prefix(close + 2);
        const std::string key = name.starts_with('#') ? name.substr(1) : name;
        const Json *inner = lookUp(entry, key);
        const Json *value = inner != nullptr ? inner : lookUp(root, key);
        if (!name.starts_with('#')) {
            if (value != nullptr) {
                out += value->is_string() ? value->get<std::string>() : value->dump();
            }
            continue;
        }
        const std::string end = "{{/" + key + "}}";
        const std::size_t length = text.find(end);
        cr_assert(length != std::string_view::npos, "%s is not closed", key.c_str());
        const std::string_view body = text.substr(0, length);
        if (value != nullptr && value->is_structured()) {
            for (const Json &item : *value) {
                out += render(body, root, item);
            }
        } else if (value != nullptr) {
            out += render(body, root, entry);
        }
        text.remove_prefix(length + end.size());
    }
    return out;
}

static SettingsResult readRendered(const Json &fields)
{
    std::ifstream file(MIMOSAPIER_SETTINGS_TEMPLATE);
    std::stringstream text;
    text << file.rdbuf();
    std::vector<std::string> problems;
    const std::vector<RawSetting> rawSettings
        = parseYamlSettings(render(text.str(), fields, fields), "template", problems);
    cr_assert(problems.empty(), "%s", problems.empty() ? "" : problems.front().c_str());
    return applySettings(rawSettings);
}

static Json platformFields()
{
    return {{"NodeName", "edge-1"},
            {"Region", "r"},
            {"Zone", "r-a"},
            {"Ip", "10.0.0.1"},
            {"Advice", "10.0.0.9:1"},
            {"Listen", {{"Frontend", "10.0.0.1:1"}, {"Ready", "10.0.0.1:2"}}},
            {"Limits", {{"CpuShare", 0.12}, {"Cores", 1}, {"MemoryMb", 160}, {"MaxFds", 3075}}},
            {"platform", {{"Address", "10.0.0.8:1"}, {"WritesPerS", 1200}, {"TtlMinMs", 1500}}},
            {"Bounds",
             {{"HoldMaxMs", 9000},
              {"StopTimeoutMs", 400},
              {"GangTimeoutMs", 4000},
              {"RevokeMs", 6000},
              {"status_s", 60},
              {"GraceS", 8},
              {"RemoteFactor", 1.5}}}};
}

// Guards against values of the platform that the template does not pass on.
Test(template, valuesOfThePlatformAreApplied)
{
    const SettingsResult result = readRendered(platformFields());
    cr_assert(result.problems_.empty(), "%s", result.problems_.empty() ? "" : result.problems_.front().c_str());
    const CellDeployment &cell = result.settings_.cell_;
    cr_assert_eq(result.settings_.peerAddress_, "10.0.0.1:7420");
    cr_assert_eq(cell.policyAddress_, "10.0.0.9:1");
    cr_assert_float_eq(cell.processorShare_, 0.12, 1e-9);
    cr_assert_float_eq(cell.remoteFactor_, 1.5, 1e-9);
    cr_assert_eq(cell.holdMaxMs_, 9'000U);
    cr_assert_eq(cell.stopTimeoutMs_, 400U);
    cr_assert_eq(cell.gangTimeoutMs_, 4'000U);
    cr_assert_eq(cell.revokeMs_, 6'000U);
    cr_assert_eq(cell.statusS_, 60U);
    cr_assert_eq(cell.graceMs_, 8'000U);
    cr_assert_eq(cell.storeWritesPerS_, 1'200U);
    cr_assert_eq(cell.storeMinLeaseMs_, 1'500U);
    cr_assert_eq(result.settings_.limits_.memoryMb_, 160U);
    cr_assert_eq(result.settings_.limits_.maxDescriptors_, 3'075U);
}

// Guards against a daemon that does not start because the platform omits optional values.
Test(template, missingValuesHaveDefaults)
{
    Json fields = platformFields();
    fields.erase("Advice");
    fields.erase("Bounds");
    fields.erase("Limits");
    const SettingsResult result = readRendered(fields);
    cr_assert(result.problems_.empty(), "%s", result.problems_.empty() ? "" : result.problems_.front().c_str());
    cr_assert(result.settings_.cell_.policyAddress_.empty());
    cr_assert_eq(result.settings_.cell_.graceMs_, CellDeployment{}.graceMs_);
    cr_assert_eq(result.settings_.limits_.memoryMb_, 0U);
    cr_assert_eq(result.settings_.limits_.maxDescriptors_, 0U);
}
