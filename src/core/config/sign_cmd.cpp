// Signing off a draft: read the draft and the head, announce the change to a majority, write, and settle lost answers.
#include "core/config/config_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

static void sendSignOp(SignOff &sign, StoreOp op, Context &context)
{
    sign.op_ = sendStore(context, StorePart::Config, {}, std::move(op));
    sign.opGiveUpAt_ = context.now_ + ConfigOpTimeout;
}

static void finish(ConfigState &state, Outcome outcome, ErrorKind error, std::string detail, Context &context)
{
    answerOperator(context, state.signOffs_.front().call_, outcome, error, std::move(detail));
    state.signOffs_.pop_front();
}

// Refuses a sign-off that certainly took no effect.
static void refuse(ConfigState &state, ErrorKind error, std::string detail, Context &context)
{
    withdraw(state, state.signOffs_.front(), context);
    finish(state, Outcome::NotRun, error, std::move(detail), context);
}

static std::string raceDetail(const HeadRecord &winner, const DraftRecord &draft)
{
    return "Version " + std::to_string(winner.version_.value_) + " by " + winner.author_ + ", signed off by "
        + winner.signer_ + ", is in force. From it to the draft:\n" + lineDiff(winner.text_, draft.text_);
}

static void onDraftRead(ConfigState &state, const StoreResult &result, Context &context)
{
    SignOff &sign = state.signOffs_.front();
    const bool found = result.status_ == StoreStatus::Ok && !result.entries_.empty();
    if (!found || !unpackFromString(result.entries_.front().value_, sign.draft_)) {
        refuse(state, ErrorKind::MalformedRequest, "There is no draft " + sign.request_.draft_ + ".", context);
        return;
    }
    if (sign.draft_.author_ == sign.request_.signer_) {
        refuse(state, ErrorKind::SameSigner, "", context);
        return;
    }
    sign.draftRevision_ = result.entries_.front().revision_;
    sign.state_ = SignState::ReadHead;
}

static void onHeadRead(ConfigState &state, const StoreResult &result, Context &context)
{
    SignOff &sign = state.signOffs_.front();
    HeadRecord head;
    if (!result.entries_.empty()) {
        const StoreEntry &entry = result.entries_.front();
        if (!unpackFromString(entry.value_, head) || !applyHead(state, entry.value_, entry.revision_, context)) {
            refuse(state, ErrorKind::Internal, "The head of the configuration is not valid.", context);
            return;
        }
        sign.headRevision_ = entry.revision_;
    }
    if (head.version_ != sign.request_.base_) {
        refuse(state, ErrorKind::VersionRace, raceDetail(head, sign.draft_), context);
        return;
    }
    Bundle current;
    Bundle next;
    std::vector<BundleProblem> problems;
    if (parseBundle(sign.draft_.text_, next, problems)) {
        refuse(state, ErrorKind::BadBundle, formatProblems("", problems), context);
        return;
    }
    if (head.version_.value_ != 0 && !parseBundle(head.text_, current, problems)) {
        const std::string change = partitionChange(current, next);
        if (!change.empty()) {
            refuse(state, ErrorKind::BadBundle, change, context);
            return;
        }
    }
    sign.head_ = {BundleVersion {head.version_.value_ + 1},
                  sha256Hex(sign.draft_.text_),
                  sign.draft_.author_,
                  sign.request_.signer_,
                  sign.draft_.text_,
                  head.voters_};
    sign.state_ = SignState::Announce;
}

static void write(ConfigState &state, SignOff &sign, Context &context)
{
    if (sign.value_.empty()) {
        sign.head_.voters_ = state.members_;
        sign.value_ = packToString(sign.head_);
    }
    sendSignOp(sign, StoreCas {std::string(HeadKey), sign.value_, sign.headRevision_, {}}, context);
}

static void won(ConfigState &state, Revision revision, Context &context)
{
    SignOff &sign = state.signOffs_.front();
    applyHead(state, sign.value_, revision, context);
    // The draft has served; a lost delete leaves an entry in the list of drafts.
    sendStore(context, StorePart::Config, {},
              StoreDelete {std::string(DraftPrefix) + sign.request_.draft_, sign.draftRevision_});
    state.drafts_.erase(sign.request_.draft_);
    finish(state, Outcome::Done, ErrorKind::None, "version " + std::to_string(sign.head_.version_.value_), context);
}

