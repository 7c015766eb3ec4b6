// Cancellation of several jobs: one message for many jobs of a partition, and messages to the candidate groups for jobs
// that no home partition knows.
#include "core/entry/entry_internal.h"

#include "core/common/shard_func.h"
#include "core/home/outcome_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::size_t MaxJobsPerCancel = 10'000; // of one request
constexpr std::size_t MaxOpenCancels = 1000;
constexpr std::size_t MaxJobsPerMessage = 1000;
constexpr std::size_t MaxNamedJobs = 20; // unknown jobs that the detail of the answer lists
constexpr Milliseconds CancelDeadline{10'000};

// Answers the caller from the results of all parts and removes the cancellation.
static void answerCancel(Entry &entry, CallId id, Context &context)
{
    const auto found = entry.bulkCancels_.find(id);
    BulkCancel &cancel = found->second;
    CallerAnswer answer;
    answer.call_ = cancel.callerCall_;
    answer.outcome_ = Outcome::Done;
    std::size_t unknown = 0;
    for (const TaskResult &result : cancel.results_) {
        if (result.error_ == ErrorKind::UnknownJob) {
            if (unknown++ < MaxNamedJobs) {
                answer.detail_ += (unknown == 1 ? "unknown: " : ", ") + cancel.requestIds_[result.index_];
            }
        } else if (result.outcome_ == Outcome::Unknown && result.error_ != ErrorKind::None) {
            answer.outcome_ = Outcome::Unknown;
            answer.error_ = result.error_;
        } else if (!isFinal(result.outcome_) && answer.outcome_ == Outcome::Done) {
            answer.outcome_ = Outcome::Pending;
        }
    }
    if (unknown > 0 && unknown == cancel.results_.size()) {
        answer.outcome_ = Outcome::Unknown;
        answer.error_ = ErrorKind::UnknownJob;
    }
    answer.results_ = std::move(cancel.results_);
    const bool callerConnected = cancel.callerCall_ != CallId{};
    entry.idByCallerCall_.erase(cancel.callerCall_);
    entry.bulkCancels_.erase(found);
    if (callerConnected) {
        context.actions_.push(std::move(answer));
    }
}

void finishCancelPart(Entry &entry, const EntryRequest &request, Context &context)
{
    const auto found = entry.bulkCancels_.find(request.cancelId_);
    if (found == entry.bulkCancels_.end()) {
        return;
    }
    BulkCancel &cancel = found->second;
    if (request.kind_ == RequestKind::CancelLookup) {
        TaskResult &result = cancel.results_.at(request.positions_.front());
        const JobOutcome state = combineOutcomes(request.results_);
        result.outcome_ = request.results_.empty() ? Outcome::Unknown : state.outcome_;
        result.error_ = request.results_.empty() ? ErrorKind::UnknownJob : state.error_;
    }
    if (--cancel.openParts_ == 0) {
        answerCancel(entry, found->first, context);
    }
}

// Sends stops for interactive jobs to their candidate groups, and looks up the outcomes as further parts.
static void cancelAtGroups(Entry &entry, CallId cancelId, const std::vector<std::uint32_t> &positions,
                           const TeamId &team, Context &context)
{
    std::map<ShardId, std::vector<TaskId>> stops;
    std::vector<EntryRequest> lookups;
    BulkCancel &cancel = entry.bulkCancels_.at(cancelId);
    for (const std::uint32_t position : positions) {
        EntryRequest lookup;
        lookup.kind_ = RequestKind::CancelLookup;
        lookup.cancelId_ = cancelId;
        lookup.route_ = Route::GroupLookup;
        lookup.spec_.requestId_ = cancel.requestIds_[position];
        lookup.spec_.team_ = team;
        lookup.spec_.id_ = jobId(team, lookup.spec_.requestId_);
        lookup.spec_.homeRegion_ = context.region_;
        lookup.positions_ = {position};
        lookup.receivedAt_ = context.now_;
        lookup.deadline_ = context.now_ + CancelDeadline;
        for (const auto &[id, open] : entry.openRequests_) {
            if (open.kind_ == RequestKind::Submit && open.spec_.id_ == lookup.spec_.id_) {
                lookup.spec_ = open.spec_;
            }
        }
        setCandidates(lookup, lookup.spec_.homeRegion_, context);
        if (lookup.firstTarget_.empty()) {
            continue;
        }
        for (std::uint32_t index = 0; index < lookup.spec_.tasks_; ++index) {
            stops[lookup.firstTarget_].push_back({lookup.spec_.id_, index});
            if (!lookup.secondTarget_.empty()) {
                stops[lookup.secondTarget_].push_back({lookup.spec_.id_, index});
            }
        }
        lookups.push_back(std::move(lookup));
    }
    for (auto &[group, tasks] : stops) {
        const ShardEntry *found = findGroup(context.directory_, group);
        if (found != nullptr && !found->holder_.empty()) {
            sendPeer(context, found->holder_, TaskCancel{group, std::move(tasks)});
        }
    }
    cancel.openParts_ += lookups.size();
    for (EntryRequest &lookup : lookups) {
        addRequest(entry, std::move(lookup), context);
    }
}

void onCancelAnswer(Entry &entry, CallId id, const JobAnswer &message, Context &context)
{
    const EntryRequest request = entry.openRequests_.at(id);
    const auto found = entry.bulkCancels_.find(request.cancelId_);
    if (found != entry.bulkCancels_.end()) {
        std::vector<std::uint32_t> unknown;
        for (const TaskResult &result : message.results_) {
            if (result.index_ >= request.positions_.size()) {
                continue;
            }
            const std::uint32_t position = request.positions_[result.index_];
            found->second.results_.at(position) = result;
            found->second.results_.at(position).index_ = position;
            if (result.error_ == ErrorKind::UnknownJob) {
                unknown.push_back(position);
            }
        }
        cancelAtGroups(entry, request.cancelId_, unknown, request.spec_.team_, context);
    }
    finishRequest(entry, id, message.outcome_, message.error_, context);
}

static void refuseCancel(CallId call, ErrorKind error, Context &context)
{
    CallerAnswer answer;
    answer.call_ = call;
    answer.outcome_ = Outcome::NotRun; // no job was cancelled
    answer.error_ = error;
    context.actions_.push(std::move(answer));
}

void onCancel(Entry &entry, CallId call, const CancelRequest &request, std::error_code authorization, Context &context)
{
    if (authorization) {
        refuseCancel(call, errorKind(authorization), context);
        return;
    }
    if (request.requestIds_.empty() || request.requestIds_.size() > MaxJobsPerCancel
        || !std::all_of(request.requestIds_.begin(), request.requestIds_.end(), isValidRequestId)) {
        refuseCancel(call, ErrorKind::MalformedRequest, context);
        return;
    }
    if (entry.bulkCancels_.size() >= MaxOpenCancels) {
        refuseCancel(call, ErrorKind::Overloaded, context);
        return;
    }
    const CallId cancelId{++entry.lastId_};
    BulkCancel &cancel = entry.bulkCancels_[cancelId];
    cancel.callerCall_ = call;
    cancel.requestIds_ = request.requestIds_;
    std::vector<EntryRequest> parts;
    std::map<ShardId, std::size_t> partOf; // index of the newest part for the partition
    for (std::uint32_t position = 0; position < request.requestIds_.size(); ++position) {
        cancel.results_.push_back({position, Outcome::Unknown, ErrorKind::PeerUnavailable, {}, {}});
        const JobId job = jobId(request.team_, request.requestIds_[position]);
        const ShardId home = homeOf(job, request.team_, context);
        const auto known = partOf.find(home);
        if (known == partOf.end() || parts[known->second].jobs_.size() >= MaxJobsPerMessage) {
            partOf[home] = parts.size();
            EntryRequest part;
            part.kind_ = RequestKind::Cancel;
            part.cancelId_ = cancelId;
            part.route_ = Route::Home;
            part.firstTarget_ = home;
            part.spec_.team_ = request.team_;
            part.receivedAt_ = context.now_;
            part.deadline_ = context.now_ + CancelDeadline;
            parts.push_back(std::move(part));
        }
        EntryRequest &part = parts[partOf[home]];
        part.jobs_.push_back(job);
        part.positions_.push_back(position);
    }
    cancel.openParts_ = parts.size();
    entry.idByCallerCall_[call] = cancelId;
    for (EntryRequest &part : parts) {
        addRequest(entry, std::move(part), context);
    }
}

} // namespace mimosapier
