// The report as a self-contained HTML page with inline SVG.
#include "ctl/ctl_internal.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace mimosapier
{

static constexpr double BurnBarWidth = 160; // pixels at full scale
static constexpr double MaxBurnRate = 10; // at full scale
static constexpr double HistogramHeight = 40; // pixels
static constexpr double BucketWidth = 9; // pixels, with the gap

static std::string escapeHtml(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

// Bar for a burn rate, with a mark at 1, where the budget is used up exactly at the end of the window.
static std::string burnBar(double rate)
{
    const double length = std::min(rate, MaxBurnRate) / MaxBurnRate * BurnBarWidth;
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << "<svg width=\"" << BurnBarWidth
        << "\" height=\"14\" role=\"img\"><title>" << rate << "</title><rect width=\"" << BurnBarWidth
        << "\" height=\"14\" fill=\"#eee\"/><rect width=\"" << length << "\" height=\"14\" fill=\""
        << (rate > 1 ? "#c33" : "#383") << "\"/><line x1=\"" << BurnBarWidth / MaxBurnRate << "\" x2=\""
        << BurnBarWidth / MaxBurnRate << "\" y2=\"14\" stroke=\"#000\"/></svg> " << rate;
    return out.str();
}

static std::string histogram(const ReportData &data, const ReportRow &row)
{
    std::int64_t highestCount = 1;
    for (const std::int64_t count : row.buckets_) {
        highestCount = std::max(highestCount, count);
    }
    std::ostringstream out;
    out << "<svg width=\"" << BucketWidth * static_cast<double>(row.buckets_.size()) << "\" height=\""
        << HistogramHeight << "\" role=\"img\">";
    for (std::size_t i = 0; i < row.buckets_.size(); ++i) {
        const double height
            = static_cast<double>(row.buckets_[i]) / static_cast<double>(highestCount) * HistogramHeight;
        const bool withinObjective = i < data.boundsMs_.size() && data.boundsMs_[i] <= row.objectiveMs_;
        out << "<rect x=\"" << BucketWidth * static_cast<double>(i) << "\" y=\"" << HistogramHeight - height
            << "\" width=\"" << BucketWidth - 1 << "\" height=\"" << height << "\" fill=\""
            << (withinObjective ? "#383" : "#c83") << "\"><title>";
        out << (i < data.boundsMs_.size() ? "up to " + std::to_string(data.boundsMs_[i]) + " ms" : "longer") << ": "
            << row.buckets_[i] << "</title></rect>";
    }
    out << "</svg>";
    return out.str();
}

static std::string legend(const ReportData &data)
{
    std::ostringstream out;
    out << data.daemons_
        << " daemons answered. A burn rate above 1, the mark in the bars, uses the error budget up before its window "
           "ends.";
    if (!data.boundsMs_.empty()) {
        out << " Answers by time: the leftmost column counts answers within " << data.boundsMs_.front()
            << " ms, the rightmost those after " << data.boundsMs_.back()
            << " ms; columns within the objective are green.";
    }
    return out.str();
}

// Uses significant digits: a fixed number of decimals would round a ratio such as 0.999.
static std::string percentText(double ratio)
{
    std::ostringstream out;
    out << std::setprecision(6) << ratio * 100 << "%";
    return out.str();
}

std::string reportPage(const ReportData &data)
{
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>mimosapier report</title>\n"
           "<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
           "td,th{padding:4px 10px;border-bottom:1px solid #ccc;text-align:left;white-space:nowrap}"
           "p{max-width:60em}</style></head><body>\n"
           "<h1>Service levels</h1>\n<p>"
        << legend(data)
        << "</p>\n"
           "<table><tr><th>class</th><th>team</th><th>objective</th><th>good</th><th>bad</th><th>burn rate, 5 min</th>"
           "<th>burn rate, 1 h</th><th>budget left, 1 h</th><th>answers by time</th></tr>\n";
    for (const ReportRow &row : data.rows_) {
        out << "<tr><td>" << escapeHtml(row.class_) << "</td><td>" << escapeHtml(row.team_) << "</td><td>"
            << percentText(row.objectiveRatio_) << " in " << row.objectiveMs_ << " ms</td><td>" << row.lastHour_.good_
            << "</td><td>" << row.lastHour_.bad_ << "</td><td>" << burnBar(burnRate(row.last5Min_, row.objectiveRatio_))
            << "</td><td>" << burnBar(burnRate(row.lastHour_, row.objectiveRatio_)) << "</td><td>" << budgetText(row)
            << "</td><td>" << histogram(data, row) << "</td></tr>\n";
    }
    out << "</table></body></html>\n";
    return out.str();
}

} // namespace mimosapier
