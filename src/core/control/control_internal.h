// Functions shared by the sources of this folder.
#pragma once

#include "core/common/json_func.h"
#include "core/control/control_func.h"

namespace mimosapier::detail
{

// Requests kept while a new leader reads the jobs; about 50 s of arrivals at today's sizes.
constexpr std::size_t MaxDeferredRequests = 2'000;

constexpr Milliseconds RetryDelay{150}; // after a call without an answer; doubles, since refused calls are priced
constexpr unsigned MaxDoublings = 2; // of RetryDelay
// Of a read of a whole space: 350 runners are about 200 KB, over links of 10 Mbit/s and to a busy instance.
constexpr Milliseconds ReadTimeout{3'000};

constexpr std::string_view EpochKey = "cluster/epoch";
constexpr std::string_view ClusterPrefix = "cluster/";
constexpr std::string_view MemberPrefix = "cluster/member/";

inline JsonObject controlEvent(std::string_view event)
{
    JsonObject object;
    object.text("event", event);
    return object;
}

inline void controlLog(ControlActions &actions, JsonObject &object, LogLevel level = LogLevel::Info)
{
    actions.cell_.log_.push_back({level, object.finish()});
}

inline std::int64_t ageMs(TimePoint now, TimePoint then)
{
    return then == TimePoint{} ? -1 : std::chrono::duration_cast<Milliseconds>(now - then).count();
}

// Sends a call of the control to the store.
void sendKvCall(Control &control, KvCall call, ControlActions &actions);

// feeds.cpp
void pollFeeds(Control &control, CellTime now, ControlActions &actions);
void handleFeedReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions);
void adoptConfig(Control &control, std::string_view text, TimePoint proofAt, std::string_view source, TimePoint now,
                 ControlActions &actions);

// session.cpp
void pollSession(Control &control, CellTime now, ControlActions &actions);
void handleSessionReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions);

// leadership.cpp
void applyClusterItem(Control &control, const KvItem &item, CellTime now, ControlActions &actions);
void applyClusterSnapshot(Control &control, const std::vector<KvItem> &items, CellTime now, ControlActions &actions);
void learnEpoch(Control &control, CellEpoch epoch, const DaemonId &leader, std::string_view source, CellTime now,
                ControlActions &actions);
void pollElection(Control &control, CellTime now, ControlActions &actions);
void handleElectionReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions);
void stepDown(Control &control, std::string_view cause, CellTime now, ControlActions &actions);
void pollRecovery(Control &control, CellTime now, ControlActions &actions);
void handleRecoveryReply(Control &control, const KvReply &reply, CellTime now);
bool isLeader(const Control &control);
bool isLeaderReachable(const Control &control);

// requests.cpp
bool waitsForNextLeader(const Control &control, const CellRequest &request);
void forwardRequests(Control &control, CellTime now, ControlActions &actions);
void routeRepliesAndQueries(Control &control, CellTime now, ControlActions &actions);
void handleCellReply(Control &control, const DaemonId &from, const CellReply &reply, CellTime now,
                     ControlActions &actions);
void expireRequests(Control &control, CellTime now, ControlActions &actions);
bool configIsFresh(const Control &control, TimePoint now);

// relay.cpp
void relayCalls(Control &control, CellTime now, ControlActions &actions);
void sendRelayReplies(Control &control, ControlActions &actions);
void makeRelayedCalls(Control &control, const DaemonId &from, const RelayedCalls &calls, ControlActions &actions);
void handleRelayedReplies(Control &control, const RelayedReplies &replies, CellTime now, ControlActions &actions);
void expireRelayedCalls(Control &control, const DaemonId &lostRelay, CellTime now, ControlActions &actions);

void sendBeacons(Control &control, CellTime now, ControlActions &actions);
void updatePeerSet(Control &control, CellTime now, ControlActions &actions);

} // namespace mimosapier::detail
