// Chooses the target of each message of an open request, sends and retries it, and detects lost messages.
#include "core/entry/entry_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr Milliseconds CheckInterval{100}; // of messages in flight and of unreachable targets
constexpr Milliseconds FirstBackoff{20};
constexpr Milliseconds MaxBackoff{500};
constexpr Milliseconds AnswerMargin{100}; // for a tick of the receiver and the way back from another region
constexpr Milliseconds FollowMargin{20}; // a query at the home partition ends this long before the deadline
constexpr double RetryTokensPerRequest = 0.1; // each request allows a tenth of a retry
constexpr double MaxRetryTokens = 100.0; // most tokens that can be saved

RegionId homeRegionOf(const TeamId &team, const Context &context)
{
    const Team *found = findTeam(context.bundle_, team);
    return found == nullptr || found->homeRegion_.empty() ? context.region_ : found->homeRegion_;
}

ShardId homeOf(const JobId &job, const TeamId &team, const Context &context)
{
    const RegionId region = homeRegionOf(team, context);
    std::uint32_t partitions = 1;
    for (const RegionConfig &config : context.bundle_.regions_) {
        if (config.id_ == region) {
            partitions = std::max<std::uint32_t>(config.partitions_, 1);
        }
    }
    return homePartition(job, region, partitions);
}

void setCandidates(EntryRequest &request, const RegionId &region, const Context &context)
{
    std::vector<ShardId> groups;
    for (const ShardEntry &entry : context.directory_.groups_) {
        if (entry.region_ == region) {
            groups.push_back(entry.shard_);
        }
    }
    const CandidateGroups candidates = candidateGroups(request.spec_.id_, groups);
    request.firstTarget_ = candidates.first_;
    request.secondTarget_ = candidates.second_;
}

void setTimer(Entry &entry, CallId id, EntryRequest &request, TimePoint time)
{
    entry.timers_.erase({request.timer_, id});
    request.timer_ = time;
    entry.timers_.emplace(time, id);
}

CallId addRequest(Entry &entry, EntryRequest request, Context &context)
{
    const CallId id{++entry.lastId_};
    if (request.callerCall_ != CallId{}) {
        entry.idByCallerCall_[request.callerCall_] = id;
    }
    entry.openRequests_.emplace(id, std::move(request));
    entry.retryBudget_.tokens_ = std::min(MaxRetryTokens, entry.retryBudget_.tokens_ + RetryTokensPerRequest);
    advanceRequest(entry, id, context);
    return id;
}

void markMessageLost(Entry &entry, EntryRequest &request)
{
    if (request.messageCall_ == CallId{}) {
        return;
    }
    entry.idByMessageCall_.erase(request.messageCall_);
    request.messageCall_ = {};
    request.groupKnowsTasks_ = false;
    request.mayHaveRun_ = request.mayHaveRun_ || !request.messageIsLookup_;
}

void scheduleBackoff(EntryRequest &request, Context &context)
{
    request.backoff_ = std::clamp(request.backoff_ * 2, FirstBackoff, MaxBackoff);
    std::uniform_int_distribution<std::int64_t> jitter(request.backoff_.count() / 2, request.backoff_.count() * 3 / 2);
    request.nextSendAt_ = context.now_ + Milliseconds(jitter(context.random_));
}

// Directory entry of a shard whose holder is reachable; nullptr otherwise.
static const ShardEntry *findReachable(const ShardId &shard, const Context &context)
{
    const ShardEntry *entry
        = isGroup(shard) ? findGroup(context.directory_, shard) : findPartition(context.directory_, shard);
    return entry != nullptr && entry->reachable_ && !entry->holder_.empty() ? entry : nullptr;
}

// Zero when the time has passed.
static Milliseconds timeUntil(TimePoint time, const Context &context)
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(time - context.now_));
}

// Time that the receiver gets to start or accept the work. It ends before the deadline of the request, so that a
// refusal for lateness arrives before the entry has to answer Unknown.
static Milliseconds receiverTimeLimit(const EntryRequest &request, const Context &context)
{
    const Milliseconds left = timeUntil(request.deadline_, context);
    return std::max(Milliseconds(1), left - std::min(AnswerMargin, left / 4));
}

static PeerMessage makeOffer(const EntryRequest &request, const ReplyTo &replyTo, const Context &context)
{
    TaskOffer offer;
    offer.replyTo_ = replyTo;
    offer.group_ = request.messageTarget_;
    offer.job_ = request.spec_;
    offer.count_ = request.spec_.tasks_;
    offer.attempt_ = request.attempt_;
    offer.remaining_ = receiverTimeLimit(request, context);
    offer.mayHaveRun_ = request.mayHaveRun_ || request.attempt_ > 1;
    offer.lookupOnly_ = request.messageIsLookup_;
    return offer;
}