// The head as the store has it decides who won.
static void settle(ConfigState &state, const StoreResult &result, Context &context)
{
    SignOff &sign = state.signOffs_.front();
    HeadRecord head;
    Revision revision;
    if (!result.entries_.empty()) {
        const StoreEntry &entry = result.entries_.front();
        if (entry.value_ == sign.value_) {
            won(state, entry.revision_, context);
            return;
        }
        revision = entry.revision_;
        if (unpackFromString(entry.value_, head)) {
            applyHead(state, entry.value_, entry.revision_, context);
        }
    }
    if (revision == sign.headRevision_) {
        // Not written yet, but the earlier write may still arrive: the same write again settles both.
        sign.state_ = SignState::Write;
        sign.retryAt_ = context.now_ + SignRetry;
        return;
    }
    // Another head means that this write never takes effect, or that it did and a later version followed.
    if (sign.mayBeWritten_ && head.version_ > sign.head_.version_) {
        finish(state, Outcome::Unknown, ErrorKind::OutcomeUnknown,
               "Version " + std::to_string(head.version_.value_) + " followed before the answer came.", context);
        return;
    }
    refuse(state, ErrorKind::VersionRace, raceDetail(head, sign.draft_), context);
}

static void onWritten(ConfigState &state, const StoreResult &result, Context &context)
{
    SignOff &sign = state.signOffs_.front();
    switch (result.status_) {
    case StoreStatus::Ok:
        won(state, result.revision_, context);
        return;
    case StoreStatus::Conflict:
        settle(state, result, context);
        return;
    case StoreStatus::Unknown:
        sign.mayBeWritten_ = true;
        sign.state_ = SignState::ReadBack;
        return;
    case StoreStatus::NotFound:
    case StoreStatus::Unavailable:
        sign.retryAt_ = context.now_ + SignRetry;
        return;
    }
}

static void sendNext(ConfigState &state, SignOff &sign, Context &context)
{
    if (sign.op_.value_ != 0 || context.now_ < sign.retryAt_) {
        return;
    }
    switch (sign.state_) {
    case SignState::ReadDraft:
        sendSignOp(sign, StoreGet {std::string(DraftPrefix) + sign.request_.draft_}, context);
        return;
    case SignState::ReadHead:
    case SignState::ReadBack:
        sendSignOp(sign, StoreGet {std::string(HeadKey)}, context);
        return;
    case SignState::Announce:
        announce(state, sign, context);
        if (hasMajority(sign)) {
            sign.state_ = SignState::Write;
            write(state, sign, context);
        } else if (context.now_ >= sign.announceUntil_) {
            refuse(state, ErrorKind::PeerUnavailable, "A majority of the daemons did not answer.", context);
        }
        return;
    case SignState::Write:
        write(state, sign, context);
        return;
    }
}

// Past the deadline the caller is told what is certain. The announcement of a write that may take effect stays.
static bool answerLate(ConfigState &state, SignOff &sign, Context &context)
{
    if (context.now_ < sign.deadline_ || (sign.state_ == SignState::Write && sign.op_.value_ != 0)) {
        return false;
    }
    if (sign.mayBeWritten_) {
        finish(state, Outcome::Unknown, ErrorKind::OutcomeUnknown, "", context);
    } else {
        refuse(state, ErrorKind::StoreUnavailable, "", context);
    }
    return true;
}

void tickSignOffs(ConfigState &state, Context &context)
{
    while (!state.signOffs_.empty()) {
        SignOff &sign = state.signOffs_.front();
        if (!sign.started_) {
            sign.started_ = true;
            sign.deadline_ = context.now_ + SignWait;
        }
        if (sign.op_.value_ != 0 && context.now_ >= sign.opGiveUpAt_) {
            StoreResult late;
            late.id_ = sign.op_;
            onSignResult(state, late, context);
            return;
        }
        const std::size_t before = state.signOffs_.size();
        if (!answerLate(state, sign, context)) {
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
    if (sign.state_ == SignState::Write) {
        onWritten(state, result, context);
    } else if (!answered) {
        sign.retryAt_ = context.now_ + SignRetry;
    } else if (sign.state_ == SignState::ReadDraft) {
        onDraftRead(state, result, context);
    } else if (sign.state_ == SignState::ReadHead) {
        onHeadRead(state, result, context);
    } else {
        settle(state, result, context);
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
    if (state.signOffs_.size() >= MaxSignOffs) {
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
