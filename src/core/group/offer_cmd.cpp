// Offers of tasks: detects duplicates, checks whether an earlier attempt may have run, and queues or refuses tasks.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

// Shared by the tasks of one offer while it is processed.
struct OfferState
{
    const TaskOffer &offer_;
    const DaemonId &from_;
    std::uint64_t requester_;
    std::shared_ptr<const JobSpec> job_;
    std::vector<GroupTask *> gang_; // new tasks that form a gang
    ErrorKind refusal_ = ErrorKind::None; // reason to refuse all new tasks; None when they may be queued
};

// The opposite of needsJournal, for a job. The caller waits for these tasks and may repeat the request.
static bool isUnjournaled(const JobSpec &job)
{
    return job.mode_ == WorkMode::Interactive && job.idempotent_;
}

// True for an outcome after which the home may offer the task again: the run was lost, or a service has failed.
static bool mayRunAgain(const JobSpec &job, const TaskResult &result)
{
    if (!job.idempotent_) {
        return false;
    }
    const bool lost = result.error_ == ErrorKind::WorkerLost || result.error_ == ErrorKind::TaskLeaseLapsed
        || result.error_ == ErrorKind::WorkerLeaving || result.error_ == ErrorKind::Preempted;
    return result.outcome_ == Outcome::Unknown
        || (result.outcome_ == Outcome::Failed && (lost || job.mode_ == WorkMode::Service));
}

// True when the offer is newer than the recorded outcome, so that the outcome does not answer it.
static bool isNewer(const OfferState &state, const OutcomeRecord &known)
{
    const TaskOffer &offer = state.offer_;
    if (offer.lookupOnly_) {
        return false;
    }
    switch (known.kind_) {
    case OutcomeKind::MayHaveRun:
        if (!mayRunAgain(offer.job_, known.result_)) {
            return false;
        }
        break;
    case OutcomeKind::Cancelled:
        return false;
    case OutcomeKind::ReportedAbsent:
        if (offer.forwarded_) {
            return true;
        }
        break;
    case OutcomeKind::NotRun:
        break;
    }
    if (offer.replyTo_.component_ == ReplyComponent::Home) {
        // Call ids of a daemon ascend, so a higher one is a later decision of the home. Without offeredBy_ the task was
        // adopted from a worker and never offered here.
        return known.offeredBy_.empty() || (state.from_ == known.offeredBy_ && offer.replyTo_.call_ > known.call_);
    }
    return offer.attempt_ > known.attempt_
        || (offer.forwarded_ && known.kind_ == OutcomeKind::NotRun && offer.replyTo_.call_ > known.call_);
}

// Answers a lookup of a task that the group does not have.
static void answerLookup(Group &group, const OfferState &state, const TaskId &id, Context &context)
{
    TaskResult result;
    result.index_ = id.index_;
    result.outcome_ = Outcome::Unknown;
    if (group.unacknowledgedWorkers_ > 0) {
        // The task may run on a worker that has not listed its tasks yet.
        result.error_ = ErrorKind::OutcomeUnknown;
        answerRequester(group, state.requester_, result);
        return;
    }
    result.error_ = ErrorKind::UnknownJob;
    if (outcomesAreComplete(group, context.now_)) {
        result.outcome_ = Outcome::NotRun;
    }
    answerRequester(group, state.requester_, result);
    // The first candidate may start the task after this answer, so a delayed copy of the request must not start here.
    OutcomeRecord entry;
    entry.kind_ = OutcomeKind::ReportedAbsent;
    entry.result_ = result;
    entry.attempt_ = state.offer_.attempt_;
    recordOutcome(group, id, std::move(entry), context);
}

