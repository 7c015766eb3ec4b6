// State of the allowances and the functions shared by the files of this folder.
#pragma once

#include "core/config/bundle_base.h"
#include "core/limit/limit_func.h"

#include <array>
#include <map>
#include <unordered_map>
#include <vector>

namespace mimosapier
{

namespace detail
{

constexpr std::uint32_t AllowanceKeys = 8; // teams are spread over this many keys of the store
constexpr Milliseconds AllowanceWriteGap{200}; // least time between two writes of one key by one daemon
constexpr Milliseconds AllowanceIdle{4000}; // unused allowance above the base is given back after this time
constexpr Milliseconds AllowanceBaseIdle{60'000}; // the same for the base, so that rare work finds it without a write
constexpr Milliseconds AllowanceScarceIdle{1500}; // the same, when the limit of the team is used up
constexpr Milliseconds AllowanceWantedIdle{200}; // the same, when another group needs it
constexpr Milliseconds AllowanceWantedHold{10'000}; // a request of another group counts for this time
constexpr Milliseconds AllowanceRetryMin{20}; // wait after a conflict or an error, before jitter
constexpr Milliseconds AllowanceRetryMax{2000};
constexpr Milliseconds AllowanceUnmetRead{500}; // time between reads while a demand is not met
constexpr Milliseconds AllowanceUnmetReadMax{8000};
// Rows in use are read again at least this often: another daemon may have raised the sum under an older bundle.
constexpr Milliseconds AllowanceRefresh{10'000};
constexpr Milliseconds AllowanceCallTimeout{10'000}; // a store call without result counts as lost after this time
// A group that is missing from the directory for this long is gone: far longer than the task lease, after which
// none of its tasks runs.
constexpr Milliseconds AllowanceVanished{600'000};
constexpr std::uint32_t AllowanceChunkParts = 32; // a chunk is this part of a team's limit
// The groups that work for a team share this part of its limit as their base. The other half stays free for groups
// whose demand grows, so that they need not wait until others give back.
constexpr std::uint32_t AllowanceBaseParts = 2;

} // namespace detail

// Part of a team's limit that a group holds.
struct AllowancePart
{
    ShardId group_;
    std::uint32_t amount_ = 0; // tasks; parts with 0 are not stored
    Epoch epoch_; // of the holder that wrote the part last; an older holder must not change it
};

struct AllowanceRow
{
    TeamId team_;
    std::vector<AllowancePart> parts_;
};

// What a group holds and wants of one team.
struct AllowanceDemand
{
    std::uint32_t usable_ = 0; // tasks that may run; never above the part in the store
    std::uint32_t inUse_ = 0;
    std::uint32_t wanted_ = 0;
    std::uint32_t limit_ = 0; // of the team, when last compared
    // The parts of all groups may add up to more than a lowered limit: nothing starts until they do not, because tasks
    // of other groups may still run above their part.
    bool frozen_ = false;
    TimePoint busySince_; // last time at which everything held was wanted
    TimePoint usedAt_; // last time at which anything was wanted
};

struct AllowanceGroup
{
    Epoch epoch_;
    std::unordered_map<TeamId, AllowanceDemand> teams_;
    // Number of the first read of each key that may count: reads with a lower number started before the gain.
    std::array<std::uint64_t, detail::AllowanceKeys> firstRead_{};
};

// One key of the store.
struct AllowanceKey
{
    std::map<TeamId, std::vector<AllowancePart>> rows_; // as last read or written
    Revision revision_; // of rows_
    std::uint64_t shownRead_ = 0; // number of the newest read or write that rows_ reflects; 0: nothing read
    StoreOpId call_; // open call; 0 for none
    bool writing_ = false; // call_ is a write
    std::uint64_t callNumber_ = 0; // of call_
    TimePoint callSent_;
    std::map<TeamId, std::vector<AllowancePart>> written_; // rows of the open write
    // A write whose answer was lost may still take effect while the key has this revision. Until the key is known to
    // have moved on, no usable amount rises.
    bool lostWrite_ = false;
    Revision lostExpected_;
    // After a limit was lowered, usable amounts rise only when a call with this number or a later one has shown the
    // rows: other groups may have taken more under the old limit.
    std::uint64_t riseFrom_ = 0;
    bool mustRead_ = true;
    TimePoint notBefore_; // of the next call
    TimePoint lastWrite_;
    TimePoint lastRead_;
    TimePoint nextRefresh_; // read that is due although nothing has changed here
    TimePoint lastApplied_; // usable amounts compared with idle times
    Milliseconds backoff_{0};
    Milliseconds unmetWait_{detail::AllowanceUnmetRead};
    bool unmet_ = false; // a demand was not met when the targets were last computed
    bool dirty_ = true; // something changed since the targets were last compared with rows_
};

struct AllowanceState
{
    std::unordered_map<ShardId, AllowanceGroup> groups_;
    std::array<AllowanceKey, detail::AllowanceKeys> keys_;
    std::uint64_t lastNumber_ = 0; // of reads and writes
    std::unordered_map<ShardId, TimePoint> missingSince_; // groups in rows_ that the directory does not have
    std::unordered_map<TeamId, TimePoint> wantedUntil_; // teams of which other groups need more, and until when
    BundleVersion bundle_; // for which limits were last applied
    TimePoint nextVanishCheck_;
};

std::uint32_t allowanceKeyOf(const TeamId &team);

std::string encodeAllowances(const std::map<TeamId, std::vector<AllowancePart>> &rows);

// False when the bytes are malformed.
bool decodeAllowances(std::string_view bytes, std::map<TeamId, std::vector<AllowancePart>> &rows);

const AllowancePart *findPart(const AllowanceKey &key, const TeamId &team, const ShardId &group);
std::uint64_t sumOfParts(const std::vector<AllowancePart> &parts);
std::uint32_t limitOf(const Bundle &bundle, const TeamId &team);

// True when rows_ shows what the group holds: read after the gain, and written with the group's epoch where it has a
// part.
bool isOpen(const AllowanceKey &key, std::uint32_t index, const AllowanceGroup &group);

// Lowers usable amounts at once where the limit was lowered or the group gives something back, and raises them to
// what the store shows where that is allowed.
void applyUsable(AllowanceState &state, std::uint32_t index, Context &context);

// Rows as this daemon wants them; `changed` tells whether they differ from those of the store, `unmet` names the teams
// whose demand stays unmet.
std::map<TeamId, std::vector<AllowancePart>> targetRows(AllowanceState &state, std::uint32_t index, Context &context,
                                                        bool &changed, std::vector<TeamId> &unmet);

// Stops starts of teams whose limit was lowered until the rows have been read again.
void applyLoweredLimits(AllowanceState &state, Context &context);

// Starts the next call of a key when one is due.
void advanceKey(AllowanceState &state, std::uint32_t index, Context &context);

} // namespace mimosapier
