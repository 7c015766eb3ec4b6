// The command `trace`: shows from the daemons' logs what became of jobs and what took the time.
#include "ctl/ctl_internal.h"

#include <algorithm>
#include <fstream>
#include <iomanip>

namespace mimosapier
{

static bool readFiles(const Options &options, const CommandIo &io, TraceLog &log)
{
    for (const std::string &name : options.trace_.files_) {
        if (name == "-") {
            readTraceLog(io.in_, log);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            io.err_ << "The log " << name << " cannot be read.\n";
            return false;
        }
        readTraceLog(file, log);
    }
    return true;
}

// Prints the lines of a job with their time since its submit, and its parts.
static void printJob(const CommandIo &io, const TraceLog &log, const JobTrace &trace)
{
    for (const TraceLine &line : log.lines_) {
        if (line.job_ == trace.job_) {
            io.out_ << std::setw(8) << line.unixMs_ - trace.submittedMs_ << " ms  " << line.text_ << '\n';
        }
    }
    io.out_ << "job " << trace.job_ << ", account " << trace.account_ << ", queue " << trace.queue_ << ", objective "
            << trace.objectiveMs_ << " ms: " << causeOf(trace) << '\n';
    static constexpr std::array<const char *, static_cast<std::size_t>(TracePart::Count)> Labels{
        "store", "policy", "queue", "repeats", "run", "note"};
    for (std::size_t part = 0; part < Labels.size(); ++part) {
        io.out_ << "  " << Labels.at(part) << ' ' << trace.partMs_.at(part) << " ms\n";
    }
    if (trace.pastUseShiftMs_ > 0) {
        io.out_ << "  past use of the account: ordered as if the objective were up to " << trace.pastUseShiftMs_
                << " ms later\n";
    }
    io.out_ << "  starts " << trace.starts_;
    for (const auto &[how, count] : trace.ends_) {
        io.out_ << ", " << how << ' ' << count;
    }
    io.out_ << ", leader changes " << trace.leaderChanges_ << '\n';
}

// Prints the number of jobs by cause, the largest first, in all and by queue.
static void printCauses(const Options &options, const CommandIo &io, const std::vector<JobTrace> &traces)
{
    std::map<std::string, std::map<std::string, std::int64_t>> byCause; // number by queue
    std::map<std::string, std::int64_t> totals;
    for (const JobTrace &trace : traces) {
        const std::string cause = causeOf(trace);
        ++totals[cause];
        ++byCause[cause][trace.queue_];
    }
    std::vector<std::pair<std::string, std::int64_t>> sorted(totals.begin(), totals.end());
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return a.second > b.second; });
    if (options.printsJson_) {
        Json rows = Json::array();
        for (const auto &[cause, count] : sorted) {
            rows.push_back({{"cause", cause}, {"jobs", count}, {"by_queue", byCause[cause]}});
        }
        io.out_ << dumpJson(rows) << '\n';
        return;
    }
    for (const auto &[cause, count] : sorted) {
        io.out_ << std::setw(7) << count << "  " << cause << " (";
        const char *separator = "";
        for (const auto &[queue, jobs] : byCause[cause]) {
            io.out_ << separator << queue << ' ' << jobs;
            separator = ", ";
        }
        io.out_ << ")\n";
    }
}

ExitCode traceCmd(const Options &options, const CommandIo &io)
{
    TraceLog log;
    if (!readFiles(options, io, log)) {
        return ExitCode::Usage;
    }
    const std::vector<JobTrace> traces = traceJobs(log);
    if (log.damagedLines_ > 0 || log.droppedLines_ > 0) {
        io.err_ << log.damagedLines_ << " damaged and " << log.droppedLines_
                << " dropped lines: counts may be too low.\n";
    }
    if (options.trace_.job_.empty()) {
        printCauses(options, io, traces);
        return ExitCode::Done;
    }
    const auto found = std::find_if(traces.begin(), traces.end(),
                                    [&options](const JobTrace &trace) { return trace.job_ == options.trace_.job_; });
    if (found == traces.end()) {
        io.err_ << "No submit of the job " << options.trace_.job_ << " is in the logs.\n";
        return ExitCode::Failed;
    }
    printJob(io, log, *found);
    return ExitCode::Done;
}

} // namespace mimosapier
