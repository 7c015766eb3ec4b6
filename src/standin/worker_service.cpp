// HTTP interfaces of the simulated workers of one process.
#include "standin/worker_service.h"

namespace mimosapier::standin
{

constexpr Milliseconds TickPeriod{2}; // resolution of run times

static HttpServerOptions workerOptions()
{
    HttpServerOptions options;
    options.maxConnections_ = 64;
    options.maxBodyBytes_ = 4 * 1024 * 1024;
    return options;
}

WorkerService::WorkerService(boost::asio::io_context &context, const Json &settings)
    : journalPath_(textOr(settings, "journal", ""))
    , controlAddress_(textOr(settings, "control_address", "127.0.0.1:0"))
    , timer_(context)
    , control_(context, {},
               [this](const HttpRequest &request, const HttpResponder &respond) { control(request, respond); })
{
    if (!journalPath_.empty()) {
        journal_.open(journalPath_);
    }
    const auto workers = settings.find("workers");
    if (workers == settings.end() || !workers->is_array()) {
        return;
    }
    for (const auto &item : *workers) {
        auto entry = std::make_unique<Entry>();
        entry->address_ = textOr(item, "address", "127.0.0.1:0");
        entry->worker_ = std::make_unique<SimulatedWorker>(
            item, [this](const Json &line) { journal_.add(line); }, entries_.size() + 1);
        entry->server_ = std::make_unique<HttpServer>(
            context, workerOptions(),
            [this, raw = entry.get()](const HttpRequest &request, auto respond) { handle(*raw, request, respond); });
        entries_.push_back(std::move(entry));
    }
}

bool WorkerService::listen()
{
    for (const auto &entry : entries_) {
        if (!listenOrReport(*entry->server_, entry->address_, "standin-worker")) {
            return false;
        }
    }
    tick();
    return listenOrReport(control_, controlAddress_, "standin-worker");
}

void WorkerService::handle(Entry &entry, const HttpRequest &request, const HttpResponder &respond)
{
    Json body;
    if (!readBody(request, respond, body)) {
        return;
    }
    SimulatedWorker &worker = *entry.worker_;
    const TimePoint now = SystemClock().now();
    const std::string path = splitTarget(request.target_).path_;
    WorkerAnswer answer{404, {{"error", "unknown-path"}}};
    const bool knownPath = path == "/v1/hold" || path == "/v1/start" || path == "/v1/poll" || path == "/v1/stop";
    if (knownPath && worker.admitEpoch(body, answer)) {
        if (path == "/v1/poll") {
            worker.acknowledge(body, now);
            entry.polls_.push_back({worker.epoch(), now + Milliseconds(numberOr(body, "wait_ms", 0)), respond,
                                    SimulatedWorker::knownTasks(body)});
            answerPolls(entry, now);
            return;
        }
        if (path == "/v1/hold") {
            answer = worker.hold(body, now);
        } else if (path == "/v1/start") {
            answer = worker.start(body, now);
        } else {
            answer = worker.stop(body, now);
        }
    }
    respondJson(respond, answer.body_, answer.status_);
    answerPolls(entry, now);
}

void WorkerService::answerPolls(Entry &entry, TimePoint now)
{
    const std::uint64_t epoch = entry.worker_->epoch();
    for (auto it = entry.polls_.begin(); it != entry.polls_.end();) {
        if (it->epoch_ < epoch) {
            respondJson(it->respond_, {{"epoch", epoch}}, 409);
            it = entry.polls_.erase(it);
        } else if (now >= it->waitUntil_ || entry.worker_->hasPendingReports(it->knownTasks_)) {
            const WorkerAnswer answer = entry.worker_->pollAnswer(now, it->knownTasks_);
            respondJson(it->respond_, answer.body_, answer.status_);
            it = entry.polls_.erase(it);
        } else {
            ++it;
        }
    }
}

void WorkerService::tick()
{
    const TimePoint now = SystemClock().now();
    for (const auto &entry : entries_) {
        entry->worker_->advance(now);
        answerPolls(*entry, now);
    }
    timer_.expires_after(TickPeriod);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

void WorkerService::control(const HttpRequest &request, const HttpResponder &respond)
{
    if (splitTarget(request.target_).path_ == "/v1/stats") {
        Json running = Json::object();
        for (const auto &entry : entries_) {
            running[entry->worker_->id()] = entry->worker_->running();
        }
        respondJson(respond, {{"running", std::move(running)}});
        return;
    }
    Json body;
    if (!readBody(request, respond, body)) {
        return;
    }
    const std::string id = textOr(body, "worker", "");
    const std::string mode = textOr(body, "mode", "");
    for (const auto &entry : entries_) {
        if (entry->worker_->id() != id) {
            continue;
        }
        if (!mode.empty()) {
            entry->worker_->setMode(mode == "fail"         ? WorkerMode::Fail
                                        : mode == "refuse" ? WorkerMode::Refuse
                                                           : WorkerMode::Ok);
        }
        if (body.contains("leaving")) {
            entry->worker_->setLeaving(flagOr(body, "leaving", false));
        }
        respondJson(respond, {{"ok", true}});
        return;
    }
    respondError(respond, 404, "unknown-worker");
}

} // namespace mimosapier::standin
