// State of the entry: open requests of callers, bulk cancellations and counters for the report. Private to core/entry;
// other parts use entry_func.h. Nothing of it is durable: a request is lost with the daemon, and the caller repeats it.
#pragma once

#include "core/config/bundle_base.h"
#include "core/entry/entry_func.h"
#include "core/entry/report_base.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mimosapier
{

// Where the next message of a request goes.
enum class Route : std::uint8_t {
    Home, // to the home partition
    HomeFollow, // to the home partition, to wait for the outcome of a job that it has accepted
    FirstGroup, // to the first candidate group
    SecondGroup, // to the second candidate group, because the first was unreachable and nothing was sent to it
    GroupLookup, // to one candidate group after the other, only to ask for the state
};

enum class RequestKind : std::uint8_t {
    Submit,
    Status,
    Cancel, // part of a bulk cancellation, for jobs of one partition
    CancelLookup, // part of a bulk cancellation: looks up an interactive job whose groups were sent a stop
};

// A request that is not answered yet, or a part of a bulk cancellation. At most one message of it is in flight.
struct EntryRequest
{
    RequestKind kind_ = RequestKind::Submit;
    CallId callerCall_; // 0 for parts of a bulk cancellation
    CallId cancelId_; // key in Entry::bulkCancels_ of the cancellation that this is a part of; 0: none
    Route route_ = Route::Home;
    JobSpec spec_; // for Status and cancellations only id_, requestId_, team_ and homeRegion_ are used
    std::uint32_t attempt_ = 1; // of the caller; above 1 an earlier attempt may have started the work
    TimePoint receivedAt_;
    TimePoint deadline_; // answered by then
    TimePoint waitUntil_; // Status: answered with the current state at this time
    bool explain_ = false;
    std::vector<std::uint32_t> positions_; // Cancel, CancelLookup: of the jobs in the caller's list
    std::vector<JobId> jobs_; // Cancel
    ShardId firstTarget_; // first candidate group or home partition
    ShardId secondTarget_; // second candidate group; empty if there is none
    CallId messageCall_; // message in flight; 0: none
    ShardId messageTarget_; // shard that the message in flight was sent to
    DaemonId sentTo_; // its holder at that time
    Epoch sentEpoch_;
    bool messageIsLookup_ = false; // the message in flight cannot start the work
    bool mayHaveRun_ = false; // a message whose answer was lost may have started the work
    bool lookupSecond_ = false; // look-ups go to the second candidate
    bool groupKnowsTasks_ = false; // the group that was looked up has the tasks and will send their outcomes
    bool groupCannotTell_ = false; // a group answered that it cannot tell whether the tasks ran
    bool hasPartialAnswer_ = false; // the group has answered for some of the tasks
    bool accepted_ = false; // the home has accepted the job
    std::uint32_t sendCount_ = 0; // on this route, without look-ups; each send after the first takes a retry token
    Milliseconds backoff_{0};
    TimePoint nextSendAt_; // back-off
    TimePoint timer_ = TimePoint::max(); // entry in Entry::timers_
    std::vector<TaskResult> results_; // received so far
    std::string detail_; // newest explanation
};

// A caller's cancellation of several jobs.
struct BulkCancel
{
    CallId callerCall_; // 0 after the caller has disconnected
    std::size_t openParts_ = 0; // parts in Entry::openRequests_; answered at 0
    std::vector<std::string> requestIds_; // the caller's list
    std::vector<TaskResult> results_; // one per job, index_ is the position in the caller's list
};

// Limits retries to a tenth of the requests plus saved tokens, so that they cannot overload holders after a failure.
struct RetryBudget
{
    double tokens_ = 10.0; // retries that may be sent now
};

struct Entry
{
    std::unordered_map<CallId, EntryRequest> openRequests_; // by id, see lastId_
    std::unordered_map<CallId, CallId> idByCallerCall_; // ids in openRequests_ or bulkCancels_
    std::unordered_map<CallId, CallId> idByMessageCall_; // ids in openRequests_, by message in flight
    std::unordered_map<CallId, BulkCancel> bulkCancels_;
    std::map<TeamId, std::size_t> openSubmitsByTeam_;
    std::size_t openSubmits_ = 0;
    std::set<std::pair<TimePoint, CallId>> timers_; // when advanceRequest is due for a request
    std::uint64_t lastId_ = 0; // last id issued; shared by openRequests_ and bulkCancels_
    RetryBudget retryBudget_;
    Report report_;
    bool stopping_ = false; // new submits are refused
};

} // namespace mimosapier
