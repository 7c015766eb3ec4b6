// Routes peer messages, store results and callers' requests to the parts. Offers and job requests for a shard that
// is not held are answered with NotHolder.
#include "core/node/node_internal.h"

#include <utility>

namespace mimosapier::detail
{

static Group *heldGroup(Node &node, const ShardId &shard)
{
    const auto found = node.groups_.find(shard);
    return found == node.groups_.end() ? nullptr : found->second.get();
}

static Home *heldHome(Node &node, const ShardId &shard)
{
    const auto found = node.homes_.find(shard);
    return found == node.homes_.end() ? nullptr : found->second.get();
}

static void refuseOffer(const DaemonId &from, const TaskOffer &offer, Context &context)
{
    TaskAnswer answer{offer.replyTo_, offer.group_, offer.job_.id_, {}};
    for (std::uint32_t i = 0; i < offer.count_; ++i) {
        answer.results_.push_back({offer.firstIndex_ + i, Outcome::NotRun, ErrorKind::NotHolder, {}, {}});
    }
    sendPeer(context, from, std::move(answer));
}

static void refuseJob(const DaemonId &from, const ReplyTo &replyTo, const JobId &job, Context &context)
{
    sendPeer(context, from, JobAnswer{replyTo, job, Outcome::NotRun, ErrorKind::NotHolder, {}, {}});
}

namespace
{

// Routes a message from the daemon `from_`.
struct PeerDispatcher
{
    Node &node_;
    const DaemonId &from_;
    Context &context_;

    void operator()(const Heartbeat &message) const
    {
        mimosapier::onHeartbeat(*node_.member_, from_, message, context_);
        onHeadHeard(*node_.config_, highestPeerVersion(*node_.member_), context_);
    }

    void operator()(const TaskOffer &message) const
    {
        Group *group = heldGroup(node_, message.group_);
        if (group == nullptr) {
            refuseOffer(from_, message, context_);
            return;
        }
        onTaskOffer(*group, from_, message, context_);
    }

    void operator()(const TaskAnswer &message) const
    {
        switch (message.replyTo_.component_) {
        case ReplyComponent::Entry:
            onEntryTaskAnswer(*node_.entry_, from_, message, context_);
            break;
        case ReplyComponent::Home:
            if (Home *home = heldHome(node_, message.replyTo_.shard_)) {
                onHomeTaskAnswer(*home, from_, message, context_);
            }
            break;
        case ReplyComponent::Group:
            if (Group *group = heldGroup(node_, message.replyTo_.shard_)) {
                onForwardedAnswer(*group, from_, message, context_);
            }
            break;
        }
    }

    void operator()(const TaskAck &message) const
    {
        if (Group *group = heldGroup(node_, message.group_)) {
            onTaskAck(*group, message, context_);
        }
    }

    void operator()(const TaskCancel &message) const
    {
        if (Group *group = heldGroup(node_, message.group_)) {
            onTaskCancel(*group, message, context_);
        }
    }

    void operator()(const JobSubmit &message) const
    {
        if (Home *home = heldHome(node_, message.partition_)) {
            onJobSubmit(*home, from_, message, context_);
            return;
        }
        refuseJob(from_, message.replyTo_, message.job_.id_, context_);
    }

    void operator()(const JobQuery &message) const
    {
        if (Home *home = heldHome(node_, message.partition_)) {
            onJobQuery(*home, from_, message, context_);
            return;
        }
        refuseJob(from_, message.replyTo_, message.job_, context_);
    }

    void operator()(const JobCancel &message) const
    {
        if (Home *home = heldHome(node_, message.partition_)) {
            onJobCancel(*home, from_, message, context_);
            return;
        }
        refuseJob(from_, message.replyTo_, {}, context_);
    }

    void operator()(const JobAnswer &message) const { onEntryJobAnswer(*node_.entry_, from_, message, context_); }

    void operator()(const ConfigAnnounce &message) const { onConfigAnnounce(*node_.config_, from_, message, context_); }

    void operator()(const ConfigAnnounceAck &message) const
    {
        onConfigAnnounceAck(*node_.config_, from_, message, context_);
    }

    void operator()(const ConfigPush &message) const { onConfigPush(*node_.config_, from_, message, context_); }

    void operator()(const AllowanceWanted &message) const { onAllowanceWanted(*node_.allowances_, message, context_); }

    // Messages between the daemons of a cell (core/cell). A daemon that serves groups and partitions ignores them.
    template <typename CellMessage>
    void operator()(const CellMessage & /*message*/) const
    {
    }

    void operator()(const Handover &message) const { onHandover(*node_.member_, from_, message, context_); }
};

// Routes a caller's or operator's request.
struct CallerDispatcher
{
    Node &node_;
    CallId call_;
    Context &context_;

    [[nodiscard]] std::error_code authorized(const TeamId &team, std::string_view key, std::string_view queue) const
    {
        return authorize(*node_.config_, team, key, queue, configIsFresh(*node_.member_, context_.now_));
    }

    void operator()(const SubmitRequest &request) const
    {
        onSubmit(*node_.entry_, call_, request, authorized(request.team_, request.key_, request.queue_), context_);
    }

    void operator()(const StatusRequest &request) const
    {
        onStatus(*node_.entry_, call_, request, authorized(request.team_, request.key_, {}), context_);
    }

    void operator()(const CancelRequest &request) const
    {
        onCancel(*node_.entry_, call_, request, authorized(request.team_, request.key_, {}), context_);
    }

    void operator()(const DraftRequest &request) const { onDraft(*node_.config_, call_, request, context_); }

    void operator()(const SignRequest &request) const { onSign(*node_.config_, call_, request, context_); }

    void operator()(const AdminViewRequest &request) const
    {
        if (request.view_ == AdminView::Drafts) {
            onDraftsView(*node_.config_, call_, context_);
            return;
        }
        CallerAnswer answer;
        answer.call_ = call_;
        answer.outcome_ = Outcome::Done;
        answer.document_ = adminDocument(node_, request.view_, context_.now_);
        context_.actions_.push(std::move(answer));
    }
};

} // namespace

void dispatchPeer(Node &node, const PeerReceived &event, TimePoint now, Actions &actions)
{
    Context context = makeContext(node, now, actions);
    std::visit(PeerDispatcher{node, event.from_, context}, event.message_);
}

void dispatchStore(Node &node, const StoreResult &result, TimePoint now, Actions &actions)
{
    Context context = makeContext(node, now, actions);
    switch (result.component_) {
    case StoreComponent::Member:
        onMemberStoreResult(*node.member_, result, context);
        break;
    case StoreComponent::Config:
        onConfigStoreResult(*node.config_, result, context);
        break;
    case StoreComponent::Limit:
        onLimitStoreResult(*node.allowances_, result, context);
        break;
    case StoreComponent::Home:
        if (Home *home = heldHome(node, result.shard_)) {
            onHomeStoreResult(*home, result, context);
        }
        break;
    }
}

void dispatchCaller(Node &node, const CallerRequest &request, TimePoint now, Actions &actions)
{
    Context context = makeContext(node, now, actions);
    std::visit(CallerDispatcher{node, request.call_, context}, request.body_);
}

} // namespace mimosapier::detail
