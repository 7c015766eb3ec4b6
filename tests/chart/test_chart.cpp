// Tests of the state charts: the compiled-in text equals the files, the parser reports faulty charts, and the
// interpreter follows them.
#include "core/chart/chart_func.h"
#include "core/chart/table/chart_table.h"

#include <criterion/criterion.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace mimosapier;

static const std::string Door = R"(chart: door
initial: shut
events: [push, lock]
actions: [swing]
states:
  shut:
    on: {push: {to: open, do: swing}, lock: {to: locked}}
  open:
    on: {push: {to: shut}}
    ignore: [lock]
  locked: {final: true}
)";

static std::string problemsOf(const std::string &text)
{
    Chart chart;
    std::vector<std::string> problems;
    const bool failed = static_cast<bool>(parseChart(text, chart, problems));
    cr_assert_eq(failed, !problems.empty());
    std::string all;
    for (const std::string &problem : problems) {
        all += problem + "\n";
    }
    return all;
}

// Guards against a chart_table.h that was not generated again after a chart file changed.
Test(chart, tableEqualsFiles)
{
    std::size_t files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(MIMOSAPIER_SOURCE_DIR "/charts")) {
        std::ifstream file(entry.path());
        std::stringstream text;
        text << file.rdbuf();
        ++files;
        bool found = false;
        for (const auto &[name, compiled] : ChartTable) {
            found = found || (name == entry.path().stem().string() && compiled == text.str());
        }
        cr_expect(found, "run scripts/charts: %s", entry.path().c_str());
    }
    cr_expect_eq(files, ChartTable.size());
}

// Guards against a faulty compiled-in chart: chartNamed would abort the daemon.
Test(chart, compiledChartsAreValid)
{
    for (const auto &[name, text] : ChartTable) {
        cr_expect_str_eq(problemsOf(std::string(text)).c_str(), "");
        cr_expect(chartNamed(name).name_ == name);
    }
}

// Guards against names in the code of the bundle sign-off that the chart does not have: such an event would be ignored
// and such a state never be reached.
Test(chart, rolloutChartHasNamesUsedInCode)
{
    constexpr std::array<std::string_view, 6> States{"reading-draft", "reading-head", "announcing",
                                                     "writing",       "reading-back", "rewriting"};
    constexpr std::array<std::string_view, 10> Events{"draft-read",  "head-read",  "majority",    "refused",
                                                      "written",     "other-head", "not-written", "answer-lost",
                                                      "unavailable", "timeout"};
    constexpr std::array<std::string_view, 8> Actions{"read-head", "announce",    "write",  "read-back",
                                                      "apply",     "write-again", "refuse", "answer-unknown"};
    cr_expect(missingNames(chartNamed("rollout"), States, Events, Actions).empty());
}

// Guards against a faulty chart that passes the checks: each line breaks the chart in one way.
Test(chart, faultsAreFound)
{
    const auto expect = [](const std::string &from, const std::string &to, const std::string &message) {
        std::string text = Door;
        text.replace(text.find(from), from.size(), to);
        const std::string problems = problemsOf(text);
        cr_expect(problems.find(message) != std::string::npos, "%s", problems.c_str());
    };
    cr_assert_str_eq(problemsOf(Door).c_str(), "");
    expect("lock: {to: locked}", "lock: {to: shut}", "the state locked cannot be reached");
    expect("    ignore: [lock]\n", "", "open: the event lock is missing");
    expect("to: open", "to: opened", "the state opened is unknown");
    expect("do: swing", "do: swim", "the action swim is unknown");
    expect("[lock]", "[look]", "the event look is unknown");
    expect("[lock]", "[lock, push]", "the event push is named twice");
    expect("[push, lock]", "[push, lock, kick]", "the event kick is not used");
    expect("[swing]", "[swing, creak]", "the action creak is not used");
    expect("initial: shut", "initial: ajar", "initial: the state is unknown");
    expect("locked: {final: true}", "locked: {final: true, ignore: [push]}", "a final state must not name events");
    expect("ignore:", "ignored:", "the key ignored is unknown");
}

// Guards against transitions, actions or ignored events that differ from the chart.
Test(chart, interpreterFollowsTheChart)
{
    Chart chart;
    std::vector<std::string> problems;
    cr_assert(!parseChart(Door, chart, problems));
    ChartExecution door = startChart(chart);
    cr_expect(advanceChart(door, "push") == "swing" && isInState(door, "open"));
    cr_expect(advanceChart(door, "lock").empty() && isInState(door, "open"));
    cr_expect(advanceChart(door, "push").empty() && isInState(door, "shut"));
    cr_expect(advanceChart(door, "lock").empty() && isInState(door, "locked") && isFinished(door));
    cr_expect(advanceChart(door, "push").empty() && isInState(door, "locked"));
}

// Guards against crashes of the parser on damaged text: bytes are changed or erased at random, with a fixed seed.
Test(chart, damagedChartsNeverCrash)
{
    std::mt19937_64 random(12);
    const std::string text(ChartTable.back().second);
    for (int round = 0; round < 3000; ++round) {
        std::string damaged = text;
        for (std::uint64_t i = 0; i <= random() % 4; ++i) {
            const std::size_t position = random() % damaged.size();
            if (random() % 2 == 0) {
                damaged[position] = static_cast<char>(random());
            } else {
                damaged.erase(position, random() % 40);
            }
        }
        problemsOf(damaged);
    }
}
