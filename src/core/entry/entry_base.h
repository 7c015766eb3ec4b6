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
    Follow, // the home partition, for the end of a job that it has accepted
    First, // the first candidate group
    Second, // the second candidate group, because the first could not be reached and was never asked
    Lookup, // either candidate group, for what is known only
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
    CallId caller_; // 0 for parts of a cancellation and after the caller has gone
    CallId parent_; // cancellation that the request is a part of
    Route route_ = Route::Home;
    JobSpec spec_; // for Status and cancellations only id_, requestId_, team_ and homeRegion_ matter
    std::uint32_t attempt_ = 1;
    TimePoint received_;
    TimePoint deadline_;
    TimePoint waitUntil_; // Status: answered with the current state then
    bool explain_ = false;
    std::vector<std::uint32_t> positions_; // Cancel: of jobs_ in the caller's list
    std::vector<JobId> jobs_; // Cancel
    ShardId first_; // first candidate group or home partition
    ShardId second_; // second candidate group; empty if there is none
    CallId message_; // under way; 0: none
    ShardId target_; // of the message under way
    DaemonId sentTo_;
    Epoch sentEpoch_;
    bool lookup_ = false; // the message under way cannot start anything
    bool uncertain_ = false; // a message that is lost may have started the work
    bool lookAtSecond_ = false; // the next look-up goes to the second candidate
    bool known_ = false; // the group that is looked at has the tasks and will tell their end
    bool unsure_ = false; // a group could not tell whether it knows the tasks
    bool partial_ = false; // the group has told about some of the tasks
    bool accepted_ = false; // the home has accepted the job
    std::uint32_t sends_ = 0;
    Milliseconds backoff_{0};
    TimePoint sendAfter_;
    TimePoint timer_ = TimePoint::max(); // entry in Entry::timers_
    std::vector<TaskResult> results_;
    std::string detail_; // explanations so far
};

// A caller's cancellation of several jobs.
struct BulkCancel
{
    CallId caller_;
    std::size_t parts_ = 0; // requests that are not settled
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
    std::unordered_map<CallId, OpenRequest> open_; // by a number of the entry
    std::unordered_map<CallId, CallId> byCaller_; // caller's call to open_ or cancels_
    std::unordered_map<CallId, CallId> byMessage_; // message under way to open_
    std::unordered_map<CallId, BulkCancel> cancels_;
    std::map<TeamId, std::size_t> submitsByTeam_;
    std::size_t submits_ = 0; // open submits
    std::set<std::pair<TimePoint, CallId>> timers_; // when an open request is looked at
    std::uint64_t lastId_ = 0; // in open_ and cancels_
    RetryBudget budget_;
    Report report_;
    bool stopping_ = false;
};

} // namespace mimosapier
