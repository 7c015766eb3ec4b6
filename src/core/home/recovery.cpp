// Reading the journal after the partition was gained, and the effect of records on the state.
#include "core/home/home_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::uint64_t ReadWindow = 16; // reads of the log under way at once
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
    home.finished_.clear();
    home.openByGroup_.clear();
    home.ended_.clear();
    home.endedOrder_.clear();
    home.journal_ = {};
    home.snapshot_ = {};
    home.recovery_ = {};
    sendHomeOp(home, {HomeOpKind::ReadHead, 0, {}, {}, {}}, StoreGet{headKey(home)}, context);
}

static void restartLater(Home &home, Context &context)
{
    Recovery &recovery = home.recovery_;
    recovery.retryAt_ = context.now_ + nextBackoff(recovery.backoff_, FirstBackoff, MaxBackoff, context);
}

static void sendReads(Home &home, Context &context)
{
    Recovery &recovery = home.recovery_;
    const bool parts = home.phase_ == HomePhase::ReadParts;
    for (const std::uint64_t number : recovery.toRead_) {
        const HomeOpKind kind = parts ? HomeOpKind::ReadPart : HomeOpKind::ReadEntry;
        sendHomeOp(home, {kind, number, {}, {}, {}},
                   StoreGet{parts ? partKey(home.snapshot_.head_, number) : logKey(home, number)}, context);
    }
    recovery.toRead_.clear();
}

static void startReadingLog(Home &home, Context &context)
{
    home.phase_ = HomePhase::ReadLog;
    Recovery &recovery = home.recovery_;
    home.journal_.next_ = home.snapshot_.head_.next_;
    recovery.readEnd_ = home.journal_.next_ + ReadWindow;
    for (std::uint64_t number = home.journal_.next_; number < recovery.readEnd_; ++number) {
        recovery.toRead_.insert(number);
    }
    sendReads(home, context);
}

static void onHead(Home &home, const StoreResult &result, Context &context)
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
    for (const std::uint64_t opening : snapshot.head_.openings_) {
        home.journal_.openings_[opening] = {};
    }
    snapshot.partRevisions_.assign(snapshot.head_.parts_, {});
    if (snapshot.head_.parts_ == 0) {
        startReadingLog(home, context);
        return;
    }
    home.phase_ = HomePhase::ReadParts;
    for (std::uint64_t part = 0; part < snapshot.head_.parts_; ++part) {
        home.recovery_.toRead_.insert(part);
    }
    sendReads(home, context);
}

static void onPart(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    JournalEntry entry;
    if (result.entries_.empty()) {
        startRecovery(home, context); // a newer snapshot has replaced this one
        return;
    }
    if (!unpackFromString(result.entries_.front().value_, entry)) {
        becomeFenced(home, context);
        return;
    }
    home.snapshot_.partRevisions_.at(op.number_) = result.entries_.front().revision_;
    for (const JournalRecord &record : entry.records_) {
        if (record.kind_ == RecordKind::Ended && !record.results_.empty()) {
            const TaskResult &whole = record.results_.front();
            rememberEnded(home, record.job_, whole.outcome_, whole.error_, context.now_);
        } else {
            applyRecord(home, record);
        }
    }
    if (++home.recovery_.partsRead_ == home.snapshot_.head_.parts_) {
        startReadingLog(home, context);
    }
}

static void onEntry(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    Recovery &recovery = home.recovery_;
    if (result.entries_.empty()) {
        recovery.absent_.insert(op.number_);
    } else {
        recovery.ahead_.emplace(op.number_, result.entries_.front());
    }
    for (auto next = recovery.ahead_.find(home.journal_.next_); next != recovery.ahead_.end();
         next = recovery.ahead_.find(home.journal_.next_)) {
        JournalEntry entry;
        if (!unpackFromString(next->second.value_, entry) || entry.epoch_ > home.epoch_) {
            becomeFenced(home, context);
            return;
        }
        applyEntry(home, next->first, entry, next->second.revision_);
        recovery.ahead_.erase(next);
        recovery.toRead_.insert(recovery.readEnd_++);
    }
    if (recovery.absent_.contains(home.journal_.next_)) {
        recovery = {};
        startOpening(home, context);
        return;
    }
    sendReads(home, context);
}

void onRecoveryResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    if (result.status_ == StoreStatus::Unavailable || result.status_ == StoreStatus::Unknown) {
        if (op.kind_ != HomeOpKind::ReadHead) {
            home.recovery_.toRead_.insert(op.number_);
        }
        restartLater(home, context);
        return;
    }
    home.recovery_.backoff_ = Milliseconds(0);
    if (op.kind_ == HomeOpKind::ReadHead && home.phase_ == HomePhase::ReadHead) {
        onHead(home, result, context);
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
    (entry.opening_ ? journal.openings_ : journal.entries_)[sequence] = revision;
    journal.next_ = sequence + 1;
    for (const JournalRecord &record : entry.records_) {
        applyRecord(home, record);
    }
}

static void applyAssigned(Home &home, HomeJob &job, const TaskRange &range)
{
    const std::size_t end = std::min<std::size_t>(job.tasks_.size(), std::size_t{range.first_} + range.count_);
    for (std::size_t index = range.first_; index < end; ++index) {
        HomeTask &task = job.tasks_[index];
        if (home.phase_ != HomePhase::Active) {
            task.group_ = range.group_;
            task.mayHaveRun_ = true;
            task.call_ = {};
            task.offered_ = false;
            home.openByGroup_[range.group_].insert(job.spec_.id_);
        }
        task.assigned_ = task.group_ == range.group_;
    }
}

static void applyFinished(Home &home, HomeJob &job, const TaskResult &result)
{
    if (result.index_ >= job.tasks_.size()) {
        return;
    }
    HomeTask &task = job.tasks_[result.index_];
    if (task.finished_) {
        return;
    }
    task.result_ = result;
    task.finished_ = true;
    --job.unfinished_;
    home.finishedBytes_ += result.result_.size();
}

void applyRecord(Home &home, const JournalRecord &record)
{
    auto found = home.jobs_.find(record.job_);
    if (found == home.jobs_.end()) {
        if (record.kind_ != RecordKind::Accepted || record.spec_.empty()) {
            return; // the job has expired
        }
        addJob(home, record.spec_.front());
        found = home.jobs_.find(record.job_);
    }
    HomeJob &job = found->second;
    job.recorded_ = true;
    job.accepted_ = job.accepted_ || record.kind_ == RecordKind::Accepted;
    for (const TaskRange &range : record.ranges_) {
        applyAssigned(home, job, range);
    }
    for (const TaskResult &result : record.results_) {
        applyFinished(home, job, result);
    }
    if (record.kind_ == RecordKind::Cancelled) {
        job.cancelRecorded_ = true;
        job.cancelled_ = true;
    }
}

void becomeFenced(Home &home, Context &context)
{
    if (home.phase_ == HomePhase::Fenced) {
        return;
    }
    home.phase_ = HomePhase::Fenced;
    logLine(context, LogLevel::Warning, "[home] " + home.partition_.value_ + " has a later holder; work is dropped");
    dropAskers(home, context);
    home.ops_.clear();
    home.jobs_.clear();
    home.timers_.clear();
    home.finished_.clear();
    home.openByGroup_.clear();
    home.acks_.clear();
    home.stops_.clear();
    home.journal_ = {};
    home.snapshot_ = {};
}

} // namespace mimosapier
