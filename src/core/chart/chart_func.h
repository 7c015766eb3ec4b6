// State charts: parsed from the text of charts/*.yaml, which is compiled in, checked, and interpreted. A caller keeps a
// ChartExecution, gives it events and performs the actions that it returns; this part performs none itself.
//
// A chart declares its states, events and actions. Each state that is not final names every event, either with a target
// state and an optional action, or as ignored.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace mimosapier
{

constexpr std::uint16_t NoChartIndex = 0xffff;

struct ChartTransition
{
    std::uint16_t targetState_ = NoChartIndex; // index in states_; NoChartIndex when the event is ignored
    std::uint16_t action_ = NoChartIndex; // index in actions_; NoChartIndex for none
};

struct Chart
{
    std::string name_;
    std::vector<std::string> states_; // in the order of the file
    std::vector<std::string> events_;
    std::vector<std::string> actions_;
    std::vector<bool> finalStates_; // by state; true when it is final
    std::uint16_t initialState_ = 0; // index in states_
    std::vector<ChartTransition> transitions_; // at [state * events_.size() + event]
};

// Current state of one execution of a chart. The chart must outlive it.
struct ChartExecution
{
    const Chart *chart_ = nullptr;
    std::uint16_t state_ = 0; // index in Chart::states_
};

// Parses and checks a chart. Problems are unknown or repeated names, events that a state does not name, states that
// cannot be reached, and events and actions that are not used. On error `problems` has one line for each, with the line
// number in the text (0 when there is none), and `chart` is unchanged. Error: BadSetting.
std::error_code parseChart(std::string_view text, Chart &chart, std::vector<std::string> &problems);

// The compiled-in chart with that name; valid until the process ends. Aborts the process when there is none or it is
// not valid; tests/chart checks all of them.
const Chart &chartNamed(std::string_view name);

// An execution in the initial state.
ChartExecution startChart(const Chart &chart);

// Processes an event and returns the action to perform; empty for none. Events that the chart does not have are
// ignored, and so is every event in a final state.
std::string_view advanceChart(ChartExecution &execution, std::string_view event);

// Name of the current state.
std::string_view chartState(const ChartExecution &execution);
bool isInState(const ChartExecution &execution, std::string_view state);
bool isFinished(const ChartExecution &execution); // true in a final state

// Those of the given names that the chart does not have; tests compare the names in code with the chart.
std::vector<std::string> missingNames(const Chart &chart, std::span<const std::string_view> states,
                                      std::span<const std::string_view> events,
                                      std::span<const std::string_view> actions);

} // namespace mimosapier
