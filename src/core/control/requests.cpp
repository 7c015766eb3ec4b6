// Client requests: checks against the configuration, forwarding to the leader, answers and deadlines. Called for
// each client request and cell reply, and by finishBatch(). Decisions about jobs are made in src/core/cell only.
#include "core/control/control_internal.h"

#include <algorithm>
#include <charconv>

namespace mimosapier::detail
{

// An answer is sent this long before the client's deadline, to leave time for its transfer.
static constexpr Milliseconds AnswerReserve{120};
// A request that no leader has taken after this time is answered with an error, so that the client retries at another
// daemon. A change of leader takes less time after a planned stop and more after a crash.
static constexpr Milliseconds MaxLeaderWait{1'000};
static constexpr Milliseconds LeaderRetryAfter{1'000};
static constexpr Milliseconds RejectionRetryAfter{2'000};
// A leaving daemon refuses requests that arrive less than this before its leave deadline: there is not enough time to
// answer them.
static constexpr Milliseconds LastRequestMargin{900};
// A submission is refused when less time than this is left for the leader's answer, which takes a round trip of 40 ms
// between regions and a write to the store. Forwarded, it would be answered as of unknown outcome.
static constexpr Milliseconds MinSubmitTime{80};
static constexpr Milliseconds ShortDeadlineRetryAfter{1'000};
static constexpr std::size_t MaxOpenRequests = 4'000; // memory: about 2 KB each
static constexpr std::size_t JobIdDigits = 16;

// Queue with the longest matching path prefix; nullptr: none.
static const QueueConfig *findQueue(const CellConfig &config, std::string_view host, std::string_view path)
{
    const QueueConfig *best = nullptr;
    for (const QueueConfig &queue : config.queues_) {
        if (queue.host_ == host && path.starts_with(queue.prefix_)
            && (best == nullptr || queue.prefix_.size() > best->prefix_.size())) {
            best = &queue;
        }
    }
    return best;
}

// Reads a job id of exactly 16 hexadecimal digits.
static bool parseJobId(std::string_view text, StagedJobId &id)
{
    constexpr int Hexadecimal = 16;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id.value_, Hexadecimal);
    return text.size() == JobIdDigits && error == std::errc{} && end == text.data() + text.size();
}

static ClientAnswer errorAnswer(CallId call, CellVerb verb, ErrorKind error, Milliseconds retryAfter)
{
    ClientAnswer answer;
    answer.call_ = call;
    answer.verb_ = verb;
    answer.error_ = error;
    answer.retryAfter_ = retryAfter;
    return answer;
}

// Checks a request against the configuration and fills in `out`, moving the submitted job into it. Returns None or the
// reason for rejection.
static ErrorKind checkRequest(const Control &control, ClientRequest &request, TimePoint now, CellRequest &out)
{
    if (control.config_.version_ == 0) {
        return ErrorKind::ConfigStale;
    }
    const QueueConfig *queue = findQueue(control.config_, request.host_, request.path_);
    if (queue == nullptr) {
        return configIsFresh(control, now) ? ErrorKind::UnknownPath : ErrorKind::ConfigStale;
    }
    if (!queue->public_) {
        if (!configIsFresh(control, now)) {
            return ErrorKind::ConfigStale;
        }
        const auto account = control.accountOfKey_.find(request.key_);
        if (account == control.accountOfKey_.end()) {
            return ErrorKind::WrongKey;
        }
        out.account_ = control.config_.accounts_[account->second].name_;
    }
    const std::string_view rest = std::string_view(request.path_).substr(queue->prefix_.size());
    out.policy_ = queue->policy_;
    if (rest.empty() && request.method_ == ClientMethod::Read) {
        out.verb_ = CellVerb::CountPending;
        return ErrorKind::None;
    }
    if (!parseJobId(rest, out.job_)) {
        return ErrorKind::UnknownPath;
    }
    if (request.method_ == ClientMethod::Submit) {
        out.verb_ = CellVerb::Submit;
        if (!request.submitted_) {
            return ErrorKind::MalformedRequest;
        }
        out.submitted_ = std::move(*request.submitted_);
    } else {
        out.verb_ = request.method_ == ClientMethod::Cancel ? CellVerb::Cancel : CellVerb::Query;
    }
    return ErrorKind::None;
}

bool waitsForNextLeader(const Control &control, const CellRequest &request)
{
    return control.leaving_ && request.verb_ == CellVerb::Submit;
}

// Sends a request to the leader, unless it was sent to this leader already or the leader is not reachable.
static void forwardRequest(Control &control, OpenRequest &open, CellTime now, ControlActions &actions)
{
    if (control.leader_.empty() || open.sentTo_ == control.leader_) {
        return;
    }
    open.request_.remaining_ = std::chrono::duration_cast<Milliseconds>(open.deadline_ - now.steady_);
    if (control.leader_ == control.settings_.self_) {
        if (!control.cell_) {
            return;
        }
        const bool canHandle
            = control.recoveryStage_ == RecoveryStage::Done && !waitsForNextLeader(control, open.request_);
        if (!canHandle && control.deferredRequests_.size() >= MaxDeferredRequests) {
            return; // not sent: tried again, and answered as not run after MaxLeaderWait
        }
        open.sentTo_ = control.leader_;
        ++open.leadersAsked_;
        if (canHandle) {
            handleRequest(*control.cell_, control.settings_.self_, open.request_, now, actions.cell_);
        } else {
            control.deferredRequests_.emplace_back(control.settings_.self_, open.request_);
        }
        return;
    }
    const auto member = control.members_.find(control.leader_);
    if (member != control.members_.end() && member->second.connected_) {
        open.sentTo_ = control.leader_;
        ++open.leadersAsked_;
        actions.peerMessages_.push_back({control.leader_, open.request_});
    }
}

void forwardRequests(Control &control, CellTime now, ControlActions &actions)
{
    for (auto &[call, open] : control.requests_) {
        forwardRequest(control, open, now, actions);
    }
}

// Answers an open request and removes it from the open requests.
static void answerRequest(Control &control, std::uint64_t call, const ClientAnswer &answer, CellTime now,
                          ControlActions &actions)
{
    const auto found = control.requests_.find(call);
    const OpenRequest &open = found->second;
    if (answer.error_ != ErrorKind::None && answer.error_ != ErrorKind::UnknownJob) {
        JsonObject line = beginLogLine("request-failed");
        line.number("call", static_cast<std::int64_t>(call)).text("job", jobText(open.request_.job_));
        line.text("account", open.request_.account_).text("queue", open.request_.policy_.queue_);
        line.text("error", errorName(answer.error_)).text("leader", open.sentTo_.value_);
        line.number("age_ms", ageMs(now.steady_, open.arrivedAt_));
        line.number("leaders_asked", open.leadersAsked_);
        appendLogLine(actions, line, LogLevel::Warning);
    }
    actions.answers_.push_back(answer);
    actions.answers_.back().latency_ = now.steady_ - open.arrivedAt_;
    control.requests_.erase(found);
}

void handleCellReply(Control &control, const DaemonId &from, const CellReply &reply, CellTime now,
                     ControlActions &actions)
{
    const auto found = control.requests_.find(reply.call_.value_);
    if (found == control.requests_.end()) {
        return;
    }
    OpenRequest &open = found->second;
    ClientAnswer answer;
    answer.call_ = reply.call_;
    answer.verb_ = open.request_.verb_;
    answer.state_ = reply.state_;
    answer.pending_ = reply.pending_;
    answer.retryAfter_ = reply.retryAfter_;
    switch (reply.outcome_) {
    case CellOutcome::Ok:
        break;
    case CellOutcome::NotFound:
        answer.error_ = ErrorKind::UnknownJob;
        break;
    case CellOutcome::NotLeader:
        if (open.sentTo_ == from) {
            open.sentTo_ = {};
            --open.leadersAsked_;
        }
        return;
    case CellOutcome::Refused:
    case CellOutcome::Unavailable:
        answer.error_ = reply.outcome_ == CellOutcome::Refused ? ErrorKind::Overloaded : ErrorKind::StoreUnavailable;
        // An earlier leader may have accepted the request before it was replaced.
        if (open.leadersAsked_ > 1) {
            answer.error_ = ErrorKind::OutcomeUnknown;
        }
        break;
    case CellOutcome::Unknown:
        answer.error_ = ErrorKind::OutcomeUnknown;
        break;
    }
    answerRequest(control, reply.call_.value_, answer, now, actions);
}

void routeRepliesAndQueries(Control &control, CellTime now, ControlActions &actions)
{
    std::vector<CellReplyTo> replies;
    replies.swap(actions.cell_.replies_);
    for (const CellReplyTo &reply : replies) {
        if (reply.to_ == control.settings_.self_) {
            handleCellReply(control, control.settings_.self_, reply.reply_, now, actions);
        } else {
            actions.peerMessages_.push_back({reply.to_, reply.reply_});
        }
    }
    std::vector<PolicyDispatch> queries;
    queries.swap(actions.cell_.policy_);
    for (PolicyDispatch &query : queries) {
        if (query.to_ == control.settings_.self_) {
            actions.queries_.push_back(std::move(query.query_));
        } else {
            actions.peerMessages_.push_back({query.to_, std::move(query.query_)});
        }
    }
}

void expireRequests(Control &control, CellTime now, ControlActions &actions)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[call, open] : control.requests_) {
        const bool noLeaderAsked = open.leadersAsked_ == 0;
        if (now.steady_ >= open.deadline_ || (noLeaderAsked && now.steady_ >= open.arrivedAt_ + MaxLeaderWait)) {
            expired.push_back(call);
        }
    }
    for (const std::uint64_t call : expired) {
        const OpenRequest &open = control.requests_.at(call);
        const bool changesState = open.request_.verb_ == CellVerb::Submit || open.request_.verb_ == CellVerb::Cancel;
        const ErrorKind error
            = open.leadersAsked_ > 0 && changesState ? ErrorKind::OutcomeUnknown : ErrorKind::PeerUnavailable;
        answerRequest(control, call, errorAnswer(CallId{call}, open.request_.verb_, error, LeaderRetryAfter), now,
                      actions);
    }
}

} // namespace mimosapier::detail

namespace mimosapier
{

using namespace detail;

void onClientRequest(Control &control, ClientRequest request, CellTime now, ControlActions &actions)
{
    OpenRequest open;
    open.request_.call_ = request.call_;
    ErrorKind error = ErrorKind::None;
    if (control.leaving_ && now.steady_ + LastRequestMargin > control.leaveDeadline_) {
        error = ErrorKind::ShuttingDown;
    } else if (control.requests_.size() >= MaxOpenRequests) {
        error = ErrorKind::Overloaded;
    } else {
        error = checkRequest(control, request, now.steady_, open.request_);
    }
    if (error != ErrorKind::None) {
        JsonObject line = beginLogLine("request-rejected");
        line.text("path", request.path_).text("host", request.host_).text("error", errorName(error));
        line.number("config_version", static_cast<std::int64_t>(control.config_.version_));
        line.number("config_proof_age_ms", ageMs(now.steady_, control.configProofAt_));
        appendLogLine(actions, line, LogLevel::Warning);
        const bool retry
            = error == ErrorKind::ConfigStale || error == ErrorKind::Overloaded || error == ErrorKind::ShuttingDown;
        actions.answers_.push_back(
            errorAnswer(request.call_, open.request_.verb_, error, retry ? RejectionRetryAfter : Milliseconds(0)));
        return;
    }
    open.arrivedAt_ = now.steady_;
    open.deadline_ = now.steady_ + std::max(request.remaining_ - AnswerReserve, Milliseconds(1));
    if (control.leaving_) {
        open.deadline_ = std::min(open.deadline_, control.leaveDeadline_);
    }
    if (open.request_.verb_ == CellVerb::Submit && open.deadline_ < now.steady_ + MinSubmitTime) {
        JsonObject line = beginLogLine("request-rejected");
        line.text("job", jobText(open.request_.job_)).text("account", open.request_.account_);
        line.text("error", "deadline-too-short").number("remaining_ms", request.remaining_.count());
        appendLogLine(actions, line, LogLevel::Warning);
        actions.answers_.push_back(
            errorAnswer(request.call_, CellVerb::Submit, ErrorKind::Overloaded, ShortDeadlineRetryAfter));
        return;
    }
    const std::uint64_t call = request.call_.value_;
    OpenRequest &stored = control.requests_.insert_or_assign(call, std::move(open)).first->second;
    forwardRequest(control, stored, now, actions);
    routeRepliesAndQueries(control, now, actions);
}

} // namespace mimosapier
