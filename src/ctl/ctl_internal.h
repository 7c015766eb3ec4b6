// Functions that the files of mimosapierctl share.
#pragma once

#include "ctl/ctl_type.h"

#include <string>
#include <string_view>
#include <system_error>

namespace mimosapier
{

struct ApiResponse
{
    HttpDelivery delivery_ = HttpDelivery::NotSent;
    unsigned status_ = 0;
    std::string body_;
    Json json_; // null when the body is not JSON
};

// response.cpp
// Sends to the first address that takes the request. A request that may have been carried out is not sent again.
ApiResponse sendRequest(const Options &options, const CommandIo &io, const std::string &method,
                        const std::string &target, const Json &body = nullptr);
ApiResponse sendRequestTo(const Options &options, const CommandIo &io, const std::string &address,
                          const std::string &method, const std::string &target, const Json &body = nullptr);
ExitCode exitCode(const ApiResponse &response);
ExitCode printResponse(const Options &options, const CommandIo &io, const ApiResponse &response);
std::string percentEncode(std::string_view text);
std::string textField(const Json &json, const char *name);
std::int64_t numberField(const Json &json, const char *name);

// request_sender.cpp
RequestSender makeRequestSender(Milliseconds timeout);

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

// Changes of the bundle that are drafted from the one in force.
enum class BundleEdit : std::uint8_t { AddTeam, RemoveTeam, GrantKey, WithdrawKey, SetShare, SetLimit, SetPolicy };
ExitCode editCmd(BundleEdit edit, const Options &options, const CommandIo &io);

// bundle_edit.cpp
// Applies an edit to a bundle's text. Comments of the text are not kept. Returns false with a reason when it does not
// apply.
bool editBundle(BundleEdit edit, const BundleOptions &options, const std::string &text, std::string &edited,
                std::string &reason);

// view_cmd.cpp
ExitCode clusterStatusCmd(const Options &options, const CommandIo &io);
ExitCode instancesCmd(const Options &options, const CommandIo &io);

// report.cpp
struct OutcomeCounts
{
    std::int64_t good_ = 0;
    std::int64_t bad_ = 0;
};

struct ReportRow
{
    std::string class_;
    std::string team_;
    double objectiveRatio_ = 0;
    std::int64_t objectiveMs_ = 0;
    OutcomeCounts last5Min_; // 5 min
    OutcomeCounts lastHour_; // 1 h
    std::vector<std::int64_t> buckets_; // answers by time
};

struct ReportData
{
    std::vector<ReportRow> rows_; // ascending by class and team, summed over the daemons
    std::vector<std::int64_t> boundsMs_; // of the buckets
    std::size_t daemons_ = 0; // that answered
};

double goodRatio(const OutcomeCounts &counts); // 1 when nothing was counted

// How fast the error budget is used: 1 uses it up exactly over the window.
double burnRate(const OutcomeCounts &counts, double objectiveRatio);

// Part of the error budget of the window that is left; negative when it is overspent.
double budgetLeft(const OutcomeCounts &counts, double objectiveRatio);
std::string budgetText(const ReportRow &row); // of the hour, for people

// Adds a daemon's document (GET /v1/admin/report).
void addReport(ReportData &data, const Json &document);
ExitCode reportCmd(const Options &options, const CommandIo &io);

// report_html.cpp
std::string reportPage(const ReportData &data);

} // namespace mimosapier
