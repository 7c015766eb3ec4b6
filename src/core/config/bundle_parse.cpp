// Validates a bundle's text. Collects all problems instead of stopping at the first, so that an operator can correct
// them in one pass.
#include "core/config/config_func.h"
#include "core/config/yaml_func.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

namespace mimosapier
{

static constexpr std::size_t MaxBundleText = 900'000; // the store keeps values of up to 1,000,000 bytes
static constexpr std::size_t MaxNameLength = 64;
static constexpr std::size_t KeyHashLength = 64; // hex digits of a SHA-256
static constexpr std::size_t MaxProblems = 100;
static constexpr std::int64_t MaxLimit = 1'000'000;
static constexpr std::int64_t MaxPartitions = 64;
static constexpr std::int64_t MaxDeadlineMs = 86'400'000;
static constexpr double MaxWeight = 1'000'000.0;

namespace
{

struct Problems
{
    std::vector<BundleProblem> &list_;
};

} // namespace

static void report(Problems &problems, const YamlNode &node, const std::string &key, std::string allowed)
{
    if (problems.list_.size() < MaxProblems) {
        problems.list_.push_back({node.line_, key, describe(node), std::move(allowed)});
    }
}

static bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-';
    });
}

// Returns false when the node is not a map. Reports that, unknown keys and repeated keys as problems.
static bool checkMap(Problems &problems, const YamlNode &node, const std::string &path,
                     std::initializer_list<std::string_view> allowed)
{
    if (node.kind_ != YamlKind::Map) {
        report(problems, node, path, "a map");
        return false;
    }
    std::set<std::string_view> seen;
    for (const auto &[key, line] : node.keys_) {
        std::string names;
        for (const std::string_view name : allowed) {
            names += names.empty() ? "" : ", ";
            names += name;
        }
        std::string prefix = path;
        prefix += path.empty() ? "" : ".";
        prefix += key;
        YamlNode at;
        at.kind_ = YamlKind::Scalar;
        at.line_ = line;
        at.scalar_ = key;
        if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
            report(problems, at, prefix, "one of the keys " + names);
        } else if (!seen.insert(key).second) {
            report(problems, at, prefix, "each key once");
        }
    }
    return true;
}

// Calls visit(name, value, path) for each entry of a map from names to values; reports invalid and repeated names.
template <typename Visit>
static void visitNames(Problems &problems, const YamlNode &root, std::string_view section, Visit visit)
{
    const YamlNode *map = findKey(root, section);
    const std::string path(section);
    const auto pathOf = [&path](const std::string &name) {
        std::string full = path;
        full += '.';
        full += name;
        return full;
    };
    if (map == nullptr || map->kind_ == YamlKind::Null) {
        return;
    }
    if (map->kind_ != YamlKind::Map) {
        report(problems, *map, path, "a map from names to values");
        return;
    }
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < map->keys_.size(); ++i) {
        const auto &[name, line] = map->keys_[i];
        YamlNode at;
        at.kind_ = YamlKind::Scalar;
        at.line_ = line;
        at.scalar_ = name;
        if (!isName(name)) {
            report(problems, at, pathOf(describe(at)), "a name of 1 to 64 characters of A-Za-z0-9._-");
        } else if (!seen.insert(name).second) {
            report(problems, at, pathOf(name), "each name once");
        } else {
            visit(name, map->items_[i], pathOf(name));
        }
    }
}

