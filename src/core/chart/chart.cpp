// Loads the compiled-in charts and interprets them.
#include "core/chart/chart_func.h"
#include "core/chart/table/chart_table.h"

#include <algorithm>
#include <cstdlib>
#include <map>

namespace mimosapier
{

// Leaves out charts that are not valid; chartNamed aborts for them.
static std::map<std::string_view, Chart> loadCharts()
{
    std::map<std::string_view, Chart> charts;
    for (const auto &[name, text] : ChartTable) {
        Chart chart;
        std::vector<std::string> problems;
        if (!parseChart(text, chart, problems) && chart.name_ == name) {
            charts.emplace(name, std::move(chart));
        }
    }
    return charts;
}

const Chart &chartNamed(std::string_view name)
{
    static const std::map<std::string_view, Chart> charts = loadCharts();
    const auto found = charts.find(name);
    if (found == charts.end()) {
        std::abort();
    }
    return found->second;
}

ChartExecution startChart(const Chart &chart)
{
    return {&chart, chart.initialState_};
}

std::string_view advanceChart(ChartExecution &execution, std::string_view event)
{
    const Chart &chart = *execution.chart_;
    const auto found = std::find(chart.events_.begin(), chart.events_.end(), event);
    if (found == chart.events_.end()) {
        return {};
    }
    const auto index = static_cast<std::size_t>(found - chart.events_.begin());
    const ChartTransition &transition = chart.transitions_[execution.state_ * chart.events_.size() + index];
    if (transition.targetState_ == NoChartIndex) {
        return {};
    }
    execution.state_ = transition.targetState_;
    return transition.action_ == NoChartIndex ? std::string_view() : chart.actions_[transition.action_];
}

std::string_view chartState(const ChartExecution &execution)
{
    return execution.chart_->states_[execution.state_];
}

bool isInState(const ChartExecution &execution, std::string_view state)
{
    return chartState(execution) == state;
}

bool isFinished(const ChartExecution &execution)
{
    return execution.chart_->finalStates_[execution.state_];
}

static void addMissing(std::vector<std::string> &missing, const std::vector<std::string> &names,
                       std::span<const std::string_view> used)
{
    for (const std::string_view name : used) {
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            missing.emplace_back(name);
        }
    }
}

std::vector<std::string> missingNames(const Chart &chart, std::span<const std::string_view> states,
                                      std::span<const std::string_view> events,
                                      std::span<const std::string_view> actions)
{
    std::vector<std::string> missing;
    addMissing(missing, chart.states_, states);
    addMissing(missing, chart.events_, events);
    addMissing(missing, chart.actions_, actions);
    return missing;
}

} // namespace mimosapier
