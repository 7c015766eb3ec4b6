// Calls of the nodes to the store and to the workers, with the faults that the trace states.
#include "replay/replay_world.h"

#include <array>
#include <iostream>

namespace mimosapier::test
{

static constexpr Milliseconds StoreLatency{2};
static constexpr Milliseconds WorkerLatency{1};
static constexpr Milliseconds CallTimeout{1000}; // until the result of a call without an answer is Unknown
static constexpr std::array<const char *, 8> StoreOpNames{"get",   "list",  "cas",    "delete",
                                                          "grant", "renew", "revoke", "watch"};
static constexpr std::array<const char *, 4> WorkerOpNames{"hold", "start", "poll", "stop"};

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
    if (storeDown_ || from.storeUnreachable_) {
        StoreResult down = lost;
        down.status_ = storeRefuses_ ? StoreStatus::Unavailable : StoreStatus::Unknown;
        answer(Milliseconds(20), down);
        return;
    }
    Milliseconds effectDelay = StoreLatency;
    Milliseconds answerDelay = StoreLatency;
    bool answerLost = false;
    if (const FaultRule *rule = match("store", from.name_, keyOf(request.op_), StoreOpNames.at(request.op_.index()))) {
        if (rule->action_ == "refuse") {
            StoreResult refused;
            refused.status_ = StoreStatus::Unavailable;
            answer(StoreLatency, refused);
            return;
        }
        answerLost = rule->action_ != "delay";
        if (rule->action_ == "lose-request") {
            answer(CallTimeout, lost);
            return;
        }
        effectDelay += rule->action_ == "apply-late" ? rule->time_ : Milliseconds(0);
        answerDelay += rule->action_ == "delay" ? rule->time_ : Milliseconds(0);
    }
    if (answerLost) {
        answer(CallTimeout, lost);
    }
    if (const auto *watch = std::get_if<StoreWatch>(&request.op_)) {
        store_.watch(*watch, now_, [this, answer, lost, daemon = &from](StoreResult result) {
            answer(StoreLatency, storeDown_ || daemon->storeUnreachable_ ? lost : std::move(result));
        });
        return;
    }
    later(effectDelay, [this, answer, answerLost, answerDelay, op = request.op_] {
        StoreResult result = store_.apply(op, now_);
        if (!answerLost) {
            answer(answerDelay, std::move(result));
        }
    });
}

void ReplayWorld::request(ReplayDaemon &from, const WorkerRequest &request)
{
    Milliseconds delay = WorkerLatency;
    Milliseconds answerDelay = WorkerLatency;
    bool answerLost = false;
    if (logging_) {
        std::cerr << (now_ - start_) / Milliseconds(1) << " " << from.name_ << " calls " << request.worker_.value_
                  << " " << WorkerOpNames.at(request.op_.index()) << " at epoch " << request.epoch_.value_ << "\n";
    }
    from.startsSent_ += std::holds_alternative<WorkerStart>(request.op_) ? 1 : 0;
    if (const FaultRule *rule
        = match("worker", from.name_, request.worker_.value_, WorkerOpNames.at(request.op_.index()))) {
        if (rule->action_ == "lose-request") {
            later(CallTimeout, [this, name = from.name_, request] {
                deliver(
                    name,
                    WorkerResult{request.id_, request.group_, request.worker_, WorkerStatus::Unknown, {}, false, {}});
            });
            return;
        }
        answerLost = rule->action_ == "lose-answer";
        delay += rule->action_ == "delay" ? rule->time_ : Milliseconds(0);
        answerDelay += rule->action_ == "delay-answer" ? rule->time_ : Milliseconds(0);
    }
    later(delay, [this, name = from.name_, request, answerLost, answerDelay] {
        callWorker(name, request, answerLost, answerDelay);
    });
}

void ReplayWorld::callWorker(const std::string &daemon, const WorkerRequest &request, bool answerLost,
                             Milliseconds answerDelay)
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
    later(answerLost ? CallTimeout : answerDelay,
          [this, daemon, answer = answerLost ? unknown : std::move(result)] { deliver(daemon, answer); });
}

void ReplayWorld::answerDuePolls()
{
    for (auto &[name, worker] : workers_) {
        worker.worker_.advance(now_);
        std::vector<ReplayWorker::Poll> due;
        std::erase_if(worker.polls_, [&](const ReplayWorker::Poll &poll) {
            const bool ready = worker.worker_.hasPendingReports() || now_ >= poll.waitUntil_ || worker.silent_;
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
                                worker.worker_.highestEpoch_,
                                worker.worker_.leaving_,
                                {}};
            if (worker.silent_) {
                result.status_ = WorkerStatus::Unknown;
            } else if (poll.request_.epoch_ < worker.worker_.highestEpoch_) {
                result.status_ = WorkerStatus::StaleEpoch;
            } else {
                worker.worker_.collectPoll(std::get<WorkerPoll>(poll.request_.op_), result);
            }
            later(WorkerLatency, [this, daemon = poll.daemon_, result] { deliver(daemon, result); });
        }
    }
}

} // namespace mimosapier::test
