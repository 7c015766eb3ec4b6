// Reads structured logs of daemons and works out how each job's time was spent.
#include "ctl/ctl_internal.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <istream>
#include <set>

namespace mimosapier
{

// Unix milliseconds of "2026-01-31 23:59:59.999" (UTC), or -1.
static std::int64_t parseLogTime(const std::string &text)
{
    std::tm parts{};
    int millis = 0;
    if (std::sscanf(text.c_str(), "%d-%d-%d %d:%d:%d.%d", &parts.tm_year, &parts.tm_mon, &parts.tm_mday, &parts.tm_hour,
                    &parts.tm_min, &parts.tm_sec, &millis)
        != 7) {
        return -1;
    }
    constexpr int TmBaseYear = 1'900;
    constexpr std::int64_t MillisPerSecond = 1'000;
    parts.tm_year -= TmBaseYear;
    --parts.tm_mon;
    return static_cast<std::int64_t>(timegm(&parts)) * MillisPerSecond + millis;
}

void readTraceLog(std::istream &input, TraceLog &log)
{
    for (std::string text; std::getline(input, text);) {
        const std::size_t begin = text.find("{\"time\":");
        if (begin == std::string::npos) {
            continue;
        }
        Json json;
        TraceLine line;
        line.text_ = text.substr(begin);
        std::string time;
        if (!parseJson(line.text_, json) || !readField(json, "time", time) || !readField(json, "event", line.event_)
            || !readField(json, "job", line.job_) || !readField(json, "task", line.task_)) {
            ++log.damagedLines_;
            continue;
        }
        line.unixMs_ = parseLogTime(time);
        if (line.job_.empty()) {
            line.job_ = line.task_.substr(0, line.task_.find('.'));
        }
        if (line.event_ == "log-dropped") {
            log.droppedLines_ += static_cast<std::uint64_t>(numberField(json, "frequent") + numberField(json, "rare"));
        }
        log.lines_.push_back(std::move(line));
    }
}

namespace
{

// Times of a job that its parts are made of, in Unix milliseconds; -1: not seen.
struct JobTimes
{
    std::int64_t stored_ = -1;
    std::int64_t firstStart_ = -1;
    std::int64_t lastStart_ = -1;
    std::int64_t lastEnd_ = -1;
    std::int64_t ended_ = -1;
    std::int64_t queryStart_ = -1; // of the policy queries in flight
    std::uint32_t queriesInFlight_ = 0;
    std::int64_t policyMs_ = 0; // with a query in flight, before the first start
    std::map<std::string, std::int64_t> taskStart_; // first start, by task
    std::int64_t repeatMs_ = 0; // longest time from the first to the last start of a task
};

struct JobState
{
    JobTrace trace_;
    JobTimes times_;
};

} // namespace

static void applyQueryLine(const TraceLine &line, JobTimes &times)
{
    if (line.event_ == "policy-query") {
        if (times.queriesInFlight_++ == 0) {
            times.queryStart_ = line.unixMs_;
        }
    } else if (times.queriesInFlight_ > 0 && --times.queriesInFlight_ == 0 && times.firstStart_ < 0) {
        times.policyMs_ += line.unixMs_ - times.queryStart_;
    }
}

static void applyTaskLine(const TraceLine &line, const Json &json, JobState &state)
{
    JobTimes &times = state.times_;
    if (line.event_ == "start") {
        ++state.trace_.starts_;
        state.trace_.pastUseShiftMs_ = std::max(state.trace_.pastUseShiftMs_, numberField(json, "past_use_shift_ms"));
        if (times.firstStart_ < 0) {
            times.firstStart_ = line.unixMs_;
            if (times.queriesInFlight_ > 0) {
                times.policyMs_ += line.unixMs_ - times.queryStart_;
            }
        }
        times.lastStart_ = line.unixMs_;
        const std::int64_t first = times.taskStart_.emplace(line.task_, line.unixMs_).first->second;
        times.repeatMs_ = std::max(times.repeatMs_, line.unixMs_ - first);
    } else if (line.event_ == "end") {
        ++state.trace_.ends_[textField(json, "how")];
        times.lastEnd_ = line.unixMs_;
    }
}

// Events of a job at the leader: submit, submit-refused, accepted, job-ended.
static void applyJobLine(const TraceLine &line, const Json &json, JobState &state)
{
    JobTrace &trace = state.trace_;
    if (line.event_ == "submit" || line.event_ == "submit-refused") {
        trace.submittedMs_ = line.unixMs_;
        trace.account_ = textField(json, "account");
        trace.queue_ = textField(json, "queue");
        trace.objectiveMs_ = numberField(json, "objective_ms");
        trace.refusal_ = textField(json, "reason");
        trace.fate_ = line.event_ == "submit" ? JobFate::NotStored : JobFate::Refused;
    } else if (line.event_ == "accepted") {
        state.times_.stored_ = line.unixMs_;
    } else if (line.event_ == "job-ended") {
        state.times_.ended_ = line.unixMs_;
        const std::string end = textField(json, "state");
        bool inObjective = false;
        readField(json, "in_objective", inObjective);
        if (end == "completed") {
            trace.fate_ = inObjective ? JobFate::InTime : JobFate::Late;
        } else {
            trace.fate_ = end == "failed" ? JobFate::Failed : JobFate::Cancelled;
        }
    }
}

// Shifts by past use of the accounts in a line `past-use`.
struct PastUseLine
{
    std::int64_t unixMs_ = 0;
    std::map<std::string, std::int64_t> shiftMs_; // by account
};

static PastUseLine readPastUseLine(const TraceLine &line)
{
    PastUseLine result{line.unixMs_, {}};
    Json json;
    parseJson(line.text_, json);
    const auto top = json.find("top");
    if (top != json.end() && top->is_array()) {
        for (const Json &entry : *top) {
            if (entry.is_object()) {
                result.shiftMs_[textField(entry, "account")] = numberField(entry, "shift_ms");
            }
        }
    }
    return result;
}

// Adds the shift that the leader has logged for the account while the job waited: a job that has not started has no
// line of its own with it.
static void addLoggedShift(JobState &state, std::int64_t logEndMs, const std::vector<PastUseLine> &pastUse)
{
    JobTrace &trace = state.trace_;
    const std::int64_t until = state.times_.firstStart_ >= 0 ? state.times_.firstStart_ : logEndMs;
    for (const PastUseLine &line : pastUse) {
        const auto shift = line.shiftMs_.find(trace.account_);
        if (line.unixMs_ >= trace.submittedMs_ && line.unixMs_ <= until && shift != line.shiftMs_.end()) {
            trace.pastUseShiftMs_ = std::max(trace.pastUseShiftMs_, shift->second);
        }
    }
}

static void finishTrace(JobState &state, std::int64_t logEndMs, const std::set<std::int64_t> &elections)
{
    JobTrace &trace = state.trace_;
    const JobTimes &times = state.times_;
    if (trace.fate_ == JobFate::NotStored && times.stored_ >= 0) {
        trace.fate_ = times.firstStart_ < 0 ? JobFate::NotStarted : JobFate::NotEnded;
    }
    const std::int64_t end = times.ended_ >= 0 ? times.ended_ : logEndMs;
    const std::int64_t submitted = trace.submittedMs_ >= 0 ? trace.submittedMs_ : end;
    const auto orEnd = [end](std::int64_t time) { return time >= 0 ? time : end; };
    const std::int64_t stored = orEnd(times.stored_);
    const std::int64_t firstStart = orEnd(times.firstStart_);
    const std::int64_t lastStart = orEnd(times.lastStart_);
    const std::int64_t lastEnd = std::max(lastStart, times.lastEnd_);
    const auto set = [&trace](TracePart part, std::int64_t millis) {
        trace.partMs_.at(static_cast<std::size_t>(part)) = std::max<std::int64_t>(0, millis);
    };
    set(TracePart::Store, stored - submitted);
    set(TracePart::Policy, times.policyMs_);
    set(TracePart::Queue, firstStart - stored - times.policyMs_);
    set(TracePart::Repeats, times.repeatMs_);
    set(TracePart::Run, lastEnd - firstStart - times.repeatMs_);
    set(TracePart::Note, times.lastEnd_ >= 0 && times.ended_ >= 0 ? times.ended_ - times.lastEnd_ : 0);
    trace.leaderChanges_
        = static_cast<std::uint32_t>(std::distance(elections.lower_bound(submitted), elections.upper_bound(end)));
}

std::vector<JobTrace> traceJobs(TraceLog &log)
{
    std::stable_sort(log.lines_.begin(), log.lines_.end(),
                     [](const TraceLine &a, const TraceLine &b) { return a.unixMs_ < b.unixMs_; });
    std::map<std::string, JobState> states;
    std::set<std::int64_t> elections;
    std::vector<PastUseLine> pastUse;
    for (const TraceLine &line : log.lines_) {
        if (line.event_ == "elected") {
            elections.insert(line.unixMs_);
        } else if (line.event_ == "past-use") {
            pastUse.push_back(readPastUseLine(line));
        }
        if (line.job_.empty()) {
            continue;
        }
        Json json;
        parseJson(line.text_, json);
        JobState &state = states[line.job_];
        state.trace_.job_ = line.job_;
        if (line.event_.starts_with("policy-")) {
            applyQueryLine(line, state.times_);
        } else if (!line.task_.empty()) {
            applyTaskLine(line, json, state);
        } else {
            applyJobLine(line, json, state);
        }
    }
    const std::int64_t logEnd = log.lines_.empty() ? 0 : log.lines_.back().unixMs_;
    std::vector<JobTrace> traces;
    for (auto &[job, state] : states) {
        if (state.trace_.submittedMs_ >= 0) {
            finishTrace(state, logEnd, elections);
            addLoggedShift(state, logEnd, pastUse);
            traces.push_back(std::move(state.trace_));
        }
    }
    return traces;
}

std::string causeOf(const JobTrace &trace)
{
    static constexpr std::array<const char *, static_cast<std::size_t>(TracePart::Count)> PartNames{
        "store", "policy service", "queue", "repeated runs", "run time", "end noted late"};
    const auto largest = std::max_element(trace.partMs_.begin(), trace.partMs_.end()) - trace.partMs_.begin();
    const std::string part = PartNames.at(static_cast<std::size_t>(largest));
    const std::string suffix = trace.leaderChanges_ > 0 ? ", leader changed" : "";
    switch (trace.fate_) {
    case JobFate::Refused:
        return "refused: " + trace.refusal_;
    case JobFate::NotStored:
        return "not stored" + suffix;
    case JobFate::NotStarted:
        return "not started: " + part + suffix;
    case JobFate::NotEnded:
        return "not ended: " + part + suffix;
    case JobFate::Failed:
        return "failed" + suffix;
    case JobFate::Cancelled:
        return "cancelled";
    case JobFate::Late:
        return "late: " + part + suffix;
    case JobFate::InTime:
        break;
    }
    return "in time";
}

} // namespace mimosapier
