// State of the control logic of one cell daemon: store session, members, leader, configuration, open client requests.
// Only the functions of this folder change it; tests read it.
//
// Invariants:
// - cell_ is set only while this daemon leads, as far as the daemon knows.
// - A request that needs an API key is forwarded only while configProofAt_ is recent enough to exclude revoked keys.
// - A request is answered with an error other than OutcomeUnknown only when no leader can have accepted it.
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

// A client request that has not been answered yet.
struct OpenRequest
{
    CellRequest request_;
    TimePoint arrivedAt_;
    TimePoint deadline_;
    DaemonId sentTo_; // leader that the request was last sent to; empty: to be sent
    std::uint32_t leadersAsked_ = 0; // leaders to which the request was sent, without those that answered NotLeader
};

// Another daemon of the cell.
struct ClusterMember
{
    std::string address_; // "ip:port"; empty: unknown
    std::string zone_; // availability zone
    bool listed_ = false; // its member record is in the store
    std::uint64_t recordRevision_ = 0; // store revision of its latest known member record; 0: none
    TimePoint seenAt_; // last sign of the member: record, beacon, or change of the connection
    bool connected_ = false;
    CellEpoch epoch_; // epoch in its last beacon
    bool leaderSeen_ = false; // last beacon: the member leads or is connected to the leader of epoch_
    CellEpoch retired_; // highest epoch in which the member is known to have led and stepped down
    TimePoint lastBeaconAt_; // arrival of its last beacon
    TimePoint storeAnsweredAt_; // upper bound of the time of the store's last answer to the member; empty: never
    std::uint64_t beaconsSent_ = 0; // to the member; sequence number of the latest one
    std::uint64_t lastBeaconSequence_ = 0; // highest sequence number received from the member
    std::map<std::uint64_t, TimePoint> beaconSendTimes_; // of the latest beacons to the member, by sequence number
    // Send time of the latest beacon to the member that one of its beacons has echoed since it was connected: what it
    // sends after that echo was sent later than this. Empty: none.
    TimePoint echoedBeaconSentAt_;
};

// A leader of an earlier epoch that is not known to have ended.
struct FormerLeader
{
    DaemonId daemon_;
    TimePoint actsUntil_; // it makes no calls after this time
    // Since when no other daemon can have confirmed to it that it leads, see noteIsolatedLeaders(); empty: not known.
    TimePoint isolatedSince_;
};

// A daemon that may confirm to a former leader that it leads.
struct FormerFollower
{
    DaemonId daemon_;
    std::uint64_t recordRevision_ = 0; // store revision of its latest known member record; 0: none
};

// The daemons that may follow former leaders, by the epoch in which these led.
using FormerFollowers = std::map<CellEpoch, std::vector<FormerFollower>>;

enum class RecoveryStage : std::uint8_t { None, Reading, Done };

// Paged read of one part of the stored state by a new leader. The parts are read in parallel.
struct RecoveryRead
{
    std::vector<KvItem> items_;
    std::string after_; // last key of the previous page
    bool callInFlight_ = false;
    bool done_ = false;
    TimePoint retryAt_;
};

enum RecoveryPart : std::uint8_t { JobsPart, ProgressPart, RunnersPart, PastUsePart, RecoveryPartCount };

// State of the calls that keep a local copy of one key range of the store current: a read, then watches. The copies are
// config_ and evacuatedZones_; members_, leader_ and epoch_; and the runners of cell_.
struct Feed
{
    std::uint64_t callInFlight_ = 0; // id of the call; 0: none
    bool synced_ = false; // the read is complete; the next calls are watches
    std::string afterKey_; // last key of the page read last; empty: the next read starts with the first page
    KvReply pages_; // the pages read so far, for feeds that apply a read as a whole
    std::uint64_t revision_ = 0; // store revision up to which all changes are known
    TimePoint nextCallAt_;
    std::uint32_t failures_ = 0; // failed calls since the last successful one
};

// The daemon's session with the store. The member record, and the leader key of a leader, are attached to its lease.
struct Session
{
    std::uint64_t lease_ = 0; // id of the lease; 0: none
    TimePoint validUntil_; // the lease does not expire before this time
    bool callInFlight_ = false; // a grant or a renewal is in flight
    bool registered_ = false; // the member record is in the store
    std::uint64_t recordRevision_ = 0; // store revision of the latest known own member record; 0: none
    bool registering_ = false; // the call that writes the member record is in flight
    TimePoint nextCallAt_;
    std::uint32_t failures_ = 0; // failed calls since the last successful grant or renewal
};

// A call to a runner that another daemon makes for this leader.
struct RelayedCall
{
    DaemonId relay_;
    FencingToken token_; // of the call
    RunnerReply unknownReply_; // reply with an unknown outcome, used when the relay does not answer
    TimePoint expiresAt_;
};

// A call to a runner that this daemon makes for a leader.
struct RelayOrigin
{
    DaemonId leader_;
    std::uint64_t callId_ = 0; // of the leader
    FencingToken token_; // of the call
    CellEpoch ownEpoch_; // highest epoch that this daemon knew when it made the call
    TimePoint receivedAt_;
    // The leader sent the call later than this; empty: not known. A call that is sent again after the loss of a
    // connection may arrive after later beacons, and then seems younger than it is.
    TimePoint sentAfter_;
};

struct Control
{
    ControlSettings settings_;
    CellDecoders decoders_;
    std::mt19937_64 random_;
    std::uint64_t nextKvId_ = 1;
    TimePoint startedAt_;