// A further offer or a lookup of a task that the group has.
static void answerExistingTask(Group &group, const OfferState &state, GroupTask &task)
{
    const TaskOffer &offer = state.offer_;
    if (!offer.lookupOnly_) {
        task.attempt_ = std::max(task.attempt_, offer.attempt_);
        if (offer.replyTo_.component_ == ReplyComponent::Home) {
            task.call_ = offer.replyTo_.call_;
            task.offeredBy_ = state.from_;
        }
    }
    attachRequester(group, task, state.requester_);
    if (task.stage_ == TaskStage::Finished) {
        task.requesters_.clear();
        answerRequester(group, state.requester_, task.result_);
        return;
    }
    if (offer.lookupOnly_) {
        const bool started = holdsResources(task.stage_) && task.stage_ != TaskStage::Placed;
        TaskResult result;
        result.index_ = task.id_.index_;
        result.outcome_ = started ? Outcome::Running : Outcome::Pending;
        result.worker_ = started ? task.lastWorker_ : WorkerId{};
        answerRequester(group, state.requester_, result);
    }
}

// Reason to refuse new tasks of the offer; None when they may be queued.
static ErrorKind refusalOf(const Group &group, const TaskOffer &offer, TimePoint now, Context &context)
{
    const JobSpec &job = offer.job_;
    if (group.fenced_ || group.stopping_) {
        return ErrorKind::NotHolder;
    }
    const std::uint32_t minTasks = job.mode_ == WorkMode::Gang ? offer.count_ : 1;
    if (!canEverFit(group, job.size_, minTasks)) {
        return ErrorKind::ImpossibleSize;
    }
    const Team *team = findTeam(context.bundle_, job.team_);
    if (context.bundle_.version_.value_ != 0 && (team == nullptr || team->limit_ < minTasks)) {
        return team == nullptr ? ErrorKind::UnknownTeam : ErrorKind::LimitReached;
    }
    const std::uint32_t queued = group.queuedTasks_[0] + group.queuedTasks_[1] + group.queuedTasks_[2];
    if (queued + offer.count_ > detail::QueuedMax) {
        return ErrorKind::Overloaded;
    }
    if (isUnjournaled(job) && offer.remaining_ > Milliseconds(0)
        && waitEstimate(group, job.priority_, now) > offer.remaining_) {
        return ErrorKind::DeadlineTooShort;
    }
    return ErrorKind::None;
}

static GroupTask &addTask(Group &group, const OfferState &state, const TaskId &id, Context &context)
{
    const TaskOffer &offer = state.offer_;
    const JobSpec &job = *state.job_;
    auto &task = group.tasks_[id];
    task = std::make_unique<GroupTask>();
    task->id_ = id;
    task->sequence_ = ++group.lastSequence_;
    task->job_ = state.job_;
    task->team_ = &findOrAddTeam(group, job.team_, context);
    task->class_ = job.class_;
    task->size_ = job.size_;
    task->size_.slots_ = 1;
    task->mode_ = job.mode_;
    task->priority_ = job.priority_;
    task->idempotent_ = job.idempotent_;
    task->attempt_ = offer.attempt_;
    task->call_ = offer.replyTo_.call_;
    task->offeredBy_ = state.from_;
    task->arrivedAt_ = context.now_;
    task->forwardedByFirst_ = offer.forwarded_;
    // Journaled work may be offered without a deadline (remaining_ 0) and then waits without limit.
    if (offer.remaining_ > Milliseconds(0) || isUnjournaled(job)) {
        task->deadline_ = context.now_ + offer.remaining_;
    }
    attachRequester(group, *task, state.requester_);
    return *task;
}

// Starts the checks that a new task needs before it may start, or passes it on when it needs none.
static void admit(Group &group, GroupTask &task, const TaskOffer &offer, const OutcomeRecord *known, Context &context)
{
    const bool unjournaled = isUnjournaled(*task.job_);
    const bool repeated = offer.mayHaveRun_ || (unjournaled && task.attempt_ > 1);
    const bool knownNotRun = known != nullptr && known->result_.outcome_ == Outcome::NotRun;
    task.mayHaveRun_ = repeated && !knownNotRun && !outcomesAreComplete(group, context.now_);
    if (repeated && group.unacknowledgedWorkers_ > 0) {
        task.waitsForWorkers_ = true;
        ++group.tasksWaitingForWorkers_;
    }
    const bool takenOver = group.epoch_.value_ > 1 && context.now_ - group.openedAt_ < detail::TakeoverCheckTime;
    if (unjournaled && !task.forwardedByFirst_ && (task.attempt_ > 1 || takenOver)
        && isFirstCandidate(group, task.id_.job_, task.secondCandidate_, context)) {
        task.waitsForSecondCandidate_ = true;
        addDeadline(group, task);
        querySecondCandidate(group, task, context);
        return;
    }
    if (task.waitsForWorkers_) {
        addDeadline(group, task);
        return;
    }
    onChecksDone(group, task, context);
}

