// Clients' requests at the leader: submit, query, cancel and count of pending jobs.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier
{

using namespace detail;

static void reply(CellActions &actions, const DaemonId &to, const CellReply &content)
{
    actions.replies_.push_back({to, content});
}

// Refuses a submission that was sent before the job was cancelled: nobody waits for it.
static void refuseCancelled(const DaemonId &from, const CellRequest &request, CellActions &actions)
{
    JsonObject line = logEvent("submit-refused");
    line.text("job", jobText(request.job_)).text("account", request.account_).text("queue", request.policy_.queue_);
    line.text("from", from.value_).text("reason", "cancelled").number("retry_after_ms", CancelledUnknownKept.count());
    addLogLine(actions, line);
    reply(actions, from, {request.call_, CellOutcome::Refused, {}, 0, CancelledUnknownKept});
}

void detail::removeCancelledUnknown(Cell &cell, TimePoint now)
{
    auto &queue = cell.cancelledUnknownQueue_;
    while (!queue.empty() && (now > queue.front().first + CancelledUnknownKept || queue.size() > MaxCancelledUnknown)) {
        cell.cancelledUnknown_.erase(queue.front().second);
        queue.pop_front();
    }
}

static void submit(Cell &cell, const DaemonId &from, const CellRequest &request, CellTime now, CellActions &actions)
{
    if (Job *known = findJob(cell, request.job_)) {
        if (known->stored_) {
            reply(actions, from, {request.call_, CellOutcome::Ok, known->reportedState_, 0, {}});
        } else {
            known->waitingSubmits_.emplace_back(from, request.call_);
        }
        return;
    }
    if (cell.cancelledUnknown_.contains(request.job_)) {
        refuseCancelled(from, request, actions);
        return;
    }
    auto job = std::make_unique<Job>();
    job->id_ = request.job_;
    job->account_ = request.account_;
    job->policy_ = request.policy_;
    job->submitted_ = request.submitted_;
    job->acceptedUnixMs_ = now.unixMs_;
    job->submittedAt_ = now.steady_;
    setObjectives(*job);
    job->beyondShare_ = isBeyondShare(cell, *job, now.steady_);
    std::string_view reason;
    const auto refusal = checkSubmit(cell, request, *job, now.steady_, reason);
    JsonObject line = logEvent(refusal ? "submit-refused" : "submit");
    line.text("job", jobText(job->id_)).text("account", job->account_).text("queue", job->policy_.queue_);
    line.text("from", from.value_).number("steps", static_cast<std::int64_t>(job->submitted_.steps_.size()));
    line.boolean("beyond_share", job->beyondShare_);
    if (refusal) {
        line.text("reason", reason).number("retry_after_ms", refusal->retryAfter_.count());
        addLogLine(actions, line);
        noteRefusedSubmission(cell, *job, now.steady_);
        reply(actions, from, *refusal);
        return;
    }
    cell.refused_.erase(job->id_);
    line.number("objective_ms", objectiveOf(*job).count());
    addLogLine(actions, line);
    job->waitingSubmits_.emplace_back(from, request.call_);
    cell.acceptQueue_.push_back(job->id_);
    cell.unstartedJobs_.insert(job->id_);
    addWaitingWork(cell, *job, now.steady_);
    cell.openTasks_ += countOpenTasks(*job);
    cell.jobs_.emplace(job->id_, std::move(job));
}

// Answers that there is no such job, or waits for the proof that no other leader may have accepted it.
static void replyNotFound(Cell &cell, const DaemonId &from, const CellRequest &request, Leadership leadership,
                          CellTime now, CellActions &actions)
{
    if (leadership == Leadership::Confirmed) {
        reply(actions, from, {request.call_, CellOutcome::NotFound, {}, 0, {}});
    } else {
        waitForLeadershipCheck(cell, from, request, now, actions);
    }
}

static void cancel(Cell &cell, const DaemonId &from, const CellRequest &request, Leadership leadership, CellTime now,
                   CellActions &actions)
{
    Job *job = findJob(cell, request.job_);
    if (job == nullptr) {
        if (leadership == Leadership::Confirmed && cell.cancelledUnknown_.insert(request.job_).second) {
            cell.cancelledUnknownQueue_.emplace_back(now.steady_, request.job_);
        }
        replyNotFound(cell, from, request, leadership, now, actions);
        return;
    }
    if (!isFinal(*job)) {
        JsonObject line = logEvent("cancel");
        line.text("job", jobText(job->id_)).text("from", from.value_);
        addLogLine(actions, line);
        finishJob(cell, *job, StagedState::Cancelled, now, actions);
    }
    if (job->storedVersion_ >= job->version_) {
        reply(actions, from, {request.call_, CellOutcome::Ok, job->reportedState_, 0, {}});
    } else {
        job->waitingCancels_.push_back({job->version_, {from, request.call_}});
    }
}

static void query(Cell &cell, const DaemonId &from, const CellRequest &request, Leadership leadership, CellTime now,
                  CellActions &actions)
{
    const Job *job = findJob(cell, request.job_);
    if (job == nullptr || !job->stored_) {
        replyNotFound(cell, from, request, leadership, now, actions);
        return;
    }
    StagedState state = job->reportedState_;
    if (!isFinal(state)) {
        state = job->started_ ? StagedState::Running : StagedState::Queued;
    }
    reply(actions, from, {request.call_, CellOutcome::Ok, state, 0, {}});
}

static void countPending(Cell &cell, const DaemonId &from, const CellRequest &request, CellActions &actions)
{
    const auto pending = std::count_if(cell.unstartedJobs_.begin(), cell.unstartedJobs_.end(), [&](StagedJobId id) {
        const Job *job = findJob(cell, id);
        return job != nullptr && job->stored_ && !job->started_ && !isFinal(*job)
            && job->policy_.queue_ == request.policy_.queue_;
    });
    reply(actions, from, {request.call_, CellOutcome::Ok, {}, static_cast<std::uint64_t>(pending), {}});
}

void detail::handleRequestAs(Cell &cell, Leadership leadership, const DaemonId &from, const CellRequest &request,
                             CellTime now, CellActions &actions)
{
    switch (request.verb_) {
    case CellVerb::Submit:
        submit(cell, from, request, now, actions);
        break;
    case CellVerb::Cancel:
        cancel(cell, from, request, leadership, now, actions);
        break;
    case CellVerb::Query:
        query(cell, from, request, leadership, now, actions);
        break;
    case CellVerb::CountPending:
        countPending(cell, from, request, actions);
        break;
    }
}

void handleRequest(Cell &cell, const DaemonId &from, const CellRequest &request, CellTime now, CellActions &actions)
{
    handleRequestAs(cell, Leadership::Assumed, from, request, now, actions);
}

} // namespace mimosapier
