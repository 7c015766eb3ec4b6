// Group commit to the store: each lane batches records of jobs, progress and runners in transactions and has at most
// one transaction in flight.
//
// A transaction has the revisions of the leader key and of its lane key as conditions, and writes the lane key. A
// transaction therefore takes effect at most once, however often it is sent, and not after a later transaction of the
// lane or after a change of leader.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier
{

using namespace detail;

std::string laneKey(std::size_t lane)
{
    return "lane/" + std::to_string(lane);
}

std::string detail::jobKey(StagedJobId id)
{
    return std::string(JobKeyPrefix) + jobText(id);
}

std::string detail::progressKey(StagedJobId id)
{
    return std::string(ProgressKeyPrefix) + jobText(id);
}

static constexpr Milliseconds FirstRetryDelay{40}; // doubles up to MaxRetryDelay; the store's calls are billed
static constexpr Milliseconds MaxRetryDelay{600};
static constexpr unsigned MaxDoublings = 4;

static void writeProgress(const Job &job, LaneTransaction &transaction)
{
    transaction.call_.writes_.push_back({progressKey(job.id_), encodeProgress(job), 0});
    transaction.progressVersions_.emplace_back(job.id_, job.version_);
}

// Collects the records of new jobs. The record of a job that has ended meanwhile is stored together with the final
// state, so that no leader takes the job for an accepted one.
static void collectJobRecords(Cell &cell, LaneTransaction &transaction)
{
    while (!cell.acceptQueue_.empty()) {
        const Job *job = findJob(cell, cell.acceptQueue_.front());
        const std::size_t entries = job != nullptr && isFinal(*job) ? 2 : 1;
        if (transaction.call_.writes_.size() + entries > WritesPerTransaction) {
            break;
        }
        cell.acceptQueue_.pop_front();
        if (job == nullptr || job->stored_) {
            continue;
        }
        transaction.call_.writes_.push_back({jobKey(job->id_), encodeJob(*job), 0});
        transaction.acceptedJobs_.push_back(job->id_);
        if (isFinal(*job)) {
            writeProgress(*job, transaction);
        }
    }
}

static void collectProgress(Cell &cell, CellTime now, LaneTransaction &transaction)
{
    collectPastUse(cell, now, transaction);
    if (cell.runnersDirty_) {
        cell.runnersDirty_ = false;
        transaction.storesRunners_ = true;
        transaction.call_.writes_.push_back({"runners", encodeRunners(cell), 0});
        for (const auto &[id, runner] : cell.runners_) {
            if (runner->inDiscovery_ && !isQuiescent(*runner)) {
                transaction.runnersInUse_.push_back(id);
            }
        }
    }
    std::deque<StagedJobId> later;
    // A final job needs two entries: a write of its progress and the removal of its record.
    while (!cell.dirtyJobs_.empty()
           && transaction.call_.writes_.size() + transaction.call_.removes_.size() + 1 < WritesPerTransaction) {
        Job *job = findJob(cell, cell.dirtyJobs_.front());
        cell.dirtyJobs_.pop_front();
        if (job == nullptr || !job->inDirtyJobs_) {
            continue;
        }
        if (!job->stored_) { // progress is written only after the job's own record is stored
            later.push_back(job->id_);
            continue;
        }
        job->inDirtyJobs_ = false;
        job->storedNext_ = false;
        writeProgress(*job, transaction);
        if (isFinal(*job)) {
            transaction.call_.removes_.push_back(jobKey(job->id_));
        }
    }
    while (!cell.keysToRemove_.empty()
           && transaction.call_.writes_.size() + transaction.call_.removes_.size() < WritesPerTransaction) {
        transaction.call_.removes_.push_back(std::move(cell.keysToRemove_.back()));
        cell.keysToRemove_.pop_back();
    }
    cell.dirtyJobs_.insert(cell.dirtyJobs_.end(), later.begin(), later.end());
}

static void sendTransaction(Cell &cell, std::size_t index, LaneTransaction &transaction, CellTime now,
                            CellActions &actions)
{
    KvCall &call = transaction.call_;
    call.id_ = cell.nextCallId_++;
    call.purpose_ = KvPurpose::Lane;
    call.lane_ = static_cast<std::uint32_t>(index);
    call.op_ = KvOp::Commit;
    call.conditions_
        = {{std::string(LeaderKey), cell.leaderKeyRevision_}, {laneKey(index), cell.lanes_[index].keyRevision_}};
    transaction.callInFlight_ = true;
    ++transaction.attempts_;
    if (transaction.attempts_ == 1) {
        transaction.firstSentAt_ = now.steady_;
    }
    actions.kv_.push_back(call);
}

static void refuseSubmit(Cell &cell, const Job &job, CellActions &actions)
{
    const StagedJobId id = job.id_;
    for (const auto &[daemon, call] : job.waitingSubmits_) {
        actions.replies_.push_back({daemon, {call, CellOutcome::Unavailable, {}, 0, StoreRetryAfter}});
    }
    JsonObject line = logEvent("submit-refused");
    line.text("job", jobText(id)).text("reason", "store-unavailable");
    addLogLine(actions, line);
    cell.jobs_.erase(id);
}

// Refuses jobs that are not stored and will not be: replies to their clients and removes the jobs. Returns those that
// have been cancelled meanwhile: their final state is stored once the store is available, so that a late repetition of
// the submit finds it.
static std::deque<StagedJobId> refuseSubmits(Cell &cell, std::span<const StagedJobId> jobs, CellActions &actions)
{
    std::deque<StagedJobId> cancelled;
    for (const StagedJobId id : jobs) {
        const Job *job = findJob(cell, id);
        if (job != nullptr && isFinal(*job)) {
            cancelled.push_back(id);
        } else if (job != nullptr) {
            refuseSubmit(cell, *job, actions);
        }
    }
    return cancelled;
}

// Refuses the jobs of a transaction whose attempts were all rejected by the store: no attempt can take effect any more.
// The transaction is retried without these jobs; its success shows that the store is available again.
static void withdrawJobs(Cell &cell, LaneTransaction &transaction, CellActions &actions)
{
    if (transaction.acceptedJobs_.empty()) {
        return;
    }
    std::erase_if(transaction.call_.writes_, [](const KvWrite &write) { return write.key_ != laneKey(AcceptLane); });
    transaction.progressVersions_.clear();
    const std::deque<StagedJobId> cancelled = refuseSubmits(cell, transaction.acceptedJobs_, actions);
    cell.acceptQueue_.insert(cell.acceptQueue_.end(), cancelled.begin(), cancelled.end());
    transaction.acceptedJobs_.clear();
}

void detail::flushLanes(Cell &cell, CellTime now, CellActions &actions)
{
    bool unavailable = false;
    for (std::size_t i = 0; i < cell.lanes_.size(); ++i) {
        CommitLane &lane = cell.lanes_[i];
        if (lane.inFlight_) {
            unavailable = unavailable || now.steady_ - lane.inFlight_->firstSentAt_ > StoreUnavailableAfter;
            if (!lane.inFlight_->callInFlight_ && now.steady_ >= lane.inFlight_->retryAt_) {
                sendTransaction(cell, i, *lane.inFlight_, now, actions);
            }
            continue;
        }
        if (now.steady_ < lane.nextAt_ || cell.superseded_) {
            continue;
        }
        LaneTransaction transaction;
        if (i == AcceptLane) {
            collectJobRecords(cell, transaction);
        } else {
            collectProgress(cell, now, transaction);
        }
        if (transaction.call_.writes_.empty() && transaction.call_.removes_.empty()) {
            continue;
        }
        transaction.identity_ = std::to_string(cell.epoch_.value_) + ":" + std::to_string(++lane.sequence_);
        transaction.call_.writes_.push_back({laneKey(i), transaction.identity_, 0});
        lane.inFlight_ = std::move(transaction);
        sendTransaction(cell, i, *lane.inFlight_, now, actions);
        lane.nextAt_ = now.steady_ + LaneIntervals[i];
    }
    if (unavailable != cell.storeUnavailable_) {
        cell.storeUnavailable_ = unavailable;
        JsonObject line = logEvent(unavailable ? "store-lost" : "store-regained");
        addLogLine(actions, line, unavailable ? LogLevel::Warning : LogLevel::Info);
    }
    if (!cell.storeUnavailable_) {
        return;
    }
    // These jobs are not part of a transaction.
    const std::vector<StagedJobId> waiting(cell.acceptQueue_.begin(), cell.acceptQueue_.end());
    cell.acceptQueue_ = refuseSubmits(cell, waiting, actions);
}

static void handleJobStored(Cell &cell, StagedJobId id, CellTime now, CellActions &actions)
{
    Job *job = findJob(cell, id);
    if (job == nullptr) {
        return;
    }
    job->stored_ = true;
    for (const auto &[daemon, call] : job->waitingSubmits_) {
        actions.replies_.push_back({daemon, {call, CellOutcome::Ok, job->reportedState_, 0, {}}});
    }
    job->waitingSubmits_.clear();
    JsonObject line = logEvent("accepted");
    line.text("job", jobText(id))
        .number("store_ms", std::chrono::duration_cast<Milliseconds>(now.steady_ - job->submittedAt_).count());
    addLogLine(actions, line);
    createDueOccurrences(cell, *job, now);
}

static void handleProgressStored(Cell &cell, StagedJobId id, std::uint64_t version, CellActions &actions)
{
    Job *job = findJob(cell, id);
    if (job == nullptr) {
        return;
    }
    job->storedVersion_ = std::max(job->storedVersion_, version);
    if (isFinal(*job) && job->storedVersion_ >= job->version_) {
        job->reportedState_ = job->state_;
    }
    std::erase_if(job->waitingCancels_, [&](const auto &waiting) {
        if (waiting.first > job->storedVersion_) {
            return false;
        }
        const auto &[daemon, call] = waiting.second;
        actions.replies_.push_back({daemon, {call, CellOutcome::Ok, job->reportedState_, 0, {}}});
        return true;
    });
}

static void handleCommit(Cell &cell, std::size_t index, std::uint64_t revision, CellTime now, CellActions &actions)
{
    CommitLane &lane = cell.lanes_[index];
    const LaneTransaction transaction = std::move(*lane.inFlight_);
    lane.inFlight_.reset();
    lane.keyRevision_ = revision;
    for (const StagedJobId id : transaction.acceptedJobs_) {
        handleJobStored(cell, id, now, actions);
    }
    for (const auto &[id, version] : transaction.progressVersions_) {
        handleProgressStored(cell, id, version, actions);
    }
    if (transaction.storesRunners_) {
        for (const RunnerId &id : transaction.runnersInUse_) {
            if (Runner *runner = findRunner(cell, id)) {
                runner->storedAsInUse_ = true;
            }
        }
        cell.placementDue_ = true;
    }
    if (index == ProgressLane) {
        for (const auto &[id, runner] : cell.runners_) {
            acknowledgeEnds(cell, *runner);
        }
    }
    confirmLeadership(cell, transaction.firstSentAt_, now, actions);
}

// A condition does not hold: an earlier attempt has taken effect, the leader key has expired, or there is a later
// leader.
static void handleConflict(Cell &cell, std::size_t index, const KvReply &reply, CellTime now, CellActions &actions)
{
    LaneTransaction &transaction = *cell.lanes_[index].inFlight_;
    for (const KvItem &item : reply.items_) {
        if (item.key_ == laneKey(index) && item.value_ == transaction.identity_) {
            handleCommit(cell, index, item.revision_, now, actions);
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
        transaction.retryAt_ = now.steady_ + MaxRetryDelay;
        return;
    }
    if (sameLane && leader->revision_ == cell.leaderKeyRevision_) {
        transaction.retryAt_ = now.steady_ + FirstRetryDelay;
        return;
    }
    markSuperseded(cell, "store", actions);
}

void handleLaneReply(Cell &cell, const KvReply &reply, CellTime now, CellActions &actions)
{
    if (reply.lane_ >= cell.lanes_.size()) {
        return;
    }
    CommitLane &lane = cell.lanes_[reply.lane_];
    if (!lane.inFlight_ || lane.inFlight_->call_.id_ != reply.id_) {
        return; // reply to an earlier attempt
    }
    LaneTransaction &transaction = *lane.inFlight_;
    transaction.callInFlight_ = false;
    switch (reply.status_) {
    case KvStatus::Ok:
        handleCommit(cell, reply.lane_, reply.revision_, now, actions);
        break;
    case KvStatus::Conflict:
        handleConflict(cell, reply.lane_, reply, now, actions);
        break;
    default: {
        transaction.mayHaveCommitted_ = transaction.mayHaveCommitted_ || reply.status_ != KvStatus::NotDone;
        if (!transaction.mayHaveCommitted_ && now.steady_ - transaction.firstSentAt_ > StoreUnavailableAfter) {
            withdrawJobs(cell, transaction, actions);
        }
        const Milliseconds pause
            = std::min(MaxRetryDelay, FirstRetryDelay * (1U << std::min(transaction.attempts_ - 1, MaxDoublings)));
        transaction.retryAt_ = now.steady_ + pause;
        JsonObject line = logEvent("store-retry");
        line.number("lane", reply.lane_).number("try", transaction.attempts_).number("status", reply.httpStatus_);
        addLogLine(actions, line, LogLevel::Warning);
        break;
    }
    }
}

void renewLeadership(Cell &cell, std::uint64_t leaderKeyRevision)
{
    cell.leaderKeyRevision_ = leaderKeyRevision;
    for (CommitLane &lane : cell.lanes_) {
        if (lane.inFlight_ && !lane.inFlight_->callInFlight_) {
            lane.inFlight_->retryAt_ = TimePoint{};
        }
    }
}

std::int64_t countUnstoredJobs(const Cell &cell)
{
    const auto &transaction = cell.lanes_[ProgressLane].inFlight_;
    const std::size_t inFlight = transaction ? transaction->progressVersions_.size() : 0;
    return static_cast<std::int64_t>(cell.dirtyJobs_.size() + inFlight);
}

std::int64_t countUnstoredEnds(const Cell &cell)
{
    std::int64_t ends = 0;
    for (const auto &[id, runner] : cell.runners_) {
        ends += static_cast<std::int64_t>(runner->unstoredEnds_.size());
    }
    return ends;
}

bool isAcceptLaneFlushed(const Cell &cell)
{
    return cell.acceptQueue_.empty() && !cell.lanes_[AcceptLane].inFlight_;
}

bool isFlushed(const Cell &cell)
{
    return cell.acceptQueue_.empty() && cell.dirtyJobs_.empty() && !cell.runnersDirty_ && cell.keysToRemove_.empty()
        && std::none_of(cell.lanes_.begin(), cell.lanes_.end(),
                        [](const CommitLane &lane) { return lane.inFlight_.has_value(); });
}

} // namespace mimosapier
