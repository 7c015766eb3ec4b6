// State of Membership and the functions that its files share.
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
constexpr Milliseconds StoreRetry{200}; // between tries of a write that failed
constexpr Milliseconds WatchRetry{500}; // between tries of a watch that failed
constexpr Milliseconds WatchWait{10'000};
constexpr Milliseconds WatchPause{50}; // bounds the calls of a watch while its prefix changes all the time
constexpr Milliseconds OpTimeout{5000}; // an operation without a result counts as Unknown after this time
constexpr Milliseconds PauseGap{1000}; // between two calls; ticks come every 20 ms, so a longer gap is a pause
constexpr Milliseconds VacancyGrace{1000}; // time without a record after which a holder's shards are vacant
constexpr Milliseconds OutageGrace{3000}; // no claims so soon after an outage: all records are written again then
constexpr Milliseconds RegionGrace{3000}; // time without members after which other regions claim
constexpr Milliseconds ClaimStep{5000}; // the next daemon in rank claims when the one before has not for this time
constexpr Milliseconds ClaimInterval{100}; // between evaluations of vacancies
constexpr Milliseconds BalanceInterval{3000}; // between shards that are moved to even out the load
constexpr Milliseconds BalanceAge{5000}; // time for which a daemon is a member before shards are moved to it
constexpr Milliseconds HandoverRepeat{1000}; // until the table shows the new holder
constexpr Milliseconds LeaveBound{5000}; // wait for new holders before the record is removed
constexpr Milliseconds HeartbeatInterval{500};
constexpr Milliseconds RemoteHeartbeatInterval{1000};
constexpr Milliseconds StateInterval{5000}; // between heartbeats with all loads and shards
constexpr Milliseconds StoreReachAge{3000}; // without an answer for this time the store counts as unreachable
constexpr Milliseconds FreshFor{5000}; // section 6 of docs/design.md

// A daemon without store contact for QuietFor does not count as quiet for condition (b), and a voter without a record
// for VoterRetention need not be asked before a sign-off. The difference covers the lease and clock drift; together
// they let sign-offs go on after a majority of the daemons is lost for good.
constexpr Milliseconds QuietFor{540'000};
constexpr Milliseconds VoterRetention{600'000};

// With more members than this in another region, only its relay and holders of shards are connected to.
constexpr std::size_t MaxRemotePeers = 16;
// A daemon that pauses for longer than its lease may have been replaced, and then nobody asks it before a sign-off.
constexpr Milliseconds ReplacedGap = MemberLease;
constexpr std::size_t SentTimesKept = 16; // heartbeats per peer whose time of sending is remembered

// Value of a store key members/<region>/<daemon>.
struct MemberRecord
{
    RegionId region_;
    ZoneId zone_;
    std::string peerAddress_; // "ip:port"
    std::uint64_t startOrder_ = 0; // revision of the store when the daemon started
    bool leaving_ = false;
};

// Row of an ownership table. The value of owners/<region> is an array of rows, ascending by shard.
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
    StoreOpId pending_; // claim or read under way; 0 for none
    bool mustRead_ = false; // an answer was lost; no claim before a read
    TimePoint retryAt_;
};

struct MemberEntry
{
    MemberRecord record_;
    TimePoint since_; // when this daemon first saw the record
};

struct PeerState
{
    bool up_ = false;
    bool leaving_ = false;
    std::uint64_t sent_ = 0; // sequence of the last heartbeat to the peer
    std::deque<std::pair<std::uint64_t, TimePoint>> sentTimes_; // newest last
    std::uint64_t received_ = 0; // highest sequence got
    TimePoint nextSend_;
    TimePoint nextState_; // of a heartbeat with all loads and shards
    TimePoint echoedAt_; // when the newest heartbeat that the peer echoed was sent
};

// A value that heartbeats carry, and when it last changed.
template <typename T>
struct Changing
{
    T value_;
    TimePoint changedAt_;
};

// What a daemon said about its knowledge of the head.
struct Statement
{
    PeerFreshness freshness_;
    TimePoint saidAt_; // not later than when the daemon said it
    TimePoint headAt_; // not later than when freshness_.version_ was the head; meaningless without headKnown_
    bool headKnown_ = false;
};

enum class OpKind : std::uint8_t { Grant, Renew, Record, Revoke, Members, Owners, ReadOwners, Claim, ReadTable };

struct PendingOp
{
    OpKind kind_ = OpKind::Renew;
    RegionId region_; // of Claim and ReadTable
    TimePoint sentAt_;
    TimePoint giveUpAt_;
    bool leaving_ = false; // Record: the flag that is being written
    std::string value_; // Claim: the table that is being written
};

// A watch on a prefix. The first call is a list.
struct WatchState
{
    StoreOpId pending_;
    Revision after_;
    bool known_ = false; // a first answer came
    TimePoint nextAt_;
};

struct Released
{
    Epoch epoch_;
    TimePoint repeatAt_; // of the Handover
    TimePoint since_;
};

struct Membership
{
    MemberSettings settings_;
    TimePoint now_; // of the latest call
    bool started_ = false;

    // Record and lease
    StoreLeaseId lease_;
    StoreOpId leaseOp_; // grant or renewal under way
    StoreOpId recordOp_;
    Revision recordRevision_; // 0: not written
    bool recordLeaving_ = false; // flag of the written record
    std::uint64_t startOrder_ = 0;
    TimePoint renewAt_;
    TimePoint recordAt_; // earliest time of the next try
    TimePoint leaseOkAt_; // sending of the last grant or renewal that succeeded

    // Store
    std::map<StoreOpId, PendingOp> pending_;
    WatchState memberWatch_;
    WatchState ownerWatch_;
    TimePoint storeOkAt_; // sending of the latest operation that succeeded
    bool storeReached_ = false;
    bool outage_ = false; // the last answer was a failure
    TimePoint noClaimsBefore_;

    // Members and tables
    std::map<DaemonId, MemberEntry> members_;
    std::map<RegionId, OwnerTable> tables_;
    std::map<RegionId, std::set<ShardId>> wanted_; // racks of the instance list
    std::map<ShardId, TimePoint> vacantSince_;
    std::map<RegionId, TimePoint> emptySince_; // regions without members
    TimePoint nextClaims_;
    std::map<ShardId, HeldShard> handovers_; // offered to this daemon; epoch_ is the sender's
    std::map<ShardId, Epoch> held_;
    std::map<ShardId, Released> released_; // stopped here; the table still names this daemon
    std::map<ShardId, std::pair<DaemonId, Epoch>> heard_; // holders with a higher epoch than the table's
    std::vector<OwnershipChange> changes_;
    ShardId moving_; // shard to release for balance; empty for none
    TimePoint nextMove_;
    bool suspect_ = false; // may have been paused past the lease; the tables must be read first
    StoreOpId suspectOp_;
    Directory directory_;
    bool directoryDirty_ = false;
    std::uint64_t directoryBuilds_ = 0;

    // Peers
    std::map<DaemonId, PeerState> peers_;
    std::vector<PeerAddress> peerSet_;
    std::vector<GroupLoad> localLoads_;
    std::map<ShardId, Changing<Epoch>> sharedShards_; // held shards as heartbeats carry them
    std::map<ShardId, Changing<GroupLoad>> sharedLoads_; // of the groups among them
    std::map<ShardId, GroupLoad> loads_; // of other holders

    // Freshness
    PeerFreshness own_;
    TimePoint ownAt_; // when own_ was set
    bool ownHeadKnown_ = false;
    bool blocked_ = true; // not quiet until the store was reached: at the start and after a pause
    BundleVersion applied_; // version of the bundle in force
    BundleVersion heardVersion_;
    std::map<DaemonId, Statement> statements_;
    std::vector<DaemonId> voters_;
    std::map<DaemonId, TimePoint> recordSeen_; // last time a voter had a record
    std::set<DaemonId> goneForGood_; // left, or replaced by a later incarnation

    // Leave
    bool leaving_ = false;
    bool recordGone_ = false;
    TimePoint leaveAt_; // when the last shard was released
    bool revoking_ = false;
    bool revokeTried_ = false; // from then on the lease is not renewed
    TimePoint revokeAt_; // of the first try
    TimePoint revokeRetryAt_;
};

// member_record.cpp
void tickRecord(Membership &m, Context &context);
void onRecordResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context);
StoreOpId sendMemberOp(Membership &m, Context &context, PendingOp op, StoreOp storeOp, Milliseconds bound = OpTimeout);

// member_watch.cpp
void tickWatches(Membership &m, Context &context);
void onWatchResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context);
void updatePeerSet(Membership &m, Context &context);

