// Reads the snapshot and the log after the partition was gained, and applies records to the state. Reads only; the
// fence entry that ends the recovery is written in journal.cpp.
#include "core/home/home_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::uint64_t ReadWindow = 16; // log reads in flight
constexpr Milliseconds FirstBackoff{100};
constexpr Milliseconds MaxBackoff{2000};

static std::string partKey(const SnapshotHead &head, std::uint64_t part)
{
    return head.prefix_ + std::to_string(part);
}

void startRecovery(Home &home, Context &context)
{
    home.phase_ = HomePhase::ReadHead;
    home.ops_.clear();
    home.jobs_.clear();
    home.timers_.clear();
    home.finishedOrder_.clear();
    home.unfinishedJobsByGroup_.clear();
    home.retainedOutcomes_.clear();
    home.retainedOrder_.clear();
    home.journal_ = {};
    home.snapshot_ = {};
    home.recovery_ = {};
    sendHomeOp(home, {HomeOpKind::ReadHead, 0, {}, {}, {}}, StoreGet{headKey(home)}, context);
}

static void retryReadLater(Home &home, Context &context)
{
    Recovery &recovery = home.recovery_;
    recovery.retryAt_ = context.now_ + nextBackoff(recovery.backoff_, FirstBackoff, MaxBackoff, context);
}

// Requests all parts or sequences in Recovery::pendingReads_.
static void sendReads(Home &home, Context &context)
{
    Recovery &recovery = home.recovery_;
    const bool parts = home.phase_ == HomePhase::ReadParts;
    for (const std::uint64_t number : recovery.pendingReads_) {
        const HomeOpKind kind = parts ? HomeOpKind::ReadPart : HomeOpKind::ReadEntry;
        sendHomeOp(home, {kind, number, {}, {}, {}},
                   StoreGet{parts ? partKey(home.snapshot_.head_, number) : logKey(home, number)}, context);
    }
    recovery.pendingReads_.clear();
}

static void startReadingLog(Home &home, Context &context)
{
    home.phase_ = HomePhase::ReadLog;
    Recovery &recovery = home.recovery_;
    home.journal_.nextSequence_ = home.snapshot_.head_.nextSequence_;
    recovery.readEnd_ = home.journal_.nextSequence_ + ReadWindow;
    for (std::uint64_t number = home.journal_.nextSequence_; number < recovery.readEnd_; ++number) {
        recovery.pendingReads_.insert(number);
    }
    sendReads(home, context);
}

static void onSnapshotHead(Home &home, const StoreResult &result, Context &context)
{
    Snapshot &snapshot = home.snapshot_;
    if (result.entries_.empty()) {
        startReadingLog(home, context);
        return;
    }
    snapshot.revision_ = result.entries_.front().revision_;
    if (!unpackFromString(result.entries_.front().value_, snapshot.head_) || snapshot.head_.epoch_ > home.epoch_) {
        becomeFenced(home, context);
        return;
    }
    for (const std::uint64_t fence : snapshot.head_.fences_) {
        home.journal_.fences_[fence] = {};
    }
    snapshot.partRevisions_.assign(snapshot.head_.partCount_, {});
    if (snapshot.head_.partCount_ == 0) {
        startReadingLog(home, context);
        return;
    }
    home.phase_ = HomePhase::ReadParts;
    for (std::uint64_t part = 0; part < snapshot.head_.partCount_; ++part) {
        home.recovery_.pendingReads_.insert(part);
    }
    sendReads(home, context);
}

static void onPart(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    JournalEntry entry;
    if (result.entries_.empty()) {
        startRecovery(home, context); // a newer snapshot has replaced this one and deleted its parts
        return;
    }
    if (!unpackFromString(result.entries_.front().value_, entry)) {
        becomeFenced(home, context);
        return;
    }
    home.snapshot_.partRevisions_.at(op.sequenceOrPart_) = result.entries_.front().revision_;
    for (const JournalRecord &record : entry.records_) {
        if (record.kind_ == RecordKind::RetainedOutcome && !record.results_.empty()) {
            const TaskResult &jobResult = record.results_.front();
            retainOutcome(home, record.job_, jobResult.outcome_, jobResult.error_, context.now_);
        } else {
            applyRecord(home, record);
        }
    }
    if (++home.recovery_.partsRead_ == home.snapshot_.head_.partCount_) {
        startReadingLog(home, context);
    }
}

// Applies entries in order; the first absent sequence is the end of the log, where the fence is written.
static void onEntry(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    Recovery &recovery = home.recovery_;
    if (result.entries_.empty()) {
        recovery.absentSequences_.insert(op.sequenceOrPart_);
    } else {
        recovery.readAhead_.emplace(op.sequenceOrPart_, result.entries_.front());
    }
    for (auto next = recovery.readAhead_.find(home.journal_.nextSequence_); next != recovery.readAhead_.end();
         next = recovery.readAhead_.find(home.journal_.nextSequence_)) {
        JournalEntry entry;
        if (!unpackFromString(next->second.value_, entry) || entry.epoch_ > home.epoch_) {
            becomeFenced(home, context);
            return;
        }
        applyEntry(home, next->first, entry, next->second.revision_);
        recovery.readAhead_.erase(next);
        recovery.pendingReads_.insert(recovery.readEnd_++);
    }
    if (recovery.absentSequences_.contains(home.journal_.nextSequence_)) {
        recovery = {};
        writeFence(home, context);
        return;
    }
    sendReads(home, context);
}

void onRecoveryResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    if (result.status_ == StoreStatus::Unavailable || result.status_ == StoreStatus::Unknown) {
        if (op.kind_ != HomeOpKind::ReadHead) {
            home.recovery_.pendingReads_.insert(op.sequenceOrPart_);
        }
        retryReadLater(home, context);
        return;
    }
    home.recovery_.backoff_ = Milliseconds(0);
    if (op.kind_ == HomeOpKind::ReadHead && home.phase_ == HomePhase::ReadHead) {
        onSnapshotHead(home, result, context);
    } else if (op.kind_ == HomeOpKind::ReadPart && home.phase_ == HomePhase::ReadParts) {
        onPart(home, op, result, context);
    } else if (op.kind_ == HomeOpKind::ReadEntry && home.phase_ == HomePhase::ReadLog) {
        onEntry(home, op, result, context);
    }
}

void tickRecovery(Home &home, Context &context)
{
    Recovery &recovery = home.recovery_;
    if (context.now_ < recovery.retryAt_) {
        return;
    }
    if (home.phase_ == HomePhase::ReadHead && home.ops_.empty()) {
        sendHomeOp(home, {HomeOpKind::ReadHead, 0, {}, {}, {}}, StoreGet{headKey(home)}, context);
    } else if (home.phase_ == HomePhase::ReadParts || home.phase_ == HomePhase::ReadLog) {
        sendReads(home, context);
    }
}

void applyEntry(Home &home, std::uint64_t sequence, const JournalEntry &entry, Revision revision)
{
    Journal &journal = home.journal_;
    (entry.isFence_ ? journal.fences_ : journal.entries_)[sequence] = revision;
    journal.nextSequence_ = sequence + 1;
    for (const JournalRecord &record : entry.records_) {
        applyRecord(home, record);
    }
}

// While active, assignTasks has set the assignment already, and the record only makes it durable. In recovery the
// previous holder may have offered the tasks.
static void applyAssigned(Home &home, HomeJob &job, const TaskRange &range)
{
    const std::size_t end = std::min<std::size_t>(job.tasks_.size(), std::size_t{range.first_} + range.count_);
    for (std::size_t index = range.first_; index < end; ++index) {
        HomeTask &task = job.tasks_[index];
        if (home.phase_ != HomePhase::Active) {
            task.group_ = range.group_;
            task.mayHaveRun_ = true;
            task.call_ = {};
            task.offerSent_ = false;
            home.unfinishedJobsByGroup_[range.group_].insert(job.spec_.id_);
        }
        task.assignmentDurable_ = task.group_ == range.group_;
    }
}

static void applyFinished(Home &home, HomeJob &job, const TaskResult &result)
{
    if (result.index_ >= job.tasks_.size()) {
        return;
    }
    HomeTask &task = job.tasks_[result.index_];
    if (task.outcomeDurable_) {
        return;
    }
    task.result_ = result;
    task.outcomeDurable_ = true;
    --job.unfinishedTasks_;
    home.finishedBytes_ += result.result_.size();
}

void applyRecord(Home &home, const JournalRecord &record)
{
    auto found = home.jobs_.find(record.job_);
    if (found == home.jobs_.end()) {
        if (record.kind_ != RecordKind::Accepted || record.spec_.empty()) {
            return; // the job has expired and is not in the snapshot any more
        }
        addJob(home, record.spec_.front());
        found = home.jobs_.find(record.job_);
    }
    HomeJob &job = found->second;
    job.acceptAppended_ = true;
    job.acceptDurable_ = job.acceptDurable_ || record.kind_ == RecordKind::Accepted;
    for (const TaskRange &range : record.ranges_) {
        applyAssigned(home, job, range);
    }
    for (const TaskResult &result : record.results_) {
        applyFinished(home, job, result);
    }
    if (record.kind_ == RecordKind::Cancelled) {
        job.cancelAppended_ = true;
        job.cancelDurable_ = true;
    }
}

void becomeFenced(Home &home, Context &context)
{
    if (home.phase_ == HomePhase::Fenced) {
        return;
    }
    home.phase_ = HomePhase::Fenced;
    logLine(context, LogLevel::Warning,
            "[home] " + home.partition_.value_ + " has a later holder; stopping work and dropping its state");
    answerAllNotHolder(home, context);
    home.ops_.clear();
    home.jobs_.clear();
    home.timers_.clear();
    home.finishedOrder_.clear();
    home.unfinishedJobsByGroup_.clear();
    home.pendingAcks_.clear();
    home.pendingStops_.clear();
    home.journal_ = {};
    home.snapshot_ = {};
}

} // namespace mimosapier
