// HTTP interfaces of the simulated platform.
#include "standin/platform_service.h"

#include "core/cell/cell_func.h"
#include "daemon/base64_func.h"
#include "platform/platform_codec_func.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace mimosapier::standin
{

constexpr Milliseconds TickPeriod{2}; // resolution of run times and waits
constexpr std::size_t MaxFinishedRuns = 500; // in one answer to a hold
constexpr std::string_view OperatorPrefix = "op/";
constexpr std::string_view DiscoveryPrefix = "servers/";
constexpr std::string_view TicketPrefix = "ticket-";

static HttpServerOptions storeServerOptions()
{
    HttpServerOptions options;
    options.maxBodyBytes_ = 4 * 1024 * 1024;
    return options;
}

PlatformService::PlatformService(boost::asio::io_context &context, const Json &settings)
    : runTime_(numberOr(settings, "run_ms", 50))
    , config_(settings.value("config", Json()))
    , service_(textOr(settings, "service", "s"))
    , runnerIp_(textOr(settings, "runner_ip", "127.0.0.1"))
    , storeAddress_(textOr(settings, "store_address", "127.0.0.1:0"))
    , policyAddress_(textOr(settings, "policy_address", "127.0.0.1:0"))
    , timer_(context)
    , storeServer_(context, storeServerOptions(),
                   [this](const HttpRequest &request, const HttpResponder &respond) { handleStore(request, respond); })
    , policyServer_(context, {}, [this](const HttpRequest &request, const HttpResponder &respond) {
        handlePolicy(request, respond);
    })
{
    kv_.revision_ = 1;
    kv_.maxPageItems_ = static_cast<std::size_t>(numberOr(settings, "page_items", 500));
    const std::int64_t count = numberOr(settings, "runners", 4);
    for (std::int64_t i = 0; i < count; ++i) {
        auto entry = std::make_unique<RunnerEntry>();
        RunnerModel &model = entry->model_;
        model.record_.id_ = RunnerId("runner-" + std::to_string(i));
        model.record_.service_ = service_;
        model.record_.zone_ = textOr(settings, "zone", "z");
        model.record_.rack_ = "rack-" + std::to_string(i / 8);
        model.record_.capacity_.milliCpus_ = numberOr(settings, "milli_cpus", 8'000);
        model.record_.capacity_.memoryMb_ = numberOr(settings, "memory_mb", 16'384);
        model.startedUnixMs_ = SystemWallClock().unixMs();
        entry->server_ = std::make_unique<HttpServer>(
            context, HttpServerOptions{},
            [this, raw = entry.get()](const HttpRequest &request, const HttpResponder &respond) {
                handleRunner(*raw, request, respond);
            });
        runners_.push_back(std::move(entry));
    }
}

static Json runnerRecord(const RunnerModel &model)
{
    const RunnerRecord &record = model.record_;
    return {{"Service", record.service_},
            {"Address", record.address_},
            {"Zone", record.zone_},
            {"Version", "1"},
            {"Slots", 8},
            {"State", record.draining_ ? "draining" : "ready"},
            {"Capacity", {{"Cpu", record.capacity_.milliCpus_}, {"MemMb", record.capacity_.memoryMb_}, {"Gpu", 0}}},
            {"Labels", {"plain", record.rack_}},
            {"Sequence", 1},
            {"born", model.startedUnixMs_}};
}

bool PlatformService::listen()
{
    for (const auto &entry : runners_) {
        if (!listenOrReport(*entry->server_, runnerIp_ + ":0", "standin-platform")) {
            return false;
        }
        entry->model_.record_.address_ = entry->server_->address();
        kv_.write(KvSpace::Discovery, entry->model_.record_.id_.value_, dumpJson(runnerRecord(entry->model_)));
    }
    if (config_.is_object()) {
        writeConfig(config_);
    }
    tick();
    return listenOrReport(storeServer_, storeAddress_, "standin-platform")
        && listenOrReport(policyServer_, policyAddress_, "standin-platform");
}

void PlatformService::writeConfig(const Json &config)
{
    const auto routes = config.find("Routes");
    requiresTickets_ = routes != config.end()
        && std::any_of(routes->begin(), routes->end(), [](const Json &route) { return route.contains("Advice"); });
    kv_.write(KvSpace::Operator, "config", dumpJson(config));
}

std::map<StagedTask, std::size_t> PlatformService::starts() const
{
    std::map<StagedTask, std::size_t> starts;
    for (const auto &entry : runners_) {
        for (const auto &[task, run] : entry->model_.starts_) {
            ++starts[task];
        }
    }
    return starts;
}

std::int64_t PlatformService::elapsedMs(TimePoint now) const
{
    return std::chrono::duration_cast<Milliseconds>(now - startedAt_).count();
}

void PlatformService::tick()
{
    const TimePoint now = clock_.now();
    kv_.expire(now);
    answerWatches();
    for (const auto &entry : runners_) {
        entry->model_.expire(elapsedMs(now));
        endScheduledRuns(*entry, now);
        answerPolls(*entry, now);
    }
    timer_.expires_after(TickPeriod);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

// ---- store ----

// Returns the space of a key of the platform and sets `rest` to the key within that space. Keys of the daemons' own
// space have no prefix to remove.
static KvSpace spaceOf(std::string_view key, std::string &rest)
{
    for (const auto &[prefix, space] :
         {std::pair(OperatorPrefix, KvSpace::Operator), std::pair(DiscoveryPrefix, KvSpace::Discovery)}) {
        if (key.starts_with(prefix)) {
            rest = key.substr(prefix.size());
            return space;
        }
    }
    rest = key;
    return KvSpace::Own;
}

static std::string fullKey(KvSpace space, const std::string &key)
{
    if (space == KvSpace::Operator) {
        return std::string(OperatorPrefix) + key;
    }
    return space == KvSpace::Discovery ? std::string(DiscoveryPrefix) + key : key;
}

static Json itemJson(KvSpace space, const KvItem &item)
{
    Json json{{"Key", fullKey(space, item.key_)}, {"Revision", item.revision_}};
    if (item.removed_) {
        json["Compacted"] = true;
    } else {
        json["Value"] = encodeBase64(item.value_);
        json["LeaseId"] = 0;
    }
    return json;
}

static std::uint64_t numberParameter(const HttpTarget &target, std::string_view name)
{
    const std::string_view text = queryValue(target, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Decodes a transaction. Returns false when it is malformed, too large, or names a key outside the daemons' own space.
static bool decodeTransaction(const Json &body, KvCall &call)
{
    std::string key;
    std::string value;
    for (const Json &row : body.value("ExpectedRev", Json::array())) {
        KvCondition condition;
        if (!readField(row, "Key", key) || !readField(row, "Revision", condition.revision_)
            || spaceOf(key, condition.key_) != KvSpace::Own) {
            return false;
        }
        call.conditions_.push_back(condition);
    }
    for (const Json &row : body.value("Writes", Json::array())) {
        KvWrite write;
        if (!readField(row, "Key", key) || !readField(row, "Value", value) || !decodeBase64(value, write.value_)
            || !readField(row, "LeaseId", write.lease_) || spaceOf(key, write.key_) != KvSpace::Own) {
            return false;
        }
        call.writes_.push_back(write);
    }
    for (const Json &row : body.value("Remove", Json::array())) {
        if (!row.is_string() || spaceOf(row.get<std::string>(), key) != KvSpace::Own) {
            return false;
        }
        call.removes_.push_back(key);
    }
    constexpr std::size_t MaxTransactionEntries = 32;
    return call.conditions_.size() + call.writes_.size() + call.removes_.size() <= MaxTransactionEntries;
}

// Decodes a request to the store. Returns false for an unknown path or a malformed request.
static bool decodeStoreCall(const HttpRequest &request, const Json &body, KvCall &call)
{
    const HttpTarget target = splitTarget(request.target_);
    std::int64_t ttl = 0;
    constexpr std::string_view KeepAlivePath = "/kv-keep/";
    if (target.path_ == "/kv-key" || target.path_ == "/kv-range" || target.path_ == "/kv-watch") {
        call.op_ = target.path_ == "/kv-key" ? KvOp::Get : KvOp::Range;
        call.space_ = spaceOf(queryValue(target, call.op_ == KvOp::Get ? "Key" : "Prefix"), call.key_);
        if (call.op_ == KvOp::Range) {
            spaceOf(queryValue(target, "After"), call.after_);
        }
        if (target.path_ == "/kv-watch") {
            call.op_ = KvOp::Watch;
            call.afterRevision_ = numberParameter(target, "After");
            call.wait_ = Milliseconds(numberParameter(target, "WaitMs"));
        }
        return true;
    }
    if (target.path_ == "/kv-txn") {
        call.op_ = KvOp::Commit;
        return decodeTransaction(body, call);
    }
    if (target.path_ == "/kv-lease") {
        call.op_ = KvOp::GrantLease;
        const bool valid = readField(body, "TtlMs", ttl) && ttl > 0;
        call.ttl_ = Milliseconds(ttl);
        return valid;
    }
    call.op_ = KvOp::RenewLease;
    const std::string_view path = target.path_;
    return path.starts_with(KeepAlivePath)
        && std::from_chars(path.data() + KeepAlivePath.size(), path.data() + path.size(), call.lease_).ec
        == std::errc{};
}

void PlatformService::handleStore(const HttpRequest &request, const HttpResponder &respond)
{
    Json body;
    KvCall call;
    if (!readBody(request, respond, body)) {
        return;
    }
    if (!decodeStoreCall(request, body, call)) {
        respondError(respond, 400, "malformed-request");
        return;
    }
    if (fault_ == StoreFault::Unavailable) {
        respondError(respond, 503, "unavailable");
    } else if (fault_ == StoreFault::NoAnswer) {
        unansweredRequests_.push_back(respond);
    } else {
        answerStore(call, clock_.now(), respond);
    }
}

void PlatformService::answerStore(const KvCall &call, TimePoint sentAt, const HttpResponder &respond)
{
    kv_.expire(clock_.now());
    const auto reply = kv_.answer(call, sentAt, clock_.now());
    if (!reply) {
        watches_.push_back({call, sentAt, respond});
        return;
    }
    storeWrites_ += call.op_ == KvOp::Commit ? 1 : 0;
    if (fault_ == StoreFault::DropWriteAnswers && call.op_ == KvOp::Commit) {
        respond.drop();
        return;
    }
    Json json{{"AtRev", reply->revision_}};
    Json items = Json::array();
    for (const KvItem &item : reply->items_) {
        items.push_back(itemJson(call.space_, item));
    }
    unsigned status = 200;
    if (reply->status_ == KvStatus::NotFound) {
        status = 404;
    } else if (reply->status_ == KvStatus::HistoryLost) {
        status = 410;
    } else if (reply->status_ == KvStatus::Conflict) {
        status = 412;
        json["items"] = std::move(items);
    } else if (call.op_ == KvOp::Get) {
        json.update(items.at(0));
    } else if (call.op_ == KvOp::Watch) {
        json["events"] = std::move(items);
    } else if (call.op_ == KvOp::Range) {
        json["items"] = std::move(items);
        json["HasMore"] = reply->more_;
    } else if (call.op_ == KvOp::Commit) {
        json["Revision"] = reply->revision_;
    } else {
        json["LeaseId"] = call.op_ == KvOp::GrantLease ? reply->lease_ : call.lease_;
        json["TtlMs"] = reply->ttl_.count();
    }
    respondJson(respond, json, status);
}

void PlatformService::answerWatches()
{
    const TimePoint now = clock_.now();
    const bool changed = kv_.revision_ != lastWatchRevision_;
    lastWatchRevision_ = kv_.revision_;
    std::list<Watch> waiting;
    std::swap(waiting, watches_);
    while (!waiting.empty()) {
        Watch &watch = waiting.front();
        if (fault_ == StoreFault::NoAnswer || (!changed && now < watch.sentAt_ + watch.call_.wait_)) {
            watches_.splice(watches_.end(), waiting, waiting.begin());
            continue;
        }
        answerStore(watch.call_, watch.sentAt_, watch.respond_);
        waiting.pop_front();
    }
}

// ---- runners ----

static constexpr std::array<std::string_view, 6> RunEndNames{"done",   "failed", "stopped",
                                                             "lapsed", "broken", "alone"}; // by RunEnd

static bool decodeRunnerRequest(const HttpRequest &request, const Json &body, RunnerCall &call)
{
    std::string task;
    std::int64_t wait = 0;
    if (request.target_ == "/run-start" || request.target_ == "/run-stop") {
        call.op_ = request.target_ == "/run-start" ? RunnerOp::Start : RunnerOp::Stop;
        if (!readField(body, "Task", task) || !decodeTask(task, call.task_)
            || !readField(body, "RunId", call.run_.value_)) {
            return false;
        }
    } else if (request.target_ != "/hold") {
        return false;
    }
    const bool valid = readField(body, "FencingToken", call.token_.value_) && readField(body, "UntilMs", call.untilMs_)
        && readField(body, "LastSeen", call.acknowledgedEnd_) && readField(body, "WaitMs", wait)
        && readField(body, "Spec", call.spec_) && readField(body, "Ticket", call.ticket_);
    call.wait_ = Milliseconds(wait);
    return valid;
}

static void respondRunner(const HttpResponder &respond, const RunnerCall &call, const RunnerReply &reply)
{
    Json json{{"ClockMs", reply.clockMs_}};
    if (reply.startedUnixMs_ != 0) {
        json["born"] = reply.startedUnixMs_;
    }
    if (reply.status_ != RunnerStatus::Ok) {
        json["Reason"] = reply.status_ == RunnerStatus::Fenced ? "fence" : "old";
        respondJson(respond, json, 409);
        return;
    }
    if (call.op_ == RunnerOp::Hold) {
        Json active = Json::array();
        for (const ActiveRun &run : reply.active_) {
            active.push_back({taskText(run.task_), run.run_.value_, run.checkpoint_, run.percent_, run.usage_});
        }
        Json finished = Json::array();
        for (const FinishedRun &run : reply.finished_) {
            if (finished.size() < MaxFinishedRuns) {
                finished.push_back({run.number_, taskText(run.task_), run.run_.value_,
                                    RunEndNames.at(static_cast<std::size_t>(run.end_)), run.checkpoint_});
            }
        }
        json["Active"] = std::move(active);
        json["Finished"] = std::move(finished);
    }
    respondJson(respond, json);
}

void PlatformService::handleRunner(RunnerEntry &entry, const HttpRequest &request, const HttpResponder &respond)
{
    Json body;
    RunnerCall call;
    if (!readBody(request, respond, body)) {
        return;
    }
    RunnerModel &model = entry.model_;
    call.runner_ = model.record_.id_;
    if (headerValue(request, "X-Expect-Instance") != model.record_.id_.value_) {
        respondError(respond, 421, "other-instance");
        return;
    }
    if (!decodeRunnerRequest(request, body, call)) {
        respondError(respond, 400, "malformed-request");
        return;
    }
    const TimePoint now = clock_.now();
    if (call.op_ == RunnerOp::Start && requiresTickets_
        && call.ticket_ != std::string(TicketPrefix) + model.record_.id_.value_) {
        ++rejectedTickets_;
        respondJson(respond, {{"ClockMs", elapsedMs(now)}, {"Reason", "ticket"}}, 409);
        return;
    }
    if (call.op_ == RunnerOp::Hold && call.wait_.count() > 0) {
        entry.polls_.push_back({call, now + call.wait_, respond});
        // Renews the lease now, not only when the poll is answered. The reply is discarded: answerPolls() makes the one
        // that is sent.
        (void)model.answer(call, now, elapsedMs(now));
        answerPolls(entry, now);
        return;
    }
    const std::size_t before = model.starts_.size();
    const RunnerReply reply = model.answer(call, now, elapsedMs(now));
    if (model.starts_.size() > before) {
        entry.scheduledEnds_.push_back({now + runTime_, call.task_, call.run_.value_});
    }
    respondRunner(respond, call, reply);
}

void PlatformService::endScheduledRuns(RunnerEntry &entry, TimePoint now)
{
    while (!entry.scheduledEnds_.empty() && entry.scheduledEnds_.front().endsAt_ <= now) {
        const ScheduledEnd &scheduled = entry.scheduledEnds_.front();
        const auto running = entry.model_.active_.find(scheduled.task_);
        if (running != entry.model_.active_.end() && running->second == scheduled.run_) {
            entry.model_.end(scheduled.task_, RunEnd::Done);
        }
        entry.scheduledEnds_.pop_front();
    }
}

void PlatformService::answerPolls(RunnerEntry &entry, TimePoint now)
{
    for (auto poll = entry.polls_.begin(); poll != entry.polls_.end();) {
        const bool hasNewEnd = entry.model_.lastEndNumber_ > poll->call_.acknowledgedEnd_;
        if (!hasNewEnd && now < poll->waitUntil_) {
            ++poll;
            continue;
        }
        respondRunner(poll->respond_, poll->call_, entry.model_.answer(poll->call_, now, elapsedMs(now)));
        poll = entry.polls_.erase(poll);
    }
}

// ---- policy service ----

void PlatformService::handlePolicy(const HttpRequest &request, const HttpResponder &respond)
{
    Json body;
    if (!readBody(request, respond, body)) {
        return;
    }
    const auto requestedIds = body.find("Workers");
    if (request.target_ != "/advise" || requestedIds == body.end() || !requestedIds->is_array()) {
        respondError(respond, 400, "malformed-request");
        return;
    }
    Json allowed = Json::array();
    for (const Json &id : *requestedIds) {
        if (id.is_string()) {
            allowed.push_back({id, std::string(TicketPrefix) + id.get<std::string>()});
        }
    }
    respondJson(respond, {{"Allowed", std::move(allowed)}});
}

} // namespace mimosapier::standin
