// Command report: objectives, good and bad work, and burn rates of the error budgets, summed over all daemons.
#include "ctl/ctl_internal.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iomanip>
#include <ostream>

namespace mimosapier
{

double goodRatio(const WindowCounts &counts)
{
    const std::int64_t total = counts.good_ + counts.bad_;
    return total == 0 ? 1.0 : static_cast<double>(counts.good_) / static_cast<double>(total);
}

double burnRate(const WindowCounts &counts, double objectiveRatio)
{
    const double budget = 1.0 - objectiveRatio;
    return budget <= 0 ? 0 : (1.0 - goodRatio(counts)) / budget;
}

double budgetLeft(const WindowCounts &counts, double objectiveRatio)
{
    return 1.0 - burnRate(counts, objectiveRatio);
}

std::string budgetText(const ReportRow &row)
{
    const double left = budgetLeft(row.lastHour_, row.objectiveRatio_);
    if (left <= 0) {
        return "used up"; // the burn rate shows by how much
    }
    char text[16];
    std::snprintf(text, sizeof(text), "%.1f%%", left * 100);
    return text;
}

static WindowCounts readCounts(const Json &series, const char *name)
{
    const auto found = series.find(name);
    if (found == series.end()) {
        return {};
    }
    return {numberField(*found, "good"), numberField(*found, "bad")};
}

// Copies an array of numbers, or adds it to `sums`.
static void addBuckets(std::vector<std::int64_t> &sums, const Json &json, const char *name, bool accumulate)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_array()) {
        return;
    }
    sums.resize(std::max(sums.size(), found->size()));
    for (std::size_t i = 0; i < found->size(); ++i) {
        if ((*found)[i].is_number_integer()) {
            const auto value = (*found)[i].get<std::int64_t>();
            sums[i] = accumulate ? sums[i] + value : value;
        }
    }
}

void addReport(ReportData &data, const Json &document)
{
    if (!document.is_object()) {
        return;
    }
    ++data.daemons_;
    addBuckets(data.boundsMs_, document, "bucket_bounds_ms", false);
    const auto list = document.find("series");
    if (list == document.end() || !list->is_array()) {
        return;
    }
    for (const Json &series : *list) {
        const std::string workClass = textField(series, "class");
        const std::string team = textField(series, "team");
        auto row = std::find_if(data.rows_.begin(), data.rows_.end(), [&](const ReportRow &candidate) {
            return candidate.class_ == workClass && candidate.team_ == team;
        });
        if (row == data.rows_.end()) {
            row = data.rows_.insert(row, {workClass, team, 0, 0, {}, {}, {}});
        }
        readField(series, "objective_ratio", row->objectiveRatio_);
        row->objectiveMs_ = numberField(series, "objective_ms");
        const WindowCounts recent = readCounts(series, "last_5_min");
        const WindowCounts hour = readCounts(series, "last_hour");
        row->last5Min_ = {row->last5Min_.good_ + recent.good_, row->last5Min_.bad_ + recent.bad_};
        row->lastHour_ = {row->lastHour_.good_ + hour.good_, row->lastHour_.bad_ + hour.bad_};
        addBuckets(row->buckets_, series, "answer_ms_buckets", true);
    }
    std::sort(data.rows_.begin(), data.rows_.end(), [](const ReportRow &left, const ReportRow &right) {
        return std::tie(left.class_, left.team_) < std::tie(right.class_, right.team_);
    });
}

static Json reportJson(const ReportData &data)
{
    Json rows = Json::array();
    for (const ReportRow &row : data.rows_) {
        rows.push_back({{"class", row.class_},
                        {"team", row.team_},
                        {"objective_ms", row.objectiveMs_},
                        {"objective_ratio", row.objectiveRatio_},
                        {"good", row.lastHour_.good_},
                        {"bad", row.lastHour_.bad_},
                        {"good_ratio", goodRatio(row.lastHour_)},
                        {"burn_5_min", burnRate(row.last5Min_, row.objectiveRatio_)},
                        {"burn_1_h", burnRate(row.lastHour_, row.objectiveRatio_)},
                        {"budget_left_1_h", budgetLeft(row.lastHour_, row.objectiveRatio_)}});
    }
    return {{"daemons", data.daemons_}, {"rows", rows}};
}

static void printTable(const ReportData &data, std::ostream &out)
{
    out << std::left << std::setw(24) << "class" << std::setw(20) << "team" << std::setw(20) << "objective"
        << std::right << std::setw(9) << "good" << std::setw(8) << "bad" << std::setw(11) << "burn 5min" << std::setw(9)
        << "burn 1h" << std::setw(13) << "budget left"
        << "\n";
    out << std::fixed << std::setprecision(2);
    for (const ReportRow &row : data.rows_) {
        char objective[40];
        std::snprintf(objective, sizeof(objective), "%.4g%% in %lld ms", row.objectiveRatio_ * 100,
                      static_cast<long long>(row.objectiveMs_));
        out << std::left << std::setw(24) << row.class_ << std::setw(20) << row.team_ << std::setw(20) << objective
            << std::right << std::setw(9) << row.lastHour_.good_ << std::setw(8) << row.lastHour_.bad_ << std::setw(11)
            << burnRate(row.last5Min_, row.objectiveRatio_) << std::setw(9)
            << burnRate(row.lastHour_, row.objectiveRatio_) << std::setw(13) << budgetText(row) << "\n";
    }
    out << data.daemons_ << " daemons answered.\n";
}

ExitCode reportCmd(const Options &options, const CommandIo &io)
{
    ReportData data;
    for (const std::string &address : options.addresses_) {
        const ApiResponse response = sendRequestTo(options, io, address, "GET", "/v1/admin/report");
        if (exitCode(response) == ExitCode::Done) {
            addReport(data, response.json_);
        } else {
            io.err_ << "No report from " << address << ".\n";
        }
    }
    if (data.daemons_ == 0) {
        return ExitCode::Unreachable;
    }
    if (!options.htmlFile_.empty()) {
        std::ofstream file(options.htmlFile_, std::ios::binary);
        file << reportPage(data);
        file.close();
        if (!file) {
            io.err_ << "The file " << options.htmlFile_ << " cannot be written.\n";
            return ExitCode::Usage;
        }
    }
    if (options.printsJson_) {
        io.out_ << dumpJson(reportJson(data)) << "\n";
    } else {
        printTable(data, io.out_);
    }
    return data.daemons_ == options.addresses_.size() ? ExitCode::Done : ExitCode::Unreachable;
}

} // namespace mimosapier
