// Tests of the settings: valid ones are applied, and each problem is reported with file, line, key, value and allowed
// values.
#include "daemon/settings_func.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace mimosapier;

static constexpr std::string_view Good = R"(name: entry-1
region: hobart
zone: hobart-a
caller_address: 127.0.0.1:8080
peer_address: "[::1]:8081"
store_address: 127.0.0.1:8082
instance_list_address: 127.0.0.1:8083
peer_address_overrides:
  entry-2: 10.0.0.2:9
worker_address_overrides:
  "10.0.0.7:80": 127.0.0.1:80
limits:
  max_open_requests: 7
)";

static SettingsResult read(const std::string &text, std::vector<RawSetting> overrides = {})
{
    std::vector<std::string> problems;
    std::vector<RawSetting> rawSettings = parseYamlSettings(text, "f.yaml", problems);
    rawSettings.insert(rawSettings.end(), overrides.begin(), overrides.end());
    SettingsResult result = applySettings(rawSettings);
    result.problems_.insert(result.problems_.end(), problems.begin(), problems.end());
    return result;
}

static bool hasProblem(const SettingsResult &result, std::string_view start, std::string_view part = {})
{
    return std::any_of(result.problems_.begin(), result.problems_.end(), [&](const std::string &problem) {
        return problem.starts_with(start) && problem.find(part) != std::string::npos;
    });
}

// Guards against settings that are parsed but not applied.
Test(settings, validFileIsApplied)
{
    const SettingsResult result = read(std::string(Good), {{"log_level", "debug", "--set"}});
    cr_assert(result.problems_.empty());
    const Settings &settings = result.settings_;
    cr_assert_eq(settings.name_, "entry-1");
    cr_assert_eq(settings.peerAddress_, "[::1]:8081");
    cr_assert_eq(settings.peerAddressOverrides_.at("entry-2"), "10.0.0.2:9");
    cr_assert_eq(settings.workerAddressOverrides_.at("10.0.0.7:80"), "127.0.0.1:80");
    cr_assert_eq(settings.limits_.maxOpenRequests_, 7U);
    cr_assert_eq(settings.logLevel_, "debug");
    cr_assert(!settings.seed_.has_value());
}

// Guards against misspelled keys and invalid values that go unnoticed or cannot be located.
Test(settings, problemsNameLineKeyValueAndWhatIsAllowed)
{
    const std::string good(Good);
    const auto with = [&good](const std::string &line) { return read(good + line); };
    cr_assert(hasProblem(with("colour: red\n"), "f.yaml:14: colour: got \"red\"; allowed: the keys name, region"));
    cr_assert(hasProblem(with("log_level: loud\n"), "f.yaml:14: log_level: got \"loud\"; allowed: debug, info"));
    cr_assert(hasProblem(with("metrics_address: localhost:1\n"), "f.yaml:14: metrics_address: got \"localhost:1\""));
    cr_assert(hasProblem(with("seed: -1\n"), "f.yaml:14: seed: got \"-1\"; allowed: an integer"));
    cr_assert(hasProblem(with("name: other\n"), "f.yaml:14: name: given twice"));
    cr_assert(hasProblem(with("seed: [1]\n"), "f.yaml:14: seed: got a list"));
    cr_assert(
        hasProblem(with("  shutdown_ms: 30001\n"), "f.yaml:14: limits.shutdown_ms: got \"30001\"", "from 0 to 30000"));
    cr_assert(hasProblem(with("  speed: 1\n"), "f.yaml:14: limits.speed"));
    cr_assert(hasProblem(with(" {\n"), "f.yaml:", "not valid YAML"));
    cr_assert(hasProblem(read("name: a#b\n"), "f.yaml:1: name: got \"a#b\""));
    cr_assert(hasProblem(read("name: a\n"), "region: missing"));
    cr_assert(hasProblem(read("- a\n"), "f.yaml:1: allowed: a map"));
    cr_assert(hasProblem(read(good, {{"peer_address_overrides.entry-3", "x", "--set"}}),
                         "--set: peer_address_overrides.entry-3: got \"x\""));
    cr_assert(hasProblem(read(good, {{"store_address", "127.0.0.1:0", "--set"}}), "--set: store_address"));
}

// Guards against a missing file that is treated as empty, and against malformed overrides that are ignored.
Test(settings, fileAndOverridesAreChecked)
{
    const std::vector<std::string> overrides{"nonsense"};
    const SettingsResult result = readSettings("/nonexistent.yaml", overrides);
    cr_assert(hasProblem(result, "/nonexistent.yaml: cannot be read"));
    cr_assert(hasProblem(result, "--set: got \"nonsense\"; allowed: key=value"));
}

// Guards against a half-life that is too short to mean anything, and against a range that keeps out 0, which is off.
Test(settings, pastUseHalfLifeIsOffOrInRange)
{
    const std::string good(Good);
    const auto with
        = [&good](const std::string &value) { return read(good + "cell:\n  past_use_half_life_s: " + value + "\n"); };
    cr_assert_eq(with("60").settings_.cell_.pastUseHalfLifeS_, 60U);
    cr_assert_eq(with("604800").settings_.cell_.pastUseHalfLifeS_, 604'800U);
    cr_assert(with("0").problems_.empty());
    for (const std::string value : {"59", "604801", "-60"}) {
        cr_assert(hasProblem(with(value), "f.yaml:15: cell.past_use_half_life_s: got \"" + value + "\"",
                             "allowed: 0 or an integer from 60 to 604800"));
    }
}
