// Commands of callers for their jobs: submit, status, wait, explain, cancel.
#include "ctl/ctl_internal.h"

#include <algorithm>
#include <ostream>

namespace mimosapier
{

static constexpr std::int64_t MaxStatusWaitMs = 30'000; // longest wait of one status request; longer waits send several

static std::string jobTarget(std::string_view path, const JobOptions &job, std::int64_t waitMs)
{
    std::string target(path);
    target += percentEncode(job.requestId_) + "?team=" + percentEncode(job.team_);
    return waitMs > 0 ? target + "&wait_ms=" + std::to_string(waitMs) : target;
}

ExitCode submitCmd(const Options &options, const CommandIo &io)
{
    Options resolvedOptions = options;
    JobOptions &job = resolvedOptions.job_;
    if (job.requestId_.empty()) {
        job.requestId_ = io.randomHex_();
    }
    Json body{{"request_id", job.requestId_}, {"team", job.team_},     {"class", job.class_},
              {"attempt", job.attempt_},      {"tasks", job.tasks_},   {"run_ms", job.runMs_},
              {"payload", job.payload_},      {"region", job.region_}, {"queue", job.queue_}};
    body["size"] = {{"milli_cpus", job.milliCpus_}, {"memory_mb", job.memoryMb_}, {"accelerators", job.accelerators_}};
    if (job.deadlineMs_ > 0) {
        body["deadline_ms"] = job.deadlineMs_;
    }
    if (job.atMostOnce_) {
        body["idempotent"] = false;
    }
    const ApiResponse response = sendRequest(resolvedOptions, io, "POST", "/v1/jobs", body);
    const ExitCode code = exitCode(response);
    if (code == ExitCode::Pending && job.waitForOutcome_) {
        return waitCmd(resolvedOptions, io);
    }
    if (response.delivery_ == HttpDelivery::MaybeSent) {
        io.err_ << "Get the outcome with: mimosapierctl wait " << job.requestId_ << " --team " << job.team_ << "\n";
    }
    const ExitCode printedCode = printResponse(resolvedOptions, io, response);
    // An accepted job is a success of submit.
    return printedCode == ExitCode::Pending ? ExitCode::Done : printedCode;
}

ExitCode statusCmd(const Options &options, const CommandIo &io)
{
    return printResponse(options, io, sendRequest(options, io, "GET", jobTarget("/v1/jobs/", options.job_, 0)));
}

ExitCode waitCmd(const Options &options, const CommandIo &io)
{
    std::int64_t remainingMs = options.job_.waitMs_;
    while (true) {
        const std::int64_t waitMs = std::min(remainingMs, MaxStatusWaitMs);
        const ApiResponse response = sendRequest(options, io, "GET", jobTarget("/v1/jobs/", options.job_, waitMs));
        remainingMs -= waitMs;
        if (exitCode(response) != ExitCode::Pending || remainingMs <= 0) {
            return printResponse(options, io, response);
        }
    }
}

ExitCode explainCmd(const Options &options, const CommandIo &io)
{
    const ApiResponse response = sendRequest(options, io, "GET", jobTarget("/v1/explain/", options.job_, 0));
    const ExitCode code = printResponse(options, io, response);
    return code == ExitCode::Pending ? ExitCode::Done : code;
}

ExitCode cancelCmd(const Options &options, const CommandIo &io)
{
    const Json body{{"team", options.job_.team_}, {"request_ids", options.job_.requestIds_}};
    return printResponse(options, io, sendRequest(options, io, "POST", "/v1/cancel", body));
}

} // namespace mimosapier
