// State of the entry: callers' requests that wait for an answer, and figures for the report.
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

// Whom a request asks at the moment.
enum class Route : std::uint8_t {
    Home, // the home partition
    HomeFollow, // the home partition, for the end of a job that it has accepted
    FirstGroup, // the first candidate group
    SecondGroup, // the second candidate group, because the first could not be reached and was never asked
    GroupLookup, // either candidate group, for what is known only
};

enum class RequestKind : std::uint8_t {
    Submit,
    Status,
    Cancel, // a part of a cancellation that concerns one partition
    CancelLookup, // what became of an interactive job after its groups were told to stop it
};

struct OpenRequest
{
    RequestKind kind_ = RequestKind::Submit;
    CallId callerCall_; // 0 for parts of a cancellation and after the caller has gone
    CallId cancelId_; // cancellation that the request is a part of
    Route route_ = Route::Home;
    JobSpec spec_; // for Status and cancellations only id_, requestId_, team_ and homeRegion_ matter
    std::uint32_t attempt_ = 1;
    TimePoint receivedAt_;
    TimePoint deadline_;
    TimePoint waitUntil_; // Status: answered with the current state then
    bool explain_ = false;
    std::vector<std::uint32_t> positions_; // Cancel: of jobs_ in the caller's list
    std::vector<JobId> jobs_; // Cancel
    ShardId firstTarget_; // first candidate group or home partition
    ShardId secondTarget_; // second candidate group; empty if there is none
    CallId messageCall_; // under way; 0: none
    ShardId messageTarget_; // of the message under way
    DaemonId sentTo_;
    Epoch sentEpoch_;
    bool messageIsLookup_ = false; // the message under way cannot start anything
    bool mayHaveRun_ = false; // a message that is lost may have started the work
    bool lookupSecond_ = false; // the next look-up goes to the second candidate
    bool groupKnowsTasks_ = false; // the group that is looked at has the tasks and will tell their end
    bool groupMayKnowTasks_ = false; // a group could not tell whether it knows the tasks
    bool hasPartialAnswer_ = false; // the group has told about some of the tasks
    bool accepted_ = false; // the home has accepted the job
    std::uint32_t sendCount_ = 0;
    Milliseconds backoff_{0};
    TimePoint nextSendAt_;
    TimePoint timer_ = TimePoint::max(); // entry in Entry::timers_
    std::vector<TaskResult> results_;
    std::string detail_; // explanations so far
};

// A caller's cancellation of several jobs.
struct BulkCancel
{
    CallId callerCall_;
    std::size_t openParts_ = 0; // requests that are not settled
    std::vector<std::string> requestIds_;
    std::vector<TaskResult> results_; // one per job, index_ is the position in the caller's list
};

// Retries may take a tenth of the requests.
struct RetryBudget
{
    double tokens_ = 10.0; // retries that may be sent now
};

struct Entry
{
    std::unordered_map<CallId, OpenRequest> openRequests_; // by a number of the entry
    std::unordered_map<CallId, CallId> idByCallerCall_; // caller's call to openRequests_ or bulkCancels_
    std::unordered_map<CallId, CallId> idByMessageCall_; // message under way to openRequests_
    std::unordered_map<CallId, BulkCancel> bulkCancels_;
    std::map<TeamId, std::size_t> openSubmitsByTeam_;
    std::size_t openSubmits_ = 0; // open submits
    std::set<std::pair<TimePoint, CallId>> timers_; // when an open request is looked at
    std::uint64_t lastId_ = 0; // in openRequests_ and bulkCancels_
    RetryBudget retryBudget_;
    Report report_;
    bool stopping_ = false;
};

} // namespace mimosapier
