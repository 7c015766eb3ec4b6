// Load generator: arrivals, choice of entries, control requests, end of the run.
#include "standin/load_service.h"

#include <algorithm>

namespace mimosapier::standin
{

constexpr Milliseconds ReadinessPeriod{250};
constexpr Milliseconds ReadinessTimeout{500};
constexpr Milliseconds EndCheckPeriod{100};

static HttpClientOptions clientOptions()
{
    HttpClientOptions options;
    options.maxConnections_ = 512; // the load is open-loop, so the connection pool must not limit it
    options.maxWaiting_ = 100'000;
    return options;
}

LoadService::LoadService(boost::asio::io_context &context, const Json &settings)
    : context_(context)
    , planValid_(readPlan(settings, plan_))
    , client_(context, clientOptions())
    , random_(plan_.seed_)
    , control_(context, {},
               [this](const HttpRequest &request, const HttpResponder &respond) { control(request, respond); })
{
}

bool LoadService::listen()
{
    if (!planValid_) {
        std::fprintf(stderr, "standin-load: the settings list no entries, or an entry without addresses\n");
        return false;
    }
    if (!plan_.journal_.empty() && !journal_.open(plan_.journal_)) {
        return false;
    }
    checkReadiness();
    std::uint64_t seed = plan_.seed_;
    for (auto &account : plan_.accounts_) {
        for (const auto &stream : account.streams_) {
            seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
            startArrivals(account, stream, seed);
        }
    }
    runAfter(plan_.arrivalPeriod_, [this] { endArrivals(); });
    return listenOrReport(control_, plan_.controlAddress_, "standin-load");
}

void LoadService::runAfter(Milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error) {
            action();
        }
    });
}

void LoadService::startArrivals(LoadAccount &account, const LoadStream &stream, std::uint64_t seed)
{
    if (stream.rate_ > 0) {
        scheduleArrival(account, stream, std::make_shared<std::mt19937_64>(seed));
    }
}

void LoadService::scheduleArrival(LoadAccount &account, const LoadStream &stream,
                                  const std::shared_ptr<std::mt19937_64> &random)
{
    const double gap = std::exponential_distribution<double>(stream.rate_)(*random);
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)));
    timer->async_wait([this, timer, &account, &stream, random](boost::system::error_code error) {
        if (error || !arrivalsActive_) {
            return;
        }
        scheduleArrival(account, stream, random);
        const RequestPointer request = makeRequest(account, stream, *random);
        openRequests_[account.team_ + ":" + request->id_] = request;
        ++requestCount_;
        retryBudget_ = std::min(retryBudget_ + plan_.retryRatio_, 100.0);
        submit(request, false);
        if (std::uniform_real_distribution<double>(0, 1)(*random) < stream.cancelRatio_) {
            const auto delay = std::uniform_int_distribution<std::int64_t>(0, 1500)(*random);
            runAfter(Milliseconds(delay), [this, request] { cancel(request); });
        }
    });
}

