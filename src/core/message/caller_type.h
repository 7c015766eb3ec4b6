// Requests of callers and operators, as the HTTP front end parses them for the decision logic, and the answers. Every
// request gets exactly one answer.
#pragma once

#include "core/common/id_type.h"
#include "core/common/work_type.h"

#include <string>
#include <variant>
#include <vector>

namespace mimosapier
{

// POST /v1/jobs. Settings of the job's class are not in the request; the entry daemon adds them at admission.
struct SubmitRequest
{
    std::string requestId_;
    TeamId team_;
    ClassId class_;
    std::string key_; // bearer key; empty when none was given
    std::string queue_; // open queue, or empty
    RegionId region_; // region of the first attempt, given by retries; empty: this daemon's region
    std::uint32_t attempt_ = 1; // 1 for the first attempt; higher for retries by the caller
    std::uint32_t tasks_ = 1;
    Resources size_; // of one task
    Milliseconds declaredRun_{0}; // estimated run time of one task
    Milliseconds deadline_{0}; // 0: the default of the class
    bool idempotent_ = true;
    bool idempotentGiven_ = false; // false: the class's setting replaces idempotent_
    std::string payload_;
};

// GET /v1/jobs/<request id>?team=&wait_ms=, GET /v1/explain/<request id>
struct StatusRequest
{
    std::string requestId_;
    TeamId team_;
    std::string key_;
    Milliseconds wait_{0}; // longest wait for a final state
    bool explain_ = false; // GET /v1/explain: the answer gives reasons in detail_
};

// POST /v1/cancel
struct CancelRequest
{
    std::vector<std::string> requestIds_;
    TeamId team_;
    std::string key_;
};

// POST /v1/admin/draft: stores a draft of a bundle.
struct DraftRequest
{
    std::string author_;
    std::string text_; // YAML
};

// POST /v1/admin/sign: signs off a draft.
struct SignRequest
{
    std::string signer_;
    std::string draft_; // id of the draft
    BundleVersion base_; // version that the draft was made from
};

enum class AdminView : std::uint8_t { Status, Bundle, Drafts, Instances, Report };

// GET /v1/admin/<view>
struct AdminViewRequest
{
    AdminView view_ = AdminView::Status;
};

using CallerBody
    = std::variant<SubmitRequest, StatusRequest, CancelRequest, DraftRequest, SignRequest, AdminViewRequest>;

struct CallerRequest
{
    CallId call_; // issued by the HTTP front end
    CallerBody body_;
};

// Answer to the request with the same call_; the front end renders it as JSON.
struct CallerAnswer
{
    CallId call_;
    std::string requestId_;
    Outcome outcome_ = Outcome::Unknown;
    ErrorKind error_ = ErrorKind::None;
    std::string detail_;
    RegionId homeRegion_;
    std::vector<TaskResult> results_;
    std::string document_; // JSON of an admin view; replaces the fields above when not empty
};

} // namespace mimosapier