static PeerMessage makeHomeMessage(const EntryRequest &request, const ReplyTo &replyTo, const Context &context)
{
    if (request.kind_ == RequestKind::Cancel) {
        return JobCancel{replyTo, request.messageTarget_, request.jobs_};
    }
    if (request.kind_ == RequestKind::Status) {
        return JobQuery{replyTo, request.messageTarget_, request.spec_.id_, timeUntil(request.waitUntil_, context),
                        request.explain_};
    }
    if (request.route_ == Route::HomeFollow) {
        const Milliseconds wait = std::max(Milliseconds(0), timeUntil(request.deadline_, context) - FollowMargin);
        return JobQuery{replyTo, request.messageTarget_, request.spec_.id_, wait, false};
    }
    return JobSubmit{replyTo, request.messageTarget_, request.spec_, request.attempt_,
                     receiverTimeLimit(request, context)};
}

// Takes a token from the retry budget; false when none is left.
static bool takeRetryToken(Entry &entry)
{
    if (entry.retryBudget_.tokens_ < 1.0) {
        ++entry.report_.retriesDelayed_;
        return false;
    }
    entry.retryBudget_.tokens_ -= 1.0;
    ++entry.report_.retries_;
    return true;
}

// Sends the message of the current route to the holder of the shard. Without a token a retry is delayed instead;
// look-ups take no token.
static void send(Entry &entry, CallId id, EntryRequest &request, const ShardEntry &shard, bool lookup, Context &context)
{
    if (request.sendCount_ > 0 && !lookup && !takeRetryToken(entry)) {
        scheduleBackoff(request, context);
        return;
    }
    request.sendCount_ += lookup ? 0 : 1;
    request.messageCall_ = CallId{context.actions_.nextId()};
    request.messageTarget_ = shard.shard_;
    request.sentTo_ = shard.holder_;
    request.sentEpoch_ = shard.epoch_;
    request.messageIsLookup_ = lookup;
    entry.idByMessageCall_[request.messageCall_] = id;
    const ReplyTo replyTo{ReplyComponent::Entry, {}, request.messageCall_};
    const bool toHome = request.route_ == Route::Home || request.route_ == Route::HomeFollow;
    sendPeer(context, shard.holder_,
             toHome ? makeHomeMessage(request, replyTo, context) : makeOffer(request, replyTo, context));
}

// Sends to a candidate group. Work is started at the second only when nothing was ever sent to the first; otherwise the
// second is only looked up, because it may have got the work of an earlier attempt.
static void sendToGroups(Entry &entry, CallId id, EntryRequest &request, Context &context)
{
    if (request.route_ == Route::FirstGroup && request.firstTarget_.empty()) {
        setCandidates(request, request.spec_.homeRegion_, context);
    }
    const ShardEntry *first = findReachable(request.firstTarget_, context);
    const ShardEntry *second = findReachable(request.secondTarget_, context);
    switch (request.route_) {
    case Route::FirstGroup:
        if (first != nullptr) {
            send(entry, id, request, *first, false, context);
        } else if (second != nullptr && request.attempt_ <= 1 && !request.mayHaveRun_) {
            request.route_ = Route::SecondGroup;
            send(entry, id, request, *second, false, context);
        } else if (second != nullptr) {
            send(entry, id, request, *second, true, context);
        }
        break;
    case Route::SecondGroup:
        if (second != nullptr) {
            send(entry, id, request, *second, false, context);
        }
        break;
    default:
        if (const ShardEntry *target = request.lookupSecond_ ? second : first; target != nullptr) {
            send(entry, id, request, *target, true, context);
        }
        break;
    }
}

// True while the daemon that got the message in flight is reachable and still holds the shard with the same epoch.
static bool canBeAnswered(const EntryRequest &request, const Context &context)
{
    const ShardEntry *entry = findReachable(request.messageTarget_, context);
    return entry != nullptr && entry->holder_ == request.sentTo_ && entry->epoch_ == request.sentEpoch_;
}

void advanceRequest(Entry &entry, CallId id, Context &context)
{
    EntryRequest &request = entry.openRequests_.at(id);
    if (context.now_ >= request.deadline_) {
        finishAfterDeadline(entry, id, context);
        return;
    }
    const bool waitsForOutcome = request.kind_ == RequestKind::Status && request.groupKnowsTasks_;
    if (waitsForOutcome && context.now_ >= request.waitUntil_) {
        finishRequest(entry, id, Outcome::Pending, ErrorKind::None, context);
        return;
    }
    if (request.messageCall_ != CallId{} && !canBeAnswered(request, context)) {
        markMessageLost(entry, request);
        scheduleBackoff(request, context);
    }
    if (request.messageCall_ == CallId{} && context.now_ >= request.nextSendAt_) {
        if (request.route_ == Route::Home || request.route_ == Route::HomeFollow) {
            if (const ShardEntry *home = findReachable(request.firstTarget_, context)) {
                send(entry, id, request, *home, request.route_ == Route::HomeFollow, context);
            }
        } else {
            sendToGroups(entry, id, request, context);
        }
    }
    TimePoint next = context.now_ + CheckInterval;
    if (request.messageCall_ == CallId{} && request.nextSendAt_ > context.now_) {
        next = std::min(next, request.nextSendAt_);
    }
    if (waitsForOutcome) {
        next = std::min(next, request.waitUntil_);
    }
    setTimer(entry, id, request, std::min(next, request.deadline_));
}

} // namespace mimosapier
