// Codec of client requests and answers, of the operator's configuration, and of the runners' discovery entries.
#include "http/json_func.h"
#include "net/address_func.h"
#include "platform/platform_codec_func.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>

namespace mimosapier
{

static constexpr std::size_t MaxStepsPerJob = 256;
static constexpr std::uint32_t MaxTasksPerStep = 100'000;
static constexpr std::size_t MaxSpecBytes = 4'000; // limit published to clients
static constexpr Milliseconds DefaultWait{3'000}; // for requests without X-Deadline-Ms
static constexpr std::int64_t MaxWaitMs = 3'600'000; // a larger number of the client would overflow the deadline

// Largest integer that is accepted from other programs: doubles hold all integers up to it, and sums of some thousand
// do not overflow.
static constexpr std::int64_t MaxInteger = std::int64_t{1} << 53;
// Largest amount of one resource of a runner, a task or an account: a billion processors, in thousandths.
static constexpr std::int64_t MaxResource = 1'000'000'000'000;

// Reads an optional integer. Some writers send integers as 5.0, so a float is accepted and truncated. Returns false for
// numbers beyond MaxInteger.
static bool readIntegerField(const Json &object, const char *name, std::int64_t &out)
{
    const auto found = object.find(name);
    if (found == object.end() || found->is_null()) {
        return true;
    }
    if (!found->is_number()) {
        return false;
    }
    const double number = found->get<double>();
    if (!(std::abs(number) <= static_cast<double>(MaxInteger))) {
        return false;
    }
    out = found->is_number_float() ? static_cast<std::int64_t>(number) : found->get<std::int64_t>();
    return true;
}

static bool readMilliseconds(const Json &object, const char *name, Milliseconds &out)
{
    std::int64_t count = out.count();
    const bool valid = readIntegerField(object, name, count);
    out = Milliseconds(count);
    return valid;
}

static bool readResources(const Json &object, Resources &out)
{
    const auto inRange = [](std::int64_t amount) { return amount >= 0 && amount <= MaxResource; };
    return object.is_object() && readIntegerField(object, "Cpu", out.milliCpus_)
        && readIntegerField(object, "MemMb", out.memoryMb_) && readIntegerField(object, "Gpu", out.accelerators_)
        && inRange(out.milliCpus_) && inRange(out.memoryMb_) && inRange(out.accelerators_);
}

static bool readAfter(const Json &object, std::size_t index, std::vector<std::uint32_t> &after)
{
    const auto found = object.find("After");
    if (found == object.end() || found->is_null()) {
        return true;
    }
    if (!found->is_array()) {
        return false;
    }
    for (const Json &entry : *found) {
        if (!entry.is_number_unsigned() || entry.get<std::uint64_t>() >= index) {
            return false;
        }
        after.push_back(entry.get<std::uint32_t>());
    }
    return true;
}

static bool decodeStep(const Json &json, std::size_t index, StepSpec &step)
{
    if (!json.is_object()) {
        return false;
    }
    step.count_ = 0; // clients omit fields whose value is 0
    std::uint32_t missAllowed = 0;
    const bool valid = readField(json, "Count", step.count_) && readResources(json, step.size_)
        && readMilliseconds(json, "EstimateMs", step.estimate_) && readAfter(json, index, step.after_)
        && readField(json, "Checkpointing", step.checkpointing_) && readField(json, "Gang", step.gang_)
        && readField(json, "SameRack", step.sameRack_) && readField(json, "Speculative", step.speculative_)
        && readField(json, "LongRunning", step.longRunning_)
        // "FillCount" is a boolean despite its name: the step runs on capacity that other steps leave free.
        && readField(json, "FillCount", step.fill_) && readField(json, "RequiredLabel", step.requiredLabel_)
        && readField(json, "Affinity", step.affinityRack_) && readField(json, "AntiAffinity", step.antiAffinity_)
        && readField(json, "Image", step.image_) && readMilliseconds(json, "TargetMs", step.target_)
        && readField(json, "MissAllowed", missAllowed);
    step.missAllowed_ = missAllowed;
    return valid && step.count_ > 0 && step.count_ <= MaxTasksPerStep;
}

bool decodeSubmittedJob(std::string_view body, SubmittedJob &job)
{
    Json json;
    if (!parseClientJson(body, json) || !json.is_object()) {
        return false;
    }
    const auto steps = json.find("Steps");
    if (steps == json.end() || !steps->is_array() || steps->empty() || steps->size() > MaxStepsPerJob) {
        return false;
    }
    for (std::size_t i = 0; i < steps->size(); ++i) {
        if (!decodeStep((*steps)[i], i, job.steps_.emplace_back())) {
            return false;
        }
    }
    std::int64_t repeats = 0;
    const bool valid = readField(json, "Spec", job.spec_) && readIntegerField(json, "RepeatCount", repeats)
        && readIntegerField(json, "FirstRunMs", job.firstRunUnixMs_)
        && readIntegerField(json, "IntervalMs", job.intervalMs_);
    job.repeatCount_ = static_cast<std::uint32_t>(std::clamp<std::int64_t>(repeats, 0, UINT32_MAX));
    return valid && job.spec_.size() <= MaxSpecBytes && repeats >= 0 && job.intervalMs_ >= 0;
}

bool decodeClientRequest(const HttpRequest &http, ClientRequest &request)
{
    if (http.method_ == "POST") {
        request.method_ = ClientMethod::Submit;
        SubmittedJob job;
        if (decodeSubmittedJob(http.body_, job)) {
            request.submitted_ = std::move(job);
        }
    } else if (http.method_ == "GET") {
        request.method_ = ClientMethod::Read;
    } else if (http.method_ == "DELETE") {
        request.method_ = ClientMethod::Cancel;
    } else {
        return false;
    }
    const std::string_view host = headerValue(http, "Host");
    request.host_ = std::string(host.substr(0, host.find(':')));
    std::transform(request.host_.begin(), request.host_.end(), request.host_.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    request.path_ = splitTarget(http.target_).path_;
    constexpr std::string_view Scheme = "Bearer ";
    const std::string_view authorization = headerValue(http, "Authorization");
    if (authorization.starts_with(Scheme)) {
        request.key_ = std::string(authorization.substr(Scheme.size()));
    }
    const std::string_view wait = headerValue(http, "X-Deadline-Ms");
    std::int64_t waitMs = 0;
    const auto [end, error] = std::from_chars(wait.data(), wait.data() + wait.size(), waitMs);
    request.remaining_ = error == std::errc{} && end != wait.data() && waitMs > 0
        ? Milliseconds(std::min(waitMs, MaxWaitMs))
        : DefaultWait;
    return true;
}

namespace
{

struct StatusRow
{
    ErrorKind error_;
    unsigned status_;
};

} // namespace

// HTTP status for each error. Clients rely on it: 429 and 503 mean that the request had no effect; after 504 it may
// have had one, and the client repeats it.
static constexpr std::array StatusTable{
    StatusRow{ErrorKind::None, 200},
    StatusRow{ErrorKind::MalformedRequest, 400},
    StatusRow{ErrorKind::WrongKey, 401},
    StatusRow{ErrorKind::UnknownPath, 404},
    StatusRow{ErrorKind::UnknownJob, 410},
    StatusRow{ErrorKind::Overloaded, 429},
    StatusRow{ErrorKind::StoreUnavailable, 503},
    StatusRow{ErrorKind::ConfigStale, 503},
    StatusRow{ErrorKind::PeerUnavailable, 503},
    StatusRow{ErrorKind::ShuttingDown, 503},
    StatusRow{ErrorKind::OutcomeUnknown, 504},
};

HttpResponse encodeClientAnswer(const ClientAnswer &answer)
{
    HttpResponse response;
    constexpr unsigned ServerError = 500;
    const auto row = std::find_if(StatusTable.begin(), StatusTable.end(),
                                  [&answer](const StatusRow &entry) { return entry.error_ == answer.error_; });
    response.status_ = row == StatusTable.end() ? ServerError : row->status_;
    if (answer.retryAfter_.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.retryAfter_).count();
        response.headers_.push_back({"Retry-After", std::to_string(seconds)});
    }
    if (answer.error_ != ErrorKind::None) {
        response.body_ = R"({"Error":")" + std::string(errorName(answer.error_)) + "\"}";
    } else if (answer.verb_ == CellVerb::Query) {
        response.body_ = R"({"State":")" + std::string(stagedStateName(answer.state_)) + "\"}";
    } else if (answer.verb_ == CellVerb::CountPending) {
        response.body_ = R"({"Pending":)" + std::to_string(answer.pending_) + "}";
    } else {
        response.body_ = "{}";
    }
    return response;
}

