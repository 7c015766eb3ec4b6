// Signs off a draft: reads the draft and the head, announces the change to a majority, and writes the new head if the
// old one is unchanged. When the result of the write is lost, reads the head back. The states are those of
// charts/rollout.yaml.
#include "core/config/config_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

static void sendSignOp(SignOff &sign, StoreOp op, Context &context)
{
    sign.op_ = sendStore(context, StoreComponent::Config, {}, std::move(op));
    sign.opGiveUpAt_ = context.now_ + ConfigOpTimeout;
}

static void writeHead(ConfigState &state, SignOff &sign, Context &context)
{
    if (sign.value_.empty()) {
        sign.head_.voters_ = state.members_;
        sign.value_ = packToString(sign.head_);
    }
    sendSignOp(sign, StoreCas{std::string(HeadKey), sign.value_, sign.headRevision_, {}}, context);
}

// Answers the first sign-off and removes it.
static void finishSignOff(ConfigState &state, Outcome outcome, ErrorKind error, std::string detail, Context &context)
{
    answerOperator(context, state.signOffs_.front().call_, outcome, error, std::move(detail));
    state.signOffs_.pop_front();
}

static void applySignedHead(ConfigState &state, Context &context)
{
    const SignOff &sign = state.signOffs_.front();
    applyHead(state, sign.value_, sign.writtenRevision_, context);
    // The draft is not needed any more. If the delete is lost, the draft stays in the list, which does no harm.
    sendStore(context, StoreComponent::Config, {},
              StoreDelete{std::string(DraftPrefix) + sign.request_.draft_, sign.draftRevision_});
    state.drafts_.erase(sign.request_.draft_);
    finishSignOff(state, Outcome::Done, ErrorKind::None, "version " + std::to_string(sign.head_.version_.value_),
                  context);
}

// Passes an event to the chart of the first sign-off and carries out the resulting action. The answer of a refusal has
// `error` and `detail`.
static void advanceSignOff(ConfigState &state, std::string_view event, Context &context,
                           ErrorKind error = ErrorKind::None, std::string detail = {})
{
    SignOff &sign = state.signOffs_.front();
    const std::string_view action = advanceChart(sign.chart_, event);
    if (action == "read-head" || action == "read-back") {
        sendSignOp(sign, StoreGet{std::string(HeadKey)}, context);
    } else if (action == "announce") {
        announce(state, sign, context);
    } else if (action == "write") {
        writeHead(state, sign, context);
    } else if (action == "write-again") {
        sign.retryAt_ = context.now_ + SignOffRetryDelay;
    } else if (action == "apply") {
        applySignedHead(state, context);
    } else if (action == "refuse") {
        withdraw(state, sign, context);
        finishSignOff(state, Outcome::NotRun, error, std::move(detail), context);
    } else if (action == "answer-unknown") {
        // The announcement is not withdrawn, because the write may still take effect.
        finishSignOff(state, Outcome::Unknown, ErrorKind::OutcomeUnknown, std::move(detail), context);
    }
}

static std::string versionRaceDetail(const HeadRecord &winner, const DraftRecord &draft)
{
    return "Version " + std::to_string(winner.version_.value_) + " by " + winner.author_ + ", signed off by "
        + winner.signer_ + ", is in force. From it to the draft:\n" + lineDiff(winner.text_, draft.text_);
}

static void onDraftRead(ConfigState &state, const StoreResult &result, Context &context)
{
    SignOff &sign = state.signOffs_.front();
    const bool found = result.status_ == StoreStatus::Ok && !result.entries_.empty();
    if (!found || !unpackFromString(result.entries_.front().value_, sign.draft_)) {
        advanceSignOff(state, "refused", context, ErrorKind::MalformedRequest,
                       "There is no draft " + sign.request_.draft_ + ".");
        return;
    }
    if (sign.draft_.author_ == sign.request_.signer_) {
        advanceSignOff(state, "refused", context, ErrorKind::SameSigner);
        return;
    }
    sign.draftRevision_ = result.entries_.front().revision_;
    advanceSignOff(state, "draft-read", context);
}

// Describes why the draft cannot follow the head; empty when it can.
static std::string checkDraft(const HeadRecord &head, const DraftRecord &draft)
{
    Bundle current;
    Bundle next;
    std::vector<BundleProblem> problems;
    if (parseBundle(draft.text_, next, problems)) {
        return formatProblems("", problems);
    }
    if (head.version_.value_ != 0 && !parseBundle(head.text_, current, problems)) {
        return partitionChange(current, next);
    }
    return {};
}

static void onHeadRead(ConfigState &state, const StoreResult &result, Context &context)
{
    SignOff &sign = state.signOffs_.front();
    HeadRecord head;
    if (!result.entries_.empty()) {
        const StoreEntry &entry = result.entries_.front();
        if (!unpackFromString(entry.value_, head) || !applyHead(state, entry.value_, entry.revision_, context)) {
            advanceSignOff(state, "refused", context, ErrorKind::Internal,
                           "The head of the configuration is not valid.");
            return;
        }
        sign.headRevision_ = entry.revision_;
    }
    if (head.version_ != sign.request_.base_) {
        advanceSignOff(state, "refused", context, ErrorKind::VersionRace, versionRaceDetail(head, sign.draft_));
        return;
    }
    std::string problem = checkDraft(head, sign.draft_);
    if (!problem.empty()) {
        advanceSignOff(state, "refused", context, ErrorKind::BadBundle, std::move(problem));
        return;
    }
    sign.head_ = {BundleVersion{head.version_.value_ + 1},
                  sha256Hex(sign.draft_.text_),
                  sign.draft_.author_,
                  sign.request_.signer_,
                  sign.draft_.text_,
                  head.voters_};
    advanceSignOff(state, "head-read", context);
}

