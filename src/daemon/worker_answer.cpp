// Reader of the workers' answers. Answers are most of the JSON that a daemon reads, so they are read in one pass
// without a document in memory.
#include "daemon/worker_codec_func.h"

#include "http/json_func.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <variant>

namespace mimosapier
{

namespace
{

// Where the value of a field goes; null for a field that is ignored.
using Target = std::variant<std::monostate, std::string *, std::int64_t *, std::uint64_t *, std::uint32_t *, bool *>;

enum class Place : std::uint8_t { Start, Answer, Tasks, Report, End };

// Receiver of the parser's events; each returns false to stop at a malformed answer.
class AnswerReader
{
public:
    explicit AnswerReader(WorkerResult &result)
        : result_(result)
    {
    }

    [[nodiscard]] bool complete() const { return place_ == Place::End && hasTasks_; }

    bool null() { return ignored(); }
    bool number_float(double /*value*/, const std::string & /*text*/) { return ignored(); }
    bool binary(const Json::binary_t & /*value*/) { return ignored(); }
    bool boolean(bool value) { return assign(value); }
    bool number_integer(std::int64_t value) { return assign(value); }
    bool number_unsigned(std::uint64_t value);
    bool string(std::string &value) { return assign(std::move(value)); }
    bool start_object(std::size_t /*size*/);
    bool start_array(std::size_t /*size*/);
    bool end_object();
    bool end_array();
    bool key(const std::string &name);
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const Json::exception & /*error*/)
    {
        return false;
    }

private:
    // True where a value of any type may stand.
    [[nodiscard]] bool ignored() const
    {
        const bool inObject = place_ == Place::Answer || place_ == Place::Report;
        return skipped_ > 0 || (inObject && !tasksNext_ && std::holds_alternative<std::monostate>(target_));
    }
    template <typename T>
    bool assign(T value)
    {
        T *const *target = skipped_ == 0 ? std::get_if<T *>(&target_) : nullptr;
        if (target == nullptr) {
            return ignored();
        }
        **target = std::move(value);
        return true;
    }
    bool skip()
    {
        const bool allowed = ignored();
        ++skipped_;
        return allowed;
    }
    Target reportTarget(std::string_view name);
    bool endReport();

