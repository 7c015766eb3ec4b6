// Parses and checks charts. Parsing goes on after a problem, so that one run reports all of them.
#include "core/chart/chart_func.h"
#include "core/common/error_type.h"
#include "core/config/yaml_func.h"

#include <algorithm>

namespace mimosapier
{

static constexpr std::size_t MaxNames = 1000; // of states, of events and of actions in a chart

namespace
{

// The chart that is being built, and the problems found so far.
struct ChartParse
{
    Chart chart_;
    std::vector<std::string> &problems_;
    std::vector<bool> eventUsed_; // by event; a state names it and does not ignore it
    std::vector<bool> actionUsed_; // by action
};

} // namespace

static void addProblem(ChartParse &parse, int line, const std::string &text)
{
    parse.problems_.push_back("line " + std::to_string(line) + ": " + text);
}

static std::uint16_t indexOf(const std::vector<std::string> &names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? NoChartIndex : static_cast<std::uint16_t>(found - names.begin());
}

static void readNames(ChartParse &parse, const YamlNode &root, std::string_view key, std::vector<std::string> &names)
{
    const YamlNode *list = findKey(root, key);
    if (list == nullptr || list->kind_ != YamlKind::List || list->items_.size() > MaxNames) {
        addProblem(parse, root.line_, std::string(key) + ": expected a list of names");
        return;
    }
    for (const YamlNode &item : list->items_) {
        if (item.kind_ != YamlKind::Scalar || item.scalar_.empty() || indexOf(names, item.scalar_) != NoChartIndex) {
            addProblem(parse, item.line_, std::string(key) + ": " + describe(item) + ": expected a unique name");
        } else {
            names.push_back(item.scalar_);
        }
    }
}

static void checkKeys(ChartParse &parse, const YamlNode &map, std::initializer_list<std::string_view> allowed)
{
    std::vector<std::string_view> seen;
    for (const auto &[key, line] : map.keys_) {
        const bool repeated = std::find(seen.begin(), seen.end(), key) != seen.end();
        if (repeated || std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
            addProblem(parse, line, "the key " + key + (repeated ? " is repeated" : " is unknown"));
        }
        seen.push_back(key);
    }
}

// `target` is the value of the event's key; nullptr for an ignored event.
static void readTransition(ChartParse &parse, std::size_t state, const std::string &event, int line,
                           const YamlNode *target, std::vector<bool> &seenEvents)
{
    const std::string &name = parse.chart_.states_[state];
    const std::uint16_t index = indexOf(parse.chart_.events_, event);
    if (index == NoChartIndex) {
        addProblem(parse, line, name + ": the event " + event + " is unknown");
        return;
    }
    if (seenEvents[index]) {
        addProblem(parse, line, name + ": the event " + event + " is named twice");
        return;
    }
    seenEvents[index] = true;
    if (target == nullptr) {
        return;
    }
    parse.eventUsed_[index] = true;
    checkKeys(parse, *target, {"to", "do"});
    const YamlNode *to = findKey(*target, "to");
    const YamlNode *action = findKey(*target, "do");
    ChartTransition transition;
    transition.targetState_ = to == nullptr ? NoChartIndex : indexOf(parse.chart_.states_, to->scalar_);
    if (transition.targetState_ == NoChartIndex) {
        addProblem(parse, line,
                   name + ": " + event + ": the state " + (to == nullptr ? "" : describe(*to)) + " is unknown");
        return;
    }
    if (action != nullptr) {
        transition.action_ = indexOf(parse.chart_.actions_, action->scalar_);
        if (transition.action_ == NoChartIndex) {
            addProblem(parse, line, name + ": " + event + ": the action " + describe(*action) + " is unknown");
            return;
        }
        parse.actionUsed_[transition.action_] = true;
    }
    parse.chart_.transitions_[state * parse.chart_.events_.size() + index] = transition;
}

static void readState(ChartParse &parse, std::size_t state, const YamlNode &node, int line)
{
    checkKeys(parse, node, {"on", "ignore", "final"});
    const YamlNode *final = findKey(node, "final");
    const YamlNode *on = findKey(node, "on");
    const YamlNode *ignore = findKey(node, "ignore");
    const std::string &name = parse.chart_.states_[state];
    if (final != nullptr) {
        parse.chart_.finalStates_[state] = true;
        if (final->scalar_ != "true" || on != nullptr || ignore != nullptr) {
            addProblem(parse, line, name + ": a final state must not name events");
        }
        return;
    }
    std::vector<bool> seenEvents(parse.chart_.events_.size(), false);
    if (on != nullptr) {
        for (std::size_t i = 0; i < on->keys_.size(); ++i) {
            readTransition(parse, state, on->keys_[i].first, on->keys_[i].second, &on->items_[i], seenEvents);
        }
    }
    if (ignore != nullptr) {
        for (const YamlNode &item : ignore->items_) {
            readTransition(parse, state, item.scalar_, item.line_, nullptr, seenEvents);
        }
    }
    for (std::size_t event = 0; event < seenEvents.size(); ++event) {
        if (!seenEvents[event]) {
            addProblem(parse, line, name + ": the event " + parse.chart_.events_[event] + " is missing");
        }
    }
}

static void checkReachable(ChartParse &parse)
{
    const Chart &chart = parse.chart_;
    std::vector<bool> reached(chart.states_.size(), false);
    std::vector<std::size_t> unvisited{chart.initialState_};
    reached[chart.initialState_] = true;
    while (!unvisited.empty()) {
        const std::size_t state = unvisited.back();
        unvisited.pop_back();
        for (std::size_t event = 0; event < chart.events_.size(); ++event) {
            const std::uint16_t to = chart.transitions_[state * chart.events_.size() + event].targetState_;
            if (to != NoChartIndex && !reached[to]) {
                reached[to] = true;
                unvisited.push_back(to);
            }
        }
    }
    for (std::size_t state = 0; state < reached.size(); ++state) {
        if (!reached[state]) {
            addProblem(parse, 0, "the state " + chart.states_[state] + " cannot be reached");
        }
    }
}

static void checkUsed(ChartParse &parse, const std::vector<std::string> &names, const std::vector<bool> &used,
                      const std::string &kind)
{
    for (std::size_t i = 0; i < used.size(); ++i) {
        if (!used[i]) {
            addProblem(parse, 0, "the " + kind + " " + names[i] + " is not used");
        }
    }
}

static void readStates(ChartParse &parse, const YamlNode &root)
{
    Chart &chart = parse.chart_;
    const YamlNode *states = findKey(root, "states");
    if (states == nullptr || states->kind_ != YamlKind::Map || states->keys_.empty()
        || states->keys_.size() > MaxNames) {
        addProblem(parse, root.line_, "states: expected a map of state names to states");
        return;
    }
    for (const auto &[name, line] : states->keys_) {
        if (name.empty() || indexOf(chart.states_, name) != NoChartIndex) {
            addProblem(parse, line, "states: " + name + ": expected a unique name");
        }
        chart.states_.push_back(name);
    }
    chart.finalStates_.assign(chart.states_.size(), false);
    chart.transitions_.assign(chart.states_.size() * chart.events_.size(), {});
    parse.eventUsed_.assign(chart.events_.size(), false);
    parse.actionUsed_.assign(chart.actions_.size(), false);
    for (std::size_t state = 0; state < chart.states_.size(); ++state) {
        readState(parse, state, states->items_[state], states->keys_[state].second);
    }
    const YamlNode *initial = findKey(root, "initial");
    chart.initialState_ = initial == nullptr ? NoChartIndex : indexOf(chart.states_, initial->scalar_);
    if (chart.initialState_ == NoChartIndex) {
        addProblem(parse, root.line_, "initial: the state is unknown");
        return;
    }
    checkReachable(parse);
    checkUsed(parse, chart.events_, parse.eventUsed_, "event");
    checkUsed(parse, chart.actions_, parse.actionUsed_, "action");
}

std::error_code parseChart(std::string_view text, Chart &chart, std::vector<std::string> &problems)
{
    problems.clear();
    YamlNode root;
    YamlProblem yamlProblem;
    ChartParse parse{{}, problems, {}, {}};
    if (!parseYaml(text, root, yamlProblem)) {
        addProblem(parse, yamlProblem.line_, yamlProblem.text_);
        return ErrorKind::BadSetting;
    }
    checkKeys(parse, root, {"chart", "initial", "events", "actions", "states"});
    const YamlNode *name = findKey(root, "chart");
    if (name == nullptr || name->scalar_.empty()) {
        addProblem(parse, root.line_, "chart: expected a name");
    } else {
        parse.chart_.name_ = name->scalar_;
    }
    readNames(parse, root, "events", parse.chart_.events_);
    readNames(parse, root, "actions", parse.chart_.actions_);
    readStates(parse, root);
    if (!problems.empty()) {
        return ErrorKind::BadSetting;
    }
    chart = std::move(parse.chart_);
    return {};
}

} // namespace mimosapier
