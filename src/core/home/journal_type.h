// Values of the journal in the store: log entries, and snapshots that consist of the same records.
#pragma once

#include "core/message/enum_func.h"
#include "core/message/fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosapier
{

enum class RecordKind : std::uint8_t {
    Accepted, // spec_ and the first assignments in ranges_
    Assigned, // ranges_
    Finished, // results_ of tasks that are final
    Cancelled, // cancellation was requested
    RetainedOutcome, // in snapshots: a job of which only the outcome is kept, in results_
};

constexpr bool isValid(RecordKind value)
{
    return value <= RecordKind::RetainedOutcome;
}

// Tasks [first_, first_ + count_) of a job assigned to a group.
struct TaskRange
{
    std::uint32_t first_ = 0;
    std::uint32_t count_ = 0;
    ShardId group_;
};

struct JournalRecord
{
    RecordKind kind_ = RecordKind::Accepted;
    JobId job_;
    std::vector<JobSpec> spec_; // one element for Accepted, else empty
    std::vector<TaskRange> ranges_;
    std::vector<TaskResult> results_;
};

// Value of a log key. An opening entry is the first that a holder creates; it has no records.
struct JournalEntry
{
    Epoch epoch_; // of the writer; never falls along the log
    bool isFence_ = false;
    std::vector<JournalRecord> records_;
};

// Value of the key journal/<partition>/snapshot. The records are in the keys <prefix_><part>.
struct SnapshotHead
{
    Epoch epoch_; // of the writer
    std::uint64_t nextSequence_ = 1; // first sequence of the log that the snapshot does not cover
    std::uint32_t partCount_ = 0;
    std::string prefix_;
    std::vector<std::uint64_t> fences_; // covered opening entries that are still in the store
};

MIMOSAPIER_FIELDS(TaskRange, s.first_, s.count_, s.group_)
MIMOSAPIER_FIELDS(JournalRecord, s.kind_, s.job_, s.spec_, s.ranges_, s.results_)
MIMOSAPIER_FIELDS(JournalEntry, s.epoch_, s.isFence_, s.records_)
MIMOSAPIER_FIELDS(SnapshotHead, s.epoch_, s.nextSequence_, s.partCount_, s.prefix_, s.fences_)

} // namespace mimosapier
