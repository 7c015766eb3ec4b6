// Entry points of the node: routes events to the parts and runs their ticks.
#include "core/node/node_internal.h"

#include <algorithm>
#include <utility>

namespace mimosapier
{

using namespace detail;

// Loads and freshness change with almost every event; this interval limits how often they are copied.
static constexpr Milliseconds LoadInterval{100};

template <>
void Destroy<Node>::operator()(Node *state) const
{
    delete state;
}

Context detail::makeContext(Node &node, TimePoint now, Actions &actions)
{
    return {now,
            node.settings_.member_.self_,
            node.settings_.member_.region_,
            currentBundle(*node.config_),
            directory(*node.member_),
            actions,
            node.random_};
}

Handle<Node> makeNode(const NodeSettings &settings)
{
    Handle<Node> node(new Node);
    node->settings_ = settings;
    node->member_ = makeMembership(settings.member_);
    node->config_ = makeConfigState();
    node->allowances_ = makeAllowances();
    node->entry_ = makeEntry();
    node->random_.seed(settings.seed_);
    return node;
}

static void tickGroups(Node &node, TimePoint now, Actions &actions)
{
    for (auto &[id, group] : node.groups_) {
        Context context = makeContext(node, now, actions);
        tickGroup(*group, context);
    }
}

static void tickHomes(Node &node, TimePoint now, Actions &actions)
{
    for (auto &[id, home] : node.homes_) {
        Context context = makeContext(node, now, actions);
        tickHome(*home, context);
    }
}

static void publishLoads(Node &node)
{
    std::vector<GroupLoad> loads;
    loads.reserve(node.groups_.size());
    for (const auto &[id, group] : node.groups_) {
        loads.push_back(groupLoad(*group));
    }
    setLocalLoads(*node.member_, loads);
}

// Passes voters and freshness from the configuration to membership, and members and the age of the head back.
static void exchangeConfigState(Node &node, TimePoint now)
{
    Membership &member = *node.member_;
    ConfigState &config = *node.config_;
    setOwnFreshness(member, ownFreshness(config, node.settings_.member_.self_, now));
    setVoters(member, voters(config));
    setMembers(config, memberDaemons(member), regionDaemons(member));
    setRelay(config, isRelay(member));
    setHeadAge(config, headAge(member, now));
}

// True when all shards of this daemon's region have holders that it can reach, and a partition exists.
static bool regionIsServed(const Node &node)
{
    const RegionId &region = node.settings_.member_.region_;
    const Directory &current = directory(*node.member_);
    const auto isServed = [&region](const ShardEntry &entry) { return entry.region_ != region || entry.reachable_; };
    return !current.partitions_.empty() && std::all_of(current.groups_.begin(), current.groups_.end(), isServed)
        && std::all_of(current.partitions_.begin(), current.partitions_.end(), isServed);
}

static void tick(Node &node, TimePoint now, Actions &actions)
{
    if (now - node.lastLoadUpdate_ >= LoadInterval) {
        node.lastLoadUpdate_ = now;
        node.regionServedOnce_ = node.regionServedOnce_ || regionIsServed(node);
        exchangeConfigState(node, now);
        publishLoads(node);
    }
    {
        Context context = makeContext(node, now, actions);
        tickMembership(*node.member_, context);
    }
    {
        Context context = makeContext(node, now, actions);
        tickConfig(*node.config_, context);
    }
    {
        Context context = makeContext(node, now, actions);
        tickAllowances(*node.allowances_, context);
    }
    tickGroups(node, now, actions);
    tickHomes(node, now, actions);
    {
        Context context = makeContext(node, now, actions);
        tickEntry(*node.entry_, context);
    }
    checkFencedShards(node, now, actions);
    handOverShards(node, now, actions);
    advanceLeave(node, now, actions);
}

static void applySnapshot(Node &node, const InstanceSnapshot &snapshot, TimePoint now, Actions &actions)
{
    node.instances_ = snapshot;
    Context context = makeContext(node, now, actions);
    setInstances(*node.member_, snapshot, context);
    for (auto &[id, group] : node.groups_) {
        setGroupWorkers(*group, workersOfGroup(snapshot, id), context);
    }
}

static void handlePeerDown(Node &node, const DaemonId &peer, TimePoint now, Actions &actions)
{
    {
        Context context = makeContext(node, now, actions);
        onPeerDown(*node.member_, peer, context);
    }
    Context context = makeContext(node, now, actions);
    for (auto &[id, group] : node.groups_) {
        onGroupPeerDown(*group, peer, context);
    }
    for (auto &[id, home] : node.homes_) {
        onHomePeerDown(*home, peer, context);
    }
    onEntryPeerDown(*node.entry_, peer, context);
}

static void handleWorkerResult(Node &node, const WorkerResult &result, TimePoint now, Actions &actions)
{
    const auto group = node.groups_.find(result.group_);
    if (group == node.groups_.end()) {
        return;
    }
    Context context = makeContext(node, now, actions);
    onWorkerResult(*group->second, result, context);
}

namespace
{

// Routes one event to its part.
struct EventDispatcher
{
    Node &node_;
    TimePoint now_;
    Actions &actions_;

