// Codec of the messages to and from the store, the runners and the policy service.
#include "core/cell/cell_func.h"
#include "daemon/base64_func.h"
#include "http/json_func.h"
#include "platform/platform_codec_func.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace mimosapier
{

static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusBadRequest = 400;
static constexpr unsigned StatusNotFound = 404;
static constexpr unsigned StatusConflict = 409;
static constexpr unsigned StatusHistoryGone = 410;
static constexpr unsigned StatusConditionFailed = 412;
static constexpr unsigned StatusOtherInstance = 421;
static constexpr unsigned StatusTooMany = 429;
static constexpr unsigned StatusUnavailable = 503;

// Prefix of the store keys of each KvSpace, in its order.
static constexpr std::array<std::string_view, 3> SpacePrefixes{"mimosapier/", "op/", "servers/"};

static std::string_view spacePrefix(KvSpace space)
{
    return SpacePrefixes.at(static_cast<std::size_t>(space));
}

static std::string fullKey(KvSpace space, std::string_view key)
{
    return std::string(spacePrefix(space)) + std::string(key);
}

static std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    static constexpr std::string_view UnescapedPunctuation = "-._~/";
    constexpr unsigned LowNibble = 0xfU;
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || UnescapedPunctuation.find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            encoded += '%';
            encoded += Digits[byte >> 4U];
            encoded += Digits[byte & LowNibble];
        }
    }
    return encoded;
}

// ---- store ----

static std::string encodeCommit(const KvCall &call)
{
    Json conditions = Json::array();
    for (const KvCondition &condition : call.conditions_) {
        // "Revision" is the expected revision; 0 means that the key must not exist.
        conditions.push_back({{"Key", fullKey(call.space_, condition.key_)}, {"Revision", condition.revision_}});
    }
    Json writes = Json::array();
    for (const KvWrite &write : call.writes_) {
        Json entry{{"Key", fullKey(call.space_, write.key_)}, {"Value", encodeBase64(write.value_)}};
        if (write.lease_ != 0) {
            entry["LeaseId"] = write.lease_;
        }
        writes.push_back(std::move(entry));
    }
    Json removes = Json::array();
    for (const std::string &key : call.removes_) {
        removes.push_back(fullKey(call.space_, key));
    }
    return dumpJson(
        {{"ExpectedRev", std::move(conditions)}, {"Writes", std::move(writes)}, {"Remove", std::move(removes)}});
}

HttpRequest encodeKvCall(const KvCall &call)
{
    HttpRequest request;
    request.method_ = "GET";
    const std::string key = percentEncode(fullKey(call.space_, call.key_));
    switch (call.op_) {
    case KvOp::Get:
        request.target_ = "/kv-key?Key=" + key;
        break;
    case KvOp::Range:
        request.target_ = "/kv-range?Prefix=" + key;
        if (!call.after_.empty()) {
            request.target_ += "&After=" + percentEncode(fullKey(call.space_, call.after_));
        }
        break;
    case KvOp::Watch:
        request.target_ = "/kv-watch?Prefix=" + key + "&After=" + std::to_string(call.afterRevision_)
            + "&WaitMs=" + std::to_string(call.wait_.count());
        break;
    case KvOp::Commit:
        request.method_ = "POST";
        request.target_ = "/kv-txn";
        request.body_ = encodeCommit(call);
        break;
    case KvOp::GrantLease:
        request.method_ = "POST";
        request.target_ = "/kv-lease";
        request.body_ = dumpJson({{"TtlMs", call.ttl_.count()}});
        break;
    case KvOp::RenewLease:
        request.method_ = "POST";
        request.target_ = "/kv-keep/" + std::to_string(call.lease_);
        break;
    case KvOp::RevokeLease:
        request.method_ = "DELETE";
        request.target_ = "/kv-lease-end/" + std::to_string(call.lease_);
        break;
    }
    return request;
}

// Returns false when the item's key or revision cannot be read. `readable`: its value can be read; otherwise the value
// is left empty.
static bool decodeItem(const Json &json, std::string_view prefix, KvItem &item, bool &readable)
{
    if (!json.is_object() || !readField(json, "Key", item.key_) || !readField(json, "Revision", item.revision_)
        || !item.key_.starts_with(prefix)) {
        return false;
    }
    item.key_.erase(0, prefix.size());
    // "Compacted" marks the removal of the key; it does not refer to a compaction of the store's history.
    item.removed_ = json.contains("Compacted") || !json.contains("Value");
    std::string value;
    readable = item.removed_ || (readField(json, "Value", value) && decodeBase64(value, item.value_));
    if (!readable) {
        item.value_.clear();
    }
    return true;
}

static KvStatus kvStatus(const KvCall &call, unsigned status)
{
    switch (status) {
    case StatusOk:
        return KvStatus::Ok;
    case StatusNotFound:
        return KvStatus::NotFound;
    case StatusHistoryGone:
        return call.op_ == KvOp::Watch ? KvStatus::HistoryLost : KvStatus::NotDone;
    case StatusConditionFailed:
        return KvStatus::Conflict;
    case StatusTooMany:
    case StatusUnavailable:
    case StatusBadRequest:
        return KvStatus::NotDone;
    default:
        return KvStatus::Unknown;
    }
}

