// Cancellation of several jobs: one message per partition, and the candidate groups for what no home knows.
#include "core/entry/entry_internal.h"

#include "core/common/shard_func.h"
#include "core/home/outcome_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::size_t MaxCancels = 10'000; // jobs in one request
constexpr std::size_t MaxOpenCancels = 1000;
constexpr std::size_t JobsPerMessage = 1000;
constexpr std::size_t MaxNamed = 20; // jobs named in the answer's detail
constexpr Milliseconds CancelDeadline{10'000};

static void answerCancel(Entry &entry, CallId id, Context &context)
{
    const auto found = entry.cancels_.find(id);
    BulkCancel &cancel = found->second;
    CallerAnswer answer;
    answer.call_ = cancel.caller_;
    answer.outcome_ = Outcome::Done;
    std::size_t unknown = 0;
    for (const TaskResult &result : cancel.results_) {
        if (result.error_ == ErrorKind::UnknownJob) {
            if (unknown++ < MaxNamed) {
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
    const bool wanted = cancel.caller_ != CallId{};
    entry.byCaller_.erase(cancel.caller_);
    entry.cancels_.erase(found);
    if (wanted) {
        context.actions_.push(std::move(answer));
    }
}

void finishPart(Entry &entry, const OpenRequest &request, Context &context)
{
    const auto found = entry.cancels_.find(request.parent_);
    if (found == entry.cancels_.end()) {
        return;
    }
    BulkCancel &cancel = found->second;
    if (request.kind_ == RequestKind::CancelLookup) {
        TaskResult &result = cancel.results_.at(request.positions_.front());
        const JobOutcome state = combineOutcomes(request.results_);
        result.outcome_ = request.results_.empty() ? Outcome::Unknown : state.outcome_;
        result.error_ = request.results_.empty() ? ErrorKind::UnknownJob : state.error_;
    }
    if (--cancel.parts_ == 0) {
        answerCancel(entry, found->first, context);
    }
}

// Tells the candidate groups of interactive jobs to stop them, and asks what became of them.
static void cancelAtGroups(Entry &entry, CallId parent, const std::vector<std::uint32_t> &positions, const TeamId &team,
                           Context &context)
{
    std::map<ShardId, std::vector<TaskId>> stops;
    std::vector<OpenRequest> lookups;
    BulkCancel &cancel = entry.cancels_.at(parent);
    for (const std::uint32_t position : positions) {
        OpenRequest lookup;
        lookup.kind_ = RequestKind::CancelLookup;
        lookup.parent_ = parent;
        lookup.route_ = Route::Lookup;
        lookup.spec_.requestId_ = cancel.requestIds_[position];
        lookup.spec_.team_ = team;
        lookup.spec_.id_ = jobId(team, lookup.spec_.requestId_);
        lookup.spec_.homeRegion_ = context.region_;
        lookup.positions_ = {position};
        lookup.received_ = context.now_;
        lookup.deadline_ = context.now_ + CancelDeadline;
        for (const auto &[id, open] : entry.open_) {
            if (open.kind_ == RequestKind::Submit && open.spec_.id_ == lookup.spec_.id_) {
                lookup.spec_ = open.spec_;
            }
        }
        setCandidates(lookup, lookup.spec_.homeRegion_, context);
        if (lookup.first_.empty()) {
            continue;
        }
        for (std::uint32_t index = 0; index < lookup.spec_.tasks_; ++index) {
            stops[lookup.first_].push_back({lookup.spec_.id_, index});
            if (!lookup.second_.empty()) {
                stops[lookup.second_].push_back({lookup.spec_.id_, index});
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
    cancel.parts_ += lookups.size();
    for (OpenRequest &lookup : lookups) {
        openRequest(entry, std::move(lookup), context);
    }
}

void onCancelAnswer(Entry &entry, CallId id, const JobAnswer &message, Context &context)
{
    const OpenRequest request = entry.open_.at(id);
    const auto found = entry.cancels_.find(request.parent_);
    if (found != entry.cancels_.end()) {
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
        cancelAtGroups(entry, request.parent_, unknown, request.spec_.team_, context);
    }
    finish(entry, id, message.outcome_, message.error_, context);
}

static void refuseCancel(CallId call, ErrorKind error, Context &context)
{
    CallerAnswer answer;
    answer.call_ = call;
    answer.outcome_ = Outcome::NotRun; // nothing was cancelled
    answer.error_ = error;
    context.actions_.push(std::move(answer));
}

void onCancel(Entry &entry, CallId call, const CancelRequest &request, std::error_code authorization, Context &context)
{
    if (authorization) {
        refuseCancel(call, errorKind(authorization), context);
        return;
    }
    if (request.requestIds_.empty() || request.requestIds_.size() > MaxCancels
        || !std::all_of(request.requestIds_.begin(), request.requestIds_.end(), isRequestId)) {
        refuseCancel(call, ErrorKind::MalformedRequest, context);
        return;
    }
    if (entry.cancels_.size() >= MaxOpenCancels) {
        refuseCancel(call, ErrorKind::Overloaded, context);
        return;
    }
    const CallId parent{++entry.lastId_};
    BulkCancel &cancel = entry.cancels_[parent];
    cancel.caller_ = call;
    cancel.requestIds_ = request.requestIds_;
    std::vector<OpenRequest> parts;
    std::map<ShardId, std::size_t> partOf; // newest part for the partition
    for (std::uint32_t position = 0; position < request.requestIds_.size(); ++position) {
        cancel.results_.push_back({position, Outcome::Unknown, ErrorKind::PeerUnavailable, {}, {}});
        const JobId job = jobId(request.team_, request.requestIds_[position]);
        const ShardId home = homeOf(job, request.team_, context);
        const auto known = partOf.find(home);
        if (known == partOf.end() || parts[known->second].jobs_.size() >= JobsPerMessage) {
            partOf[home] = parts.size();
            OpenRequest part;
            part.kind_ = RequestKind::Cancel;
            part.parent_ = parent;
            part.route_ = Route::Home;
            part.first_ = home;
            part.spec_.team_ = request.team_;
            part.received_ = context.now_;
            part.deadline_ = context.now_ + CancelDeadline;
            parts.push_back(std::move(part));
        }
        OpenRequest &part = parts[partOf[home]];
        part.jobs_.push_back(job);
        part.positions_.push_back(position);
    }
    cancel.parts_ = parts.size();
    entry.byCaller_[call] = parent;
    for (OpenRequest &part : parts) {
        openRequest(entry, std::move(part), context);
    }
}

} // namespace mimosapier