    void operator()(const PeerReceived &event) const { dispatchPeer(node_, event, now_, actions_); }
    void operator()(const PeerUp &event) const
    {
        Context context = makeContext(node_, now_, actions_);
        onPeerUp(*node_.member_, event.daemon_, context);
    }
    void operator()(const PeerDown &event) const { handlePeerDown(node_, event.daemon_, now_, actions_); }
    void operator()(const StoreResult &event) const { dispatchStore(node_, event, now_, actions_); }
    void operator()(const WorkerResult &event) const { handleWorkerResult(node_, event, now_, actions_); }
    void operator()(const CallerRequest &event) const { dispatchCaller(node_, event, now_, actions_); }
    void operator()(const CallerGone &event) const { onCallerGone(*node_.entry_, event.call_); }
    void operator()(const InstanceSnapshot &event) const { applySnapshot(node_, event, now_, actions_); }
    void operator()(const Tick & /*event*/) const { tick(node_, now_, actions_); }
    void operator()(const LeaveRequested & /*event*/) const { beginNodeLeave(node_, now_, actions_); }
};

} // namespace

// Moves the messages that this daemon sends to itself from actions[first..] to the loopback queue.
static void moveToLoopback(Node &node, std::size_t first, Actions &actions)
{
    std::size_t kept = first;
    for (std::size_t i = first; i < actions.pending_.size(); ++i) {
        auto *send = std::get_if<PeerSend>(&actions.pending_[i]);
        if (send != nullptr && send->to_ == node.settings_.member_.self_) {
            node.loopback_.push_back({send->to_, std::move(send->message_)});
            continue;
        }
        if (kept != i) {
            actions.pending_[kept] = std::move(actions.pending_[i]);
        }
        ++kept;
    }
    actions.pending_.resize(kept);
}

// Passes on what the event changed in ownership and the directory, and delivers messages of this daemon to itself.
static void propagateChanges(Node &node, std::size_t first, TimePoint now, Actions &actions)
{
    applyOwnership(node, now, actions);
    propagateDirectory(node, now, actions);
    moveToLoopback(node, first, actions);
    while (!node.loopback_.empty()) {
        const std::size_t position = actions.pending_.size();
        const PeerReceived message = std::move(node.loopback_.front());
        node.loopback_.pop_front();
        dispatchPeer(node, message, now, actions);
        moveToLoopback(node, position, actions);
    }
}

void startNode(Node &node, TimePoint now, Actions &actions)
{
    const std::size_t first = actions.pending_.size();
    {
        Context context = makeContext(node, now, actions);
        startMembership(*node.member_, context);
    }
    Context context = makeContext(node, now, actions);
    startConfig(*node.config_, context);
    propagateChanges(node, first, now, actions);
}

void step(Node &node, const Event &event, TimePoint now, Actions &actions)
{
    const std::size_t first = actions.pending_.size();
    std::visit(EventDispatcher{node, now, actions}, event);
    propagateChanges(node, first, now, actions);
}

bool isReady(const Node &node)
{
    return node.leavePhase_ == LeavePhase::None && node.regionServedOnce_
        && currentBundle(*node.config_).version_.value_ != 0;
}

} // namespace mimosapier
