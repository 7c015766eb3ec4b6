// Proof that this daemon leads, for decisions that would be wrong from a leader that has been replaced.
//
// A leader that is cut off learns late of its successor. The runners that know the successor fence its starts, and the
// store its writes, but some decisions rest on its memory alone:
// - "No such job": the successor may have accepted the job.
// - The end of a run is presumed: the successor may have renewed the runner's lease and have acknowledged that the run
//   ended as done, and there may be runners that it has not reached and that would start the task again.
// - All runs of earlier leaders are known: the successor may have acknowledged the end of one that was neither read nor
//   listed.
// - A task starts on an idle runner: the runner may have restarted since and have forgotten the successor.
// Such a decision waits for a read of the leader key, or a transaction, that was sent after the time it rests on. One
// answer serves all that wait for it.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <utility>

namespace mimosapier
{

using namespace detail;

static constexpr Milliseconds ReadInterval{50}; // the store's reads are billed
static constexpr Milliseconds ReadTimeout{500};
// After a failed read, unless a request waits: the store also charges for refused calls.
static constexpr Milliseconds FailedReadDelay{150};
// Requests without a proof for this long are refused, early enough for the client to ask another daemon.
static constexpr Milliseconds CheckTimeout{700};
static constexpr std::size_t MaxUnconfirmedRequests = 4'000; // memory: under 1 KB each

static void refuse(const DaemonId &from, const CellRequest &request, CellActions &actions)
{
    actions.replies_.push_back({from, {request.call_, CellOutcome::Unavailable, {}, 0, StoreRetryAfter}});
}

void detail::markSuperseded(Cell &cell, std::string_view by, CellActions &actions)
{
    if (std::exchange(cell.superseded_, true)) {
        return;
    }
    JsonObject line = logEvent("superseded");
    line.text("by", by).number("epoch", static_cast<std::int64_t>(cell.epoch_.value_));
    addLogLine(actions, line, LogLevel::Warning);
}

void detail::waitForLeadershipCheck(Cell &cell, const DaemonId &from, const CellRequest &request, CellTime now,
                                    CellActions &actions)
{
    if (cell.leadershipCheck_.requests_.size() >= MaxUnconfirmedRequests) {
        refuse(from, request, actions);
        return;
    }
    cell.leadershipCheck_.requests_.push_back({from, request, now.steady_});
}

void detail::requestConfirmation(Cell &cell, TimePoint time)
{
    cell.leadershipCheck_.wantedAt_ = std::max(cell.leadershipCheck_.wantedAt_, time);
}

bool detail::isLeadershipConfirmed(const Cell &cell, TimePoint time)
{
    return cell.leadershipCheck_.confirmedAt_ >= time;
}

void detail::pollLeadershipCheck(Cell &cell, CellTime now, CellActions &actions)
{
    LeadershipCheck &check = cell.leadershipCheck_;
    std::int64_t refused = 0;
    while (!check.requests_.empty() && now.steady_ >= check.requests_.front().arrivedAt_ + CheckTimeout) {
        refuse(check.requests_.front().from_, check.requests_.front().request_, actions);
        check.requests_.pop_front();
        ++refused;
    }
    if (refused > 0) {
        JsonObject line = logEvent("leadership-unconfirmed");
        line.number("epoch", static_cast<std::int64_t>(cell.epoch_.value_)).number("refused", refused);
        addLogLine(actions, line, LogLevel::Warning);
    }
    const bool wanted
        = !check.requests_.empty() || (!isLeadershipConfirmed(cell, check.wantedAt_) && now.steady_ >= check.retryAt_);
    if (!wanted || check.callInFlight_ != 0 || now.steady_ < check.nextReadAt_) {
        return;
    }
    KvCall call;
    call.id_ = cell.nextCallId_++;
    call.purpose_ = KvPurpose::ConfirmLeadership;
    call.op_ = KvOp::Get;
    call.key_ = std::string(LeaderKey);
    call.timeout_ = ReadTimeout;
    check.callInFlight_ = call.id_;
    check.sentAt_ = now.steady_;
    check.nextReadAt_ = now.steady_ + ReadInterval;
    actions.kv_.push_back(std::move(call));
}

// Releases the presumed ends that are confirmed.
static void releasePresumedEnds(Cell &cell, CellTime now, CellActions &actions)
{
    LeadershipCheck &check = cell.leadershipCheck_;
    if (check.presumedEnds_.empty() || check.presumedEnds_.front().at_ > check.confirmedAt_) {
        return;
    }
    const TimePoint oldestAt = check.presumedEnds_.front().at_;
    std::int64_t released = 0;
    for (; !check.presumedEnds_.empty() && check.presumedEnds_.front().at_ <= check.confirmedAt_; ++released) {
        const PresumedEnd end = std::move(check.presumedEnds_.front());
        check.presumedEnds_.pop_front();
        releasePresumedEnd(cell, end);
    }
    JsonObject line = logEvent("presumed-ends-confirmed");
    line.number("epoch", static_cast<std::int64_t>(cell.epoch_.value_)).number("tasks", released);
    line.number("waited_ms", ageMs(now.steady_, oldestAt));
    addLogLine(actions, line);
}

void detail::confirmLeadership(Cell &cell, TimePoint time, CellTime now, CellActions &actions)
{
    LeadershipCheck &check = cell.leadershipCheck_;
    check.confirmedAt_ = std::max(check.confirmedAt_, time);
    releasePresumedEnds(cell, now, actions);
    while (!check.requests_.empty() && check.requests_.front().arrivedAt_ <= check.confirmedAt_) {
        const UnconfirmedRequest confirmed = std::move(check.requests_.front());
        check.requests_.pop_front();
        handleRequestAs(cell, Leadership::Confirmed, confirmed.from_, confirmed.request_, now, actions);
    }
}

void handleLeadershipReply(Cell &cell, const KvReply &reply, CellTime now, CellActions &actions)
{
    LeadershipCheck &check = cell.leadershipCheck_;
    if (reply.id_ != check.callInFlight_) {
        return;
    }
    check.callInFlight_ = 0;
    if (reply.status_ != KvStatus::Ok || reply.items_.empty()) {
        check.retryAt_ = now.steady_ + FailedReadDelay;
        return; // the key is gone with the session, or the store did not answer: read again
    }
    if (reply.items_.front().value_ != cell.self_.value_) {
        markSuperseded(cell, "store", actions);
        return;
    }
    confirmLeadership(cell, check.sentAt_, now, actions);
}

} // namespace mimosapier