template <typename Number>
static bool parseNumber(const YamlNode &node, Number &number)
{
    const std::string &text = node.scalar_;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return node.kind_ == YamlKind::Scalar && result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

template <typename T>
static void readInteger(Problems &problems, const YamlNode &map, std::string_view key, const std::string &path,
                        std::int64_t low, std::int64_t high, T &value)
{
    const YamlNode *node = findKey(map, key);
    if (node == nullptr) {
        return;
    }
    std::int64_t number = 0;
    if (!parseNumber(*node, number) || number < low || number > high) {
        report(problems, *node, path + "." + std::string(key),
               "an integer from " + std::to_string(low) + " to " + std::to_string(high));
        return;
    }
    value = static_cast<T>(number);
}

// Reads a finite number between low and high; the bounds themselves are valid when lowAllowed or highAllowed is set.
static void readReal(Problems &problems, const YamlNode &map, std::string_view key, const std::string &path, double low,
                     bool lowAllowed, double high, bool highAllowed, double &value)
{
    const YamlNode *node = findKey(map, key);
    if (node == nullptr) {
        return;
    }
    double number = 0;
    const bool valid = parseNumber(*node, number) && std::isfinite(number)
        && (lowAllowed ? number >= low : number > low) && (highAllowed ? number <= high : number < high);
    if (!valid) {
        report(problems, *node, path + "." + std::string(key),
               std::string("a number ") + (lowAllowed ? "from " : "above ") + std::to_string(static_cast<int>(low))
                   + (highAllowed ? " to " : " and below ") + std::to_string(static_cast<int>(high)));
        return;
    }
    value = number;
}

template <typename T>
static void readChoice(Problems &problems, const YamlNode &map, std::string_view key, const std::string &path,
                       std::initializer_list<std::pair<std::string_view, T>> choices, T &value)
{
    const YamlNode *node = findKey(map, key);
    if (node == nullptr) {
        return;
    }
    std::string names;
    for (const auto &[name, choice] : choices) {
        if (node->kind_ == YamlKind::Scalar && node->scalar_ == name) {
            value = choice;
            return;
        }
        names += names.empty() ? "" : ", ";
        names += name;
    }
    report(problems, *node, path + "." + std::string(key), "one of " + names);
}

// Calls visit(text) for each scalar of a list. It returns whether the text is valid; `allowed` describes valid texts.
template <typename Visit>
static void readList(Problems &problems, const YamlNode &map, std::string_view key, const std::string &path,
                     const std::string &allowed, Visit visit)
{
    const YamlNode *node = findKey(map, key);
    const std::string name = path + "." + std::string(key);
    if (node == nullptr || node->kind_ == YamlKind::Null) {
        return;
    }
    if (node->kind_ != YamlKind::List) {
        report(problems, *node, name, "a list of " + allowed);
        return;
    }
    std::set<std::string> seen;
    for (const YamlNode &item : node->items_) {
        if (item.kind_ != YamlKind::Scalar || !seen.insert(item.scalar_).second || !visit(item.scalar_)) {
            report(problems, item, name, allowed + ", each once");
        }
    }
}

static void readRegions(Problems &problems, const YamlNode &root, Bundle &bundle)
{
    visitNames(problems, root, "regions", [&](const std::string &name, const YamlNode &node, const std::string &path) {
        RegionConfig region{RegionId(name), 1};
        if (node.kind_ != YamlKind::Null && checkMap(problems, node, path, {"partitions"})) {
            readInteger(problems, node, "partitions", path, 1, MaxPartitions, region.partitions_);
        }
        bundle.regions_.push_back(region);
    });
    std::sort(bundle.regions_.begin(), bundle.regions_.end(),
              [](const RegionConfig &left, const RegionConfig &right) { return left.id_ < right.id_; });
}

static void readClass(Problems &problems, const YamlNode &node, const std::string &path, WorkClass &work)
{
    if (!checkMap(problems, node, path,
                  {"mode", "priority", "idempotent", "deadline_ms", "objective_ms", "objective_ratio", "may"})) {
        return;
    }
    readChoice<WorkMode>(problems, node, "mode", path,
                         {{"interactive", WorkMode::Interactive},
                          {"journaled", WorkMode::Journaled},
                          {"service", WorkMode::Service},
                          {"gang", WorkMode::Gang}},
                         work.mode_);
    readChoice<Priority>(problems, node, "priority", path,
                         {{"urgent", Priority::Urgent}, {"normal", Priority::Normal}, {"batch", Priority::Batch}},
                         work.priority_);
    readChoice<bool>(problems, node, "idempotent", path, {{"true", true}, {"false", false}}, work.idempotent_);
    readInteger(problems, node, "deadline_ms", path, 1, MaxDeadlineMs, work.deadline_);
    readInteger(problems, node, "objective_ms", path, 1, MaxDeadlineMs, work.objective_);
    readReal(problems, node, "objective_ratio", path, 0, false, 1, false, work.objectiveRatio_);
    readList(problems, node, "may", path, "throttle, checkpoint or stop", [&work](const std::string &text) {
        work.mayThrottle_ = work.mayThrottle_ || text == "throttle";
        work.mayCheckpoint_ = work.mayCheckpoint_ || text == "checkpoint";
        work.mayStop_ = work.mayStop_ || text == "stop";
        return text == "throttle" || text == "checkpoint" || text == "stop";
    });
}

static void readTeam(Problems &problems, const YamlNode &node, const std::string &path, const Bundle &bundle,
                     Team &team)
{
    if (!checkMap(problems, node, path, {"share", "limit", "home_region", "on_lowered_limit", "keys", "open_queues"})) {
        return;
    }
    readReal(problems, node, "share", path, 0, false, MaxWeight, true, team.share_);
    if (findKey(node, "limit") == nullptr) {
        report(problems, node, path + ".limit", "an integer; it has no default");
    }
    readInteger(problems, node, "limit", path, 0, MaxLimit, team.limit_);
    readChoice<LimitAction>(problems, node, "on_lowered_limit", path,
                            {{"drain", LimitAction::Drain}, {"stop", LimitAction::Stop}}, team.limitAction_);
    const YamlNode *home = findKey(node, "home_region");
    const auto isHome
        = [&](const RegionConfig &region) { return home != nullptr && region.id_.value_ == home->scalar_; };
    if (std::none_of(bundle.regions_.begin(), bundle.regions_.end(), isHome)) {
        report(problems, home == nullptr ? node : *home, path + ".home_region", "a name under regions");
    } else {
        team.homeRegion_ = RegionId(home->scalar_);
    }
    readList(problems, node, "keys", path, "64 lower-case hex digits (SHA-256)", [&team](const std::string &text) {
        team.keyHashes_.push_back(text);
        return text.size() == KeyHashLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
    });
    readList(problems, node, "open_queues", path, "names", [&team](const std::string &text) {
        team.openQueues_.push_back(text);
        return isName(text);
    });
}

static void readWeights(Problems &problems, const YamlNode &root, PolicyWeights &weights)
{
    const YamlNode *node = findKey(root, "weights");
    if (node == nullptr || !checkMap(problems, *node, "weights", {"waiting", "packing", "crossing"})) {
        return;
    }
    readReal(problems, *node, "waiting", "weights", 0, true, MaxWeight, true, weights.waiting_);
    readReal(problems, *node, "packing", "weights", 0, true, MaxWeight, true, weights.packing_);
    readReal(problems, *node, "crossing", "weights", 0, true, MaxWeight, true, weights.crossing_);
}

std::error_code parseBundle(std::string_view text, Bundle &bundle, std::vector<BundleProblem> &problems)
{
    problems.clear();
    Problems found{problems};
    if (text.size() > MaxBundleText) {
        problems.push_back({0, "", std::to_string(text.size()) + " bytes", "at most 900000 bytes"});
        return ErrorKind::BadBundle;
    }
    YamlNode root;
    YamlProblem yamlProblem;
    if (!parseYaml(text, root, yamlProblem)) {
        problems.push_back({yamlProblem.line_, "", yamlProblem.text_, "YAML"});
        return ErrorKind::BadBundle;
    }
    Bundle parsed;
    if (checkMap(found, root, "", {"regions", "weights", "classes", "teams"})) {
        readRegions(found, root, parsed);
        if (parsed.regions_.empty()) {
            report(found, root, "regions", "at least one region");
        }
        readWeights(found, root, parsed.weights_);
        visitNames(found, root, "classes", [&](const std::string &name, const YamlNode &node, const std::string &path) {
            WorkClass &work = parsed.classes_[ClassId(name)];
            work.id_ = ClassId(name);
            readClass(found, node, path, work);
        });
        visitNames(found, root, "teams", [&](const std::string &name, const YamlNode &node, const std::string &path) {
            Team &team = parsed.teams_[TeamId(name)];
            team.id_ = TeamId(name);
            readTeam(found, node, path, parsed, team);
        });
    }
    if (!problems.empty()) {
        return ErrorKind::BadBundle;
    }
    bundle = std::move(parsed);
    return {};
}

std::string formatProblems(std::string_view file, std::span<const BundleProblem> problems)
{
    std::string out;
    for (const BundleProblem &problem : problems) {
        if (!file.empty()) {
            out += std::string(file) + ": ";
        }
        out += "line " + std::to_string(problem.line_) + ": ";
        if (!problem.key_.empty()) {
            out += problem.key_ + ": ";
        }
        out += problem.value_ + ": " + problem.allowed_ + "\n";
    }
    return out;
}

} // namespace mimosapier
