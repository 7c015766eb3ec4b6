// The command `config check`: finds errors of a cell's configuration before it is put in force.
#include "ctl/ctl_internal.h"
#include "platform/platform_codec_func.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace mimosapier
{

// Reads a file, "-" for standard input. Prints what is wrong and returns false if it is not readable as JSON.
static bool readText(const std::string &name, const CommandIo &io, std::string &text)
{
    if (name == "-") {
        text.assign(std::istreambuf_iterator<char>(io.in_), {});
    } else {
        std::ifstream file(name, std::ios::binary);
        if (!file) {
            io.err_ << "The configuration " << name << " cannot be read.\n";
            return false;
        }
        text.assign(std::istreambuf_iterator<char>(file), {});
    }
    Json json;
    if (!parseJson(text, json)) {
        io.err_ << "The configuration " << name << " is not JSON.\n";
        return false;
    }
    return true;
}

static Json toJson(const ConfigReport &report)
{
    Json findings = Json::array();
    for (const ConfigFinding &finding : report.findings_) {
        findings.push_back({{"kind", findingKindName(finding.kind_)},
                            {"place", finding.place_},
                            {"key", finding.key_},
                            {"value", finding.value_},
                            {"text", finding.text_}});
    }
    Json differences = Json::array();
    for (const ConfigDifference &difference : report.differences_) {
        differences.push_back({{"entry", difference.entry_},
                               {"change", difference.change_},
                               {"key", difference.key_},
                               {"from", difference.from_},
                               {"to", difference.to_}});
    }
    return {{"findings", findings}, {"differences", differences}};
}

static void print(const ConfigReport &report, const CommandIo &io)
{
    for (const ConfigFinding &finding : report.findings_) {
        const std::string separator = finding.place_.empty() || finding.key_.empty() ? "" : ".";
        const std::string where = finding.place_ + separator + finding.key_;
        io.out_ << findingKindName(finding.kind_) << ' ' << (where.empty() ? "document" : where);
        if (!finding.value_.empty()) {
            io.out_ << ": got " << finding.value_;
        }
        io.out_ << "; " << finding.text_ << '\n';
    }
    for (const ConfigDifference &difference : report.differences_) {
        io.out_ << difference.change_ << ' ' << difference.entry_;
        if (!difference.key_.empty()) {
            io.out_ << ": " << difference.key_ << " from " << (difference.from_.empty() ? "nothing" : difference.from_)
                    << " to " << (difference.to_.empty() ? "nothing" : difference.to_);
        }
        io.out_ << '\n';
    }
}

// Exit codes: Done (0) clean, Failed (1) findings, Usage (2) a file that is not readable. Differences are no findings.
ExitCode configCheckCmd(const Options &options, const CommandIo &io)
{
    std::string text;
    if (!readText(options.config_.file_, io, text)) {
        return ExitCode::Usage;
    }
    ConfigReport report;
    CellConfig config;
    std::vector<ConfigProblem> problems;
    const bool isDecoded = readCellConfig(text, config, problems);
    std::transform(problems.begin(), problems.end(), std::back_inserter(report.findings_),
                   [](const ConfigProblem &problem) {
                       return ConfigFinding{ConfigFindingKind::Error, problem.place_, problem.key_, problem.value_,
                                            "allowed: " + problem.allowed_};
                   });
    if (isDecoded) { // a part that could not be decoded would lead to findings that are none
        checkConfig(config, report);
    }
    if (!options.config_.against_.empty()) {
        CellConfig inForce;
        if (!readText(options.config_.against_, io, text)) {
            return ExitCode::Usage;
        }
        if (!decodeCellConfig(text, inForce)) {
            io.err_ << "The configuration " << options.config_.against_ << " has errors; check it by itself.\n";
            return ExitCode::Usage;
        }
        if (isDecoded) {
            compareConfigs(inForce, config, report);
        }
    }
    if (options.printsJson_) {
        io.out_ << dumpJson(toJson(report)) << '\n';
    } else {
        print(report, io);
    }
    return report.findings_.empty() ? ExitCode::Done : ExitCode::Failed;
}

} // namespace mimosapier
