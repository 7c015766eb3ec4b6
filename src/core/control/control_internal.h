// Constants and functions shared by the sources of this folder; no other folder includes this file.
#pragma once

#include "core/cell/fencing_func.h"
#include "core/common/json_func.h"
#include "core/control/control_func.h"

namespace mimosapier::detail
{

// Requests kept while a new leader reads the jobs: about 50 s of arrivals at the present size of deployments.
constexpr std::size_t MaxDeferredRequests = 2'000;

// First delay after a failed store call. Doubles with each further failure, since the store also charges for refused
// calls.
constexpr Milliseconds StoreRetryDelay{150};
constexpr unsigned MaxDoublings = 2; // of StoreRetryDelay
// For reading a whole key range: the records of 350 runners are about 200 KB, and links of 10 Mbit/s or a busy instance
// slow the read down.
constexpr Milliseconds ReadTimeout{3'000};

constexpr std::string_view EpochKey = "cluster/epoch";
// Tells daemons that have just started of the leaders before the present one.
constexpr std::string_view FormerLeadersKey = "cluster/leaders";
// Tells them of the daemons that may follow these leaders, see storeFollowers().
constexpr std::string_view FollowersKey = "cluster/followers";
constexpr std::string_view ClusterPrefix = "cluster/";
constexpr std::string_view MemberPrefix = "cluster/member/";

// A leader that neither the store nor a peer has confirmed for this long steps down. A confirmation by beacons is up to
// 800 ms old: the intervals of the beacons of both sides, and the transfer between regions.
constexpr Milliseconds IsolationLimit{2'000};

// Starts a structured log line with the event name.
inline JsonObject beginLogLine(std::string_view event)
{
    JsonObject object;
    object.text("event", event);
    return object;
}

// Ends a log line and appends it to the actions.
inline void appendLogLine(ControlActions &actions, JsonObject &object, LogLevel level = LogLevel::Info)
{
    actions.cell_.log_.push_back({level, object.finish()});
}

// Appends a store call, with the next free call id, to the actions. Result: the call id. Defined in session.cpp.
std::uint64_t sendKvCall(Control &control, KvCall call, ControlActions &actions);

// feeds.cpp: watches of the store, and the configuration.
// Starts the next read or watch of each feed that has no call in flight.
void pollFeeds(Control &control, CellTime now, ControlActions &actions);
void handleFeedReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions);
// Decodes a configuration and puts it in force unless it is malformed or older than the current one.
// `proofAt`: time at which `text` was the newest version; empty: not known. `source` is used for the log.
void adoptConfig(Control &control, std::string_view text, TimePoint proofAt, std::string_view source, TimePoint now,
                 ControlActions &actions);

// zones.cpp: evacuated availability zones.
// Applies a complete read of the operator's keys.
void readZones(Control &control, const KvReply &read, CellTime now, ControlActions &actions);
// Applies a watch of the operator's keys.
void updateZones(Control &control, const KvReply &watch, CellTime now, ControlActions &actions);
// Adopts the set of a peer if it is known up to a higher revision and the own watch fails.
void adoptZones(Control &control, const DaemonId &from, const CellBeacon &beacon, CellTime now,
                ControlActions &actions);

// session.cpp: lease at the store and member record.
// Time to live of each daemon's session.
Milliseconds sessionTtl(const Control &control);
// Grants or renews the lease, and writes the member record, when due.
void pollSession(Control &control, CellTime now, ControlActions &actions);
void handleSessionReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions);

// leadership.cpp: cluster keys, election, stepping down, recovery.
// Applies a change of a key under ClusterPrefix.
void applyClusterItem(Control &control, const KvItem &item, CellTime now, ControlActions &actions);
// Applies a complete read of ClusterPrefix: keys that are not in `items` do not exist.
void applyClusterSnapshot(Control &control, const std::vector<KvItem> &items, CellTime now, ControlActions &actions);
// Records the leader of an epoch, unless a higher epoch, or a leader of the same one, is known. Steps down if this
// daemon leads in a lower epoch. Of an epoch of its own that it does not lead in, a daemon records only the number: it
// begins to lead when the store shows the election. `source` is used for the log.
void learnEpoch(Control &control, CellEpoch epoch, const DaemonId &leader, std::string_view source, CellTime now,
                ControlActions &actions);
// Steps down when this daemon may not lead any more, and sends the election transaction when one is due.
void pollElection(Control &control, CellTime now, ControlActions &actions);
void handleElectionReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions);
// Ends the own leadership, if any. `cause` is used for the log.
void stepDown(Control &control, std::string_view cause, CellTime now, ControlActions &actions);
// Reads the stored state after this daemon has won an election, and builds the cell's state once all reads are done.
void pollRecovery(Control &control, CellTime now, ControlActions &actions);
void handleRecoveryReply(Control &control, const KvReply &reply, CellTime now);
bool isLeader(const Control &control);
// True when this daemon leads or is connected to the leader. Defined in control.cpp.
bool isLeaderReachable(const Control &control);