// ownership_table.cpp
bool applyTable(Membership &m, const RegionId &region, const StoreEntry &entry);
void readTable(Membership &m, const RegionId &region, Context &context);
void updateHeld(Membership &m);
void rebuildDirectory(Membership &m);
void onTableResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context);
const OwnerRow *findRow(const Membership &m, const ShardId &shard);

// claim_cmd.cpp
void tickClaims(Membership &m, Context &context);

// handover_cmd.cpp
void tickHandovers(Membership &m, Context &context);
void tickLeave(Membership &m, Context &context);
DaemonId nextHolder(const Membership &m, const ShardId &shard, bool withSelf);

// heartbeat.cpp
void tickHeartbeats(Membership &m, Context &context);

// freshness.cpp
PeerFreshness ownStatement(const Membership &m);
void takeStatements(Membership &m, const DaemonId &from, const Heartbeat &message, TimePoint saidAt);
std::vector<PeerFreshness> relayedStatements(const Membership &m, bool toOwnRegion);
void tickVoters(Membership &m);

inline bool isMember(const Membership &m, const DaemonId &daemon)
{
    return m.members_.contains(daemon);
}

bool isLeavingMember(const Membership &m, const DaemonId &daemon);

// Daemons that may hold shards of the region: its members that are not leaving, or all when it has none.
std::vector<DaemonId> eligibleDaemons(const Membership &m, const RegionId &region);

// Shard with the daemon's rank for it among the candidates; 0 is the rendezvous choice.
std::size_t rendezvousRank(const ShardId &shard, const std::vector<DaemonId> &candidates, const DaemonId &daemon);

} // namespace mimosapier
