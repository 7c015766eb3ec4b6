// State of Membership, and the functions that the files of this folder share. Not for other parts; tests may use the
// encoded structs.
#pragma once

#include "core/member/member_func.h"
#include "core/message/fields.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosapier
{

constexpr Milliseconds MemberLease{4000};
constexpr Milliseconds RenewInterval{1000};
constexpr Milliseconds StoreRetryInterval{200}; // after a failed write or table read
constexpr Milliseconds WatchRetryInterval{500}; // after a failed watch
constexpr Milliseconds WatchTimeout{10'000};
constexpr Milliseconds MinWatchInterval{50}; // limits the rate of watch calls while the prefix changes constantly
constexpr Milliseconds OpTimeout{5000}; // an operation without a result becomes Unknown
constexpr Milliseconds PauseThreshold{1000}; // ticks come every 20 ms; a gap this long between two calls is a pause
constexpr Milliseconds VacancyGrace{1000}; // after the holder's member record disappears, before claims
constexpr Milliseconds OutageGrace{
    3000}; // no claims for this time after an outage: expired records are rewritten first
constexpr Milliseconds RegionGrace{3000}; // without members, before daemons of other regions claim
constexpr Milliseconds ClaimRankDelay{5000}; // per rendezvous rank, in addition to VacancyGrace
constexpr Milliseconds ClaimInterval{100}; // between searches for vacant shards
constexpr Milliseconds BalanceInterval{3000}; // between moves of shards for load balance
constexpr Milliseconds MinBalanceMemberAge{5000}; // shards are moved only to daemons that were members for this time
constexpr Milliseconds HandoverRepeatInterval{1000}; // repeats Handover until the table shows a new holder
constexpr Milliseconds LeaveHandoverTimeout{5000}; // longest wait for new holders before the record is removed
constexpr Milliseconds HeartbeatInterval{500};
constexpr Milliseconds RemoteHeartbeatInterval{1000};
constexpr Milliseconds FullHeartbeatInterval{5000}; // between heartbeats that list all loads and shards
constexpr Milliseconds StoreReachTimeout{3000}; // the store counts as unreachable without an answer for this time
constexpr Milliseconds FreshnessWindow{5000}; // bound of conditions (a) and (b), section 6 of docs/design.md

// A daemon is quiet when it neither reaches the store nor knows of a newer or announced head; condition (b) needs a
// majority of the voters to be quiet. After MaxQuietDuration without store contact a daemon no longer counts as quiet,
// so sign-offs need not ask a voter that had no member record for VoterRetention. Sign-offs thus stay possible after a
// majority of the daemons is lost permanently. The difference of 60 s covers the lease and clock drift.
constexpr Milliseconds MaxQuietDuration{540'000};
constexpr Milliseconds VoterRetention{600'000};

// Maximum number of daemons to connect to in each other region. The region's relay and holders of shards come first.
constexpr std::size_t MaxRemotePeers = 16;
// A daemon that pauses for longer than its lease may have been replaced, and sign-offs no longer ask it.
constexpr Milliseconds ReplacementThreshold = MemberLease;
constexpr std::size_t MaxSentTimes = 16; // heartbeats per peer whose send time is kept

// Value of the store key members/<region>/<daemon>. Encoded in field order.
struct MemberRecord
{
    RegionId region_;
    ZoneId zone_;
    std::string peerAddress_; // "ip:port"
    std::uint64_t startOrder_ = 0; // revision of the store when the daemon started
    bool leaving_ = false;
};

// Row of an ownership table. The value of the store key owners/<region> is an array of rows, ascending by shard.
struct OwnerRow
{
    ShardId shard_;
    DaemonId holder_;
    Epoch epoch_;
};

MIMOSAPIER_FIELDS(MemberRecord, s.region_, s.zone_, s.peerAddress_, s.startOrder_, s.leaving_)
MIMOSAPIER_FIELDS(OwnerRow, s.shard_, s.holder_, s.epoch_)

struct OwnerTable
{
    Revision revision_; // 0: the table does not exist yet
    std::map<ShardId, OwnerRow> rows_;
    StoreOpId pendingOp_; // claim or read in progress; 0 for none
    bool mustRead_ = false; // rows_ may be out of date; no claim before the next read
    TimePoint retryAt_; // earliest next claim or read after a failure
};

struct MemberEntry
{
    MemberRecord record_;
    TimePoint firstSeenAt_; // when this daemon first saw the record; survives rewrites of the record
};

struct PeerState
{
    bool connected_ = false;
    bool leaving_ = false;
    std::uint64_t sentSequence_ = 0; // of the last heartbeat
    std::deque<std::pair<std::uint64_t, TimePoint>> sentTimes_; // newest last
    std::uint64_t receivedSequence_ = 0; // highest so far
    TimePoint nextSendAt_;
    TimePoint nextFullSendAt_; // next heartbeat with all loads and shards
    TimePoint echoedSentAt_; // send time of the newest heartbeat that the peer has echoed
};

// A value that heartbeats carry, and the time of its last change.
template <typename T>
struct TimestampedValue
{
    T value_;
    TimePoint changedAt_;
};

// What another daemon knew of the head. Both times are lower bounds, so that ages are never underestimated.
struct ReceivedFreshness
{
    PeerFreshness freshness_;
    TimePoint reportedAt_; // at or before the time when the daemon sent it
    TimePoint headSeenAt_; // at or before a time when freshness_.version_ was the head; unset without headKnown_
    bool headKnown_ = false;
};

enum class OpKind : std::uint8_t {
    GrantLease,
    RenewLease,
    WriteRecord,
    RevokeLease,
    WatchMembers,
    WatchOwners,
    ListOwners,
    Claim,
    ReadTable
};

struct PendingOp
{
    OpKind kind_ = OpKind::RenewLease;
    RegionId region_; // of Claim and ReadTable
    TimePoint sentAt_;
    TimePoint timeoutAt_; // the result is then taken as Unknown
    bool leaving_ = false; // WriteRecord: leaving_ in the record being written
    std::string value_; // Claim: the encoded table being written
};

// A watch on a key prefix. The first call is a list, later ones wait for changes.
struct WatchState
{
    StoreOpId pendingOp_; // 0 for none
    Revision afterRevision_; // the watch waits for later revisions
    bool listed_ = false; // the list was answered
    TimePoint nextCallAt_;
};

// A shard that this daemon has stopped working on while the table still names it as the holder.
struct ReleasedShard
{
    Epoch epoch_; // under which it was held
    TimePoint nextHandoverAt_; // next Handover message
    TimePoint releasedAt_;
};

struct Membership
{
    MemberSettings settings_;
    TimePoint now_; // time of the latest call
    bool started_ = false;

    // Record and lease
    StoreLeaseId lease_;
    StoreOpId leaseOp_; // grant or renewal in progress; 0 for none
    StoreOpId recordOp_;
    Revision recordRevision_; // 0: the record is not written, or its write must be repeated
    bool recordLeaving_ = false; // leaving_ in the written record
    std::uint64_t startOrder_ = 0;
    TimePoint renewAt_; // next grant or renewal
    TimePoint nextRecordWriteAt_;
    TimePoint leaseConfirmedAt_; // send time of the last successful grant or renewal

    // Store
    std::map<StoreOpId, PendingOp> pendingOps_;
    WatchState memberWatch_;
    WatchState ownerWatch_;
    TimePoint storeAnsweredAt_; // latest send time of an operation that the store answered
    bool storeReachedOnce_ = false;
    bool outage_ = false; // the last result was Unavailable or Unknown
    TimePoint noClaimsBefore_; // end of OutageGrace

    // Members and tables
    std::map<DaemonId, MemberEntry> members_;
    std::map<RegionId, OwnerTable> tables_;
    std::map<RegionId, std::set<ShardId>> instanceGroups_; // groups in the instance lists seen so far
    std::map<ShardId, TimePoint> vacantSince_; // shards whose holder has no member record
    std::map<RegionId, TimePoint> regionEmptySince_; // regions without members
    TimePoint nextClaimsAt_; // next search for vacant shards
    std::map<ShardId, HeldShard> receivedHandovers_; // shards offered to this daemon, with the sender's epoch
    std::map<ShardId, Epoch> heldShards_; // derived from tables_, releasedShards_ and newerHolders_, see updateHeld
    std::map<ShardId, ReleasedShard> releasedShards_;
    // Holders from heartbeats whose epoch exceeds the table's.
    std::map<ShardId, std::pair<DaemonId, Epoch>> newerHolders_;
    std::vector<OwnershipChange> changes_; // since the last takeOwnershipChanges
    ShardId shardToMove_; // shard to release for load balance; empty for none
    TimePoint nextMoveAt_;
    // Set after a pause or a lost lease: others may hold this daemon's shards. No claims, and held shards count as
    // unreachable, until the tables were read or the read failed.
    bool ownershipUncertain_ = false;
    StoreOpId ownershipListOp_;
    Directory directory_;
    bool directoryDirty_ = false; // directory_ must be rebuilt, by the end of the next tick at the latest
    std::uint64_t directoryBuilds_ = 0;

    // Peers
    std::map<DaemonId, PeerState> peers_;
    std::vector<PeerAddress> peerSet_; // last PeerSet sent to the transport, ascending by daemon
    std::vector<GroupLoad> localLoads_; // of groups held by this daemon
    // Held shards and their loads, as sent in heartbeats. Empty while ownershipUncertain_.
    std::map<ShardId, TimestampedValue<Epoch>> heartbeatShards_;
    std::map<ShardId, TimestampedValue<GroupLoad>> heartbeatLoads_;
    std::map<ShardId, GroupLoad> loads_; // newest load of each group, from any holder

    // Freshness
    PeerFreshness ownFreshness_;
    TimePoint ownFreshnessSetAt_;
    bool ownHeadKnown_ = false; // ownFreshness_.headAgeMs_ is known
    // Set at the start and after a pause of ReplacementThreshold. Until a lease renewal succeeds, this daemon may not
    // be among those that a sign-off asks, so it does not count as quiet.
    bool renewalRequired_ = true;
    BundleVersion bundleVersion_; // of the bundle in force
    BundleVersion highestPeerVersion_; // highest version in received heartbeats
    std::map<DaemonId, ReceivedFreshness> receivedFreshness_;
    std::vector<DaemonId> voters_; // daemons named by the head; empty when not known
    std::map<DaemonId, TimePoint> recordSeenAt_; // by voter as of the last tick: when its member record was last seen
    std::set<DaemonId> departedDaemons_; // daemons that left or were replaced by a later incarnation

    // Leave
    bool leaving_ = false;
    bool recordRemoved_ = false; // removed with the lease, or the lease has expired
    TimePoint lastReleaseAt_; // start of the leave, or the latest release of a shard
    bool revoking_ = false; // a revocation of the lease is in progress
    bool revokeAttempted_ = false; // the lease is no longer renewed
    TimePoint firstRevokeAt_;
    TimePoint revokeRetryAt_; // earliest next attempt
};

// member_record.cpp
void tickRecord(Membership &m, Context &context);
void onRecordResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context);

// Sends a store operation. When no result arrives within `timeout`, the result is taken as Unknown.
StoreOpId sendMemberOp(Membership &m, Context &context, PendingOp op, StoreOp storeOp,
                       Milliseconds timeout = OpTimeout);

// member_watch.cpp
void tickWatches(Membership &m, Context &context);
void onWatchResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context);
void updatePeerSet(Membership &m, Context &context);

// ownership_table.cpp
// Replaces the known table by a newer one. False when the entry is not newer or is malformed.
bool applyTable(Membership &m, const RegionId &region, const StoreEntry &entry);

// Starts a read of the table, or marks the table to be read after the operation in progress.
void readTable(Membership &m, const RegionId &region, Context &context);

// Recomputes heldShards_ and notes the changes.
void updateHeld(Membership &m);
void rebuildDirectory(Membership &m);
void onTableResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context);

// Null when no table names the shard. Valid until the table changes.
const OwnerRow *findRow(const Membership &m, const ShardId &shard);

// claim_cmd.cpp
void tickClaims(Membership &m, Context &context);

// handover_cmd.cpp
void tickHandovers(Membership &m, Context &context);
void tickLeave(Membership &m, Context &context);

// Daemon that should hold the shard next: the rendezvous choice among connected candidates, or among all candidates
// when none is connected. Empty when there is no candidate.
DaemonId nextHolder(const Membership &m, const ShardId &shard, bool includeSelf);

// heartbeat.cpp
void tickHeartbeats(Membership &m, Context &context);

// freshness.cpp
// Freshness of this daemon at m.now_, for heartbeats and condition (b).
PeerFreshness currentOwnFreshness(const Membership &m);

// Keeps the newest freshness of each daemon in the heartbeat, which was sent at `reportedAt` or later.
void applyFreshness(Membership &m, const DaemonId &from, const Heartbeat &message, TimePoint reportedAt);

// Freshness of other daemons that a relay passes on: of its own region's daemons to other regions, of all others to its
// own region. Empty while the store is reached, since only condition (b) needs it.
std::vector<PeerFreshness> relayedFreshness(const Membership &m, bool toOwnRegion);

// Updates which voters have a member record and which have been replaced.
void tickVoters(Membership &m);

inline bool isMember(const Membership &m, const DaemonId &daemon)
{
    return m.members_.contains(daemon);
}

// True when the daemon's member record or its last heartbeat says that the daemon is leaving.
bool isLeavingMember(const Membership &m, const DaemonId &daemon);

// Daemons that may claim shards of the region, ascending: its members that are not leaving. When all of them are
// leaving, or the region has had no member for RegionGrace: the members of all regions that are not leaving. Empty
// before RegionGrace has passed.
std::vector<DaemonId> eligibleDaemons(const Membership &m, const RegionId &region);

// Rank of the daemon among the candidates by rendezvous hashing of the shard; 0 is the preferred holder.
std::size_t rendezvousRank(const ShardId &shard, const std::vector<DaemonId> &candidates, const DaemonId &daemon);

} // namespace mimosapier
