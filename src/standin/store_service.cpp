// HTTP interface of the simulated store.
#include "standin/store_service.h"

namespace mimosapier::standin
{

constexpr Milliseconds TickPeriod{20}; // resolution of lease expiry and watch timeouts
constexpr std::size_t MaxValueBytes = 1'000'000;
constexpr std::size_t MaxBodyBytes = 4'000'000; // more than MaxValueBytes, because JSON escaping makes values longer

static HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.maxBodyBytes_ = MaxBodyBytes;
    return options;
}

static Json entryJson(const std::string &key, const StoredEntry &entry)
{
    return {{"key", key}, {"value", entry.value_}, {"revision", entry.revision_}};
}

static bool isWrite(const std::string &operation)
{
    return operation != "get" && operation != "list" && operation != "watch";
}

StoreService::StoreService(boost::asio::io_context &context, const Json &settings)
    : context_(context)
    , configuredAddress_(textOr(settings, "address", "127.0.0.1:0"))
    , latency_(numberOr(settings, "latency_ms", 2))
    , readsPerSecond_(realOr(settings, "reads_per_second", 2000))
    , writesPerSecond_(realOr(settings, "writes_per_second", 500))
    , random_(static_cast<std::uint64_t>(numberOr(settings, "seed", 1)))
    , timer_(context)
    , server_(context, serverOptions(),
              [this](const HttpRequest &request, const HttpResponder &respond) { handle(request, respond); })
{
}

bool StoreService::listen()
{
    tick();
    return listenOrReport(server_, configuredAddress_, "standin-store");
}

void StoreService::handle(const HttpRequest &request, const HttpResponder &respond)
{
    const std::string path = splitTarget(request.target_).path_;
    Json body;
    if (path == "/v1/stats") {
        respondJson(respond, stats());
        return;
    }
    if (!readBody(request, respond, body)) {
        return;
    }
    if (path == "/v1/fault") {
        setFault(body, respond);
        return;
    }
    static const std::map<std::string, std::string> operations{
        {"/v1/get", "get"},
        {"/v1/list", "list"},
        {"/v1/cas", "cas"},
        {"/v1/delete", "delete"},
        {"/v1/lease/grant", "lease_grant"},
        {"/v1/lease/renew", "lease_renew"},
        {"/v1/lease/revoke", "lease_revoke"},
        {"/v1/watch", "watch"},
    };
    const auto found = operations.find(path);
    if (found == operations.end()) {
        respondError(respond, 404, "unknown-path");
        return;
    }
    const std::string &operation = found->second;
    ++callCounts_[operation];
    const std::string key = textOr(body, "key", textOr(body, "prefix", ""));
    ++callCountsByPrefix_[operation + " " + key.substr(0, key.find('/'))];
    bytesIn_ += request.body_.size();

    if (mode_ == FaultMode::Down) {
        if (drawFault(faultRatio_)) {
            respondError(respond, 503, "unavailable");
        } else {
            leaveUnanswered(respond);
        }
        return;
    }
    if (textOr(body, "value", "").size() > MaxValueBytes) {
        respondError(respond, 413, "body-too-large");
        return;
    }
    Milliseconds wait = reserveSlot(isWrite(operation));
    if (mode_ == FaultMode::Slow && drawFault(faultRatio_)) {
        wait += faultDelay_;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, wait);
    timer->async_wait([this, timer, operation, body, respond](boost::system::error_code error) {
        if (!error) {
            execute(operation, body, respond);
        }
    });
}

// Reserves the next free slot at the configured rate and returns the time until the request is executed: the wait for
// the slot and the latency.
Milliseconds StoreService::reserveSlot(bool isWrite)
{
    const TimePoint now = SystemClock().now();
    TimePoint &nextAt = isWrite ? nextWriteAt_ : nextReadAt_;
    const double rate = isWrite ? writesPerSecond_ : readsPerSecond_;
    const TimePoint begin = std::max(now, nextAt);
    nextAt = begin + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / rate));
    return std::chrono::duration_cast<Milliseconds>(begin - now) + latency_;
}

