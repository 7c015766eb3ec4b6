// The log of the partition: group commit, one write at a time, lost answers settled by reading back.
#include "core/home/home_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace mimosapier
{

constexpr Milliseconds FlushInterval{250};
constexpr Milliseconds MaxFlushInterval{2000};
constexpr std::size_t FlushBytes = 256 * 1024;
constexpr Milliseconds FirstBackoff{100};
constexpr Milliseconds MaxBackoff{2000};
// A later holder keeps opening entries for FenceRetention (snapshot.cpp), so that a create on that key fails for as
// long. A create that succeeds later than this after the last proof is confirmed by reading the head of the snapshot.
constexpr Milliseconds MaxWriteProofAge{9 * 60'000};
// Groups remember refused ids for RefusalRetention, so that offers sent within this time of a proof cannot start again
// what a later holder has moved to another group.
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
    const StoreOpId id = sendStore(context, StorePart::Home, home.partition_, std::move(body));
    home.ops_.emplace(id, std::move(op));
}

Milliseconds nextBackoff(Milliseconds &delay, Milliseconds first, Milliseconds maxDelay, Context &context)
{
    delay = std::clamp(delay * 2, first, maxDelay);
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count() * 3 / 2);
    return Milliseconds(jitter(context.random_));
}

// Estimated size of a record in the store.
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
    // Other records of the job, such as a cancellation, mean nothing without it.
    std::erase_if(journal.pendingRecords_, [&](const JournalRecord &record) {
        if (record.job_ != job) {
            return false;
        }
        journal.pendingBytes_ -= recordBytes(record);
        return true;
    });
    return true;
}

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

// The key holds our value for certain.
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
    // While the store is slow, fewer and larger entries keep its load down.
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

// The key holds our value, unless a later holder had deleted the key before our create.
static void confirmWrite(Home &home, Revision revision, Context &context)
{
    JournalWrite &write = home.journal_.write_;
    write.revision_ = revision;
    const bool proofIsOld = context.now_ - home.journal_.holderProvenAt_ > MaxWriteProofAge;
    if (write.isFence_ || write.uncertain_ || proofIsOld) {
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
    // The previous holder wrote in the meantime; the opening goes behind it.
    write = {};
    applyEntry(home, home.journal_.nextSequence_, entry, occupant.revision_);
    writeFence(home, context);
}

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
        // The log was cut while it was read: the created key is below its start and is ignored by every reader.
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
    if (!write.active_ || op.number_ != journal.nextSequence_) {
        return;
    }
    if (result.status_ == StoreStatus::Unknown && op.kind_ == HomeOpKind::Write) {
        write.uncertain_ = true;
        write.nextOp_ = HomeOpKind::ReadBack;
        retryLater(home, context);
        return;
    }
    if (result.status_ == StoreStatus::Unavailable || result.status_ == StoreStatus::Unknown) {
        if (op.kind_ == HomeOpKind::Write && !write.uncertain_ && !write.isFence_) {
            // Certainly not written: the records may still be withdrawn.
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
        // Not there: the same value is created again, because the lost one may still arrive. A conflict that does not
        // show the key is read.
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
    // A later holder needs at least the time of a flush to make an outcome durable and acknowledge it.
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
                && head.epoch_ <= home.epoch_ && head.nextSequence_ <= op.number_)) {
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
        // A later holder may have deleted its opening entry again; then the head of the snapshot is beyond the key.
        journal.probeInFlight_ = true;
        journal.probeSentAt_ = op.sentAt_;
        sendHomeOp(home, {HomeOpKind::ProbeHead, op.number_, {}, {}, {}}, StoreGet{headKey(home)}, context);
        return;
    }
    JournalEntry entry;
    if (op.number_ == journal.nextSequence_ && !result.entries_.empty()
        && unpackFromString(result.entries_.front().value_, entry) && entry.epoch_ > home.epoch_) {
        becomeFenced(home, context);
    }
}

} // namespace mimosapier
