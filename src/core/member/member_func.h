// Who is there and who holds which shard: the daemon's member record and lease, the ownership table of each region,
// claims, hand-over, heartbeats, and how fresh the knowledge of the configuration is.
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
    DaemonId self_;
    RegionId region_;
    ZoneId zone_;
    std::string peerAddress_; // "ip:port", published in the member record
};

// A shard that this daemon gained or lost.
struct OwnershipChange
{
    ShardId shard_;
    Epoch epoch_;
    bool gained_ = false;
};

Handle<Membership> makeMembership(const MemberSettings &settings);

void startMembership(Membership &membership, Context &context);
void tickMembership(Membership &membership, Context &context);
void onMemberStoreResult(Membership &membership, const StoreResult &result, Context &context);
void onHeartbeat(Membership &membership, const DaemonId &from, const Heartbeat &message, Context &context);
void onHandover(Membership &membership, const DaemonId &from, const Handover &message, Context &context);
void onPeerUp(Membership &membership, const DaemonId &peer, Context &context);
void onPeerDown(Membership &membership, const DaemonId &peer, Context &context);

// Racks of the fleet, from the instance list; decides which groups exist.
void setInstances(Membership &membership, const InstanceSnapshot &snapshot, Context &context);

// Loads of the groups held here, for heartbeats and the directory.
void setLocalLoads(Membership &membership, std::span<const GroupLoad> loads);

// What the configuration says about itself, for heartbeats.
void setOwnFreshness(Membership &membership, const PeerFreshness &freshness);

// Changes since the last call, in order. The node opens or closes the shard's state.
std::vector<OwnershipChange> takeOwnershipChanges(Membership &membership);

// The directory, current after each of the calls above.
const Directory &directory(const Membership &membership);

// Number of times the directory was made anew; until it rises, only loads in the directory change.
std::uint64_t directoryBuilds(const Membership &membership);

// Shards that this daemon should stop working on and then release: all while it leaves, otherwise at most one at a time
// that belongs to another daemon. The node calls releaseShard for each when its work there has stopped.
std::vector<ShardId> shardsToRelease(const Membership &membership);

// Daemons named by the head of the configuration; condition (b) of section 6 needs a majority of them. Empty: the last
// known members.
void setVoters(Membership &membership, std::span<const DaemonId> voters);

// Time since the store is known to have named the version in force, or an older one, as the head; Milliseconds::max()
// when it is not known.
Milliseconds headAge(const Membership &membership, TimePoint now);

// True while keyed work may be taken (section 6 of docs/design.md).
bool configIsFresh(const Membership &membership, TimePoint now);

// Highest version of the configuration that any peer has told of.
BundleVersion highestVersionHeard(const Membership &membership);

// All member daemons, for announcements that need a majority. Includes this daemon, and voters whose record is missing
// but who may still count on condition (b).
std::vector<DaemonId> memberDaemons(const Membership &membership);

// Live daemons of this daemon's region, including itself.
std::vector<DaemonId> regionDaemons(const Membership &membership);

// Live daemon with the lowest id of this daemon's region.
bool isRelay(const Membership &membership);

// Another epoch of the shard is in force, as a worker or the journal showed; reads the ownership table now.
void onFenced(Membership &membership, const ShardId &shard, Context &context);

// Starts to leave: claims nothing any more. After the node has stopped work on a shard it calls releaseShard.
void beginLeave(Membership &membership, Context &context);
void releaseShard(Membership &membership, const ShardId &shard, Context &context);

// True when no shard is held and the member record is gone.
bool hasLeft(const Membership &membership);

// JSON for the admin view.
std::string memberDocument(const Membership &membership, TimePoint now);

} // namespace mimosapier