// former_leaders.cpp: earlier leaders that may still act.
// Parses the value of the epoch key, "<epoch> <daemon>".
bool parseEpoch(std::string_view text, CellEpoch &epoch, DaemonId &leader);
// Records that the daemon, unless it is this one, has led in the epoch and may have renewed its session until `now`.
void addFormerLeader(Control &control, CellEpoch epoch, const DaemonId &daemon, TimePoint now);
// Records that the leader of an epoch is known. Result: false if it was known before.
bool addKnownEpoch(Control &control, CellEpoch epoch);
// Value of FormerLeadersKey for a new leader: the leaders before it that may still act, one a line, each as in the
// epoch key.
std::string encodeFormerLeaders(const Control &control);
// Adds the leaders of earlier epochs that the key names and this daemon does not know.
void learnFormerLeaders(Control &control, std::string_view text, TimePoint now);
// True when a later process with the name of the daemon has registered.
bool isReplaced(const Control &control, const DaemonId &daemon);
// Forgets the former leaders that make no more calls.
void removeEndedLeaders(Control &control, TimePoint now);
// Lowers Cell::formerLeadersEndBy_ as earlier leaders are found to have ended.
void updateFormerLeadersEnd(Control &control, CellTime now, ControlActions &actions);
// Empties the stored lists of former leaders and their followers once all of them have ended.
void emptyFormerLeadersKey(Control &control, TimePoint now, ControlActions &actions);
void handleFormerLeadersReply(Control &control, const KvReply &reply, CellTime now);
// Parses the value of FollowersKey. Result: empty if any part of it is malformed.
FormerFollowers parseFollowers(std::string_view text);
// Stores which daemons may follow the former leaders for which this leader can tell.
void storeFollowers(Control &control, TimePoint now, ControlActions &actions);
void handleFollowersReply(Control &control, const KvReply &reply, CellTime now);

// requests.cpp: client requests and the routing of replies.
// True for new work that reaches a leader while it is leaving. The leader defers such a request and answers NotLeader
// when it steps down, and the next leader accepts the request shortly after.
bool waitsForNextLeader(const Control &control, const CellRequest &request);
// Sends the leader each open request that was not sent to this leader yet.
void forwardRequests(Control &control, CellTime now, ControlActions &actions);
// Moves replies and policy queries out of actions.cell_: those for this daemon are handled here, the others are sent to
// their daemon.
void routeRepliesAndQueries(Control &control, CellTime now, ControlActions &actions);
// Answers the open request that `reply` of the leader `from` belongs to. After NotLeader the request stays open and is
// forwarded again.
void handleCellReply(Control &control, const DaemonId &from, const CellReply &reply, CellTime now,
                     ControlActions &actions);
// Answers open requests that are past their deadline or that no leader took in time.
void expireRequests(Control &control, CellTime now, ControlActions &actions);
// True when the configuration is recent enough to exclude revoked API keys. Defined in feeds.cpp.
bool configIsFresh(const Control &control, TimePoint now);

// relay.cpp: calls to runners through other daemons.
// In a large cluster, moves the runner calls of the own cell to relays.
void relayCalls(Control &control, CellTime now, ControlActions &actions);
// Sends the replies collected in this batch to the leaders that asked for the calls.
void sendRelayReplies(Control &control, ControlActions &actions);
// Makes calls to runners on behalf of the leader `from`.
void makeRelayedCalls(Control &control, const DaemonId &from, const RelayedCalls &calls, CellTime now,
                      ControlActions &actions);
// Answers those calls of this batch that were made for a leader whose epoch is over as fenced, instead of making them.
// A runner that has restarted would not refuse them: it has seen no later fencing token. Starts in an evacuated zone
// are answered as unknown: an earlier copy of the call may have been made.
void refuseRelayedCalls(Control &control, CellTime now, ControlActions &actions);
// Handles the replies of the relay `from`.
void handleRelayedReplies(Control &control, const DaemonId &from, const RelayedReplies &replies, CellTime now,
                          ControlActions &actions);
// Ends calls that have no reply in time or whose relay is `lostRelay` (empty: none). Their outcome is unknown: the
// relay may have made them.
void expireRelayedCalls(Control &control, const DaemonId &lostRelay, CellTime now, ControlActions &actions);

// control.cpp: beacons and connections between daemons.
// Sends a beacon to each connected peer when due, and tells the cell which daemons can make policy queries.
void sendBeacons(Control &control, CellTime now, ControlActions &actions);
// Forgets members that are gone, and updates the set of daemons to connect to.
void updatePeerSet(Control &control, CellTime now, ControlActions &actions);

} // namespace mimosapier::detail
