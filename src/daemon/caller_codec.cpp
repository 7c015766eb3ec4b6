// JSON of the callers' and operators' protocol.
#include "daemon/caller_codec_func.h"

#include "http/json_func.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace mimosapier
{

static constexpr std::size_t MaxRequestIdLength = 64;
static constexpr std::uint32_t MaxTasksPerJob = 100'000;
static constexpr std::size_t MaxJobsPerCancel = 10'000;
static constexpr std::int64_t MaxResourceAmount = 1'000'000'000; // per resource of one task
static constexpr std::int64_t MaxDurationMs = 366LL * 24 * 3600 * 1000;
static constexpr std::int64_t MaxWaitMs = 60'000;
static constexpr std::string_view IdRule = "request_id must have 1 to 64 characters of A-Za-z0-9._-";

static bool isRequestId(std::string_view id)
{
    constexpr std::string_view Allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    return !id.empty() && id.size() <= MaxRequestIdLength && id.find_first_not_of(Allowed) == std::string_view::npos;
}

static std::string bearerKey(const HttpRequest &request)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string_view value = headerValue(request, "Authorization");
    return value.starts_with(Scheme) ? std::string(value.substr(Scheme.size())) : std::string();
}

static std::error_code malformed(std::string &detail, std::string_view reason)
{
    detail = reason;
    return ErrorKind::MalformedRequest;
}

static bool readDuration(const Json &json, const char *name, Milliseconds &duration)
{
    std::int64_t count = duration.count();
    const bool valid = readField(json, name, count) && count >= 0 && count <= MaxDurationMs;
    duration = Milliseconds(valid ? count : 0);
    return valid;
}

static bool readAmount(const Json &json, const char *name, std::int64_t &amount)
{
    return readField(json, name, amount) && amount >= 0 && amount <= MaxResourceAmount;
}

static bool readSize(const Json &json, Resources &size)
{
    size = {100, 64, 0, 1};
    const auto found = json.find("size");
    return found == json.end()
        || (readAmount(*found, "milli_cpus", size.milliCpus_) && readAmount(*found, "memory_mb", size.memoryMb_)
            && readAmount(*found, "accelerators", size.accelerators_));
}

static std::error_code parseSubmit(const HttpRequest &request, const Json &json, SubmitRequest &submit,
                                   std::string &detail)
{
    submit.key_ = bearerKey(request);
    submit.idempotentGiven_ = json.contains("idempotent");
    // Read the attempt first: refusal() needs it, as it must not report NotRun for a repeated submission.
    if (!readField(json, "attempt", submit.attempt_) || submit.attempt_ == 0) {
        submit.attempt_ = 0;
        return malformed(detail, "attempt must be a positive integer");
    }
    if (!readField(json, "request_id", submit.requestId_) || !isRequestId(submit.requestId_)) {
        submit.requestId_.clear();
        return malformed(detail, IdRule);
    }
    if (!readField(json, "team", submit.team_.value_) || submit.team_.empty()) {
        return malformed(detail, "team must be a non-empty string");
    }
    if (!readField(json, "class", submit.class_.value_) || submit.class_.empty()) {
        return malformed(detail, "class must be a non-empty string");
    }
    if (!readField(json, "tasks", submit.tasks_) || submit.tasks_ == 0 || submit.tasks_ > MaxTasksPerJob) {
        return malformed(detail, "tasks must be an integer from 1 to 100000");
    }
    if (!readSize(json, submit.size_)) {
        return malformed(detail, "size must be an object of integers from 0 to 1000000000");
    }
    if (!readDuration(json, "run_ms", submit.declaredRun_) || !readDuration(json, "deadline_ms", submit.deadline_)) {
        return malformed(detail, "run_ms and deadline_ms must be integers from 0 to one year");
    }
    if (!readField(json, "idempotent", submit.idempotent_)) {
        return malformed(detail, "idempotent must be true or false");
    }
    if (!readField(json, "payload", submit.payload_) || !readField(json, "queue", submit.queue_)
        || !readField(json, "region", submit.region_.value_)) {
        return malformed(detail, "payload, queue and region must be strings");
    }
    return {};
}

static std::error_code parseCancel(const HttpRequest &request, const Json &json, CancelRequest &cancel,
                                   std::string &detail)
{
    cancel.key_ = bearerKey(request);
    if (!readField(json, "team", cancel.team_.value_) || cancel.team_.empty()) {
        return malformed(detail, "team must be a non-empty string");
    }
    const auto ids = json.find("request_ids");
    if (ids == json.end() || !ids->is_array() || ids->empty() || ids->size() > MaxJobsPerCancel) {
        return malformed(detail, "request_ids must be an array of 1 to 10000 strings");
    }
    for (const Json &id : *ids) {
        if (!id.is_string() || !isRequestId(id.get_ref<const std::string &>())) {
            return malformed(detail, IdRule);
        }
        cancel.requestIds_.push_back(id.get<std::string>());
    }
    return {};
}

static std::error_code parseStatus(const HttpRequest &request, const HttpTarget &target, std::string_view id,
                                   StatusRequest &status, std::string &detail)
{
    status.key_ = bearerKey(request);
    status.team_ = TeamId(std::string(queryValue(target, "team")));
    if (!isRequestId(id)) {
        return malformed(detail, IdRule);
    }
    status.requestId_ = id;
    if (status.team_.empty()) {
        return malformed(detail, "the query must name the team");
    }
    const std::string_view wait = queryValue(target, "wait_ms");
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(wait.data(), wait.data() + wait.size(), count);
    const bool valid = wait.empty() || (error == std::errc{} && end == wait.data() + wait.size());
    if (!valid || count < 0 || count > MaxWaitMs) {
        return malformed(detail, "wait_ms must be an integer from 0 to 60000");
    }
    status.wait_ = Milliseconds(count);
    return {};
}

