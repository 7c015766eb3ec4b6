// Writes the log of the partition: group commit, one entry at a time, each created under the next sequence. A create
// that fails because the key exists shows a later holder; a lost answer is resolved by reading the key back.
#include "core/home/home_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace mimosapier
{

constexpr Milliseconds FlushInterval{250}; // group commit: records of this time share an entry
constexpr Milliseconds MaxFlushInterval{2000}; // while the store is slow
constexpr std::size_t FlushBytes = 256 * 1024; // pending records of this size are written at once
constexpr Milliseconds FirstBackoff{100};
constexpr Milliseconds MaxBackoff{2000};
// A later holder keeps its fence entry for FenceRetention (snapshot.cpp), and a create on that key fails for as long. A
// create that succeeds when the last proof is older than this is confirmed by reading the snapshot head.
constexpr Milliseconds MaxWriteProofAge{9 * 60'000};
// Offers are sent only while the last proof is newer than this. Shorter than RefusalRetention, so that a group that
// refused a task to a later holder still remembers the refusal and does not start the task.
constexpr Milliseconds MaxOfferProofAge{10'000};

std::string headKey(const Home &home)
{
    return "journal/" + home.partition_.value_ + "/snapshot";
}

std::string logKey(const Home &home, std::uint64_t sequence)
{
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%012llu", static_cast<unsigned long long>(sequence));
    return "journal/" + home.partition_.value_ + '/' + digits.data();
}

void sendHomeOp(Home &home, HomeOp op, StoreOp body, Context &context)
{
    op.sentAt_ = context.now_;
    const StoreOpId id = sendStore(context, StoreComponent::Home, home.partition_, std::move(body));
    home.ops_.emplace(id, std::move(op));
}

Milliseconds nextBackoff(Milliseconds &delay, Milliseconds first, Milliseconds maxDelay, Context &context)
{
    delay = std::clamp(delay * 2, first, maxDelay);
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count() * 3 / 2);
    return Milliseconds(jitter(context.random_));
}

// Estimated encoded size of a record.
static std::size_t recordBytes(const JournalRecord &record)
{
    constexpr std::size_t FixedBytes = 64;
    constexpr std::size_t SpecBytes = 192;
    constexpr std::size_t ItemBytes = 48;
    std::size_t bytes = FixedBytes + ItemBytes * (record.ranges_.size() + record.results_.size());
    for (const JobSpec &spec : record.spec_) {
        bytes += SpecBytes + spec.payload_.size();
    }
    for (const TaskResult &result : record.results_) {
        bytes += result.result_.size() + result.worker_.value_.size();
    }
    return bytes;
}

void appendRecord(Home &home, JournalRecord record, Context &context)
{
    Journal &journal = home.journal_;
    if (journal.pendingRecords_.empty()) {
        journal.pendingSince_ = context.now_;
    }
    journal.pendingBytes_ += recordBytes(record);
    journal.pendingRecords_.push_back(std::move(record));
}

bool withdrawAccepted(Home &home, const JobId &job)
{
    Journal &journal = home.journal_;
    const auto found
        = std::find_if(journal.pendingRecords_.begin(), journal.pendingRecords_.end(), [&job](const auto &record) {
              return record.kind_ == RecordKind::Accepted && record.job_ == job;
          });
    if (found == journal.pendingRecords_.end()) {
        return false;
    }
    journal.pendingBytes_ -= recordBytes(*found);
    journal.pendingRecords_.erase(found);
    // Other records of the job, such as a cancellation, have no effect without it.
    std::erase_if(journal.pendingRecords_, [&](const JournalRecord &record) {
        if (record.job_ != job) {
            return false;
        }
        journal.pendingBytes_ -= recordBytes(record);
        return true;
    });
    return true;
}

// Sends the next operation of the active write.
static void sendAttempt(Home &home, Context &context)
{
    Journal &journal = home.journal_;
    journal.write_.retryAt_ = TimePoint::max();
    HomeOp op{journal.write_.nextOp_, journal.nextSequence_, {}, {}, {}};
    switch (journal.write_.nextOp_) {
    case HomeOpKind::ReadBack:
        sendHomeOp(home, std::move(op), StoreGet{logKey(home, journal.nextSequence_)}, context);
        break;
    case HomeOpKind::CheckHead:
        sendHomeOp(home, std::move(op), StoreGet{headKey(home)}, context);
        break;
    default:
        sendHomeOp(home, std::move(op), StoreCas{logKey(home, journal.nextSequence_), journal.write_.value_, {}, {}},
                   context);
        break;
    }
}

static void startWrite(Home &home, JournalEntry entry, Context &context)
{
    JournalWrite &write = home.journal_.write_;
    write = {};
    write.active_ = true;
    write.isFence_ = entry.isFence_;
    write.value_ = packToString(entry);
    write.records_ = std::move(entry.records_);
    write.sentAt_ = context.now_;
    sendAttempt(home, context);
}

void writeFence(Home &home, Context &context)
{
    home.phase_ = HomePhase::WriteFence;
    startWrite(home, JournalEntry{home.epoch_, true, {}}, context);
}

// Writes pending records up to FlushBytes, at least one, as one entry.
static void flushPending(Home &home, Context &context)
{
    Journal &journal = home.journal_;
    JournalEntry entry{home.epoch_, false, {}};
    std::size_t bytes = 0;
    while (!journal.pendingRecords_.empty()) {
        const std::size_t next = recordBytes(journal.pendingRecords_.front());
        if (bytes > 0 && bytes + next > FlushBytes) {
            break;
        }
        bytes += next;
        journal.pendingBytes_ -= next;
        entry.records_.push_back(std::move(journal.pendingRecords_.front()));
        journal.pendingRecords_.pop_front();
    }
    journal.pendingSince_ = context.now_;
    startWrite(home, std::move(entry), context);
}

void tickJournal(Home &home, Context &context)
{
    Journal &journal = home.journal_;
    if (journal.write_.active_) {
        if (context.now_ >= journal.write_.retryAt_) {
            sendAttempt(home, context);
        }
        return;
    }
    if (home.phase_ != HomePhase::Active || journal.pendingRecords_.empty() || context.now_ < journal.nextFlushAt_) {
        return;
    }
    const bool due = context.now_ - journal.pendingSince_ >= std::max(journal.flushInterval_, FlushInterval);
    if (due || journal.pendingBytes_ >= FlushBytes || home.stopping_) {
        flushPending(home, context);
    }
}

// The store holds the value of the write: applies its records and sends what depends on them.
static void completeWrite(Home &home, Context &context)
{
    Journal &journal = home.journal_;
    const JournalWrite write = std::move(journal.write_);
    journal.write_ = {};
    (write.isFence_ ? journal.fences_ : journal.entries_)[journal.nextSequence_] = write.revision_;
    ++journal.nextSequence_;
    ++home.writtenEntries_;
    journal.holderProvenAt_ = write.sentAt_;
    journal.backoff_ = Milliseconds(0);
    // Fewer and larger entries reduce the load of a slow store.
    const auto latency = std::chrono::duration_cast<Milliseconds>(context.now_ - write.sentAt_);
    journal.flushInterval_ = std::clamp(latency * 2, FlushInterval, MaxFlushInterval);
    if (write.isFence_) {
        becomeActive(home, context);
    }
    for (const JournalRecord &record : write.records_) {
        applyRecord(home, record);
        onRecordDurable(home, record, context);
    }
    answerPendingCancels(home, context);
}

// The store holds the value of the write. A later holder may have written and deleted the same key before. Where
// that is possible, the snapshot head is read before the write counts.
static void confirmWrite(Home &home, Revision revision, Context &context)
{
    JournalWrite &write = home.journal_.write_;
    write.revision_ = revision;
    const bool proofIsOld = context.now_ - home.journal_.holderProvenAt_ > MaxWriteProofAge;
    if (write.isFence_ || write.mayBeStored_ || proofIsOld) {
        write.nextOp_ = HomeOpKind::CheckHead;
        sendAttempt(home, context);
        return;
    }
    completeWrite(home, context);
}

static void retryLater(Home &home, Context &context)
{
    Journal &journal = home.journal_;
    journal.write_.retryAt_ = context.now_ + nextBackoff(journal.backoff_, FirstBackoff, MaxBackoff, context);
}

// The key of the write exists: it holds this value, an entry of the previous holder, or one of a later holder.
static void onKeyOccupied(Home &home, const StoreEntry &occupant, Context &context)
{
    JournalWrite &write = home.journal_.write_;
    if (occupant.value_ == write.value_) {
        confirmWrite(home, occupant.revision_, context);
        return;
    }
    JournalEntry entry;
    const bool decoded = unpackFromString(occupant.value_, entry);
    if (!decoded || !write.isFence_ || entry.epoch_ > home.epoch_) {
        becomeFenced(home, context);
        return;
    }
    // The previous holder has written in the meantime; the fence goes to the next sequence.
    write = {};
    applyEntry(home, home.journal_.nextSequence_, entry, occupant.revision_);
    writeFence(home, context);
}

// The snapshot head was read to confirm a write: the write counts when no later holder stored the head and the head
// does not cover its sequence.
static void onHeadChecked(Home &home, const StoreResult &result, Context &context)
{
    SnapshotHead head;
    if (result.status_ == StoreStatus::NotFound) {
        completeWrite(home, context);
        return;
    }
    if (result.entries_.empty() || !unpackFromString(result.entries_.front().value_, head)
        || head.epoch_ > home.epoch_) {
        becomeFenced(home, context);
        return;
    }
    if (head.nextSequence_ <= home.journal_.nextSequence_) {
        completeWrite(home, context);
        return;
    }
    if (home.journal_.write_.isFence_) {
        // The log was truncated while it was read: the created key is below its start, and readers ignore it.
        home.journal_.write_ = {};
        startRecovery(home, context);
        return;
    }
    becomeFenced(home, context);
}

void onWriteResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    Journal &journal = home.journal_;
    JournalWrite &write = journal.write_;
    if (!write.active_ || op.sequenceOrPart_ != journal.nextSequence_) {
        return;
    }
    if (result.status_ == StoreStatus::Unknown && op.kind_ == HomeOpKind::Write) {
        write.mayBeStored_ = true;
        write.nextOp_ = HomeOpKind::ReadBack;
        retryLater(home, context);
        return;
    }
    if (result.status_ == StoreStatus::Unavailable || result.status_ == StoreStatus::Unknown) {
        if (op.kind_ == HomeOpKind::Write && !write.mayBeStored_ && !write.isFence_) {
            // Certainly not written: the records are pending again and can still be withdrawn.
            for (auto record = write.records_.rbegin(); record != write.records_.rend(); ++record) {
                journal.pendingBytes_ += recordBytes(*record);
                journal.pendingRecords_.push_front(std::move(*record));
            }
            write = {};
            journal.nextFlushAt_ = context.now_ + nextBackoff(journal.backoff_, FirstBackoff, MaxBackoff, context);
            return;
        }
        retryLater(home, context);
        return;
    }
    if (op.kind_ == HomeOpKind::CheckHead) {
        onHeadChecked(home, result, context);
    } else if (op.kind_ == HomeOpKind::Write && result.status_ == StoreStatus::Ok) {
        confirmWrite(home, result.revision_, context);
    } else if (!result.entries_.empty()) {
        onKeyOccupied(home, result.entries_.front(), context);
    } else {
        // The key is absent: the same value is created again, because the lost write may still take effect. A conflict
        // without the current value is read back.
        write.nextOp_ = op.kind_ == HomeOpKind::Write ? HomeOpKind::ReadBack : HomeOpKind::Write;
        sendAttempt(home, context);
    }
}

bool mayOffer(const Home &home, TimePoint now)
{
    return home.phase_ == HomePhase::Active && now - home.journal_.holderProvenAt_ < MaxOfferProofAge;
}

bool hasFreshProof(const Home &home, TimePoint now)
{
    // A later holder needs at least one flush interval to make an outcome durable and acknowledge it.
    return now - home.journal_.holderProvenAt_ < FlushInterval;
}

void requestProbe(Home &home, Context &context)
{
    Journal &journal = home.journal_;
    if (journal.probeInFlight_ || journal.write_.active_ || home.phase_ != HomePhase::Active
        || context.now_ < journal.nextProbeAt_) {
        return;
    }
    journal.probeInFlight_ = true;
    sendHomeOp(home, {HomeOpKind::Probe, journal.nextSequence_, {}, {}, {}},
               StoreGet{logKey(home, journal.nextSequence_)}, context);
}

void onProbeResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context)
{
    Journal &journal = home.journal_;
    journal.probeInFlight_ = false;
    if (result.status_ == StoreStatus::Unavailable || result.status_ == StoreStatus::Unknown) {
        journal.nextProbeAt_ = context.now_ + nextBackoff(journal.backoff_, FirstBackoff, MaxBackoff, context);
        return;
    }
    if (op.kind_ == HomeOpKind::ProbeHead) {
        SnapshotHead head;
        if (result.status_ == StoreStatus::NotFound
            || (!result.entries_.empty() && unpackFromString(result.entries_.front().value_, head)
                && head.epoch_ <= home.epoch_ && head.nextSequence_ <= op.sequenceOrPart_)) {
            journal.holderProvenAt_ = std::max(journal.holderProvenAt_, journal.probeSentAt_);
        } else {
            becomeFenced(home, context);
        }
        return;
    }
    if (result.status_ == StoreStatus::NotFound) {
        if (op.sentAt_ - journal.holderProvenAt_ <= MaxWriteProofAge) {
            journal.holderProvenAt_ = std::max(journal.holderProvenAt_, op.sentAt_);
            return;
        }
        // A later holder may have deleted its fence entry; the snapshot head then covers the key.
        journal.probeInFlight_ = true;
        journal.probeSentAt_ = op.sentAt_;
        sendHomeOp(home, {HomeOpKind::ProbeHead, op.sequenceOrPart_, {}, {}, {}}, StoreGet{headKey(home)}, context);
        return;
    }
    JournalEntry entry;
    if (op.sequenceOrPart_ == journal.nextSequence_ && !result.entries_.empty()
        && unpackFromString(result.entries_.front().value_, entry) && entry.epoch_ > home.epoch_) {
        becomeFenced(home, context);
    }
}

} // namespace mimosapier
