// Creation of the entry, status requests, disconnected callers and peers, timers and the admin view.
#include "core/entry/entry_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr Milliseconds MaxStatusWait{10 * 60'000};
constexpr Milliseconds StatusAnswerMargin{2000}; // for the answer to arrive after the wait
constexpr std::size_t MaxOpenRequests = 16'384; // of all kinds; above, status requests are refused

template <>
void Destroy<Entry>::operator()(Entry *state) const
{
    delete state;
}

Handle<Entry> makeEntry()
{
    return Handle<Entry>(new Entry);
}

void onStatus(Entry &entry, CallId call, const StatusRequest &request, std::error_code authorization, Context &context)
{
    ErrorKind error = errorKind(authorization);
    if (error == ErrorKind::None && !isValidRequestId(request.requestId_)) {
        error = ErrorKind::MalformedRequest;
    }
    if (error == ErrorKind::None && entry.openRequests_.size() >= MaxOpenRequests) {
        error = ErrorKind::Overloaded;
    }
    if (error != ErrorKind::None) {
        CallerAnswer answer;
        answer.call_ = call;
        answer.requestId_ = request.requestId_;
        answer.outcome_ = Outcome::Unknown;
        answer.error_ = error;
        context.actions_.push(std::move(answer));
        return;
    }
    EntryRequest open;
    open.kind_ = RequestKind::Status;
    open.callerCall_ = call;
    open.route_ = Route::Home;
    open.spec_.id_ = jobId(request.team_, request.requestId_);
    open.spec_.requestId_ = request.requestId_;
    open.spec_.team_ = request.team_;
    open.spec_.homeRegion_ = homeRegionOf(request.team_, context);
    open.firstTarget_ = homeOf(open.spec_.id_, request.team_, context);
    open.receivedAt_ = context.now_;
    open.waitUntil_ = context.now_ + std::clamp(request.wait_, Milliseconds(0), MaxStatusWait);
    open.deadline_ = open.waitUntil_ + StatusAnswerMargin;
    open.explain_ = request.explain_;
    addRequest(entry, std::move(open), context);
}

void onCallerGone(Entry &entry, CallId call)
{
    const auto found = entry.idByCallerCall_.find(call);
    if (found == entry.idByCallerCall_.end()) {
        return;
    }
    const CallId id = found->second;
    entry.idByCallerCall_.erase(found);
    if (const auto cancel = entry.bulkCancels_.find(id); cancel != entry.bulkCancels_.end()) {
        cancel->second.callerCall_ = {}; // the cancellation continues
        return;
    }
    removeRequest(entry, id);
}

void onEntryPeerDown(Entry &entry, const DaemonId &peer, Context &context)
{
    std::vector<CallId> lost;
    for (const auto &[id, request] : entry.openRequests_) {
        if (request.messageCall_ != CallId{} && request.sentTo_ == peer) {
            lost.push_back(id);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const CallId id : lost) {
        EntryRequest &request = entry.openRequests_.at(id);
        markMessageLost(entry, request);
        scheduleBackoff(request, context);
        advanceRequest(entry, id, context);
    }
}

void tickEntry(Entry &entry, Context &context)
{
    entry.report_.now_ = context.now_;
    while (!entry.timers_.empty() && entry.timers_.begin()->first <= context.now_) {
        const CallId id = entry.timers_.begin()->second;
        entry.timers_.erase(entry.timers_.begin());
        if (entry.openRequests_.contains(id)) {
            advanceRequest(entry, id, context);
        }
    }
}

void stopAdmitting(Entry &entry)
{
    entry.stopping_ = true;
}

std::size_t openCallerRequests(const Entry &entry)
{
    return entry.idByCallerCall_.size();
}

std::string entryDocument(const Entry &entry)
{
    return reportDocument(entry.report_, openCallerRequests(entry));
}

} // namespace mimosapier