static std::error_code parseDraft(const Json &json, DraftRequest &draft, std::string &detail)
{
    if (!readField(json, "author", draft.author_) || draft.author_.empty() || !readField(json, "text", draft.text_)
        || draft.text_.empty()) {
        return malformed(detail, "author and text must be non-empty strings");
    }
    return {};
}

static std::error_code parseSign(const Json &json, SignRequest &sign, std::string &detail)
{
    if (!readField(json, "signer", sign.signer_) || sign.signer_.empty() || !readField(json, "draft", sign.draft_)
        || sign.draft_.empty()) {
        return malformed(detail, "signer and draft must be non-empty strings");
    }
    if (!readField(json, "base_version", sign.base_.value_)) {
        return malformed(detail, "base_version must be a non-negative integer");
    }
    return {};
}

static std::error_code parsePost(const HttpRequest &request, std::string_view path, CallerBody &body,
                                 std::string &detail)
{
    constexpr std::array<std::string_view, 4> Paths{"/v1/jobs", "/v1/cancel", "/v1/admin/draft", "/v1/admin/sign"};
    if (std::find(Paths.begin(), Paths.end(), path) == Paths.end()) {
        return ErrorKind::UnknownPath;
    }
    Json json;
    const bool valid = parseClientJson(request.body_, json) && json.is_object();
    if (path == Paths[0]) {
        auto &submit = body.emplace<SubmitRequest>();
        return valid ? parseSubmit(request, json, submit, detail) : malformed(detail, "the body must be a JSON object");
    }
    if (!valid) {
        body.emplace<CancelRequest>();
        return malformed(detail, "the body must be a JSON object");
    }
    if (path == Paths[1]) {
        return parseCancel(request, json, body.emplace<CancelRequest>(), detail);
    }
    return path == Paths[2] ? parseDraft(json, body.emplace<DraftRequest>(), detail)
                            : parseSign(json, body.emplace<SignRequest>(), detail);
}

static std::error_code parseGet(const HttpRequest &request, CallerBody &body, std::string &detail)
{
    constexpr std::array<std::pair<std::string_view, AdminView>, 5> Views{
        {{"/v1/admin/status", AdminView::Status},
         {"/v1/admin/bundle", AdminView::Bundle},
         {"/v1/admin/drafts", AdminView::Drafts},
         {"/v1/admin/instances", AdminView::Instances},
         {"/v1/admin/report", AdminView::Report}}};
    constexpr std::string_view Jobs = "/v1/jobs/";
    constexpr std::string_view Explain = "/v1/explain/";
    const HttpTarget target = splitTarget(request.target_);
    const std::string_view path = target.path_;
    for (const auto &[name, view] : Views) {
        if (path == name) {
            body = AdminViewRequest{view};
            return {};
        }
    }
    const bool explain = path.starts_with(Explain);
    if (!explain && !path.starts_with(Jobs)) {
        return ErrorKind::UnknownPath;
    }
    auto &status = body.emplace<StatusRequest>();
    status.explain_ = explain;
    return parseStatus(request, target, path.substr(explain ? Explain.size() : Jobs.size()), status, detail);
}

std::error_code parseCallerRequest(const HttpRequest &request, CallerBody &body, std::string &detail)
{
    body = AdminViewRequest{};
    if (request.method_ == "GET") {
        return parseGet(request, body, detail);
    }
    if (request.method_ == "POST") {
        return parsePost(request, splitTarget(request.target_).path_, body, detail);
    }
    return ErrorKind::UnknownPath;
}

// Name of a job's outcome in answers: "accepted" for all outcomes that are not final.
static std::string_view jobOutcomeName(Outcome outcome)
{
    return isFinal(outcome) ? outcomeName(outcome) : "accepted";
}

HttpResponse renderAnswer(const CallerAnswer &answer)
{
    HttpResponse response;
    response.status_ = httpStatus(answer.error_);
    if (!answer.document_.empty()) {
        response.body_ = answer.document_;
        return response;
    }
    Json json{{"request_id", answer.requestId_},
              {"outcome", jobOutcomeName(answer.outcome_)},
              {"error", errorName(answer.error_)},
              {"detail", answer.detail_},
              {"home_region", answer.homeRegion_.value_}};
    Json &results = json["results"] = Json::array();
    for (const TaskResult &task : answer.results_) {
        results.push_back({{"index", task.index_},
                           {"outcome", outcomeName(task.outcome_)},
                           {"error", errorName(task.error_)},
                           {"worker", task.worker_.value_},
                           {"result", task.result_}});
    }
    response.body_ = dumpJson(json);
    return response;
}

CallerAnswer refusal(const CallerBody &body, ErrorKind error, std::string detail)
{
    CallerAnswer answer;
    answer.error_ = error;
    answer.detail_ = detail.empty() ? std::string(errorText(error)) : std::move(detail);
    // Only a refused first attempt proves that the work did not run. For a repeat, an earlier attempt may have run; a
    // refused query or cancel request says nothing about the job.
    const auto *submit = std::get_if<SubmitRequest>(&body);
    answer.outcome_ = submit != nullptr && submit->attempt_ == 1 ? Outcome::NotRun : Outcome::Unknown;
    if (submit != nullptr) {
        answer.requestId_ = submit->requestId_;
    } else if (const auto *status = std::get_if<StatusRequest>(&body)) {
        answer.requestId_ = status->requestId_;
    }
    return answer;
}

std::string_view callerBodyName(const CallerBody &body)
{
    constexpr std::array<std::string_view, std::variant_size_v<CallerBody>> Names{"submit", "status", "cancel",
                                                                                  "draft",  "sign",   "view"};
    return Names.at(body.index());
}

} // namespace mimosapier