void decodeKvReply(const KvCall &call, unsigned status, std::string_view body, KvReply &reply)
{
    reply.httpStatus_ = status;
    reply.status_ = kvStatus(call, status);
    if (reply.status_ != KvStatus::Ok && reply.status_ != KvStatus::Conflict) {
        return;
    }
    Json json = Json::object();
    if (!body.empty() && (!parseClientJson(body, json) || !json.is_object())) {
        reply.status_ = KvStatus::Unknown;
        return;
    }
    std::int64_t ttl = 0;
    bool valid = readField(json, "HasMore", reply.more_) && readField(json, "LeaseId", reply.lease_)
        && readField(json, "TtlMs", ttl)
        && readField(json, call.op_ == KvOp::Commit ? "Revision" : "AtRev", reply.revision_);
    reply.ttl_ = Milliseconds(ttl);
    const std::string_view prefix = spacePrefix(call.space_);
    bool readable = true;
    if (call.op_ == KvOp::Get) {
        valid = valid && decodeItem(json, prefix, reply.items_.emplace_back(), readable) && readable;
    }
    for (const char *list : {"items", "events"}) {
        const auto found = json.find(list);
        if (found == json.end() || !found->is_array()) {
            continue;
        }
        for (const Json &element : *found) {
            KvItem item;
            if (decodeItem(element, prefix, item, readable)) {
                reply.items_.push_back(std::move(item));
                reply.unreadableItems_ += readable ? 0 : 1;
            } else {
                ++reply.unreadableItems_;
            }
        }
    }
    if (!valid) {
        reply.status_ = KvStatus::Unknown;
        reply.items_.clear();
    }
}

// ---- runners ----

template <typename T>
static bool parseTaskIdPart(std::string_view &text, int base, bool last, T &out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
    const auto used = static_cast<std::size_t>(end - text.data());
    if (error != std::errc{} || (last ? used != text.size() : used >= text.size() || text[used] != '.')) {
        return false;
    }
    text.remove_prefix(std::min(used + 1, text.size()));
    return true;
}

bool decodeTask(std::string_view text, StagedTask &task)
{
    constexpr int Hexadecimal = 16;
    constexpr int Decimal = 10;
    return parseTaskIdPart(text, Hexadecimal, false, task.job_.value_)
        && parseTaskIdPart(text, Decimal, false, task.occurrence_) && parseTaskIdPart(text, Decimal, false, task.step_)
        && parseTaskIdPart(text, Decimal, true, task.index_);
}

HttpRequest encodeRunnerCall(const RunnerCall &call)
{
    HttpRequest request;
    request.headers_.push_back({"X-Expect-Instance", call.runner_.value_});
    Json body{{"FencingToken", call.token_.value_}};
    if (call.op_ != RunnerOp::Hold) {
        body["Task"] = taskText(call.task_);
        body["RunId"] = call.run_.value_;
    }
    if (call.untilMs_ > 0) {
        body["UntilMs"] = call.untilMs_;
    }
    switch (call.op_) {
    case RunnerOp::Start:
        request.target_ = "/run-start";
        body["Spec"] = call.spec_;
        if (!call.checkpoint_.empty()) {
            body["Checkpoint"] = call.checkpoint_;
        }
        if (!call.ticket_.empty()) {
            body["Ticket"] = call.ticket_;
        }
        break;
    case RunnerOp::Stop:
        request.target_ = "/run-stop";
        break;
    case RunnerOp::Hold:
        request.target_ = "/hold";
        // Acknowledges finished runs up to this number: the runner stops reporting them.
        body["LastSeen"] = call.acknowledgedEnd_;
        if (call.wait_.count() > 0) {
            body["WaitMs"] = call.wait_.count();
        }
        break;
    }
    request.body_ = dumpJson(body);
    return request;
}

namespace
{

struct RunEndName
{
    std::string_view name_;
    RunEnd end_;
};

} // namespace

static constexpr std::array RunEndNames{RunEndName{"done", RunEnd::Done},       RunEndName{"failed", RunEnd::Failed},
                                        RunEndName{"stopped", RunEnd::Stopped}, RunEndName{"lapsed", RunEnd::Lapsed},
                                        RunEndName{"broken", RunEnd::Broken},   RunEndName{"alone", RunEnd::Alone}};

// Returns the number at an index of a row, truncated and within 32 bits; `missing` if there is none.
static std::int64_t numberAt(const Json &row, std::size_t index, std::int64_t missing)
{
    constexpr double Limit = INT32_MAX;
    return row.size() > index && row[index].is_number()
        ? static_cast<std::int64_t>(std::clamp(row[index].get<double>(), -Limit, Limit))
        : missing;
}

