// Creates and destroys the state of shards as they are gained and lost, and hands shards over for load balance or when
// the daemon leaves.
#include "core/common/rendezvous_func.h"
#include "core/common/shard_func.h"
#include "core/node/node_internal.h"

namespace mimosapier
{

// Longest wait, from the start of a leave, for answers to open requests before shards are handed over. Requests that
// are still open then are answered by the next holders.
static constexpr Milliseconds FinishRequestsTimeout{10'000};

// Load balancers check readiness about once a second and send requests until a check fails; these are still admitted.
static constexpr Milliseconds AdmitDuringLeave{2500};

// While a held shard is fenced, the ownership table is read at this interval until it shows the higher epoch.
static constexpr Milliseconds FenceCheckInterval{500};

std::vector<WorkerInfo> workersOfGroup(const InstanceSnapshot &snapshot, const ShardId &group)
{
    std::vector<WorkerInfo> workers;
    for (const WorkerInfo &worker : snapshot.workers_) {
        if (worker.group_ == group) {
            workers.push_back(worker);
        }
    }
    return workers;
}

namespace detail
{

static void openShard(Node &node, const OwnershipChange &change, Context &context)
{
    if (!isGroup(change.shard_)) {
        node.homes_[change.shard_] = makeHome(change.shard_, change.epoch_, context);
        return;
    }
    openGroupAllowances(*node.allowances_, change.shard_, context);
    Handle<Group> group = makeGroup(change.shard_, change.epoch_, *node.allowances_);
    setGroupWorkers(*group, workersOfGroup(node.instances_, change.shard_), context);
    node.groups_[change.shard_] = std::move(group);
}

static void closeShard(Node &node, const ShardId &shard)
{
    node.stoppingShards_.erase(shard);
    node.homes_.erase(shard);
    if (node.groups_.erase(shard) > 0) {
        closeGroupAllowances(*node.allowances_, shard);
    }
}

void applyOwnership(Node &node, TimePoint now, Actions &actions)
{
    for (const OwnershipChange &change : takeOwnershipChanges(*node.member_)) {
        closeShard(node, change.shard_);
        if (change.gained_) {
            Context context = makeContext(node, now, actions);
            openShard(node, change, context);
        }
    }
}

static std::uint64_t fingerprint(const std::vector<ShardEntry> &entries, std::uint64_t hash)
{
    for (const ShardEntry &entry : entries) {
        hash = hash * 31 + stableHash(entry.holder_.value_) + entry.epoch_.value_ + (entry.reachable_ ? 7 : 0);
    }
    return hash;
}

void propagateDirectory(Node &node, TimePoint now, Actions &actions)
{
    const std::uint64_t builds = directoryBuilds(*node.member_);
    if (builds == node.directoryBuilds_) {
        return;
    }
    node.directoryBuilds_ = builds;
    const Directory &current = directory(*node.member_);
    const std::uint64_t hash = fingerprint(current.partitions_, fingerprint(current.groups_, 1));
    if (hash == node.directoryFingerprint_) {
        return;
    }
    node.directoryFingerprint_ = hash;
    for (auto &[id, home] : node.homes_) {
        Context context = makeContext(node, now, actions);
        onHomeDirectory(*home, context);
    }
}

void checkFencedShards(Node &node, TimePoint now, Actions &actions)
{
    if (now - node.lastFenceCheck_ < FenceCheckInterval) {
        return;
    }
    node.lastFenceCheck_ = now;
    Context context = makeContext(node, now, actions);
    for (const auto &[id, group] : node.groups_) {
        if (isFenced(*group)) {
            onFenced(*node.member_, id, context);
        }
    }
    for (const auto &[id, home] : node.homes_) {
        if (isFenced(*home)) {
            onFenced(*node.member_, id, context);
        }
    }
}

void beginNodeLeave(Node &node, TimePoint now, Actions &actions)
{
    if (node.leavePhase_ != LeavePhase::None) {
        return;
    }
    node.leavePhase_ = LeavePhase::StillAdmitting;
    node.leaveStartedAt_ = now;
    Context context = makeContext(node, now, actions);
    logLine(context, LogLevel::Info, "[node] Planned leave started; the readiness check now fails.");
    beginLeave(*node.member_, context);
}

// Stops work on a shard before its handover. This cannot be undone: the shard is released once no work is in progress.
static void stopShard(Node &node, const ShardId &shard, Context &context)
{
    if (!node.stoppingShards_.insert(shard).second) {
        return;
    }
    if (const auto group = node.groups_.find(shard); group != node.groups_.end()) {
        stopStarting(*group->second, context);
    }
    if (const auto home = node.homes_.find(shard); home != node.homes_.end()) {
        stopAccepting(*home->second, context);
    }
}

// True when no work is in progress on the shard.
static bool hasStopped(const Node &node, const ShardId &shard)
{
    if (const auto group = node.groups_.find(shard); group != node.groups_.end()) {
        return canHandOver(*group->second);
    }
    const auto home = node.homes_.find(shard);
    return home == node.homes_.end() || canHandOver(*home->second);
}

void handOverShards(Node &node, TimePoint now, Actions &actions)
{
    if (node.leavePhase_ == LeavePhase::StillAdmitting || node.leavePhase_ == LeavePhase::FinishRequests) {
        return;
    }
    for (const ShardId &shard : shardsToRelease(*node.member_)) {
        Context context = makeContext(node, now, actions);
        stopShard(node, shard, context);
    }
    std::vector<ShardId> stopped;
    for (const ShardId &shard : node.stoppingShards_) {
        if (hasStopped(node, shard)) {
            stopped.push_back(shard);
        }
    }
    for (const ShardId &shard : stopped) {
        closeShard(node, shard);
        Context context = makeContext(node, now, actions);
        releaseShard(*node.member_, shard, context);
    }
}

void advanceLeave(Node &node, TimePoint now, Actions &actions)
{
    if (node.leavePhase_ == LeavePhase::StillAdmitting && now - node.leaveStartedAt_ >= AdmitDuringLeave) {
        node.leavePhase_ = LeavePhase::FinishRequests;
        stopAdmitting(*node.entry_);
    }
    const bool timedOut = now - node.leaveStartedAt_ >= FinishRequestsTimeout;
    if (node.leavePhase_ == LeavePhase::FinishRequests && (openCallerRequests(*node.entry_) == 0 || timedOut)) {
        node.leavePhase_ = LeavePhase::HandOverShards;
    }
    if (node.leavePhase_ != LeavePhase::HandOverShards) {
        return;
    }
    const bool idle = node.groups_.empty() && node.homes_.empty() && openCallerRequests(*node.entry_) == 0;
    if (idle && hasLeft(*node.member_)) {
        node.leavePhase_ = LeavePhase::Finished;
        actions.push(LeaveFinished{});
    }
}

} // namespace detail

} // namespace mimosapier