LoadService::RequestPointer LoadService::makeRequest(LoadAccount &account, const LoadStream &stream,
                                                     std::mt19937_64 &random)
{
    auto request = std::make_shared<LoadRequest>();
    request->account_ = &account;
    request->stream_ = &stream;
    request->id_ = stream.class_ + "-" + std::to_string(++lastRequest_);
    const auto tasks = std::uniform_int_distribution<std::int64_t>(stream.minTasks_, stream.maxTasks_)(random);
    const double drawnRunMs = std::exponential_distribution<double>(1.0 / std::max(stream.runMs_, 1.0))(random);
    const auto run = stream.isService_ ? 0 : std::clamp<std::int64_t>(std::llround(drawnRunMs), 1, 60'000);
    const bool fails = std::uniform_real_distribution<double>(0, 1)(random) < stream.failRatio_;
    std::string payload = "run_ms=" + std::to_string(run);
    payload += stream.isService_ ? " service" : "";
    payload += fails ? " fail" : "";
    const double declared = static_cast<double>(run) * stream.declaredFactor_ * declaredFactor_;
    request->body_ = {{"request_id", request->id_},
                      {"team", account.team_},
                      {"class", stream.class_},
                      {"tasks", tasks},
                      {"size", stream.size_},
                      {"run_ms", std::llround(declared)},
                      {"deadline_ms", stream.deadlineMs_},
                      {"payload", payload},
                      {"queue", account.queue_}};
    if (stream.deadlineMs_ == 0) {
        request->body_.erase("deadline_ms");
    }
    if (stream.idempotentGiven_) {
        request->body_["idempotent"] = stream.idempotent_;
    }
    return request;
}

// Returns the index of an entry, at random among equally good ones. Prefers ready entries, then entries in the caller's
// region. With `avoidLast`, any entry other than the one used last is preferred to it, ready or not.
std::size_t LoadService::chooseEntry(const LoadRequest &request, bool avoidLast)
{
    std::vector<std::size_t> best;
    int bestScore = -1;
    for (std::size_t i = 0; i < plan_.entries_.size(); ++i) {
        const LoadEntry &entry = plan_.entries_[i];
        const bool differs = !avoidLast || i != request.entry_;
        const bool inCallersRegion = entry.region_ == request.account_->region_;
        const int score = (differs ? 4 : 0) + (entry.ready_ ? 2 : 0) + (inCallersRegion ? 1 : 0);
        if (score > bestScore) {
            best.clear();
            bestScore = score;
        }
        if (score == bestScore) {
            best.push_back(i);
        }
    }
    return best[random_() % best.size()];
}

const std::string &LoadService::addressOf(const LoadRequest &request) const
{
    const auto &addresses = plan_.entries_[request.entry_].addresses_;
    const auto found = addresses.find(request.account_->region_);
    return found != addresses.end() ? found->second : addresses.begin()->second;
}

// Simulates the health check of a load balancer: requests avoid entries that fail it. Repeats itself periodically.
void LoadService::checkReadiness()
{
    for (auto &entry : plan_.entries_) {
        const auto own = entry.addresses_.find(entry.region_);
        const std::string &address = own != entry.addresses_.end() ? own->second : entry.addresses_.begin()->second;
        client_.send(address, {"GET", "/readyz", {}, ""}, ReadinessTimeout, [&entry](const HttpResult &result) {
            entry.ready_ = result.delivery_ == HttpDelivery::Answered && result.status_ == 200;
        });
    }
    runAfter(ReadinessPeriod, [this] { checkReadiness(); });
}

void LoadService::control(const HttpRequest &request, const HttpResponder &respond)
{
    if (splitTarget(request.target_).path_ == "/v1/stats") {
        std::size_t accepted = 0;
        Json ready = Json::object();
        for (const auto &[id, open] : openRequests_) {
            accepted += open->accepted_ ? 1 : 0;
        }
        for (const auto &entry : plan_.entries_) {
            ready[entry.name_] = entry.ready_;
        }
        respondJson(respond,
                    {{"sent", requestCount_},
                     {"open", openRequests_.size()},
                     {"open_accepted", accepted},
                     {"outcomes", outcomes_},
                     {"ready", ready},
                     {"arriving", arrivalsActive_}});
        return;
    }
    Json body;
    if (!readBody(request, respond, body)) {
        return;
    }
    declaredFactor_ = realOr(body, "declared_factor", declaredFactor_);
    for (auto &account : plan_.accounts_) {
        if (body.contains("key") && account.team_ == textOr(body, "team", "")) {
            account.key_ = textOr(body, "key", "");
        }
    }
    const double ratio = realOr(body, "cancel_ratio", 0);
    std::vector<RequestPointer> chosen;
    for (const auto &[id, open] : openRequests_) {
        if (open->accepted_ && std::uniform_real_distribution<double>(0, 1)(random_) < ratio) {
            chosen.push_back(open);
        }
    }
    for (const auto &open : chosen) {
        cancel(open);
    }
    respondJson(respond, {{"ok", true}, {"cancelled", chosen.size()}});
}

void LoadService::endArrivals()
{
    arrivalsActive_ = false;
    drainEnd_ = SystemClock().now() + plan_.drainLimit_;
    journal_.add({{"t", wallNanoseconds()}, {"event", "drain"}});
    checkEnd();
}

void LoadService::checkEnd()
{
    if (openRequests_.empty() || SystemClock().now() >= drainEnd_) {
        loadEnded_ = true;
        const auto open = openRequests_;
        for (const auto &[id, request] : open) {
            // No "final" line for an accepted job without an outcome: the checker then counts the job as lost.
            if (!request->accepted_) {
                finish(request, "unknown", "no-answer");
            }
        }
        journal_.add({{"t", wallNanoseconds()}, {"event", "end"}, {"open", openRequests_.size()}});
        context_.stop();
        return;
    }
    const auto open = openRequests_; // a copy, because cancel() may remove requests from openRequests_
    for (const auto &[id, request] : open) {
        if (request->stream_->isService_ && request->accepted_) {
            cancel(request);
        }
    }
    runAfter(EndCheckPeriod, [this] { checkEnd(); });
}

} // namespace mimosapier::standin