// Row: [task, run, checkpoint, percent, usage]. The last two are optional.
static bool decodeActive(const Json &row, ActiveRun &active)
{
    if (!row.is_array() || row.size() < 3 || !row[0].is_string() || !row[1].is_number_unsigned()
        || !decodeTask(row[0].get_ref<const std::string &>(), active.task_)) {
        return false;
    }
    active.run_.value_ = row[1].get<std::uint64_t>();
    active.checkpoint_ = row[2].is_string() ? row[2].get<std::string>() : "";
    constexpr std::size_t PercentColumn = 3;
    constexpr std::size_t UsageColumn = 4;
    active.percent_ = numberAt(row, PercentColumn, active.percent_);
    active.usage_ = numberAt(row, UsageColumn, active.usage_);
    return true;
}

// Row: [number, task, run, how, checkpoint]. The last is optional.
static bool decodeFinished(const Json &row, FinishedRun &finished)
{
    constexpr std::size_t HowColumn = 3;
    constexpr std::size_t CheckpointColumn = 4;
    if (!row.is_array() || row.size() <= HowColumn || !row[0].is_number_unsigned() || !row[1].is_string()
        || !row[2].is_number_unsigned() || !row[HowColumn].is_string()
        || !decodeTask(row[1].get_ref<const std::string &>(), finished.task_)) {
        return false;
    }
    finished.number_ = row[0].get<std::uint64_t>();
    finished.run_.value_ = row[2].get<std::uint64_t>();
    const auto &how = row[HowColumn].get_ref<const std::string &>();
    const auto name = std::find_if(RunEndNames.begin(), RunEndNames.end(),
                                   [&how](const RunEndName &entry) { return entry.name_ == how; });
    if (name == RunEndNames.end()) {
        return false;
    }
    finished.end_ = name->end_;
    if (row.size() > CheckpointColumn && row[CheckpointColumn].is_string()) {
        finished.checkpoint_ = row[CheckpointColumn].get<std::string>();
    }
    return true;
}

static RunnerStatus runnerStatus(unsigned status, const Json &json)
{
    std::string reason;
    switch (status) {
    case StatusOk:
        return RunnerStatus::Ok;
    case StatusConflict:
        readField(json, "Reason", reason);
        if (reason == "fence") {
            return RunnerStatus::Fenced;
        }
        if (reason == "old") { // the run or a later run of the task has ended or was stopped at the runner
            return RunnerStatus::Superseded;
        }
        if (reason == "late") {
            return RunnerStatus::Late;
        }
        return reason == "ticket" ? RunnerStatus::BadTicket : RunnerStatus::NoCapacity;
    case StatusBadRequest:
        return RunnerStatus::Malformed;
    case StatusOtherInstance:
        return RunnerStatus::OtherIncarnation;
    case StatusTooMany:
    case StatusUnavailable:
        return RunnerStatus::Unhealthy;
    default:
        return RunnerStatus::Unknown;
    }
}

template <typename Row, typename Decode>
static bool decodeRows(const Json &json, const char *name, std::vector<Row> &rows, Decode decode)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_array()) {
        return false;
    }
    return std::all_of(found->begin(), found->end(),
                       [&rows, &decode](const Json &row) { return decode(row, rows.emplace_back()); });
}

void decodeRunnerReply(const RunnerCall &call, unsigned status, std::string_view body, RunnerReply &reply)
{
    Json json = Json::object();
    if (!body.empty() && (!parseClientJson(body, json) || !json.is_object())) {
        json = Json::object();
    }
    reply.status_ = runnerStatus(status, json);
    if (!readField(json, "ClockMs", reply.clockMs_) || !readField(json, "born", reply.startedUnixMs_)) {
        reply.status_ = RunnerStatus::Unknown;
        return;
    }
    if (call.op_ == RunnerOp::Hold && reply.status_ == RunnerStatus::Ok
        && (!decodeRows(json, "Active", reply.active_, decodeActive)
            || !decodeRows(json, "Finished", reply.finished_, decodeFinished))) {
        reply.status_ = RunnerStatus::Unknown; // in an incomplete list, a missing run would wrongly count as ended
        reply.active_.clear();
        reply.finished_.clear();
    }
}

// ---- policy service ----

HttpRequest encodePolicyQuery(const PolicyQuery &query)
{
    HttpRequest request;
    request.target_ = "/advise";
    Json runners = Json::array();
    for (const RunnerId &id : query.runners_) {
        runners.push_back(id.value_);
    }
    std::string step = taskText({query.job_, query.occurrence_, query.step_, 0});
    step.erase(step.rfind('.'));
    request.body_ = dumpJson({{"StepId", std::move(step)}, {"Workers", std::move(runners)}});
    return request;
}

void decodePolicyAnswer(unsigned status, std::string_view body, PolicyAnswer &answer)
{
    Json json;
    if (status != StatusOk || !parseClientJson(body, json) || !json.is_object()) {
        return;
    }
    const auto allowed = json.find("Allowed");
    if (allowed == json.end() || !allowed->is_array()) {
        return;
    }
    for (const Json &row : *allowed) {
        if (!row.is_array() || row.size() < 2 || !row[0].is_string() || !row[1].is_string()) {
            answer.allowed_.clear();
            return;
        }
        answer.allowed_.push_back({RunnerId(row[0].get<std::string>()), row[1].get<std::string>()});
    }
    answer.answered_ = true;
}

} // namespace mimosapier
