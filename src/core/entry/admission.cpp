// Admission of submits: validation, defaults of the class, and limits on open submits.
#include "core/entry/entry_internal.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::size_t MaxRequestIdLength = 64; // characters
constexpr std::uint32_t MaxTasks = 10'000; // of a job
constexpr std::size_t MaxPayloadBytes = 64 * 1024; // several records share a journal value
constexpr std::int64_t MaxMilliCpus = 1'000'000;
constexpr std::int64_t MaxMemoryMb = 100'000'000;
constexpr std::int64_t MaxAccelerators = 1024;
constexpr Milliseconds MaxDeadline{60 * 60'000};
constexpr std::size_t MaxOpenSubmits = 4096;
constexpr std::size_t MaxOpenSubmitsPerTeam = MaxOpenSubmits / 2;
// Percentage of MaxOpenSubmits and MaxOpenSubmitsPerTeam up to which a priority is admitted: less urgent work is
// refused first.
constexpr std::size_t BatchPercent = 60;
constexpr std::size_t NormalPercent = 80;
constexpr std::size_t UrgentPercent = 100;

bool isValidRequestId(std::string_view id)
{
    const auto allowed = [](char c) {
        return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-';
    };
    return !id.empty() && id.size() <= MaxRequestIdLength && std::all_of(id.begin(), id.end(), allowed);
}

static ErrorKind checkSize(const Resources &size)
{
    if (size.milliCpus_ < 0 || size.memoryMb_ < 0 || size.accelerators_ < 0) {
        return ErrorKind::MalformedRequest;
    }
    if (size.milliCpus_ > MaxMilliCpus || size.memoryMb_ > MaxMemoryMb || size.accelerators_ > MaxAccelerators) {
        return ErrorKind::ImpossibleSize;
    }
    return ErrorKind::None;
}

static bool knowsRegion(const Bundle &bundle, const RegionId &region)
{
    return std::any_of(bundle.regions_.begin(), bundle.regions_.end(),
                       [&region](const RegionConfig &config) { return config.id_ == region; });
}

ErrorKind checkSubmit(const SubmitRequest &request, const Context &context, JobSpec &spec)
{
    const Team *team = findTeam(context.bundle_, request.team_);
    if (team == nullptr) {
        return ErrorKind::UnknownTeam;
    }
    const WorkClass *workClass = findClass(context.bundle_, request.class_);
    if (workClass == nullptr) {
        return ErrorKind::UnknownClass;
    }
    if (!isValidRequestId(request.requestId_) || request.tasks_ == 0 || request.tasks_ > MaxTasks
        || request.attempt_ == 0 || request.deadline_.count() < 0 || request.declaredRun_.count() < 0) {
        return ErrorKind::MalformedRequest;
    }
    if (!request.region_.empty() && !knowsRegion(context.bundle_, request.region_)) {
        return ErrorKind::MalformedRequest;
    }
    if (request.payload_.size() > MaxPayloadBytes) {
        return ErrorKind::BodyTooLarge;
    }
    if (const ErrorKind error = checkSize(request.size_); error != ErrorKind::None) {
        return error;
    }
    spec.id_ = JobId(request.team_.value_ + ':' + request.requestId_);
    spec.requestId_ = request.requestId_;
    spec.team_ = request.team_;
    spec.class_ = request.class_;
    spec.mode_ = workClass->mode_;
    spec.priority_ = workClass->priority_;
    spec.tasks_ = request.tasks_;
    spec.size_ = request.size_;
    spec.size_.slots_ = 1;
    spec.declaredRun_ = request.declaredRun_;
    spec.idempotent_ = request.idempotentGiven_ ? request.idempotent_ : workClass->idempotent_;
    spec.payload_ = request.payload_;
    const bool interactive = spec.mode_ == WorkMode::Interactive && spec.idempotent_;
    if (!interactive) {
        spec.homeRegion_ = homeRegionOf(request.team_, context);
    } else {
        spec.homeRegion_ = request.region_.empty() ? context.region_ : request.region_;
    }
    return ErrorKind::None;
}

ErrorKind checkCapacity(const Entry &entry, const TeamId &team, Priority priority)
{
    std::size_t percent = UrgentPercent;
    if (priority == Priority::Normal) {
        percent = NormalPercent;
    } else if (priority == Priority::Batch) {
        percent = BatchPercent;
    }
    const auto ofTeam = entry.openSubmitsByTeam_.find(team);
    const std::size_t teamOpen = ofTeam == entry.openSubmitsByTeam_.end() ? 0 : ofTeam->second;
    const bool full
        = entry.openSubmits_ * 100 >= MaxOpenSubmits * percent || teamOpen * 100 >= MaxOpenSubmitsPerTeam * percent;
    return full ? ErrorKind::Overloaded : ErrorKind::None;
}

// Answers a submit that is not admitted. A first attempt certainly did not run, because nothing was sent; for a later
// one an earlier attempt may have run.
static void refuse(Entry &entry, CallId call, const SubmitRequest &request, ErrorKind error, Context &context)
{
    ++entry.report_.refused_[error];
    CallerAnswer answer;
    answer.call_ = call;
    answer.requestId_ = request.requestId_;
    answer.outcome_
        = request.attempt_ <= 1 || !isValidRequestId(request.requestId_) ? Outcome::NotRun : Outcome::Unknown;
    answer.error_ = error;
    context.actions_.push(std::move(answer));
}

void onSubmit(Entry &entry, CallId call, const SubmitRequest &request, std::error_code authorization, Context &context)
{
    if (authorization) {
        refuse(entry, call, request, errorKind(authorization), context);
        return;
    }
    if (entry.stopping_) {
        refuse(entry, call, request, ErrorKind::ShuttingDown, context);
        return;
    }
    EntryRequest open;
    ErrorKind error = checkSubmit(request, context, open.spec_);
    if (error == ErrorKind::None) {
        error = checkCapacity(entry, request.team_, open.spec_.priority_);
    }
    if (error != ErrorKind::None) {
        refuse(entry, call, request, error, context);
        return;
    }
    const WorkClass &workClass = *findClass(context.bundle_, request.class_);
    const Milliseconds requestedDeadline = request.deadline_.count() > 0 ? request.deadline_ : workClass.deadline_;
    open.kind_ = RequestKind::Submit;
    open.callerCall_ = call;
    open.attempt_ = request.attempt_;
    open.receivedAt_ = context.now_;
    open.deadline_ = context.now_ + std::min(requestedDeadline, MaxDeadline);
    if (open.spec_.mode_ == WorkMode::Interactive && open.spec_.idempotent_) {
        open.route_ = Route::FirstGroup;
        setCandidates(open, open.spec_.homeRegion_, context);
    } else {
        open.route_ = Route::Home;
        open.firstTarget_ = homeOf(open.spec_.id_, request.team_, context);
    }
    countAdmitted(entry.report_, workClass, request.team_, context.now_);
    ++entry.openSubmits_;
    ++entry.openSubmitsByTeam_[request.team_];
    addRequest(entry, std::move(open), context);
}

} // namespace mimosapier
