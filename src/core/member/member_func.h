// Membership of one daemon: its member record and lease in the store, the ownership table of each region, claims and
// handover of shards, heartbeats, and the freshness of the configuration.
//
// Called by the node (core/node) on one thread. Performs no I/O: store operations, peer messages and log lines are
// appended to Context::actions_. Does not open or close shards; the node does, see takeOwnershipChanges.
#pragma once

#include "core/common/handle_type.h"
#include "core/common/instance_type.h"
#include "core/message/context_type.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace mimosapier
{

struct Membership;

template <>
void Destroy<Membership>::operator()(Membership *state) const;

struct MemberSettings
{
    DaemonId self_; // "<name>#<incarnation>"
    RegionId region_;
    ZoneId zone_;
    std::string peerAddress_; // "ip:port", published in the member record
};

// A shard that this daemon gained or lost.
struct OwnershipChange
{
    ShardId shard_;
    Epoch epoch_; // under which this daemon holds the shard or, when lost, held it until now
    bool gained_ = false; // false: lost
};

// The caller owns the result.
Handle<Membership> makeMembership(const MemberSettings &settings);

// Call once, before any other function that takes a Context.
void startMembership(Membership &membership, Context &context);

// Call every TickInterval (core/node/node_func.h). A gap of a second or more between two calls counts as a pause of the
// process.
void tickMembership(Membership &membership, Context &context);

// Handles the result of a store operation of StoreComponent::Member. Results of operations that timed out are ignored.
void onMemberStoreResult(Membership &membership, const StoreResult &result, Context &context);

// Messages from other daemons. A heartbeat whose sequence number is not higher than the last one's is ignored.
void onHeartbeat(Membership &membership, const DaemonId &from, const Heartbeat &message, Context &context);
void onHandover(Membership &membership, const DaemonId &from, const Handover &message, Context &context);

// The connection to the peer was opened or closed.
void onPeerUp(Membership &membership, const DaemonId &peer, Context &context);
void onPeerDown(Membership &membership, const DaemonId &peer, Context &context);

// Adds the groups named in the instance list to those that must have a holder. Groups are never removed.
void setInstances(Membership &membership, const InstanceSnapshot &snapshot, Context &context);

// Replaces the loads of the groups held by this daemon, for heartbeats and the directory.
void setLocalLoads(Membership &membership, std::span<const GroupLoad> loads);

// Sets the newest head that this daemon's configuration knows, the age of that knowledge, and whether a change is
// announced. Ages count from the latest call that took a Context.
void setOwnFreshness(Membership &membership, const PeerFreshness &freshness);

// Returns and clears the changes since the last call, in order. The node opens or closes the shard's state.
std::vector<OwnershipChange> takeOwnershipChanges(Membership &membership);

// Holder, epoch, reachability and load of each shard. The reference stays valid for the lifetime of `membership`; its
// content changes with each of the calls above.
const Directory &directory(const Membership &membership);

// Number of times the directory was rebuilt. While it stays the same, only the loads in the directory change.
std::uint64_t directoryBuilds(const Membership &membership);

// Shards that this daemon should stop working on and then release: all held shards while it leaves, otherwise at most
// one, which is moved to another daemon to balance the load. The node calls releaseShard when work on it has stopped.
std::vector<ShardId> shardsToRelease(const Membership &membership);

// Sets the daemons named by the head of the configuration. Condition (b) of section 6 of docs/design.md needs a
// majority of them; when empty, a majority of the last known members.
void setVoters(Membership &membership, std::span<const DaemonId> voters);

// Upper bound of the time since the store's head was last known to be the bundle in force or an older version.
// Milliseconds::max() when no such time is known.
Milliseconds headAge(const Membership &membership, TimePoint now);

// True while requests that need a team's key may be admitted (section 6 of docs/design.md). False without a bundle.
bool configIsFresh(const Membership &membership, TimePoint now);

// Highest version of the configuration in the heartbeats received so far; 0 when none was received.
BundleVersion highestPeerVersion(const Membership &membership);

// Daemons that a sign-off asks before it writes a new head, ascending: all members, and voters whose member record is
// missing but which may still admit requests under condition (b).
std::vector<DaemonId> memberDaemons(const Membership &membership);

// Members of this daemon's region, ascending. Includes this daemon while it has a member record.
std::vector<DaemonId> regionDaemons(const Membership &membership);

// True when this daemon has the lowest id of the members of its region.
bool isRelay(const Membership &membership);

// Reads the ownership table of the shard's region, because a worker or the journal showed a higher epoch of the shard.
void onFenced(Membership &membership, const ShardId &shard, Context &context);

// Starts to leave: no further claims, and all held shards appear in shardsToRelease. Repeated calls have no effect.
void beginLeave(Membership &membership, Context &context);

// Offers the shard to its next holder. No effect when the shard is not held.
void releaseShard(Membership &membership, const ShardId &shard, Context &context);

// True after beginLeave once no shard is held and the member record is removed, or its lease has expired.
bool hasLeft(const Membership &membership);

// JSON object for the admin view: members, directory and freshness.
std::string memberDocument(const Membership &membership, TimePoint now);

} // namespace mimosapier
