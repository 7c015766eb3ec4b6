// Writes snapshots, which bound the length of the log. The parts are stored first, then the head key is replaced by
// compare-and-swap, and only then the entries that it covers are deleted. Failed writes and deletes are retried.
#include "core/home/home_internal.h"

#include "core/message/pack_func.h"

namespace mimosapier
{

constexpr std::size_t MinSnapshotEntries = 128; // log entries that start a snapshot
// A value in the store has at most 1,000,000 bytes, and the client encodes binary values as base64.
constexpr std::size_t MaxPartBytes = 700'000;
constexpr std::size_t TargetPartBytes = 400'000; // size of a part, except for a single larger record
constexpr std::size_t MaxDeletesInFlight = 4;
// A replaced holder that was paused may create the key of a deleted fence entry and take the create for a valid write.
// Fence entries therefore stay longer than MaxWriteProofAge (journal.cpp): with an older proof a holder checks the
// snapshot head first.
constexpr Milliseconds FenceRetention{10 * 60'000};
constexpr Milliseconds RetryDelay{500}; // after a failed write or delete

// Adds the records that restore the durable state of a job. The payload is left out once the job is final.
static void addRecords(const HomeJob &job, std::vector<JournalRecord> &records)
{
    JournalRecord accepted{RecordKind::Accepted, job.spec_.id_, {job.spec_}, {}, {}};
    if (job.unfinishedTasks_ == 0) {
        accepted.spec_.front().payload_.clear();
    }
    JournalRecord finished{RecordKind::Finished, job.spec_.id_, {}, {}, {}};
    for (std::uint32_t index = 0; index < job.tasks_.size(); ++index) {
        const HomeTask &task = job.tasks_[index];
        if (task.outcomeDurable_) {
            finished.results_.push_back(task.result_);
        }
        if (task.assignmentDurable_) {
            auto &ranges = accepted.ranges_;
            if (!ranges.empty() && ranges.back().group_ == task.group_
                && ranges.back().first_ + ranges.back().count_ == index) {
                ++ranges.back().count_;
            } else {
                ranges.push_back({index, 1, task.group_});
            }
        }
    }
    records.push_back(std::move(accepted));
    if (!finished.results_.empty()) {
        records.push_back(std::move(finished));
    }
    if (job.cancelDurable_) {
        records.push_back({RecordKind::Cancelled, job.spec_.id_, {}, {}, {}});
    }
}

// Adds a record to the part, and starts a new part when it is full. A large record with several results is split.
static void appendToParts(Home &home, const JournalRecord &record, JournalEntry &part, std::size_t &bytes)
{
    const std::size_t size = packToString(record).size();
    if (size > TargetPartBytes && record.results_.size() > 1) {
        const auto middle = record.results_.begin() + static_cast<std::ptrdiff_t>(record.results_.size() / 2);
        JournalRecord half{record.kind_, record.job_, {}, {}, {record.results_.begin(), middle}};
        appendToParts(home, half, part, bytes);
        half.results_.assign(middle, record.results_.end());
        appendToParts(home, half, part, bytes);
        return;
    }
    if (bytes > 0 && bytes + size > TargetPartBytes) {
        home.snapshot_.draftParts_.push_back(packToString(part));
        part.records_.clear();
        bytes = 0;
    }
    part.records_.push_back(record);
    bytes += size;
}

// Encodes all durable jobs and retained outcomes as the parts of a new draft.
static void startSnapshot(Home &home, Context &context)
{
    Snapshot &snapshot = home.snapshot_;
    const Journal &journal = home.journal_;
    snapshot.writing_ = true;
    snapshot.draftParts_.clear();
    snapshot.nextPart_ = 0;
    snapshot.draftRevisions_.clear();
    JournalEntry part{home.epoch_, false, {}};
    std::size_t bytes = 0;
    std::vector<JournalRecord> records;
    for (const auto &[id, job] : home.jobs_) {
        if (!job.acceptDurable_) {
            continue;
        }
        records.clear();
        addRecords(job, records);
        for (const JournalRecord &record : records) {
            appendToParts(home, record, part, bytes);
        }
    }
    for (const auto &[id, retained] : home.retainedOutcomes_) {
        appendToParts(home,
                      {RecordKind::RetainedOutcome, id, {}, {}, {{0, retained.outcome_, retained.error_, {}, {}}}},
                      part, bytes);
    }
    if (!part.records_.empty()) {
        snapshot.draftParts_.push_back(packToString(part));
    }
    SnapshotHead &draft = snapshot.draft_;
    draft.epoch_ = home.epoch_;
    draft.nextSequence_ = journal.nextSequence_;
    draft.partCount_ = static_cast<std::uint32_t>(snapshot.draftParts_.size());
    draft.prefix_
        = headKey(home) + '-' + std::to_string(home.epoch_.value_) + '-' + std::to_string(draft.nextSequence_) + '-';
    draft.fences_.clear();
    for (const auto &[sequence, revision] : journal.fences_) {
        draft.fences_.push_back(sequence);
    }
    snapshot.retryAt_ = context.now_;
}

// Stores the next part, or the head after the last part.
static void writeNext(Home &home, Context &context)
{
    Snapshot &snapshot = home.snapshot_;
    snapshot.retryAt_ = TimePoint::max();
    if (snapshot.nextPart_ < snapshot.draftParts_.size()) {
        const std::string key = snapshot.draft_.prefix_ + std::to_string(snapshot.nextPart_);
        sendHomeOp(home, {HomeOpKind::PutPart, snapshot.nextPart_, {}, {}, {}},
                   StoreCas{key, snapshot.draftParts_[snapshot.nextPart_], {}, {}}, context);
        return;
    }
    sendHomeOp(home, {HomeOpKind::PutHead, 0, {}, {}, {}},
               StoreCas{headKey(home), packToString(snapshot.draft_), snapshot.revision_, {}}, context);
}

// The head is stored: the parts of the previous snapshot and the covered log entries can be deleted.
static void finishSnapshot(Home &home, Revision revision)
{
    Snapshot &snapshot = home.snapshot_;
    for (std::size_t part = 0; part < snapshot.partRevisions_.size(); ++part) {
        snapshot.garbage_.emplace_back(snapshot.head_.prefix_ + std::to_string(part), snapshot.partRevisions_[part]);
    }
    auto &entries = home.journal_.entries_;
    const auto end = entries.lower_bound(snapshot.draft_.nextSequence_);
    for (auto entry = entries.begin(); entry != end; ++entry) {
        snapshot.garbage_.emplace_back(logKey(home, entry->first), entry->second);
    }
    entries.erase(entries.begin(), end);
    snapshot.revision_ = revision;
    snapshot.head_ = std::move(snapshot.draft_);
    snapshot.partRevisions_ = std::move(snapshot.draftRevisions_);
    snapshot.draftParts_.clear();
    snapshot.writing_ = false;
}

static void onPutHead(Home &home, const StoreResult &result, Context &context)
{
    Snapshot &snapshot = home.snapshot_;
    if (result.status_ == StoreStatus::Ok) {
        finishSnapshot(home, result.revision_);
        return;
    }
    SnapshotHead head;
    if (result.entries_.empty() || !unpackFromString(result.entries_.front().value_, head)) {
        snapshot.retryAt_ = context.now_ + RetryDelay;
        return;
    }
    if (head.epoch_ > home.epoch_) {
        becomeFenced(home, context);
        return;
    }
    if (result.entries_.front().value_ == packToString(snapshot.draft_)) {
        finishSnapshot(home, result.entries_.front().revision_); // stored by an earlier attempt whose answer was lost
        return;
    }
    // The previous holder stored a snapshot after this holder had read the journal. It covers less and is replaced.
    snapshot.revision_ = result.entries_.front().revision_;
    for (std::uint32_t part = 0; part < head.partCount_; ++part) {
        snapshot.garbage_.emplace_back(head.prefix_ + std::to_string(part), Revision{});
    }
    snapshot.retryAt_ = context.now_;
}

static void onDeleted(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    Snapshot &snapshot = home.snapshot_;
    --snapshot.deletesInFlight_;
    if (result.status_ == StoreStatus::Unavailable || result.status_ == StoreStatus::Unknown) {
        snapshot.garbage_.emplace_back(op.key_, op.revision_);
        snapshot.nextDeleteAt_ = context.now_ + RetryDelay;
    } else if (result.status_ == StoreStatus::Conflict && op.revision_ == Revision{} && !result.entries_.empty()) {
        snapshot.garbage_.emplace_back(op.key_, result.entries_.front().revision_); // the revision was unknown
    }
}

void onSnapshotResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    Snapshot &snapshot = home.snapshot_;
    if (op.kind_ == HomeOpKind::Delete) {
        onDeleted(home, op, result, context);
        return;
    }
    if (!snapshot.writing_) {
        return;
    }
    if (result.status_ == StoreStatus::Unavailable || result.status_ == StoreStatus::Unknown) {
        snapshot.retryAt_ = context.now_ + RetryDelay; // repeating the same compare-and-swap resolves a lost answer
        return;
    }
    if (op.kind_ == HomeOpKind::PutHead) {
        onPutHead(home, result, context);
        return;
    }
    // A conflict on a part means that an earlier attempt was stored: the key names this epoch and sequence.
    const Revision revision = result.status_ == StoreStatus::Ok || result.entries_.empty()
        ? result.revision_
        : result.entries_.front().revision_;
    snapshot.draftRevisions_.push_back(revision);
    ++snapshot.nextPart_;
    writeNext(home, context);
}

// Deletes covered fence entries once no replaced holder can mistake their absent keys for unused ones.
static void expireFences(Home &home, Context &context)
{
    Journal &journal = home.journal_;
    if (context.now_ - journal.activeSince_ < FenceRetention || home.snapshot_.writing_) {
        return;
    }
    while (!journal.fences_.empty() && journal.fences_.begin()->first < home.snapshot_.head_.nextSequence_) {
        const auto fence = journal.fences_.begin();
        home.snapshot_.garbage_.emplace_back(logKey(home, fence->first), fence->second);
        journal.fences_.erase(fence);
    }
}

void tickSnapshot(Home &home, Context &context)
{
    if (home.phase_ != HomePhase::Active) {
        return;
    }
    Snapshot &snapshot = home.snapshot_;
    expireFences(home, context);
    if (!snapshot.writing_ && !home.stopping_ && home.journal_.entries_.size() >= MinSnapshotEntries) {
        startSnapshot(home, context);
    }
    if (snapshot.writing_ && context.now_ >= snapshot.retryAt_) {
        writeNext(home, context);
    }
    while (!snapshot.garbage_.empty() && snapshot.deletesInFlight_ < MaxDeletesInFlight
           && context.now_ >= snapshot.nextDeleteAt_) {
        auto [key, revision] = std::move(snapshot.garbage_.front());
        snapshot.garbage_.pop_front();
        ++snapshot.deletesInFlight_;
        HomeOp op{HomeOpKind::Delete, 0, {}, key, revision};
        sendHomeOp(home, std::move(op), StoreDelete{std::move(key), revision}, context);
    }
}

static_assert(TargetPartBytes < MaxPartBytes);

} // namespace mimosapier
