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
// Tasks of all steps and occurrences of a job that may be open at a time. The leader keeps about 250 B for each.
static constexpr std::uint64_t MaxTasksPerJob = 50'000;
static constexpr std::uint64_t MaxOpenOccurrences = 64; // see MaxUnfinishedOccurrences of the leader
static constexpr std::size_t MaxNameBytes = 1'024; // of a label, a rack and an image
static constexpr std::chrono::hours MaxDuration{24 * 366}; // of a task; larger values overflow sums with points in time
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

static bool isDuration(Milliseconds duration)
{
    return duration >= Milliseconds(0) && duration <= MaxDuration;
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
    if (!found->is_array() || found->size() > index) { // more would name a step twice
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
    const bool areNamesShort = step.requiredLabel_.size() <= MaxNameBytes && step.affinityRack_.size() <= MaxNameBytes
        && step.image_.size() <= MaxNameBytes;
    return valid && areNamesShort && step.count_ > 0 && step.count_ <= MaxTasksPerJob && isDuration(step.estimate_)
        && isDuration(step.target_);
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
    std::uint64_t tasks = 0;
    for (const StepSpec &step : job.steps_) {
        tasks += step.count_;
    }
    const bool valid = readField(json, "Spec", job.spec_) && readIntegerField(json, "RepeatCount", repeats)
        && readIntegerField(json, "FirstRunMs", job.firstRunUnixMs_)
        && readIntegerField(json, "IntervalMs", job.intervalMs_);
    job.repeatCount_ = static_cast<std::uint32_t>(std::clamp<std::int64_t>(repeats, 0, UINT32_MAX));
    const std::uint64_t open = tasks * std::clamp<std::uint64_t>(job.repeatCount_, 1, MaxOpenOccurrences);
    return valid && job.spec_.size() <= MaxSpecBytes && repeats >= 0 && job.intervalMs_ >= 0 && open <= MaxTasksPerJob;
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

namespace
{

// Reads the fields of one object of the configuration and notes those that are malformed.
class ConfigReader
{
public:
    // `place`: where the object is, as "Routes[2]"; empty: the document.
    ConfigReader(const Json &object, std::string place, std::vector<ConfigProblem> &problems)
        : object_(object)
        , place_(std::move(place))
        , problems_(problems)
    {
        if (!object.is_object()) {
            add("", object, "an object");
        }
    }

    template <typename T>
    void field(const char *name, T &out, std::string_view allowed)
    {
        if (object_.is_object() && !readField(object_, name, out)) {
            add(name, object_.at(name), allowed);
        }
    }

    void integer(const char *name, std::int64_t &out, std::int64_t min, std::int64_t max)
    {
        if (object_.is_object() && (!readIntegerField(object_, name, out) || out < min || out > max)) {
            add(name, object_.at(name), "a number from " + std::to_string(min) + " to " + std::to_string(max));
        }
    }

    void milliseconds(const char *name, Milliseconds &out)
    {
        std::int64_t count = out.count();
        integer(name, count, -MaxInteger, MaxInteger);
        out = Milliseconds(count);
    }

    // The member with this name; nullptr: none.
    const Json *find(const char *name) const
    {
        const auto found = object_.is_object() ? object_.find(name) : object_.end();
        return found == object_.end() ? nullptr : &*found;
    }

    // The same; nullptr also if it is null.
    const Json *member(const char *name) const
    {
        const Json *found = find(name);
        return found == nullptr || found->is_null() ? nullptr : found;
    }

    ConfigReader inner(const char *name, const Json &object)
    {
        return {object, place_.empty() ? name : place_ + "." + name, problems_};
    }

    ConfigReader element(const char *name, std::size_t index, const Json &object)
    {
        return inner((std::string(name) + "[" + std::to_string(index) + "]").c_str(), object);
    }

    void add(std::string_view key, const Json &value, std::string_view allowed)
    {
        constexpr std::size_t MaxValueBytes = 80;
        isValid_ = false;
        if (problems_.size() >= MaxConfigProblems) {
            return;
        }
        std::string text = value.is_structured() ? std::string(value.type_name()) : dumpJson(value);
        if (text.size() > MaxValueBytes) {
            text = text.substr(0, MaxValueBytes) + "...";
        }
        problems_.push_back({place_, std::string(key), std::move(text), std::string(allowed)});
    }

    // For a value that is a secret: names only its type.
    void addHidden(std::string_view key, const Json &value, std::string_view allowed)
    {
        add(key, Json(value.type_name()), allowed);
    }

    bool isValid() const { return isValid_; }

private:
    const Json &object_;
    std::string place_;
    std::vector<ConfigProblem> &problems_;
    bool isValid_ = true;
};

} // namespace

static constexpr std::string_view Text = "a text";
static constexpr std::string_view Number = "a number";
static constexpr std::string_view Flag = "true or false";
static constexpr std::string_view Count = "an integer from 0 to 4294967295";

static bool decodeQueue(ConfigReader reader, QueueConfig &queue)
{
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    QueuePolicy &policy = queue.policy_;
    reader.field("Name", policy.queue_, Text);
    reader.field("Host", queue.host_, Text);
    reader.field("Prefix", queue.prefix_, Text);
    reader.field("Service", policy.service_, Text);
    reader.field("Public", queue.public_, Flag);
    reader.field("Priority", priority, Count);
    reader.field("MaxAttempts", attempts, Count);
    reader.field("SlackFactor", policy.slackFactor_, Number);
    reader.milliseconds("TargetCompletionMs", policy.targetCompletion_);
    policy.priority_ = priority;
    policy.maxAttempts_ = std::max(attempts, 1U);
    const Json *advice = reader.member("Advice");
    if (advice == nullptr || !advice->is_object()) {
        return reader.isValid();
    }
    policy.policyQueries_ = true;
    ConfigReader adviceReader = reader.inner("Advice", *advice);
    adviceReader.field("DecideMs", policy.decideMs_, Number);
    adviceReader.field("PerWorkerMs", policy.perRunnerMs_, Number);
    adviceReader.milliseconds("ValidMs", policy.ticketValid_);
    return reader.isValid() && adviceReader.isValid();
}

static bool decodeKeys(ConfigReader &reader, AccountConfig &account)
{
    const Json *keys = reader.find("ApiKeys");
    if (keys == nullptr) {
        return true;
    }
    if (!keys->is_array()) {
        reader.addHidden("ApiKeys", *keys, "a list of texts");
        return false;
    }
    for (const Json &key : *keys) {
        if (!key.is_string()) {
            reader.addHidden("ApiKeys", key, "a list of texts");
            return false;
        }
        account.keys_.insert(key.get<std::string>());
    }
    return true;
}

static bool decodeAccount(ConfigReader reader, AccountConfig &account)
{
    reader.field("Name", account.name_, Text);
    reader.field("Weight", account.weight_, Number);
    bool valid = true;
    if (const Json *cap = reader.member("Cap")) {
        ConfigReader capReader = reader.inner("Cap", *cap);
        capReader.integer("Cpu", account.cap_.milliCpus_, 0, MaxResource);
        capReader.integer("MemMb", account.cap_.memoryMb_, 0, MaxResource);
        capReader.integer("Gpu", account.cap_.accelerators_, 0, MaxResource);
        valid = capReader.isValid();
    }
    return valid && decodeKeys(reader, account) && reader.isValid();
}

// Decodes each element of an optional array. Returns false if an element is malformed.
template <typename T, typename Decode>
static bool decodeOptionalArray(ConfigReader &reader, const char *name, std::vector<T> &out, Decode decode)
{
    const Json *array = reader.member(name);
    if (array == nullptr) {
        return true;
    }
    if (!array->is_array()) {
        reader.add(name, *array, "a list");
        return false;
    }
    bool valid = true;
    for (std::size_t i = 0; i < array->size(); ++i) {
        valid = decode(reader.element(name, i, (*array)[i]), out.emplace_back()) && valid;
    }
    return valid;
}

static bool decodeService(ConfigReader reader, ServiceConfig &service)
{
    reader.field("Name", service.name_, Text);
    reader.field("EnforcesCapacity", service.enforcesCapacity_, Flag);
    return reader.isValid();
}

bool readCellConfig(std::string_view text, CellConfig &config, std::vector<ConfigProblem> &problems)
{
    Json json;
    if (!parseJson(text, json)) {
        problems.push_back({"", "", "", "JSON"});
        return false;
    }
    ConfigReader reader(json, "", problems);
    constexpr std::string_view Version = "an integer from 1 to 18446744073709551615";
    reader.field("Version", config.version_, Version);
    if (reader.isValid() && config.version_ == 0) {
        const Json *version = reader.member("Version");
        reader.add("Version", version != nullptr ? *version : Json(), Version);
    }
    bool valid = decodeOptionalArray(reader, "Routes", config.queues_, decodeQueue);
    valid = decodeOptionalArray(reader, "Tenants", config.accounts_, decodeAccount) && valid;
    valid = decodeOptionalArray(reader, "Services", config.services_, decodeService) && valid;
    return valid && reader.isValid();
}

bool decodeCellConfig(std::string_view text, CellConfig &config)
{
    std::vector<ConfigProblem> problems;
    return readCellConfig(text, config, problems);
}

// ---- discovery ----

// How much longer the runner is slow. Only a preference depends on it: a value that cannot be read counts as warm.
static Milliseconds coldRemaining(const Json &entry)
{
    constexpr std::int64_t MaxColdMs = 3'600'000; // a runner that claims more would be avoided for good
    std::int64_t remainingMs = 0;
    return readIntegerField(entry, "ColdRemainingMs", remainingMs)
        ? Milliseconds(std::clamp<std::int64_t>(remainingMs, 0, MaxColdMs))
        : Milliseconds(0);
}

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
    record.coldRemaining_ = coldRemaining(json);
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
