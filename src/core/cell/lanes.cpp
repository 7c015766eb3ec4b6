// Group commit to the store: each lane batches records of jobs, progress and runners in transactions and has at most
// one transaction in flight.
//
// A transaction has the revisions of the leader key and of its lane key as conditions, and it writes the lane key. It
// therefore takes effect at most once, however often it is sent, and not after a later transaction of the lane or after
// a change of leader.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier
{

using namespace detail;

std::string laneKey(std::size_t lane)
{
    return "lane/" + std::to_string(lane);
}

static constexpr std::string_view JobPrefix = "job/";
static constexpr Milliseconds FirstRetry{40}; // doubles up to MaxRetry; the store's calls are billed
static constexpr Milliseconds MaxRetry{600};
static constexpr unsigned MaxDoublings = 4;

static void takeAccepts(Cell &cell, LaneTransaction &transaction)
{
    while (!cell.accepting_.empty() && transaction.call_.writes_.size() < WritesPerTransaction) {
        const Job *job = findJob(cell, cell.accepting_.front());
        cell.accepting_.pop_front();
        if (job != nullptr && !job->stored_) {
            transaction.call_.writes_.push_back({std::string(JobPrefix) + jobText(job->id_), encodeJob(*job), 0});
            transaction.accepted_.push_back(job->id_);
        }
    }
}

static void takeProgress(Cell &cell, LaneTransaction &transaction)
{
    if (cell.runnersDirty_) {
        cell.runnersDirty_ = false;
        transaction.storesRunners_ = true;
        transaction.call_.writes_.push_back({"runners", encodeRunners(cell), 0});
        for (const auto &[id, runner] : cell.runners_) {
            if (runner->listed_ && !isQuiescent(*runner)) {
                transaction.runners_.push_back(id);
            }
        }
    }
    std::deque<StagedJobId> later;
    // A final job needs two entries: a write of its progress and the removal of its record.
    while (!cell.dirty_.empty()
           && transaction.call_.writes_.size() + transaction.call_.removes_.size() + 1 < WritesPerTransaction) {
        Job *job = findJob(cell, cell.dirty_.front());
        cell.dirty_.pop_front();
        if (job == nullptr) {
            continue;
        }
        if (!job->stored_) { // the progress follows the job's own record
            later.push_back(job->id_);
            continue;
        }
        job->dirtyQueued_ = false;
        transaction.call_.writes_.push_back({"progress/" + jobText(job->id_), encodeProgress(*job), 0});
        if (isFinal(*job)) {
            transaction.call_.removes_.push_back(std::string(JobPrefix) + jobText(job->id_));
        }
        transaction.progressed_.emplace_back(job->id_, job->version_);
    }
    while (!cell.cleanups_.empty()
           && transaction.call_.writes_.size() + transaction.call_.removes_.size() < WritesPerTransaction) {
        transaction.call_.removes_.push_back(std::move(cell.cleanups_.back()));
        cell.cleanups_.pop_back();
    }
    cell.dirty_.insert(cell.dirty_.end(), later.begin(), later.end());
}

static void sendTransaction(Cell &cell, std::size_t index, LaneTransaction &transaction, CellTime now,
                            CellActions &actions)
{
    KvCall &call = transaction.call_;
    call.id_ = cell.nextId_++;
    call.purpose_ = KvPurpose::Lane;
    call.lane_ = static_cast<std::uint32_t>(index);
    call.op_ = KvOp::Commit;
    call.conditions_
        = {{std::string(LeaderKey), cell.leaderRevision_}, {laneKey(index), cell.lanes_[index].keyRevision_}};
    transaction.callOpen_ = true;
    ++transaction.tries_;
    if (transaction.tries_ == 1) {
        transaction.firstSentAt_ = now.steady_;
    }
    actions.kv_.push_back(call);
}

// Replies to the clients of a job that is not stored and can no longer be, and removes the job.
static void refuseSubmit(Cell &cell, StagedJobId id, CellActions &actions)
{
    const Job *job = findJob(cell, id);
    if (job == nullptr) {
        return;
    }
    for (const auto &[daemon, call] : job->acceptWaiting_) {
        actions.replies_.push_back({daemon, {call, CellOutcome::Unavailable, {}, 0, StoreRetryAfter}});
    }
    for (const auto &[version, waiting] : job->storeWaiting_) { // cancelled before the job was stored
        actions.replies_.push_back({waiting.first, {waiting.second, CellOutcome::Gone, {}, 0, {}}});
    }
    JsonObject line = logEvent("submit-refused");
    line.text("job", jobText(id)).text("reason", "store-unavailable");
    logTo(actions, line);
    cell.jobs_.erase(id);
}

// Refuses the jobs of a transaction whose attempts have all been rejected: none of them can take effect any more. The
// transaction is retried without these jobs, which detects that the store is back.
static void withdrawAccepts(Cell &cell, LaneTransaction &transaction, CellActions &actions)
{
    for (const StagedJobId id : transaction.accepted_) {
        refuseSubmit(cell, id, actions);
    }
    transaction.accepted_.clear();
    std::erase_if(transaction.call_.writes_, [](const KvWrite &write) { return write.key_.starts_with(JobPrefix); });
}

void detail::flushLanes(Cell &cell, CellTime now, CellActions &actions)
{
    bool trouble = false;
    for (std::size_t i = 0; i < cell.lanes_.size(); ++i) {
        CommitLane &lane = cell.lanes_[i];
        if (lane.open_) {
            trouble = trouble || now.steady_ - lane.open_->firstSentAt_ > StoreTroubleAfter;
            if (!lane.open_->callOpen_ && now.steady_ >= lane.open_->retryAt_) {
                sendTransaction(cell, i, *lane.open_, now, actions);
            }
            continue;
        }
        if (now.steady_ < lane.nextAt_ || cell.superseded_) {
            continue;
        }
        LaneTransaction transaction;
        if (i == AcceptLane) {
            takeAccepts(cell, transaction);
        } else {
            takeProgress(cell, transaction);
        }
        if (transaction.call_.writes_.empty() && transaction.call_.removes_.empty()) {
            continue;
        }
        transaction.identity_ = std::to_string(cell.epoch_.value_) + ":" + std::to_string(++lane.sequence_);
        transaction.call_.writes_.push_back({laneKey(i), transaction.identity_, 0});
        lane.open_ = std::move(transaction);
        sendTransaction(cell, i, *lane.open_, now, actions);
        lane.nextAt_ = now.steady_ + LaneGaps[i];
    }
    if (trouble != cell.storeTrouble_) {
        cell.storeTrouble_ = trouble;
        JsonObject line = logEvent(trouble ? "store-lost" : "store-regained");
        logTo(actions, line, trouble ? LogLevel::Warning : LogLevel::Info);
    }
    if (!cell.storeTrouble_) {
        return;
    }
    for (const StagedJobId id : cell.accepting_) { // these jobs are not part of a transaction
        refuseSubmit(cell, id, actions);
    }
    cell.accepting_.clear();
}

static void acceptStored(Cell &cell, StagedJobId id, CellTime now, CellActions &actions)
{
    Job *job = findJob(cell, id);
    if (job == nullptr) {
        return;
    }
    job->stored_ = true;
    for (const auto &[daemon, call] : job->acceptWaiting_) {
        actions.replies_.push_back({daemon, {call, CellOutcome::Ok, job->shown_, 0, {}}});
    }
    job->acceptWaiting_.clear();
    JsonObject line = logEvent("accepted");
    line.text("job", jobText(id))
        .number("store_ms", std::chrono::duration_cast<Milliseconds>(now.steady_ - job->submittedAt_).count());
    logTo(actions, line);
    materialize(cell, *job, now);
}

static void progressStored(Cell &cell, StagedJobId id, std::uint64_t version, CellActions &actions)
{
    Job *job = findJob(cell, id);
    if (job == nullptr) {
        return;
    }
    job->storedVersion_ = std::max(job->storedVersion_, version);
    if (isFinal(*job) && job->storedVersion_ >= job->version_) {
        job->shown_ = job->state_;
    }
    std::erase_if(job->storeWaiting_, [&](const auto &waiting) {
        if (waiting.first > job->storedVersion_) {
            return false;
        }
        const auto &[daemon, call] = waiting.second;
        actions.replies_.push_back({daemon, {call, CellOutcome::Ok, job->shown_, 0, {}}});
        return true;
    });
}

static void committed(Cell &cell, std::size_t index, std::uint64_t revision, CellTime now, CellActions &actions)
{
    CommitLane &lane = cell.lanes_[index];
    const LaneTransaction transaction = std::move(*lane.open_);
    lane.open_.reset();
    lane.keyRevision_ = revision;
    for (const StagedJobId id : transaction.accepted_) {
        acceptStored(cell, id, now, actions);
    }
    for (const auto &[id, version] : transaction.progressed_) {
        progressStored(cell, id, version, actions);
    }
    if (transaction.storesRunners_) {
        for (const RunnerId &id : transaction.runners_) {
            if (Runner *runner = findRunner(cell, id)) {
                runner->persisted_ = true;
            }
        }
        cell.dirtyPlacement_ = true;
    }
    if (index == ProgressLane) {
        for (const auto &[id, runner] : cell.runners_) {
            acknowledgeEnds(cell, *runner);
        }
    }
}

// A condition does not hold: an earlier attempt has taken effect, or there is a later leader.
static void conflicted(Cell &cell, std::size_t index, const KvReply &reply, CellTime now, CellActions &actions)
{
    LaneTransaction &transaction = *cell.lanes_[index].open_;
    for (const KvItem &item : reply.items_) {
        if (item.key_ == laneKey(index) && item.value_ == transaction.identity_) {
            committed(cell, index, item.revision_, now, actions);
            return;
        }
    }
    const auto leader = std::find_if(reply.items_.begin(), reply.items_.end(),
                                     [](const KvItem &item) { return item.key_ == LeaderKey; });
    const auto lane = std::find_if(reply.items_.begin(), reply.items_.end(),
                                   [index](const KvItem &item) { return item.key_ == laneKey(index); });
    const bool sameLane = lane != reply.items_.end() && lane->revision_ == cell.lanes_[index].keyRevision_;
    if (sameLane && (leader == reply.items_.end() || leader->revision_ == 0 || leader->removed_)) {
        // The leader key has expired and no other leader has been elected since; renewLeadership() sets the new
        // revision.
        transaction.retryAt_ = now.steady_ + MaxRetry;
        return;
    }
    if (sameLane && leader->revision_ == cell.leaderRevision_) {
        transaction.retryAt_ = now.steady_ + FirstRetry;
        return;
    }
    cell.superseded_ = true;
    JsonObject line = logEvent("superseded");
    line.text("by", "store").number("epoch", static_cast<std::int64_t>(cell.epoch_.value_));
    logTo(actions, line, LogLevel::Warning);
}

void handleLaneReply(Cell &cell, const KvReply &reply, CellTime now, CellActions &actions)
{
    if (reply.lane_ >= cell.lanes_.size()) {
        return;
    }
    CommitLane &lane = cell.lanes_[reply.lane_];
    if (!lane.open_ || lane.open_->call_.id_ != reply.id_) {
        return; // reply to an earlier attempt
    }
    LaneTransaction &transaction = *lane.open_;
    transaction.callOpen_ = false;
    switch (reply.status_) {
    case KvStatus::Ok:
        committed(cell, reply.lane_, reply.revision_, now, actions);
        break;
    case KvStatus::Conflict:
        conflicted(cell, reply.lane_, reply, now, actions);
        break;
    default: {
        transaction.uncertain_ = transaction.uncertain_ || reply.status_ != KvStatus::NotDone;
        if (!transaction.uncertain_ && now.steady_ - transaction.firstSentAt_ > StoreTroubleAfter) {
            withdrawAccepts(cell, transaction, actions);
        }
        const Milliseconds pause
            = std::min(MaxRetry, FirstRetry * (1U << std::min(transaction.tries_ - 1, MaxDoublings)));
        transaction.retryAt_ = now.steady_ + pause;
        JsonObject line = logEvent("store-retry");
        line.number("lane", reply.lane_).number("try", transaction.tries_).number("status", reply.httpStatus_);
        logTo(actions, line, LogLevel::Warning);
        break;
    }
    }
}

void renewLeadership(Cell &cell, std::uint64_t leaderRevision)
{
    cell.leaderRevision_ = leaderRevision;
    for (CommitLane &lane : cell.lanes_) {
        if (lane.open_ && !lane.open_->callOpen_) {
            lane.open_->retryAt_ = TimePoint{};
        }
    }
}

bool acceptsFlushed(const Cell &cell)
{
    return cell.accepting_.empty() && !cell.lanes_[AcceptLane].open_;
}

bool isFlushed(const Cell &cell)
{
    return cell.accepting_.empty() && cell.dirty_.empty()
        && std::none_of(cell.lanes_.begin(), cell.lanes_.end(),
                        [](const CommitLane &lane) { return lane.open_.has_value(); });
}

} // namespace mimosapier
