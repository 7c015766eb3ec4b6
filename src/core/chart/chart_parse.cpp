// Reading and checking of charts.
#include "core/chart/chart_func.h"
#include "core/common/error_type.h"
#include "core/config/yaml_func.h"

#include <algorithm>

namespace mimosapier
{

static constexpr std::size_t MaxNames = 1000; // states, events or actions of a chart

namespace
{

// What is being read, and the problems found.
struct Reading
{
    Chart chart_;
    std::vector<std::string> &problems_;
    std::vector<bool> eventUsed_;
    std::vector<bool> actionUsed_;
};

} // namespace

static void report(Reading &reading, int line, const std::string &text)
{
    reading.problems_.push_back("line " + std::to_string(line) + ": " + text);
}

static std::uint16_t indexOf(const std::vector<std::string> &names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? NoChartIndex : static_cast<std::uint16_t>(found - names.begin());
}

static void readNames(Reading &reading, const YamlNode &root, std::string_view key, std::vector<std::string> &names)
{
    const YamlNode *list = findKey(root, key);
    if (list == nullptr || list->kind_ != YamlKind::List || list->items_.size() > MaxNames) {
        report(reading, root.line_, std::string(key) + ": a list of names is needed");
        return;
    }
    for (const YamlNode &item : list->items_) {
        if (item.kind_ != YamlKind::Scalar || item.scalar_.empty() || indexOf(names, item.scalar_) != NoChartIndex) {
            report(reading, item.line_, std::string(key) + ": " + describe(item) + ": names, each once");
        } else {
            names.push_back(item.scalar_);
        }
    }
}

static void checkKeys(Reading &reading, const YamlNode &map, std::initializer_list<std::string_view> allowed)
{
    std::vector<std::string_view> seen;
    for (const auto &[key, line] : map.keys_) {
        const bool repeated = std::find(seen.begin(), seen.end(), key) != seen.end();
        if (repeated || std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
            report(reading, line, "the key " + key + (repeated ? " is repeated" : " is unknown"));
        }
        seen.push_back(key);
    }
}

static void readTransition(Reading &reading, std::size_t state, const std::string &event, int line,
                           const YamlNode *target, std::vector<bool> &named)
{
    const std::string &name = reading.chart_.states_[state];
    const std::uint16_t index = indexOf(reading.chart_.events_, event);
    if (index == NoChartIndex) {
        report(reading, line, name + ": the event " + event + " is unknown");
        return;
    }
    if (named[index]) {
        report(reading, line, name + ": the event " + event + " is named twice");
        return;
    }
    named[index] = true;
    if (target == nullptr) {
        return; // ignored
    }
    reading.eventUsed_[index] = true;
    checkKeys(reading, *target, {"to", "do"});
    const YamlNode *to = findKey(*target, "to");
    const YamlNode *action = findKey(*target, "do");
    ChartTransition transition;
    transition.to_ = to == nullptr ? NoChartIndex : indexOf(reading.chart_.states_, to->scalar_);
    if (transition.to_ == NoChartIndex) {
        report(reading, line,
               name + ": " + event + ": the state " + (to == nullptr ? "" : describe(*to)) + " is unknown");
        return;
    }
    if (action != nullptr) {
        transition.action_ = indexOf(reading.chart_.actions_, action->scalar_);
        if (transition.action_ == NoChartIndex) {
            report(reading, line, name + ": " + event + ": the action " + describe(*action) + " is unknown");
            return;
        }
        reading.actionUsed_[transition.action_] = true;
    }
    reading.chart_.transitions_[state * reading.chart_.events_.size() + index] = transition;
}

static void readState(Reading &reading, std::size_t state, const YamlNode &node, int line)
{
    checkKeys(reading, node, {"on", "ignore", "final"});
    const YamlNode *final = findKey(node, "final");
    const YamlNode *on = findKey(node, "on");
    const YamlNode *ignore = findKey(node, "ignore");
    const std::string &name = reading.chart_.states_[state];
    if (final != nullptr) {
        reading.chart_.final_[state] = true;
        if (final->scalar_ != "true" || on != nullptr || ignore != nullptr) {
            report(reading, line, name + ": a final state names no events");
        }
        return;
    }
    std::vector<bool> named(reading.chart_.events_.size(), false);
    if (on != nullptr) {
        for (std::size_t i = 0; i < on->keys_.size(); ++i) {
            readTransition(reading, state, on->keys_[i].first, on->keys_[i].second, &on->items_[i], named);
        }
    }
    if (ignore != nullptr) {
        for (const YamlNode &item : ignore->items_) {
            readTransition(reading, state, item.scalar_, item.line_, nullptr, named);
        }
    }
    for (std::size_t event = 0; event < named.size(); ++event) {
        if (!named[event]) {
            report(reading, line, name + ": the event " + reading.chart_.events_[event] + " is missing");
        }
    }
}

static void checkReachable(Reading &reading)
{
    const Chart &chart = reading.chart_;
    std::vector<bool> reached(chart.states_.size(), false);
    std::vector<std::size_t> open{chart.initial_};
    reached[chart.initial_] = true;
    while (!open.empty()) {
        const std::size_t state = open.back();
        open.pop_back();
        for (std::size_t event = 0; event < chart.events_.size(); ++event) {
            const std::uint16_t to = chart.transitions_[state * chart.events_.size() + event].to_;
            if (to != NoChartIndex && !reached[to]) {
                reached[to] = true;
                open.push_back(to);
            }
        }
    }
    for (std::size_t state = 0; state < reached.size(); ++state) {
        if (!reached[state]) {
            report(reading, 0, "the state " + chart.states_[state] + " cannot be reached");
        }
    }
}

static void checkUsed(Reading &reading, const std::vector<std::string> &names, const std::vector<bool> &used,
                      const std::string &kind)
{
    for (std::size_t i = 0; i < used.size(); ++i) {
        if (!used[i]) {
            report(reading, 0, "the " + kind + " " + names[i] + " has no use");
        }
    }
}

static void readStates(Reading &reading, const YamlNode &root)
{
    Chart &chart = reading.chart_;
    const YamlNode *states = findKey(root, "states");
    if (states == nullptr || states->kind_ != YamlKind::Map || states->keys_.empty()
        || states->keys_.size() > MaxNames) {
        report(reading, root.line_, "states: a map from names to states is needed");
        return;
    }
    for (const auto &[name, line] : states->keys_) {
        if (name.empty() || indexOf(chart.states_, name) != NoChartIndex) {
            report(reading, line, "states: " + name + ": names, each once");
        }
        chart.states_.push_back(name);
    }
    chart.final_.assign(chart.states_.size(), false);
    chart.transitions_.assign(chart.states_.size() * chart.events_.size(), {});
    reading.eventUsed_.assign(chart.events_.size(), false);
    reading.actionUsed_.assign(chart.actions_.size(), false);
    for (std::size_t state = 0; state < chart.states_.size(); ++state) {
        readState(reading, state, states->items_[state], states->keys_[state].second);
    }
    const YamlNode *initial = findKey(root, "initial");
    chart.initial_ = initial == nullptr ? NoChartIndex : indexOf(chart.states_, initial->scalar_);
    if (chart.initial_ == NoChartIndex) {
        report(reading, root.line_, "initial: the state is unknown");
        return;
    }
    checkReachable(reading);
    checkUsed(reading, chart.events_, reading.eventUsed_, "event");
    checkUsed(reading, chart.actions_, reading.actionUsed_, "action");
}

std::error_code parseChart(std::string_view text, Chart &chart, std::vector<std::string> &problems)
{
    problems.clear();
    YamlNode root;
    YamlProblem broken;
    Reading reading{{}, problems, {}, {}};
    if (!parseYaml(text, root, broken)) {
        report(reading, broken.line_, broken.text_);
        return ErrorKind::BadSetting;
    }
    checkKeys(reading, root, {"chart", "initial", "events", "actions", "states"});
    const YamlNode *name = findKey(root, "chart");
    if (name == nullptr || name->scalar_.empty()) {
        report(reading, root.line_, "chart: a name is needed");
    } else {
        reading.chart_.name_ = name->scalar_;
    }
    readNames(reading, root, "events", reading.chart_.events_);
    readNames(reading, root, "actions", reading.chart_.actions_);
    readStates(reading, root);
    if (!problems.empty()) {
        return ErrorKind::BadSetting;
    }
    chart = std::move(reading.chart_);
    return {};
}

} // namespace mimosapier