    CellConfig config_;
    std::string configText_; // config_ as the operator wrote it; sent to peers that ask for the configuration
    TimePoint configProofAt_; // latest time at which config_ is known to have been the newest version
    std::unordered_map<std::string, std::size_t> accountOfKey_; // API key -> index in config_.accounts_

    // Evacuated availability zones; without effect while zonesRevision_ is 0.
    std::set<std::string> evacuatedZones_;
    std::uint64_t zonesRevision_ = 0; // store revision up to which evacuatedZones_ is known; 0: not known
    TimePoint zonesLearnedAt_; // arrival of the latest read, watch or beacon that has set zonesRevision_

    Session session_;
    Feed configFeed_;
    Feed clusterFeed_;
    Feed runnerFeed_; // used by the leader only
    TimePoint storeAnsweredAt_; // arrival of the store's last answer
    TimePoint answeredCallSentAt_; // latest send time of a call that the store answered
    TimePoint storeFailingSince_; // send time of the first failed call after the last answered one; empty: none failed
    Milliseconds storeLatency_{20}; // smoothed latency of config reads and session renewals

    std::map<DaemonId, ClusterMember> members_; // without this daemon
    CellEpoch epoch_; // highest known
    std::uint64_t epochKeyRevision_ = 0; // store revision of the epoch key; 0: the key does not exist
    // Leader of epoch_; empty: unknown, or this daemon was elected and does not lead (yet, or any more). It is this
    // daemon only while cell_ is set.
    DaemonId leader_;
    DaemonId lastLeader_; // last known leader; not cleared when that leader steps down
    CellEpoch lastLeaderEpoch_; // epoch in which lastLeader_ led
    bool leaderKeyExists_ = false;
    std::uint64_t leaderKeyRevision_ = 0; // store revision of the leader key; 0: the key does not exist
    bool mayReplaceLeader_ = false; // an election may replace a leader key that still exists, see pollElection()
    // When the connection to a leader was last lost, or the leader was found silent; empty: never.
    TimePoint leaderDisconnectedAt_;
    TimePoint leaderHeardAt_; // arrival of the last message of leader_, or when it became known or was connected
    bool leaderSilent_ = false; // connected, but nothing was heard of the leader for LeaderSilenceLimit
    // While leading: the latest beacon of which a peer has confirmed the arrival without knowing of a later leader was
    // sent at this time. Empty: none in this epoch.
    TimePoint followedAt_;
    std::map<CellEpoch, FormerLeader> formerLeaders_; // by the epoch in which they led; without this daemon
    bool storesFormerLeaders_ = false; // the stored list of former leaders may name some; used by the leader only
    bool storingFormerLeaders_ = false; // the call that empties it is in flight
    TimePoint storeFormerLeadersAt_; // earliest time of that call
    // As stored. The list of an epoch is complete: other daemons cannot confirm to its leader that it leads.
    FormerFollowers storedFollowers_;
    FormerFollowers followersInFlight_; // that the call in flight writes; used by the leader only
    bool storingFollowers_ = false; // the call that writes them is in flight
    TimePoint storeFollowersAt_; // earliest time of that call
    std::set<CellEpoch> knownEpochs_; // the latest epochs whose leaders are or were known
    CellEpoch ownRetiredEpoch_; // highest epoch in which this daemon led and stepped down
    CellEpoch highestRetiredEpoch_; // highest epoch whose leader is known to have stepped down
    bool electing_ = false; // the election transaction is in flight
    CellEpoch electionEpoch_; // epoch that the latest election transaction writes, or renews the leader key for
    TimePoint electionSentAt_; // when the latest election transaction was sent
    TimePoint nextElectionAt_; // earliest time of the next election transaction

    std::unique_ptr<Cell> cell_;
    RecoveryStage recoveryStage_ = RecoveryStage::None;
    std::array<RecoveryRead, RecoveryPartCount> recoveryReads_; // by RecoveryPart
    std::set<RunnerId> discoveredRunners_; // on the pages of the discovery list read so far
    // Requests that this leader cannot handle yet or leaves to its successor, with the daemon that forwarded each. They
    // are handled after recovery, or answered NotLeader on stepping down.
    std::vector<std::pair<DaemonId, CellRequest>> deferredRequests_;

    std::map<std::uint64_t, OpenRequest> requests_; // by call id
    TimePoint nextBeaconAt_;
    TimePoint nextScanAt_; // of peer connections, open requests and relayed calls
    std::map<std::uint64_t, RelayedCall> relayedCalls_; // calls that relays make for this leader, by call id
    std::map<std::uint64_t, RelayOrigin> relayOrigins_; // calls that this daemon makes for leaders, by own call id
    std::uint64_t lastRelayId_ = 0; // number of calls made for other daemons so far; part of their ids
    std::map<DaemonId, RelayedReplies> relayReplies_; // replies of this batch, by the leader that gets them
    PeerSet peerSet_; // last one passed to the transport
    bool leaving_ = false;
    TimePoint leaveStartedAt_;
    TimePoint leaveDeadline_; // all open requests are answered by then
    std::uint64_t releasedKeyRevision_ = 0; // revision of the leader key to be removed on leaving; 0: did not lead
    bool leaderKeyReleased_ = false; // the leader key does not name this daemon any more
    bool releasing_ = false; // the call that removes the leader key is in flight
    TimePoint releaseAt_; // earliest time of the call that removes the leader key
};

} // namespace mimosapier