// Decides by the head in the store whether this sign-off's write took effect.
static void resolveWrite(ConfigState &state, const StoreResult &result, Context &context)
{
    SignOff &sign = state.signOffs_.front();
    HeadRecord head;
    Revision revision;
    if (!result.entries_.empty()) {
        const StoreEntry &entry = result.entries_.front();
        revision = entry.revision_;
        if (entry.value_ == sign.value_) {
            sign.writtenRevision_ = revision;
            advanceSignOff(state, "written", context);
            return;
        }
        if (unpackFromString(entry.value_, head)) {
            applyHead(state, entry.value_, entry.revision_, context);
        }
    }
    if (revision == sign.headRevision_) {
        advanceSignOff(state, "not-written", context);
    } else if (head.version_ > sign.head_.version_ && !isInState(sign.chart_, "writing")) {
        // A later version has replaced the head. Whether this sign-off's version came before it is not known.
        advanceSignOff(state, "refused", context, ErrorKind::OutcomeUnknown,
                       "Version " + std::to_string(head.version_.value_) + " followed before the answer came.");
    } else {
        advanceSignOff(state, "other-head", context, ErrorKind::VersionRace, versionRaceDetail(head, sign.draft_));
    }
}

static void onWritten(ConfigState &state, const StoreResult &result, Context &context)
{
    switch (result.status_) {
    case StoreStatus::Ok:
        state.signOffs_.front().writtenRevision_ = result.revision_;
        advanceSignOff(state, "written", context);
        return;
    case StoreStatus::Conflict:
        resolveWrite(state, result, context);
        return;
    case StoreStatus::Unchanged: // only watches give this status
    case StoreStatus::Unknown:
        advanceSignOff(state, "answer-lost", context);
        return;
    case StoreStatus::NotFound:
    case StoreStatus::Unavailable:
        advanceSignOff(state, "unavailable", context);
        return;
    }
}

static bool isWriting(const SignOff &sign)
{
    return isInState(sign.chart_, "writing") || isInState(sign.chart_, "rewriting");
}

// Sends the store operation or announcement that the chart's state requires, unless an operation is
// in flight or the retry delay has not passed.
static void sendNext(ConfigState &state, SignOff &sign, Context &context)
{
    if (sign.op_.value_ != 0 || context.now_ < sign.retryAt_) {
        return;
    }
    if (isInState(sign.chart_, "reading-draft")) {
        sendSignOp(sign, StoreGet{std::string(DraftPrefix) + sign.request_.draft_}, context);
    } else if (isWriting(sign)) {
        writeHead(state, sign, context);
    } else if (!isInState(sign.chart_, "announcing")) {
        sendSignOp(sign, StoreGet{std::string(HeadKey)}, context);
    } else if (hasMajority(sign)) {
        advanceSignOff(state, "majority", context);
    } else if (context.now_ >= sign.announceDeadline_) {
        advanceSignOff(state, "refused", context, ErrorKind::PeerUnavailable,
                       "A majority of the daemons did not answer.");
    } else {
        announce(state, sign, context);
    }
}

void tickSignOffs(ConfigState &state, Context &context)
{
    while (!state.signOffs_.empty()) {
        SignOff &sign = state.signOffs_.front();
        if (sign.chart_.chart_ == nullptr) {
            sign.chart_ = startChart(chartNamed("rollout"));
            sign.deadline_ = context.now_ + SignOffTimeout;
        }
        if (sign.op_.value_ != 0 && context.now_ >= sign.opGiveUpAt_) {
            StoreResult timedOut;
            timedOut.id_ = sign.op_;
            onSignResult(state, timedOut, context);
            return;
        }
        const std::size_t before = state.signOffs_.size();
        // The result of a write in flight is awaited first; the write has its own timeout.
        if (context.now_ >= sign.deadline_ && !(isWriting(sign) && sign.op_.value_ != 0)) {
            advanceSignOff(state, "timeout", context, ErrorKind::StoreUnavailable);
        } else {
            sendNext(state, sign, context);
        }
        if (state.signOffs_.size() == before) {
            return;
        }
    }
}

bool onSignResult(ConfigState &state, const StoreResult &result, Context &context)
{
    if (state.signOffs_.empty() || state.signOffs_.front().op_ != result.id_) {
        return false;
    }
    SignOff &sign = state.signOffs_.front();
    sign.op_ = {};
    const bool answered = result.status_ == StoreStatus::Ok || result.status_ == StoreStatus::NotFound;
    if (isWriting(sign)) {
        onWritten(state, result, context);
    } else if (!answered) {
        sign.retryAt_ = context.now_ + SignOffRetryDelay;
    } else if (isInState(sign.chart_, "reading-draft")) {
        onDraftRead(state, result, context);
    } else if (isInState(sign.chart_, "reading-head")) {
        onHeadRead(state, result, context);
    } else {
        resolveWrite(state, result, context);
    }
    tickSignOffs(state, context);
    return true;
}

void onSign(ConfigState &state, CallId call, const SignRequest &request, Context &context)
{
    if (request.signer_.empty() || request.draft_.empty() || request.draft_.find('/') != std::string::npos) {
        answerOperator(context, call, Outcome::NotRun, ErrorKind::MalformedRequest,
                       "The signer and the draft are needed.");
        return;
    }
    if (state.signOffs_.size() >= MaxPendingRequests) {
        answerOperator(context, call, Outcome::NotRun, ErrorKind::Overloaded, "");
        return;
    }
    SignOff sign;
    sign.call_ = call;
    sign.request_ = request;
    state.signOffs_.push_back(std::move(sign));
    tickSignOffs(state, context);
}

} // namespace mimosapier
