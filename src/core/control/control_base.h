// State of one daemon of a cell: session with the store, members, leader, configuration, clients' open requests.
//
// Invariants:
// - cell_ exists only while this daemon leads, as far as it knows.
// - A keyed request is passed on only while configProofAt_ is recent enough for withdrawn keys.
// - A request is answered as refused only when no leader can have accepted it.
#pragma once

#include "core/cell/cell_func.h"
#include "core/control/control_type.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace mimosapier
{

// A client's request without an answer.
struct OpenRequest
{
    CellRequest request_;
    TimePoint arrivedAt_;
    TimePoint deadline_;
    DaemonId sentTo_; // leader that has it; empty: none
    std::uint32_t leadersAsked_ = 0; // leaders that may have it
};

struct ClusterMember
{
    std::string address_;
    std::string zone_; // availability zone
    bool listed_ = false; // its entry is in the store
    std::uint64_t recordRevision_ = 0; // of its entry; 0: none was seen
    TimePoint seenAt_; // listed, or connected, at this time
    bool connected_ = false;
    CellEpoch epoch_; // that its last beacon named
    bool leaderSeen_ = false; // it was connected to the leader then
    TimePoint lastBeaconAt_; // when that beacon came
    TimePoint storeAnsweredAt_; // the store had answered the member by then; empty: never
    std::uint64_t beaconsSent_ = 0;
    std::uint64_t lastBeaconSequence_ = 0; // highest sequence got from it
    std::map<std::uint64_t, TimePoint> beaconSendTimes_; // of the latest beacons sent
};

enum class RecoveryStage : std::uint8_t { None, Reading, Done };

// One of the reads of a recovery; they run side by side.
struct RecoveryRead
{
    std::vector<KvItem> items_;
    std::string after_; // last key of the page before
    bool callOpen_ = false;
    bool done_ = false;
    TimePoint retryAt_;
};

enum RecoveryPart : std::uint8_t { JobsPart, ProgressPart, RunnersPart, RecoveryPartCount };

// A read followed by watches of one key space.
struct Feed
{
    bool callOpen_ = false; // a call is under way
    bool synced_ = false; // the state was read; watches follow
    std::uint64_t revision_ = 0; // changes up to it are known
    TimePoint nextCallAt_;
    std::uint32_t failures_ = 0; // in a row
};

struct Session
{
    std::uint64_t lease_ = 0; // 0: none
    TimePoint validUntil_; // the lease holds at least until then
    bool callOpen_ = false;
    bool registered_ = false;
    bool registering_ = false;
    TimePoint nextCallAt_;
    std::uint32_t failures_ = 0; // in a row
};

// A call to a runner that another daemon makes for this one.
struct RelayedCall
{
    DaemonId relay_;
    RunnerReply unknownReply_; // what is known of the reply beforehand
    TimePoint expiresAt_;
};

struct Control
{
    ControlSettings settings_;
    CellDecoders decoders_;
    std::mt19937_64 random_;
    std::uint64_t nextKvId_ = 1;
    TimePoint startedAt_;

    CellConfig config_;
    std::string configText_; // as written by the operator
    TimePoint configProofAt_; // the configuration was the newest at this time
    std::unordered_map<std::string, std::size_t> accountOfKey_; // index into config_.accounts_

    Session session_;
    Feed configFeed_;
    Feed clusterFeed_;
    Feed runnerFeed_;
    TimePoint storeAnsweredAt_; // last answer of the store
    TimePoint answeredCallSentAt_; // latest time at which a call was sent that was answered
    TimePoint storeFailingSince_; // when the first call was sent after which none was answered; empty: none
    Milliseconds storeLatency_{20}; // of reads, smoothed

    std::map<DaemonId, ClusterMember> members_; // without this daemon
    CellEpoch epoch_; // highest known
    std::uint64_t epochKeyRevision_ = 0; // of its key; 0: the key does not exist
    DaemonId leader_; // of epoch_; empty: none known
    DaemonId lastLeader_; // last leader known, also after it has stopped
    bool leaderKeyExists_ = false; // the leader key exists
    std::uint64_t leaderKeyRevision_ = 0;
    bool mayReplaceLeader_ = false; // this daemon and its peers have lost the leader
    TimePoint leaderDisconnectedAt_; // when the connection to the leader was lost
    DaemonId predecessor_; // leader before this daemon; empty: none
    CellEpoch ownRetiredEpoch_; // highest epoch in which this daemon led and then stopped
    CellEpoch highestRetiredEpoch_; // highest epoch whose leader is known to have stopped
    bool electing_ = false;
    TimePoint nextElectionAt_; // earliest

    std::unique_ptr<Cell> cell_;
    RecoveryStage recoveryStage_ = RecoveryStage::None;
    std::array<RecoveryRead, RecoveryPartCount> recoveryReads_;
    std::string runnersAfterKey_; // last key of the discovery page before
    std::set<RunnerId> discoveredRunners_; // ids of the pages read so far
    std::vector<std::pair<DaemonId, CellRequest>> deferredRequests_; // until the recovery has read the jobs

    std::map<std::uint64_t, OpenRequest> requests_; // by call id
    TimePoint nextBeaconAt_;
    TimePoint nextScanAt_;
    std::map<std::uint64_t, RelayedCall> relayedCalls_; // calls that others make, by id
    std::map<std::uint64_t, std::pair<DaemonId, std::uint64_t>> relayOrigins_; // calls for others: origin and its id
    std::uint64_t lastRelayId_ = 0;
    std::map<DaemonId, RelayedReplies> relayReplies_; // of this batch
    PeerSet peerSet_; // last one given to the transport
    bool leaving_ = false;
    TimePoint leaveStartedAt_;
    TimePoint leaveDeadline_; // all requests are answered by then
    std::uint64_t releasedKeyRevision_ = 0; // of the leader key when this daemon gave its place up; 0: it did not lead
    bool leaderKeyReleased_ = false; // the leader key does not name this daemon any more
    bool releasing_ = false; // the call that releases it is under way
    TimePoint releaseAt_; // earliest time of that call
};

} // namespace mimosapier
