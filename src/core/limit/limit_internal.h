// State of the allowances, and the functions that the files of this folder share. Not for other parts; tests may use
// the encoding.
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

constexpr std::uint32_t AllowanceKeyCount = 8; // store keys; each team belongs to one of them
constexpr Milliseconds AllowanceMinWriteInterval{200}; // shortest time between two writes of one key by one daemon
constexpr Milliseconds AllowanceIdleTimeout{4000}; // unused allowance above the base is returned after this time
constexpr Milliseconds AllowanceBaseIdleTimeout{60'000}; // the same for the base; rare tasks then start without a write
constexpr Milliseconds AllowanceScarceIdleTimeout{1500}; // for all unused allowance, when the team's limit is used up
constexpr Milliseconds AllowanceWantedIdleTimeout{
    200}; // for all unused allowance, when another group has asked for more
constexpr Milliseconds AllowanceWantedValidity{10'000}; // validity of a request from another group
constexpr Milliseconds AllowanceMinBackoff{20}; // backoff after a conflict or an error, before jitter
constexpr Milliseconds AllowanceMaxBackoff{2000};
constexpr Milliseconds AllowanceUnmetReadInterval{500}; // between reads while a demand is not met
constexpr Milliseconds AllowanceMaxUnmetReadInterval{8000};
// Rows in use are read again at this interval: another daemon may have raised the sum under an older bundle.
constexpr Milliseconds AllowanceRefreshInterval{10'000};
constexpr Milliseconds AllowanceCallTimeout{10'000}; // a store call without a result counts as lost
// The part of a group that is missing from the directory for this time is removed. Far longer than the task lease, so
// none of the group's tasks still runs.
constexpr Milliseconds AllowanceMissingGroupRetention{600'000};
constexpr std::uint32_t AllowanceChunkDivisor = 32; // a chunk is the team's limit divided by this
// The bases of all groups of a team add up to its limit divided by this. The other half stays free for groups whose
// demand grows, so that they need not wait until other groups return allowance.
constexpr std::uint32_t AllowanceBaseDivisor = 2;

} // namespace detail

// Part of a team's limit that a group holds. Encoded in field order.
struct AllowancePart
{
    ShardId group_;
    std::uint32_t amount_ = 0; // tasks; parts with 0 are not stored
    Epoch epoch_; // of the holder that last wrote the part; a holder with a lower epoch must not change it
};

// Parts of all groups of a team. The value of a store key is an array of rows, ascending by team.
struct AllowanceRow
{
    TeamId team_;
    std::vector<AllowancePart> parts_;
};

// Use and demand of one team in one group, in tasks.
struct AllowanceDemand
{
    std::uint32_t usable_ = 0; // tasks that may run; at most the part in the store
    std::uint32_t inUse_ = 0; // running tasks
    std::uint32_t wanted_ = 0; // running and waiting tasks
    std::uint32_t limit_ = 0; // limit of the team at the last comparison
    // Set while the parts of all groups may add up to more than a lowered limit. No task starts then, because tasks of
    // other groups may still run above their part: usable_ does not exceed inUse_.
    bool startsBlocked_ = false;
    TimePoint lastFullyNeededAt_; // last time at which the whole part was needed
    TimePoint lastNeededAt_; // last time at which any of it was needed
};

// A group held by this daemon.
struct AllowanceGroup
{
    Epoch epoch_; // with which this daemon holds the group
    std::unordered_map<TeamId, AllowanceDemand> teams_;
    // Per key, the lowest call number whose result may be used: earlier calls started before the group was gained.
    std::array<std::uint64_t, detail::AllowanceKeyCount> minCallNumber_{};
};

// State of one store key allowance/<n>. At most one call is open at a time.
struct AllowanceKey
{
    std::map<TeamId, std::vector<AllowancePart>> rows_; // as last read or written
    Revision revision_; // of rows_
    std::uint64_t rowsCallNumber_ = 0; // number of the call that rows_ is from; 0: none yet
    StoreOpId openCall_; // 0 for none
    bool openCallIsWrite_ = false;
    std::uint64_t callNumber_ = 0; // number of the open or last call
    TimePoint callSentAt_;
    std::map<TeamId, std::vector<AllowancePart>> rowsInWrite_; // value of the open write
    // Set while a write whose answer was lost may still take effect, that is, until the key is known to have another
    // revision than the write expects. No usable amount rises in this time.
    bool hasLostWrite_ = false;
    Revision lostWriteRevision_; // revision that the lost write expects
    // Lowest call number whose rows allow usable amounts to rise. Set when a limit is lowered, because other groups may
    // have taken more under the old limit since the last read.
    std::uint64_t minRaiseCallNumber_ = 0;
    bool mustRead_ = true; // rows_ may be out of date; no write before the next read
    TimePoint nextCallAt_; // end of the backoff
    TimePoint lastWriteAt_;
    TimePoint lastReadAt_; // last read or first request to other holders; unmetReadInterval_ counts from here
    TimePoint nextRefreshAt_; // periodic read
    TimePoint lastUsableUpdate_; // last time that usable amounts were computed by a tick
    Milliseconds backoff_{0}; // 0 after a success
    // Time between reads while a demand is not met; doubles with each read.
    Milliseconds unmetReadInterval_{detail::AllowanceUnmetReadInterval};
    bool hasUnmetDemand_ = false; // as of the last computation of the target rows
    bool dirty_ = true; // the target rows must be computed again
};

struct AllowanceState
{
    std::unordered_map<ShardId, AllowanceGroup> groups_;
    std::array<AllowanceKey, detail::AllowanceKeyCount> keys_;
    std::uint64_t lastCallNumber_ = 0; // number of the last call of any key
    std::unordered_map<ShardId, TimePoint> missingSince_; // groups in rows_ that are not in the directory
    std::unordered_map<TeamId, TimePoint> wantedUntil_; // end of validity of requests from other groups, by team
    BundleVersion bundleVersion_; // whose limits were last applied
    TimePoint nextMissingCheckAt_; // next update of missingSince_
};

// Index of the store key that holds the team's row, in [0, AllowanceKeyCount). Stored data depends on it.
std::uint32_t allowanceKeyIndex(const TeamId &team);

// Value of a store key, in msgpack. Rows without parts are left out.
std::string encodeAllowances(const std::map<TeamId, std::vector<AllowancePart>> &rows);

// Replaces `rows`. False when the bytes are malformed; `rows` is empty then.
bool decodeAllowances(std::string_view bytes, std::map<TeamId, std::vector<AllowancePart>> &rows);

// Null when the group has no part. Valid until the rows of the key change.
const AllowancePart *findPart(const AllowanceKey &key, const TeamId &team, const ShardId &group);
std::uint64_t sumOfParts(const std::vector<AllowancePart> &parts);

// Limit of the team in tasks; 0 for a team that the bundle does not have.
std::uint32_t teamLimit(const Bundle &bundle, const TeamId &team);

// True when rows_ is from a call that started after the group was gained. `index` is that of the key.
bool rowsAreCurrentFor(const AllowanceKey &key, std::uint32_t index, const AllowanceGroup &group);

// Updates the usable amounts of all groups for the teams of one key. They are lowered at once where the limit was
// lowered or the group returns allowance, and raised to what the store holds where this is safe.
void updateUsable(AllowanceState &state, std::uint32_t index, Context &context);

// Rows that this daemon should write. Sets `changed` when they differ from rows_, and `unmet` to the teams whose demand
// the rows do not meet.
std::map<TeamId, std::vector<AllowancePart>> targetRows(AllowanceState &state, std::uint32_t index, Context &context,
                                                        bool &changed, std::vector<TeamId> &unmet);

// Prevents further task starts of teams whose limit was lowered, until their rows have been read again.
void applyLoweredLimits(AllowanceState &state, Context &context);

// Starts the next store call of a key when one is due and none is open. An open call that timed out counts as lost.
void startDueCall(AllowanceState &state, std::uint32_t index, Context &context);

} // namespace mimosapier
