// Drafts: validates them, stores them under config/draft/<id>, and lists them. A draft takes effect only by a sign-off.
#include "core/config/config_internal.h"

#include "core/common/json_func.h"
#include "core/message/pack_func.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace mimosapier
{

void answerOperator(Context &context, CallId call, Outcome outcome, ErrorKind error, std::string detail)
{
    CallerAnswer answer;
    answer.call_ = call;
    answer.outcome_ = outcome;
    answer.error_ = error;
    answer.detail_ = std::move(detail);
    context.actions_.push(std::move(answer));
}

std::string draftDetail(const std::string &id, BundleVersion base)
{
    return JsonObject().text("draft", id).number("base_version", static_cast<std::int64_t>(base.value_)).finish();
}

// "<next version>-<random hex>"; the random part makes ids of several daemons differ.
static std::string newDraftId(const ConfigState &state, Context &context)
{
    std::array<char, 20> hex{};
    const std::uint64_t number = context.random_();
    std::snprintf(hex.data(), hex.size(), "%016" PRIx64, number);
    return std::to_string(state.head_.version_.value_ + 1) + "-" + hex.data();
}

static void writeDraft(DraftWrite &write, Context &context)
{
    write.readBack_ = false;
    write.opGiveUpAt_ = context.now_ + ConfigOpTimeout;
    write.op_ = sendStore(context, StoreComponent::Config, {},
                          StoreCas{std::string(DraftPrefix) + write.id_, packToString(write.record_), {}, {}});
}

static void readDraftBack(DraftWrite &write, Context &context)
{
    write.readBack_ = true;
    write.opGiveUpAt_ = context.now_ + ConfigOpTimeout;
    write.op_ = sendStore(context, StoreComponent::Config, {}, StoreGet{std::string(DraftPrefix) + write.id_});
}

void onDraft(ConfigState &state, CallId call, const DraftRequest &request, Context &context)
{
    if (request.author_.empty()) {
        answerOperator(context, call, Outcome::NotRun, ErrorKind::MalformedRequest, "The author is missing.");
        return;
    }
    Bundle bundle;
    std::vector<BundleProblem> problems;
    if (parseBundle(request.text_, bundle, problems)) {
        answerOperator(context, call, Outcome::NotRun, ErrorKind::BadBundle, formatProblems("", problems));
        return;
    }
    const std::string change = partitionChange(state.bundle_, bundle);
    if (!change.empty()) {
        answerOperator(context, call, Outcome::NotRun, ErrorKind::BadBundle, change);
        return;
    }
    if (state.draftWrites_.size() >= MaxPendingRequests) {
        answerOperator(context, call, Outcome::NotRun, ErrorKind::Overloaded, "");
        return;
    }
    DraftWrite write;
    write.call_ = call;
    write.id_ = newDraftId(state, context);
    write.record_ = {request.author_, state.head_.version_, request.text_};
    write.deadline_ = context.now_ + SignOffTimeout;
    writeDraft(write, context);
    state.draftWrites_.push_back(std::move(write));
}

static void finishDraft(ConfigState &state, DraftWrite &write, Context &context)
{
    answerOperator(context, write.call_, Outcome::Done, ErrorKind::None, draftDetail(write.id_, write.record_.base_));
    state.drafts_[write.id_] = std::move(write.record_);
    if (state.drafts_.size() > MaxListedDrafts) {
        state.drafts_.erase(state.drafts_.begin());
    }
}

// Handles the result of a write or of reading back. Returns true when the author has been answered. A draft that is
// stored although the author was told otherwise does no harm, as only a sign-off makes a draft effective.
static bool onDraftWriteResult(ConfigState &state, DraftWrite &write, const StoreResult &result, Context &context)
{
    const bool expired = context.now_ >= write.deadline_;
    switch (result.status_) {
    case StoreStatus::Ok:
    case StoreStatus::Conflict: // ids are random, so the existing key is this draft, from an earlier attempt
        finishDraft(state, write, context);
        return true;
    case StoreStatus::NotFound: // when read back: the write had no effect
        if (!expired) {
            writeDraft(write, context);
            return false;
        }
        break;
    case StoreStatus::Unavailable:
        if (!write.readBack_) {
            answerOperator(context, write.call_, Outcome::NotRun, ErrorKind::StoreUnavailable, "");
            return true;
        }
        break;
    case StoreStatus::Unchanged: // only watches give this status
    case StoreStatus::Unknown:
        break;
    }
    if (expired) {
        answerOperator(context, write.call_, Outcome::Unknown, ErrorKind::OutcomeUnknown, "");
        return true;
    }
    readDraftBack(write, context);
    return false;
}

static void onDraftList(ConfigState &state, const StoreResult &result, Context &context)
{
    state.draftListOp_ = {};
    if (result.status_ == StoreStatus::Ok) {
        state.drafts_.clear();
        for (const StoreEntry &entry : result.entries_) {
            DraftRecord record;
            if (state.drafts_.size() < MaxListedDrafts && unpackFromString(entry.value_, record)) {
                state.drafts_.emplace(entry.key_.substr(DraftPrefix.size()), std::move(record));
            }
        }
    }
    for (const CallId &call : std::exchange(state.draftListCalls_, {})) {
        CallerAnswer answer;
        answer.call_ = call;
        answer.outcome_ = Outcome::Done;
        answer.document_ = draftsDocument(state);
        context.actions_.push(std::move(answer));
    }
}

bool onDraftResult(ConfigState &state, const StoreResult &result, Context &context)
{
    if (result.id_ == state.draftListOp_) {
        onDraftList(state, result, context);
        return true;
    }
    const auto write = std::find_if(state.draftWrites_.begin(), state.draftWrites_.end(),
                                    [&result](const DraftWrite &candidate) { return candidate.op_ == result.id_; });
    if (write == state.draftWrites_.end()) {
        return false;
    }
    if (onDraftWriteResult(state, *write, result, context)) {
        state.draftWrites_.erase(write);
    }
    return true;
}

void tickDrafts(ConfigState &state, Context &context)
{
    std::vector<StoreOpId> timedOut;
    for (const DraftWrite &write : state.draftWrites_) {
        if (context.now_ >= write.opGiveUpAt_) {
            timedOut.push_back(write.op_);
        }
    }
    if (state.draftListOp_.value_ != 0 && context.now_ >= state.draftListGiveUpAt_) {
        timedOut.push_back(state.draftListOp_);
    }
    for (const StoreOpId &id : timedOut) {
        StoreResult result;
        result.id_ = id;
        onDraftResult(state, result, context);
    }
}

void onDraftsView(ConfigState &state, CallId call, Context &context)
{
    state.draftListCalls_.push_back(call);
    if (state.draftListOp_.value_ == 0) {
        state.draftListOp_ = sendStore(context, StoreComponent::Config, {}, StoreList{std::string(DraftPrefix)});
        state.draftListGiveUpAt_ = context.now_ + ConfigOpTimeout;
    }
}

} // namespace mimosapier
