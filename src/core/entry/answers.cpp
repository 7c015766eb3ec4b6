// Handles the answers of groups and home partitions, and sends each caller its one answer.
#include "core/entry/entry_internal.h"

#include "core/home/outcome_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr Milliseconds PollInterval{200}; // back-off of a submit whose group does not know its tasks

void removeRequest(Entry &entry, CallId id)
{
    const auto found = entry.openRequests_.find(id);
    const EntryRequest &request = found->second;
    entry.timers_.erase({request.timer_, id});
    entry.idByMessageCall_.erase(request.messageCall_);
    entry.idByCallerCall_.erase(request.callerCall_);
    if (request.kind_ == RequestKind::Submit) {
        --entry.openSubmits_;
        const auto team = entry.openSubmitsByTeam_.find(request.spec_.team_);
        if (--team->second == 0) {
            entry.openSubmitsByTeam_.erase(team);
        }
    }
    entry.openRequests_.erase(found);
}

void finishRequest(Entry &entry, CallId id, Outcome outcome, ErrorKind error, Context &context)
{
    EntryRequest &request = entry.openRequests_.at(id);
    if (request.cancelId_ != CallId{}) {
        const EntryRequest part = std::move(request);
        entry.timers_.erase({part.timer_, id});
        entry.idByMessageCall_.erase(part.messageCall_);
        entry.openRequests_.erase(id);
        finishCancelPart(entry, part, context);
        return;
    }
    if (request.kind_ == RequestKind::Submit) {
        const auto time = std::chrono::duration_cast<Milliseconds>(context.now_ - request.receivedAt_);
        countAnswer(entry.report_, request.spec_, outcome, error, time, context.now_);
    }
    CallerAnswer answer;
    answer.call_ = request.callerCall_;
    answer.requestId_ = request.spec_.requestId_;
    answer.outcome_ = outcome;
    answer.error_ = error;
    answer.detail_ = std::move(request.detail_);
    answer.homeRegion_ = request.spec_.homeRegion_;
    answer.results_ = std::move(request.results_);
    std::sort(answer.results_.begin(), answer.results_.end(),
              [](const TaskResult &left, const TaskResult &right) { return left.index_ < right.index_; });
    removeRequest(entry, id);
    context.actions_.push(std::move(answer));
}

void finishAfterDeadline(Entry &entry, CallId id, Context &context)
{
    EntryRequest &request = entry.openRequests_.at(id);
    const bool mayStart = request.messageCall_ != CallId{} && !request.messageIsLookup_;
    if (request.accepted_) {
        finishRequest(entry, id, Outcome::Pending, ErrorKind::None, context);
    } else if (request.kind_ != RequestKind::Submit) {
        finishRequest(entry, id, Outcome::Unknown, ErrorKind::PeerUnavailable, context);
    } else if (request.mayHaveRun_ || mayStart || request.attempt_ > 1) {
        finishRequest(entry, id, Outcome::Unknown, ErrorKind::OutcomeUnknown, context);
    } else {
        finishRequest(entry, id, Outcome::NotRun, ErrorKind::PeerUnavailable, context);
    }
}

// The open request that waits for an answer to the message, and its id. nullptr for late and repeated answers, which
// are counted.
static EntryRequest *findAnsweredRequest(Entry &entry, CallId message, CallId &id)
{
    const auto found = entry.idByMessageCall_.find(message);
    if (found == entry.idByMessageCall_.end()) {
        ++entry.report_.lateAnswers_;
        return nullptr;
    }
    id = found->second;
    return &entry.openRequests_.at(id);
}

// The message in flight was answered.
static void clearMessage(Entry &entry, EntryRequest &request)
{
    entry.idByMessageCall_.erase(request.messageCall_);
    request.messageCall_ = {};
}

static void waitAndAdvance(Entry &entry, CallId id, EntryRequest &request, Milliseconds delay, Context &context)
{
    request.nextSendAt_ = context.now_ + delay;
    advanceRequest(entry, id, context);
}

// Adds newer results. Final results are not replaced.
static void mergeResults(std::vector<TaskResult> &results, const std::vector<TaskResult> &newer)
{
    for (const TaskResult &result : newer) {
        const auto known = std::find_if(results.begin(), results.end(),
                                        [&result](const TaskResult &older) { return older.index_ == result.index_; });
        if (known == results.end()) {
            results.push_back(result);
        } else if (!isFinal(known->outcome_)) {
            *known = result;
        }
    }
}

// The group that was looked up does not know the tasks.
static void onTasksUnknown(Entry &entry, CallId id, EntryRequest &request, Context &context)
{
    clearMessage(entry, request);
    if (request.route_ != Route::GroupLookup) {
        waitAndAdvance(entry, id, request, PollInterval, context); // a submit waits for its first candidate
        return;
    }
    if (!request.lookupSecond_ && !request.secondTarget_.empty()) {
        request.lookupSecond_ = true;
        waitAndAdvance(entry, id, request, Milliseconds(0), context);
        return;
    }
    finishRequest(entry, id, Outcome::Unknown,
                  request.groupCannotTell_ ? ErrorKind::OutcomeUnknown : ErrorKind::UnknownJob, context);
}

