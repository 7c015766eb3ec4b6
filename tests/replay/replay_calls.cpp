// Calls of the nodes to the store and to workers, with the stated failures.
#include "replay/replay_world.h"

#include <array>
#include <iostream>

namespace mimosapier::test
{

static constexpr Milliseconds StoreLatency{2};
static constexpr Milliseconds WorkerLatency{1};
static constexpr Milliseconds CallTimeout{1000}; // of a call whose answer is lost
static constexpr std::array<const char *, 8> StoreOps{"get",   "list",  "cas",    "delete",
                                                      "grant", "renew", "revoke", "watch"};
static constexpr std::array<const char *, 4> WorkerOps{"hold", "start", "poll", "stop"};

static std::string keyOf(const StoreOp &op)
{
    if (const auto *get = std::get_if<StoreGet>(&op)) {
        return get->key_;
    }
    if (const auto *cas = std::get_if<StoreCas>(&op)) {
        return cas->key_;
    }
    if (const auto *del = std::get_if<StoreDelete>(&op)) {
        return del->key_;
    }
    if (const auto *list = std::get_if<StoreList>(&op)) {
        return list->prefix_;
    }
    const auto *watch = std::get_if<StoreWatch>(&op);
    return watch == nullptr ? std::string() : watch->prefix_;
}

void ReplayWorld::request(ReplayDaemon &from, const StoreRequest &request)
{
    StoreResult lost;
    lost.id_ = request.id_;
    lost.component_ = request.component_;
    lost.shard_ = request.shard_;
    const auto answer = [this, name = from.name_, lost](Milliseconds delay, StoreResult result) {
        result.id_ = lost.id_;
        result.component_ = lost.component_;
        result.shard_ = lost.shard_;
        later(delay, [this, name, result = std::move(result)] { deliver(name, result); });
    };
    if (storeDown_ || from.storeCut_) {
        StoreResult down = lost;
        down.status_ = storeRefuses_ ? StoreStatus::Unavailable : StoreStatus::Unknown;
        answer(Milliseconds(20), down);
        return;
    }
    Milliseconds effect = StoreLatency;
    Milliseconds late = StoreLatency;
    bool lose = false;
    if (const Rule *rule = match("store", from.name_, keyOf(request.op_), StoreOps.at(request.op_.index()))) {
        if (rule->action_ == "refuse") {
            StoreResult refused;
            refused.status_ = StoreStatus::Unavailable;
            answer(StoreLatency, refused);
            return;
        }
        lose = rule->action_ != "delay";
        if (rule->action_ == "lose-request") {
            answer(CallTimeout, lost);
            return;
        }
        effect += rule->action_ == "apply-late" ? rule->time_ : Milliseconds(0);
        late += rule->action_ == "delay" ? rule->time_ : Milliseconds(0);
    }
    if (lose) {
        answer(CallTimeout, lost);
    }
    if (const auto *watch = std::get_if<StoreWatch>(&request.op_)) {
        store_.watch(*watch, now_, [this, answer, lost, daemon = &from](StoreResult result) {
            answer(StoreLatency, storeDown_ || daemon->storeCut_ ? lost : std::move(result));
        });
        return;
    }
    later(effect, [this, answer, lose, late, op = request.op_] {
        StoreResult result = store_.apply(op, now_);
        if (!lose) {
            answer(late, std::move(result));
        }
    });
}

void ReplayWorld::request(ReplayDaemon &from, const WorkerRequest &request)
{
    Milliseconds delay = WorkerLatency;
    Milliseconds late = WorkerLatency;
    bool lose = false;
    if (log_) {
        std::cerr << (now_ - start_) / Milliseconds(1) << " " << from.name_ << " calls " << request.worker_.value_
                  << " " << WorkerOps.at(request.op_.index()) << " at epoch " << request.epoch_.value_ << "\n";
    }
    from.startsSent_ += std::holds_alternative<WorkerStart>(request.op_) ? 1 : 0;
    if (const Rule *rule = match("worker", from.name_, request.worker_.value_, WorkerOps.at(request.op_.index()))) {
        if (rule->action_ == "lose-request") {
            later(CallTimeout, [this, name = from.name_, request] {
                deliver(
                    name,
                    WorkerResult{request.id_, request.group_, request.worker_, WorkerStatus::Unknown, {}, false, {}});
            });
            return;
        }
        lose = rule->action_ == "lose-answer";
        delay += rule->action_ == "delay" ? rule->time_ : Milliseconds(0);
        late += rule->action_ == "delay-answer" ? rule->time_ : Milliseconds(0);
    }
    later(delay, [this, name = from.name_, request, lose, late] { reachWorker(name, request, lose, late); });
}

void ReplayWorld::reachWorker(const std::string &daemon, const WorkerRequest &request, bool loseAnswer,
                              Milliseconds late)
{
    ReplayWorker &worker = workers_.at(request.worker_.value_);
    const WorkerResult unknown{request.id_, request.group_, request.worker_, WorkerStatus::Unknown, {}, false, {}};
    if (worker.silent_) {
        later(CallTimeout, [this, daemon, unknown] { deliver(daemon, unknown); });
        return;
    }
    const auto *poll = std::get_if<WorkerPoll>(&request.op_);
    WorkerResult result = worker.worker_.handle(request, now_);
    daemons_.at(daemon)->refusedStarts_ += result.status_ == WorkerStatus::Refused ? 1 : 0;
    if (poll != nullptr && result.status_ == WorkerStatus::Ok && result.tasks_.empty() && poll->wait_.count() > 0) {
        worker.polls_.push_back({request, daemon, now_ + poll->wait_});
        return;
    }
    later(loseAnswer ? CallTimeout : late,
          [this, daemon, answer = loseAnswer ? unknown : std::move(result)] { deliver(daemon, answer); });
}

void ReplayWorld::settlePolls()
{
    for (auto &[name, worker] : workers_) {
        worker.worker_.advance(now_);
        std::vector<ReplayWorker::Poll> due;
        std::erase_if(worker.polls_, [&](const ReplayWorker::Poll &poll) {
            const bool ready = worker.worker_.hasNews() || now_ >= poll.until_ || worker.silent_;
            if (ready) {
                due.push_back(poll);
            }
            return ready;
        });
        for (const ReplayWorker::Poll &poll : due) {
            WorkerResult result{poll.request_.id_,
                                poll.request_.group_,
                                poll.request_.worker_,
                                WorkerStatus::Ok,
                                worker.worker_.highest_,
                                worker.worker_.leaving_,
                                {}};
            if (worker.silent_) {
                result.status_ = WorkerStatus::Unknown;
            } else if (poll.request_.epoch_ < worker.worker_.highest_) {
                result.status_ = WorkerStatus::StaleEpoch;
            } else {
                worker.worker_.collectPoll(std::get<WorkerPoll>(poll.request_.op_), result);
            }
            later(WorkerLatency, [this, daemon = poll.daemon_, result] { deliver(daemon, result); });
        }
    }
}

} // namespace mimosapier::test