    WorkerResult &result_;
    Place place_ = Place::Start;
    unsigned skipped_ = 0; // depth of the value that is passed over
    Target target_; // of the next value
    bool tasksNext_ = false; // the next value is the list of reports
    bool hasTasks_ = false;
    std::string outcome_; // of the report that is read
    std::string error_;
};

template <typename T>
bool assignUnsigned(T *target, std::uint64_t value)
{
    if (value > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
        return false;
    }
    *target = static_cast<T>(value);
    return true;
}

bool AnswerReader::number_unsigned(std::uint64_t value)
{
    if (skipped_ > 0) {
        return true;
    }
    if (auto *const *target = std::get_if<std::int64_t *>(&target_)) {
        return assignUnsigned(*target, value);
    }
    if (auto *const *target = std::get_if<std::uint64_t *>(&target_)) {
        return assignUnsigned(*target, value);
    }
    if (auto *const *target = std::get_if<std::uint32_t *>(&target_)) {
        return assignUnsigned(*target, value);
    }
    return ignored();
}

bool AnswerReader::start_object(std::size_t /*size*/)
{
    if (skipped_ == 0 && place_ == Place::Start) {
        place_ = Place::Answer;
        return true;
    }
    if (skipped_ == 0 && place_ == Place::Tasks) {
        result_.tasks_.emplace_back();
        outcome_.clear();
        error_.clear();
        place_ = Place::Report;
        return true;
    }
    return skip();
}

bool AnswerReader::start_array(std::size_t /*size*/)
{
    if (skipped_ == 0 && place_ == Place::Answer && tasksNext_) {
        tasksNext_ = false;
        hasTasks_ = true;
        result_.tasks_.clear();
        target_ = std::monostate{};
        place_ = Place::Tasks;
        return true;
    }
    return skip();
}

bool AnswerReader::end_object()
{
    if (skipped_ > 0) {
        --skipped_;
        return true;
    }
    if (place_ == Place::Report) {
        place_ = Place::Tasks;
        target_ = std::monostate{};
        return endReport();
    }
    place_ = Place::End;
    return true;
}

bool AnswerReader::end_array()
{
    if (skipped_ > 0) {
        --skipped_;
    } else {
        place_ = Place::Answer;
    }
    return true;
}

bool AnswerReader::key(const std::string &name)
{
    if (skipped_ > 0) {
        return true;
    }
    target_ = std::monostate{};
    tasksNext_ = false;
    if (place_ == Place::Report) {
        target_ = reportTarget(name);
    } else if (name == "epoch") {
        target_ = &result_.highestEpoch_.value_;
    } else if (name == "leaving") {
        target_ = &result_.leaving_;
    } else {
        tasksNext_ = name == "tasks";
    }
    return true;
}

Target AnswerReader::reportTarget(std::string_view name)
{
    WorkerTaskReport &report = result_.tasks_.back();
    const std::array<std::pair<std::string_view, Target>, 13> targets{{
        {"job", &report.task_.job_.value_},
        {"index", &report.task_.index_},
        {"team", &report.team_.value_},
        {"class", &report.class_.value_},
        {"milli_cpus", &report.size_.milliCpus_},
        {"memory_mb", &report.size_.memoryMb_},
        {"accelerators", &report.size_.accelerators_},
        {"used_milli_cpus", &report.used_.milliCpus_},
        {"used_memory_mb", &report.used_.memoryMb_},
        {"outcome", &outcome_},
        {"error", &error_},
        {"idempotent", &report.idempotent_},
        {"result", &report.result_},
    }};
    const auto found = std::find_if(targets.begin(), targets.end(),
                                    [name](const auto &candidate) { return candidate.first == name; });
    return found == targets.end() ? Target{} : found->second;
}

bool AnswerReader::endReport()
{
    constexpr std::array Allowed{Outcome::Running, Outcome::Done, Outcome::Failed, Outcome::Cancelled, Outcome::NotRun};
    WorkerTaskReport &report = result_.tasks_.back();
    const auto found = std::find_if(Allowed.begin(), Allowed.end(),
                                    [this](Outcome candidate) { return outcomeName(candidate) == outcome_; });
    if (found == Allowed.end() || report.task_.job_.empty()) {
        return false;
    }
    report.outcome_ = *found;
    report.error_ = error_.empty() ? ErrorKind::None : errorFromName(error_);
    report.size_.slots_ = 1;
    return true;
}

} // namespace

// True when there is one report per started task, in any order.
static bool coversStart(const WorkerStart &start, const std::vector<WorkerTaskReport> &reports)
{
    std::vector<TaskId> asked;
    std::vector<TaskId> reported;
    asked.reserve(start.tasks_.size());
    reported.reserve(reports.size());
    for (const WorkerTask &task : start.tasks_) {
        asked.push_back(task.task_);
    }
    for (const WorkerTaskReport &report : reports) {
        reported.push_back(report.task_);
    }
    std::sort(asked.begin(), asked.end());
    std::sort(reported.begin(), reported.end());
    return asked == reported;
}

bool decodeWorkerAnswer(const WorkerRequest &request, std::string_view body, WorkerResult &result)
{
    result.highestEpoch_ = request.epoch_;
    AnswerReader reader(result);
    if (!Json::sax_parse(body.begin(), body.end(), &reader) || !reader.complete()) {
        return false;
    }
    const auto *start = std::get_if<WorkerStart>(&request.op_);
    return start == nullptr || coversStart(*start, result.tasks_);
}

} // namespace mimosapier