// ---- configuration ----

static bool decodeQueue(const Json &json, QueueConfig &queue)
{
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    QueuePolicy &policy = queue.policy_;
    if (!json.is_object() || !readField(json, "Name", policy.queue_) || !readField(json, "Host", queue.host_)
        || !readField(json, "Prefix", queue.prefix_) || !readField(json, "Service", policy.service_)
        || !readField(json, "Public", queue.public_) || !readField(json, "Priority", priority)
        || !readField(json, "MaxAttempts", attempts) || !readField(json, "SlackFactor", policy.slackFactor_)
        || !readMilliseconds(json, "TargetCompletionMs", policy.targetCompletion_)) {
        return false;
    }
    policy.priority_ = priority;
    policy.maxAttempts_ = std::max(attempts, 1U);
    const auto advice = json.find("Advice");
    if (advice != json.end() && advice->is_object()) {
        policy.policyQueries_ = true;
        return readField(*advice, "DecideMs", policy.decideMs_)
            && readField(*advice, "PerWorkerMs", policy.perRunnerMs_)
            && readMilliseconds(*advice, "ValidMs", policy.ticketValid_);
    }
    return true;
}

static bool decodeAccount(const Json &json, AccountConfig &account)
{
    if (!json.is_object() || !readField(json, "Name", account.name_) || !readField(json, "Weight", account.weight_)) {
        return false;
    }
    const auto cap = json.find("Cap");
    if (cap != json.end() && !cap->is_null() && !readResources(*cap, account.cap_)) {
        return false;
    }
    const auto keys = json.find("ApiKeys");
    if (keys == json.end() || !keys->is_array()) {
        return keys == json.end();
    }
    for (const Json &key : *keys) {
        if (!key.is_string()) {
            return false;
        }
        account.keys_.insert(key.get<std::string>());
    }
    return true;
}

