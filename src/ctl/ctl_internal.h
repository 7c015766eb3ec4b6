// Declarations shared by the source files of mimosapierctl, and by its tests.
#pragma once

#include "core/cell/cell_type.h"
#include "ctl/ctl_type.h"
#include "ctl/trace_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace mimosapier
{

// Response of a daemon.
struct ApiResponse
{
    HttpDelivery delivery_ = HttpDelivery::NotSent;
    unsigned status_ = 0;
    std::string body_;
    Json json_; // null when the body is no JSON object
};

// response.cpp
// Sends a request to the addresses in order until one responds. A request that may have taken effect is not sent again,
// unless it is a GET. Returns the last result.
ApiResponse sendRequest(const Options &options, const CommandIo &io, const std::string &method,
                        const std::string &target, const Json &body = nullptr);
// Sends a request to one address, with the team's key and a JSON body unless it is null.
ApiResponse sendRequestTo(const Options &options, const CommandIo &io, const std::string &address,
                          const std::string &method, const std::string &target, const Json &body = nullptr);
// Exit code for the outcome in a response; Done for a document without outcome.
ExitCode exitCode(const ApiResponse &response);
// Prints a response, as text or JSON, and returns its exit code.
ExitCode printResponse(const Options &options, const CommandIo &io, const ApiResponse &response);
// Encodes all but the unreserved characters of RFC 3986.
std::string percentEncode(std::string_view text);
// Value of a field; empty or 0 when the field is missing or has another type.
std::string textField(const Json &json, const char *name);
std::int64_t numberField(const Json &json, const char *name);

// request_sender.cpp
// Sender over HTTP. `timeout` limits each request, including the connection.
RequestSender makeRequestSender(Milliseconds timeout);

// Functions ...Cmd run one command each: they print the result or an error and return the exit code.
// job_cmd.cpp
ExitCode submitCmd(const Options &options, const CommandIo &io);
ExitCode statusCmd(const Options &options, const CommandIo &io);
ExitCode waitCmd(const Options &options, const CommandIo &io);
ExitCode explainCmd(const Options &options, const CommandIo &io);
ExitCode cancelCmd(const Options &options, const CommandIo &io);

// bundle_cmd.cpp
ExitCode draftCmd(const Options &options, const CommandIo &io);
ExitCode signCmd(const Options &options, const CommandIo &io);
ExitCode showCmd(const Options &options, const CommandIo &io);
ExitCode diffCmd(const Options &options, const CommandIo &io);
ExitCode draftsCmd(const Options &options, const CommandIo &io);
ExitCode bundleStatusCmd(const Options &options, const CommandIo &io);

// Changes that are applied to the bundle in force and stored as a draft.
enum class BundleEdit : std::uint8_t { AddTeam, RemoveTeam, GrantKey, WithdrawKey, SetShare, SetLimit, SetPolicy };
ExitCode editCmd(BundleEdit edit, const Options &options, const CommandIo &io);

// bundle_edit.cpp
// Applies an edit to the YAML text of a bundle. Comments in the text are lost. Returns false and the reason, as a
// sentence for the user, when the edit cannot be applied.
bool editBundle(BundleEdit edit, const BundleOptions &options, const std::string &text, std::string &editedText,
                std::string &reason);

// view_cmd.cpp
ExitCode clusterStatusCmd(const Options &options, const CommandIo &io);
ExitCode instancesCmd(const Options &options, const CommandIo &io);

// trace_log.cpp
// Adds the lines of a structured log. Text before the JSON object of a line is ignored, and so are other lines.
void readTraceLog(std::istream &input, TraceLog &log);
// Sorts the lines by time and returns the trace of each job with a submit in the log, ascending by id.
std::vector<JobTrace> traceJobs(TraceLog &log);
// What decided the fate of a job, in a few words; for a late one, the largest part of its time.
std::string causeOf(const JobTrace &trace);

// trace_cmd.cpp
ExitCode traceCmd(const Options &options, const CommandIo &io);

// config_check.cpp
enum class ConfigFindingKind : std::uint8_t {
    Error, // the decoder of the daemon rejects the configuration
    NeverMatches, // an entry that no request can reach, or whose jobs no runner can take
    Contradiction, // values that cannot have been meant together
};

struct ConfigFinding
{
    ConfigFindingKind kind_ = ConfigFindingKind::Error;
    std::string place_; // as "Routes[2]"; empty: the document
    std::string key_;
    std::string value_; // never an API key
    std::string text_; // what is allowed, or what follows
};

struct ConfigDifference
{
    std::string entry_; // kind and name, as "queue q"
    std::string change_; // added, removed or changed
    std::string key_; // of the changed value
    std::string from_;
    std::string to_;
};

struct ConfigReport
{
    std::vector<ConfigFinding> findings_;
    std::vector<ConfigDifference> differences_;
};

std::string_view findingKindName(ConfigFindingKind kind);
// Adds the entries that can never match and the limits that contradict each other.
void checkConfig(const CellConfig &config, ConfigReport &report);
// Adds the differences of `after` from `before`, the configuration in force.
void compareConfigs(const CellConfig &before, const CellConfig &after, ConfigReport &report);

// config_cmd.cpp
ExitCode configCheckCmd(const Options &options, const CommandIo &io);

// zone_cmd.cpp
ExitCode evacuateZoneCmd(const Options &options, const CommandIo &io);
ExitCode restoreZoneCmd(const Options &options, const CommandIo &io);
ExitCode listZonesCmd(const Options &options, const CommandIo &io);

// report.cpp
// Counts of one time window.
struct WindowCounts
{
    std::int64_t good_ = 0; // served within the objective; a task that failed by itself counts as served
    std::int64_t bad_ = 0; // refused, lost or too late
};

// One row of the report: the work of a class and team.
struct ReportRow
{
    std::string class_;
    std::string team_;
    double objectiveRatio_ = 0; // share of work that has to be good, 0 to 1
    std::int64_t objectiveMs_ = 0;
    WindowCounts last5Min_;
    WindowCounts lastHour_;
    // Numbers of answers by time; one bucket for each of ReportData::boundsMs_, and one for longer times.
    std::vector<std::int64_t> buckets_;
};

struct ReportData
{
    std::vector<ReportRow> rows_; // sorted by class and team, summed over the daemons
    std::vector<std::int64_t> boundsMs_; // upper bounds of the buckets, ascending
    std::size_t daemons_ = 0; // number of daemons that sent a report
};

// Share of good work, 0 to 1; 1 when nothing was counted.
double goodRatio(const WindowCounts &counts);

// Burn rate of the error budget: at 1 the budget is used up exactly at the end of the window. 0 for an objective of 1.
double burnRate(const WindowCounts &counts, double objectiveRatio);

// Share of the error budget of the window that is left, at most 1; negative when more than the budget was used.
double budgetLeft(const WindowCounts &counts, double objectiveRatio);

// Budget left of the last hour, as text for the table.
std::string budgetText(const ReportRow &row);

// Adds the response of a daemon to GET /v1/admin/report. Ignores a document that is not an object.
void addReport(ReportData &data, const Json &document);
ExitCode reportCmd(const Options &options, const CommandIo &io);

// report_html.cpp
// Returns an HTML page.
std::string reportPage(const ReportData &data);

} // namespace mimosapier
