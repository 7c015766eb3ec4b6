// Values of the journal in the store: log entries, and snapshots that consist of the same records. Written and read by
// core/home only. The encoding is positional: a new field goes to the end.
#pragma once

#include "core/message/enum_func.h"
#include "core/message/fields.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosapier
{

enum class RecordKind : std::uint8_t {
    Accepted, // spec_ is the job, ranges_ its first assignments
    Assigned, // ranges_ are later assignments
    Finished, // results_ are final results of tasks
    Cancelled, // cancellation of the job was requested
    RetainedOutcome, // snapshots only: outcome of a job whose results have expired, in results_
};

constexpr bool isValid(RecordKind value)
{
    return value <= RecordKind::RetainedOutcome;
}

// Assignment of tasks [first_, first_ + count_) of a job to a group.
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
    std::vector<JobSpec> spec_; // one element for Accepted, otherwise empty
    std::vector<TaskRange> ranges_;
    std::vector<TaskResult> results_;
};

// Value of the key journal/<partition>/<sequence>, also of a snapshot part. A fence entry is the first that a holder
// creates; it has no records.
struct JournalEntry
{
    Epoch epoch_; // of the writer; never decreases along the log
    bool isFence_ = false;
    std::vector<JournalRecord> records_;
};

// Value of the key journal/<partition>/snapshot. The records are in the keys <prefix_><part>.
struct SnapshotHead
{
    Epoch epoch_; // of the writer
    std::uint64_t nextSequence_ = 1; // first log sequence that the snapshot does not cover
    std::uint32_t partCount_ = 0;
    std::string prefix_;
    std::vector<std::uint64_t> fences_; // sequences of covered fence entries that are still in the store
};

MIMOSAPIER_FIELDS(TaskRange, s.first_, s.count_, s.group_)
MIMOSAPIER_FIELDS(JournalRecord, s.kind_, s.job_, s.spec_, s.ranges_, s.results_)
MIMOSAPIER_FIELDS(JournalEntry, s.epoch_, s.isFence_, s.records_)
MIMOSAPIER_FIELDS(SnapshotHead, s.epoch_, s.nextSequence_, s.partCount_, s.prefix_, s.fences_)

} // namespace mimosapier