static void onLookup(Entry &entry, CallId id, EntryRequest &request, const TaskAnswer &message, Context &context)
{
    const bool known = std::any_of(message.results_.begin(), message.results_.end(), [](const TaskResult &result) {
        const bool refused = result.outcome_ == Outcome::NotRun && result.error_ != ErrorKind::UnknownJob;
        return refused || (result.outcome_ != Outcome::Unknown && result.outcome_ != Outcome::NotRun);
    });
    if (!known) {
        request.groupCannotTell_ = request.groupCannotTell_
            || std::any_of(message.results_.begin(), message.results_.end(),
                           [](const TaskResult &result) { return result.error_ == ErrorKind::OutcomeUnknown; });
        onTasksUnknown(entry, id, request, context);
        return;
    }
    std::vector<TaskResult> results;
    mergeResults(results, message.results_);
    const JobOutcome state = combineOutcomes(results);
    if (request.kind_ == RequestKind::Submit && state.outcome_ == Outcome::NotRun) {
        onTasksUnknown(entry, id, request, context); // the first candidate may still have run it
        return;
    }
    request.results_ = std::move(results);
    if (isFinal(state.outcome_)) {
        finishRequest(entry, id, state.outcome_, state.error_, context);
        return;
    }
    request.groupKnowsTasks_ = true; // the outcome follows in a further answer to the same message
    request.detail_ = std::string(outcomeName(state.outcome_)) + " in " + message.group_.value_;
    advanceRequest(entry, id, context);
}

void onEntryTaskAnswer(Entry &entry, const DaemonId & /*from*/, const TaskAnswer &message, Context &context)
{
    CallId id;
    EntryRequest *request = findAnsweredRequest(entry, message.replyTo_.call_, id);
    if (request == nullptr) {
        return;
    }
    const auto isNotHolder = [](const TaskResult &result) {
        return result.outcome_ == Outcome::NotRun && result.error_ == ErrorKind::NotHolder;
    };
    if (std::any_of(message.results_.begin(), message.results_.end(), isNotHolder)) {
        clearMessage(entry, *request);
        // NotHolder means that nothing was started, unless the daemon has answered for some tasks before.
        request->mayHaveRun_ = request->mayHaveRun_ || request->hasPartialAnswer_;
        scheduleBackoff(*request, context);
        advanceRequest(entry, id, context);
        return;
    }
    if (request->messageIsLookup_) {
        onLookup(entry, id, *request, message, context);
        return;
    }
    mergeResults(request->results_, message.results_);
    request->hasPartialAnswer_ = true;
    const JobOutcome state = combineOutcomes(request->results_);
    if (request->results_.size() >= request->spec_.tasks_ && isFinal(state.outcome_)) {
        finishRequest(entry, id, state.outcome_, state.error_, context);
    }
}

static void onSubmitAnswer(Entry &entry, CallId id, EntryRequest &request, const JobAnswer &message, Context &context)
{
    request.results_ = message.results_;
    request.detail_ = message.detail_;
    if (message.outcome_ != Outcome::Pending) {
        // A home partition knows a final job at least as long as a caller waits; UnknownJob after an acceptance means
        // that the job has ended and expired.
        finishRequest(entry, id, message.outcome_, message.error_, context);
        return;
    }
    request.accepted_ = true;
    if (request.spec_.mode_ == WorkMode::Interactive && request.route_ == Route::Home) {
        request.route_ = Route::HomeFollow;
        request.sendCount_ = 0;
        waitAndAdvance(entry, id, request, Milliseconds(0), context);
        return;
    }
    finishRequest(entry, id, Outcome::Pending, message.error_, context);
}

static void onStatusAnswer(Entry &entry, CallId id, EntryRequest &request, const JobAnswer &message, Context &context)
{
    request.results_ = message.results_;
    request.detail_ = message.detail_;
    if (message.error_ != ErrorKind::UnknownJob) {
        finishRequest(entry, id, message.outcome_, message.error_, context);
        return;
    }
    // Idempotent interactive work is known to its candidate groups only.
    request.route_ = Route::GroupLookup;
    request.sendCount_ = 0;
    setCandidates(request, context.region_, context);
    request.spec_.homeRegion_ = context.region_;
    if (request.firstTarget_.empty()) {
        finishRequest(entry, id, Outcome::Unknown, ErrorKind::UnknownJob, context);
        return;
    }
    waitAndAdvance(entry, id, request, Milliseconds(0), context);
}

void onEntryJobAnswer(Entry &entry, const DaemonId & /*from*/, const JobAnswer &message, Context &context)
{
    CallId id;
    EntryRequest *request = findAnsweredRequest(entry, message.replyTo_.call_, id);
    if (request == nullptr) {
        return;
    }
    clearMessage(entry, *request);
    if (message.error_ == ErrorKind::NotHolder) {
        const bool mayStart = request->kind_ == RequestKind::Submit && request->route_ == Route::Home;
        request->mayHaveRun_ = request->mayHaveRun_ || (mayStart && message.outcome_ != Outcome::NotRun);
        scheduleBackoff(*request, context);
        advanceRequest(entry, id, context);
        return;
    }
    switch (request->kind_) {
    case RequestKind::Submit:
        onSubmitAnswer(entry, id, *request, message, context);
        break;
    case RequestKind::Status:
        onStatusAnswer(entry, id, *request, message, context);
        break;
    default:
        onCancelAnswer(entry, id, message, context);
        break;
    }
}

} // namespace mimosapier