// Decodes each element of an optional array. Returns false if an element is malformed.
template <typename T, typename Decode>
static bool decodeOptionalArray(const Json &json, const char *name, std::vector<T> &out, Decode decode)
{
    const auto found = json.find(name);
    if (found == json.end() || found->is_null()) {
        return true;
    }
    if (!found->is_array()) {
        return false;
    }
    return std::all_of(found->begin(), found->end(),
                       [&out, &decode](const Json &element) { return decode(element, out.emplace_back()); });
}

bool decodeCellConfig(std::string_view text, CellConfig &config)
{
    Json json;
    if (!parseJson(text, json) || !json.is_object() || !readField(json, "Version", config.version_)
        || config.version_ == 0) {
        return false;
    }
    return decodeOptionalArray(json, "Routes", config.queues_, decodeQueue)
        && decodeOptionalArray(json, "Tenants", config.accounts_, decodeAccount)
        && decodeOptionalArray(json, "Services", config.services_, [](const Json &element, ServiceConfig &service) {
               return readField(element, "Name", service.name_)
                   && readField(element, "EnforcesCapacity", service.enforcesCapacity_);
           });
}

// ---- discovery ----

bool decodeRunnerRecord(std::string_view id, std::string_view bytes, RunnerRecord &record)
{
    Json json;
    if (!parseJson(bytes, json) || !json.is_object()) {
        return false;
    }
    // The id is sent as the value of a header.
    const bool validId = std::all_of(id.begin(), id.end(), [](unsigned char c) { return std::isgraph(c) != 0; });
    std::string state;
    HttpAddress address;
    record.id_ = RunnerId(std::string(id));
    if (!readField(json, "Service", record.service_) || !readField(json, "Address", record.address_)
        || !readField(json, "Zone", record.zone_) || !readField(json, "State", state)
        || !readIntegerField(json, "born", record.startedUnixMs_)) {
        return false;
    }
    const auto capacity = json.find("Capacity");
    if (!validId || id.empty() || capacity == json.end() || !readResources(*capacity, record.capacity_)
        || record.service_.empty() || !isAddress(record.address_) || !parseAddress(record.address_, address)
        || address.port_ == 0 || record.startedUnixMs_ < 0 || (state != "ready" && state != "draining")) {
        return false;
    }
    record.draining_ = state == "draining";
    const auto labels = json.find("Labels");
    if (labels != json.end() && labels->is_array()) {
        for (const Json &label : *labels) {
            if (!label.is_string()) {
                return false;
            }
            record.labels_.push_back(label.get<std::string>());
        }
    }
    // The first label is the kind of the runner's instance, the second its rack.
    record.kind_ = record.labels_.empty() ? "" : record.labels_[0];
    record.rack_ = record.labels_.size() < 2 ? "" : record.labels_[1];
    return true;
}

} // namespace mimosapier