void onChecksDone(Group &group, GroupTask &task, Context &context)
{
    if (task.waitsForWorkers_ || task.waitsForSecondCandidate_) {
        return;
    }
    if (task.cancelled_) {
        finishTask(group, task, {0, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}}, context);
        return;
    }
    if (!task.idempotent_ && task.mayHaveRun_) {
        finishTask(group, task, {0, Outcome::Unknown, ErrorKind::OutcomeUnknown, {}, {}}, context);
        return;
    }
    if (group.fenced_ || group.stopping_) {
        refuseTask(group, task, ErrorKind::NotHolder, context);
        return;
    }
    if (task.deadline_ <= context.now_) {
        refuseTask(group, task, ErrorKind::DeadlinePassed, context);
        return;
    }
    if (!forwardIfBetter(group, task, context)) {
        enqueue(group, task);
    }
}

static void onOfferedTask(Group &group, OfferState &state, std::uint32_t index, Context &context)
{
    const TaskOffer &offer = state.offer_;
    const TaskId id{offer.job_.id_, index};
    if (GroupTask *task = findTask(group, id)) {
        answerExistingTask(group, state, *task);
        return;
    }
    const OutcomeRecord *known = findOutcome(group, id, context.now_);
    if (known != nullptr && !isNewer(state, *known)) {
        TaskResult result = known->result_;
        if (known->kind_ == OutcomeKind::ReportedAbsent && !offer.lookupOnly_) {
            // Since its lookup, the first candidate decides about the task.
            result.outcome_ = Outcome::Unknown;
            result.error_ = ErrorKind::OutcomeUnknown;
        }
        answerRequester(group, state.requester_, result);
        return;
    }
    if (offer.lookupOnly_) {
        answerLookup(group, state, id, context);
        return;
    }
    GroupTask &task = addTask(group, state, id, context);
    if (state.refusal_ != ErrorKind::None) {
        const bool repeated = offer.mayHaveRun_ || (isUnjournaled(offer.job_) && offer.attempt_ > 1);
        const bool knownNotRun = known != nullptr && known->result_.outcome_ == Outcome::NotRun;
        task.mayHaveRun_ = repeated && !knownNotRun && !outcomesAreComplete(group, context.now_);
        refuseTask(group, task, state.refusal_, context);
        return;
    }
    const bool needsChecks = offer.mayHaveRun_ && (group.unacknowledgedWorkers_ > 0 || !offer.job_.idempotent_);
    if (offer.job_.mode_ == WorkMode::Gang && offer.count_ > 1 && !needsChecks) {
        state.gang_.push_back(&task);
        return;
    }
    admit(group, task, offer, known, context);
}

void onTaskOffer(Group &group, const DaemonId &from, const TaskOffer &message, Context &context)
{
    beginEvent(group, context);
    OfferState state{
        message, from,           addRequester(group, from, message), std::make_shared<const JobSpec>(message.job_),
        {},      ErrorKind::None};
    if (!message.lookupOnly_) {
        state.refusal_ = refusalOf(group, message, context.now_, context);
    }
    for (std::uint32_t i = 0; i < message.count_; ++i) {
        onOfferedTask(group, state, message.firstIndex_ + i, context);
    }
    if (!state.gang_.empty()) {
        makeGang(group, std::move(state.gang_));
    }
    finishEvent(group, context);
}

} // namespace mimosapier
