// Load generator: submits a request, retries it, waits for its outcome and cancels it.
#include "standin/load_service.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace mimosapier::standin
{

constexpr Milliseconds StatusWait{2'000}; // wait time of the long poll for an outcome
constexpr Milliseconds StatusTimeout{4'000};
constexpr Milliseconds StatusRetryDelay{300}; // after a status query without a final outcome
constexpr Milliseconds CancelTimeout{3'000};
constexpr Milliseconds CancelRetryDelay{500}; // after a cancellation that failed
constexpr std::size_t MaxSendCount = 20; // per request; includes attempts that could not be sent
constexpr int MaxRetryDelayMs = 100;

static bool isFinalOutcome(const std::string &outcome)
{
    return outcome == "done" || outcome == "failed" || outcome == "not-run" || outcome == "cancelled"
        || outcome == "unknown";
}

// True for errors of the status query itself, which do not tell the outcome of the job.
static bool isQueryError(const std::string &error)
{
    constexpr std::array<std::string_view, 13> Errors{
        "malformed-request", "unknown-team",    "unknown-job", "wrong-key",         "config-stale",
        "overloaded",        "not-holder",      "stale-epoch", "store-unavailable", "peer-unavailable",
        "shutting-down",     "outcome-unknown", "internal",
    };
    return std::find(Errors.begin(), Errors.end(), error) != Errors.end();
}

static const char *deliveryName(HttpDelivery delivery)
{
    return delivery == HttpDelivery::NotSent ? "not-sent" : "maybe-sent";
}

HttpRequest LoadService::httpRequest(const LoadRequest &request, const char *method, std::string target,
                                     const Json *body)
{
    HttpRequest http{method, std::move(target), {}, body == nullptr ? "" : dumpJson(*body)};
    if (!request.account_->key_.empty()) {
        http.headers_.push_back({"Authorization", "Bearer " + request.account_->key_});
    }
    return http;
}

Json LoadService::journalLine(const char *event, const LoadRequest &request) const
{
    return {{"t", wallNanoseconds()},
            {"event", event},
            {"team", request.account_->team_},
            {"class", request.stream_->class_},
            {"request_id", request.id_},
            {"attempt", request.attempt_},
            {"entry", plan_.entries_[request.entry_].name_}};
}

void LoadService::submit(const RequestPointer &request, bool avoidLast)
{
    request->entry_ = chooseEntry(*request, avoidLast);
    ++request->sendCount_;
    if (request->attempt_ == 1) {
        request->firstRegion_ = plan_.entries_[request->entry_].region_;
    }
    request->body_["attempt"] = request->attempt_;
    request->body_["region"] = request->firstRegion_;
    const std::string key = request->account_->key_;
    Json record = journalLine("send", *request);
    record["region"] = request->firstRegion_;
    record["key"] = key;
    record["tasks"] = request->body_["tasks"];
    record["idempotent"] = request->stream_->idempotent_;
    record["service"] = request->stream_->isService_;
    journal_.add(record);
    client_.send(addressOf(*request), httpRequest(*request, "POST", "/v1/jobs", &request->body_),
                 request->stream_->timeout_,
                 [this, request, entry = plan_.entries_[request->entry_].name_](const HttpResult &result) {
                     onSubmitted(request, entry, result);
                 });
}

void LoadService::onSubmitted(const RequestPointer &request, const std::string &entry, const HttpResult &result)
{
    if (loadEnded_) {
        return;
    }
    if (result.delivery_ != HttpDelivery::Answered) {
        Json record = journalLine("error", *request);
        record["entry"] = entry;
        record["delivery"] = deliveryName(result.delivery_);
        record["timeout"] = result.error_ == std::errc::timed_out;
        record["error"] = result.error_.message();
        journal_.add(record);
        retry(request, result.delivery_ == HttpDelivery::MaybeSent);
        return;
    }
    Json answer;
    const bool parsed = parseJson(result.body_, answer) && answer.is_object();
    Json record = journalLine("answer", *request);
    record["entry"] = entry;
    record["status"] = result.status_;
    if (parsed) {
        record["answer"] = answer;
    }
    journal_.add(record);
    const std::string outcome = parsed ? textOr(answer, "outcome", "") : "";
    const std::string error = parsed ? textOr(answer, "error", "") : "internal";
    if (outcome == "accepted") {
        request->accepted_ = true;
        awaitOutcome(request);
    } else if (isFinalOutcome(outcome) && (outcome != "unknown" || !request->stream_->idempotent_)) {
        finish(request, outcome, error);
    } else {
        retry(request, true); // outcome "unknown" of an idempotent request, or an answer without a known outcome
    }
}

// Submits the request again at another entry after a short random delay, or finishes it when the limits are reached.
// Only a retry of a request that the entry may have received counts as a new attempt and uses the retry budget;
// `maybeReceived` is false when the request was not sent.
void LoadService::retry(const RequestPointer &request, bool maybeReceived)
{
    if (request->isFinal_) {
        return;
    }
    if (maybeReceived) {
        if (request->attempt_ >= plan_.maxAttempts_ || retryBudget_ < 1) {
            finish(request, "unknown", "attempts-exhausted");
            return;
        }
        retryBudget_ -= 1;
        ++request->attempt_;
    } else if (request->sendCount_ >= MaxSendCount) {
        finish(request, request->attempt_ == 1 ? "not-run" : "unknown", "unreachable");
        return;
    }
    const int delay = std::uniform_int_distribution<int>(1, MaxRetryDelayMs)(random_);
    runAfter(Milliseconds(delay), [this, request] {
        if (!loadEnded_) {
            submit(request, true);
        }
    });
}

void LoadService::awaitOutcome(const RequestPointer &request)
{
    if (request->isFinal_ || loadEnded_) {
        return;
    }
    const std::string target = "/v1/jobs/" + request->id_ + "?team=" + request->account_->team_
        + "&wait_ms=" + std::to_string(StatusWait.count());
    client_.send(addressOf(*request), httpRequest(*request, "GET", target, nullptr), StatusTimeout,
                 [this, request](const HttpResult &result) { onStatus(request, result); });
}

void LoadService::onStatus(const RequestPointer &request, const HttpResult &result)
{
    if (request->isFinal_ || loadEnded_) {
        return;
    }
    Json answer;
    if (result.delivery_ == HttpDelivery::Answered && parseJson(result.body_, answer) && answer.is_object()) {
        const std::string outcome = textOr(answer, "outcome", "");
        const std::string error = textOr(answer, "error", "none");
        const bool queryFailed = isQueryError(error) && answer.value("results", Json::array()).empty();
        if (isFinalOutcome(outcome) && !queryFailed) {
            Json record = journalLine("outcome", *request);
            record["answer"] = answer;
            journal_.add(record);
            finish(request, outcome, error);
            return;
        }
        if (outcome != "accepted") {
            Json record = journalLine("status", *request);
            record["status"] = result.status_;
            record["answer"] = answer;
            journal_.add(record);
        }
    }
    runAfter(StatusRetryDelay, [this, request] {
        request->entry_ = chooseEntry(*request, true);
        awaitOutcome(request);
    });
}

void LoadService::cancel(const RequestPointer &request)
{
    if (request->isFinal_ || request->cancelRequested_ || loadEnded_) {
        return;
    }
    request->cancelRequested_ = true;
    journal_.add(journalLine("cancel", *request));
    const Json body{{"team", request->account_->team_}, {"request_ids", Json::array({request->id_})}};
    client_.send(addressOf(*request), httpRequest(*request, "POST", "/v1/cancel", &body), CancelTimeout,
                 [this, request](const HttpResult &result) {
                     if (result.delivery_ == HttpDelivery::Answered && result.status_ == 200) {
                         journal_.add(journalLine("cancel-answer", *request));
                         return;
                     }
                     runAfter(CancelRetryDelay, [this, request] {
                         if (!request->isFinal_ && !loadEnded_) {
                             request->entry_ = chooseEntry(*request, true);
                             request->cancelRequested_ = false;
                             cancel(request);
                         }
                     });
                 });
}

void LoadService::finish(const RequestPointer &request, const std::string &outcome, const std::string &error)
{
    if (request->isFinal_) {
        return;
    }
    request->isFinal_ = true;
    Json record = journalLine("final", *request);
    record["outcome"] = outcome;
    record["error"] = error;
    journal_.add(record);
    ++outcomes_[outcome];
    openRequests_.erase(request->account_->team_ + ":" + request->id_);
}

} // namespace mimosapier::standin