void StoreService::execute(const std::string &operation, const Json &body, const HttpResponder &respond)
{
    data_.expire(SystemClock().now());
    const std::string prefix = textOr(body, "prefix", "");
    if (operation == "get") {
        const std::string key = textOr(body, "key", "");
        const StoredEntry *entry = data_.get(key);
        Json answer{{"found", entry != nullptr}, {"revision", data_.revision()}};
        if (entry != nullptr) {
            answer["entry"] = entryJson(key, *entry);
        }
        respondJson(respond, answer);
    } else if (operation == "list") {
        respondJson(respond, listing(prefix));
    } else if (operation == "watch") {
        watches_.push_back({prefix, static_cast<std::uint64_t>(numberOr(body, "after", 0)),
                            SystemClock().now() + Milliseconds(numberOr(body, "wait_ms", 0)), respond});
        checkedRevision_ = 0;
        checkWatches();
    } else {
        const Json answer = write(operation, body);
        checkWatches();
        if (mode_ == FaultMode::Down) {
            leaveUnanswered(respond);
        } else if (mode_ == FaultMode::LoseAnswers && drawFault(faultRatio_)) {
            respond.drop();
        } else {
            respondJson(respond, answer);
        }
    }
}

Json StoreService::write(const std::string &operation, const Json &body)
{
    const TimePoint now = SystemClock().now();
    const auto lease = static_cast<std::uint64_t>(numberOr(body, "lease", 0));
    if (operation == "lease_grant") {
        return {{"lease", data_.grantLease(Milliseconds(numberOr(body, "ttl_ms", 1000)), now)}};
    }
    if (operation == "lease_renew") {
        return {{"ok", data_.renewLease(lease, now)}};
    }
    if (operation == "lease_revoke") {
        return {{"ok", data_.revokeLease(lease)}};
    }
    const std::string key = textOr(body, "key", "");
    const auto expected = static_cast<std::uint64_t>(numberOr(body, "expected", 0));
    const StoreWriteStatus result
        = operation == "cas" ? data_.cas(key, textOr(body, "value", ""), expected, lease) : data_.remove(key, expected);
    if (result == StoreWriteStatus::Ok) {
        return {{"ok", true}, {"revision", data_.revision()}};
    }
    const StoredEntry *entry = data_.get(key);
    if (result == StoreWriteStatus::UnknownLease || entry == nullptr) {
        return {{"ok", false}, {"found", false}, {"revision", data_.revision()}};
    }
    return {{"ok", false}, {"found", true}, {"entry", entryJson(key, *entry)}, {"revision", data_.revision()}};
}

Json StoreService::listing(std::string_view prefix) const
{
    Json entries = Json::array();
    for (const auto &[key, entry] : data_.list(prefix)) {
        entries.push_back(entryJson(key, *entry));
    }
    return {{"entries", std::move(entries)}, {"revision", data_.revision()}};
}

Json StoreService::stats() const
{
    return {{"calls", callCounts_}, {"calls_by_prefix", callCountsByPrefix_}, {"bytes_in", bytesIn_},
            {"keys", data_.size()}, {"revision", data_.revision()},           {"waiting_watches", watches_.size()}};
}

void StoreService::setFault(const Json &body, const HttpResponder &respond)
{
    const std::string mode = textOr(body, "mode", "");
    if (mode == "ok") {
        mode_ = FaultMode::Ok;
    } else if (mode == "down") {
        mode_ = FaultMode::Down;
    } else if (mode == "slow") {
        mode_ = FaultMode::Slow;
    } else if (mode == "lose-answers") {
        mode_ = FaultMode::LoseAnswers;
    } else {
        respondError(respond, 400, "malformed-request");
        return;
    }
    faultDelay_ = Milliseconds(numberOr(body, "ms", 0));
    faultRatio_ = realOr(body, "ratio", mode_ == FaultMode::Down ? 0 : 1);
    if (mode_ == FaultMode::Down) {
        for (const auto &watch : watches_) {
            leaveUnanswered(watch.respond_);
        }
        watches_.clear();
    } else {
        // This answers them with status 500, so the client cannot tell whether they took effect.
        unansweredRequests_.clear();
    }
    respondJson(respond, {{"ok", true}});
}

bool StoreService::drawFault(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

// Keeps the request open without an answer until the client gives up or the fault ends.
void StoreService::leaveUnanswered(const HttpResponder &respond)
{
    unansweredRequests_.push_back(respond);
}

void StoreService::tick()
{
    data_.expire(SystemClock().now());
    checkWatches();
    timer_.expires_after(TickPeriod);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

void StoreService::checkWatches()
{
    const TimePoint now = SystemClock().now();
    const bool changed = checkedRevision_ != data_.revision();
    checkedRevision_ = data_.revision();
    for (auto it = watches_.begin(); it != watches_.end();) {
        if (changed && data_.changedAfter(it->prefix_, it->afterRevision_)) {
            respondJson(it->respond_, listing(it->prefix_));
            it = watches_.erase(it);
        } else if (now >= it->waitUntil_) {
            respondJson(it->respond_, {{"unchanged", true}, {"revision", data_.revision()}});
            it = watches_.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace mimosapier::standin
