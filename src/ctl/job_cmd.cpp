// Commands of callers: submit, status, wait, explain, cancel.
#include "ctl/ctl_internal.h"

#include <algorithm>
#include <ostream>

namespace mimosapier
{

static constexpr std::int64_t LongestWaitMs = 30'000; // of one status request

static std::string jobTarget(std::string_view path, const JobOptions &job, std::int64_t waitMs)
{
    std::string target(path);
    target += percentEncode(job.requestId_) + "?team=" + percentEncode(job.team_);
    return waitMs > 0 ? target + "&wait_ms=" + std::to_string(waitMs) : target;
}

ExitCode submitCmd(const Options &options, const Surroundings &io)
{
    Options used = options;
    JobOptions &job = used.job_;
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
    if (job.once_) {
        body["idempotent"] = false;
    }
    const Answer answer = ask(used, io, "POST", "/v1/jobs", body);
    const ExitCode code = exitCode(answer);
    if (code == ExitCode::Pending && job.wait_) {
        return waitCmd(used, io);
    }
    if (answer.delivery_ == HttpDelivery::MaybeSent) {
        io.err_ << "Ask for the outcome with: mimosapierctl wait " << job.requestId_ << " --team " << job.team_ << "\n";
    }
    const ExitCode printed = printAnswer(used, io, answer);
    // An accepted job is what submit was asked for.
    return printed == ExitCode::Pending ? ExitCode::Done : printed;
}

ExitCode statusCmd(const Options &options, const Surroundings &io)
{
    return printAnswer(options, io, ask(options, io, "GET", jobTarget("/v1/jobs/", options.job_, 0)));
}

ExitCode waitCmd(const Options &options, const Surroundings &io)
{
    std::int64_t left = options.job_.waitMs_;
    while (true) {
        const std::int64_t wait = std::min(left, LongestWaitMs);
        const Answer answer = ask(options, io, "GET", jobTarget("/v1/jobs/", options.job_, wait));
        left -= wait;
        if (exitCode(answer) != ExitCode::Pending || left <= 0) {
            return printAnswer(options, io, answer);
        }
    }
}

ExitCode explainCmd(const Options &options, const Surroundings &io)
{
    const Answer answer = ask(options, io, "GET", jobTarget("/v1/explain/", options.job_, 0));
    const ExitCode code = printAnswer(options, io, answer);
    return code == ExitCode::Pending ? ExitCode::Done : code;
}

ExitCode cancelCmd(const Options &options, const Surroundings &io)
{
    const Json body{{"team", options.job_.team_}, {"request_ids", options.job_.requestIds_}};
    return printAnswer(options, io, ask(options, io, "POST", "/v1/cancel", body));
}

} // namespace mimosapier
