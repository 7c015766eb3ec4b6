// State charts: read from charts/*.yaml (compiled in as text), checked at load, and interpreted.
//
// A chart lists its states, events and actions. Each state that is not final names every event, either with the state
// it leads to and an action, or as ignored.
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
    std::uint16_t targetState_ = NoChartIndex; // NoChartIndex: the event is ignored
    std::uint16_t action_ = NoChartIndex; // NoChartIndex: none
};

struct Chart
{
    std::string name_;
    std::vector<std::string> states_; // in the order of the file
    std::vector<std::string> events_;
    std::vector<std::string> actions_;
    std::vector<bool> finalStates_; // of each state
    std::uint16_t initialState_ = 0;
    std::vector<ChartTransition> transitions_; // [state * number of events + event]
};

// One thing that goes through a chart. The chart outlives it.
struct ChartInstance
{
    const Chart *chart_ = nullptr;
    std::uint16_t state_ = 0;
};

// Parses and checks a chart: unknown or repeated names, events that a state does not name, states that cannot be
// reached, events and actions without use. On error `problems` has one line for each and `chart` is unchanged.
// Error: BadSetting.
std::error_code parseChart(std::string_view text, Chart &chart, std::vector<std::string> &problems);

// The compiled-in chart with that name. Ends the process when there is none or it is not valid, which a test rules out.
const Chart &chartNamed(std::string_view name);

ChartInstance startChart(const Chart &chart);

// Takes an event. Returns the action, empty for none; the event must be one of the chart's. Final states ignore events.
std::string_view advanceChart(ChartInstance &instance, std::string_view event);

std::string_view chartState(const ChartInstance &instance);
bool isInState(const ChartInstance &instance, std::string_view state);
bool isFinished(const ChartInstance &instance); // in a final state

// Names that code uses but the chart does not have, for tests of the agreement between both.
std::vector<std::string> missingNames(const Chart &chart, std::span<const std::string_view> states,
                                      std::span<const std::string_view> events,
                                      std::span<const std::string_view> actions);

} // namespace mimosapier
