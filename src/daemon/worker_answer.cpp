// Decoder of the workers' answers with status 200. They are most of the JSON that a daemon reads, so a SAX parser reads
// them in one pass without building a document.
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

// Destination of a field's value; std::monostate for an unknown field, whose value is skipped.
using FieldPointer
    = std::variant<std::monostate, std::string *, std::int64_t *, std::uint64_t *, std::uint32_t *, bool *>;

// Part of the answer that the parser is in.
enum class ParseState : std::uint8_t { Start, Answer, Tasks, Report, End };

// SAX handler. The names of its event functions are given by the JSON library; each returns false to stop the parser at
// a malformed answer.
class AnswerReader
{
public:
    explicit AnswerReader(WorkerResult &result)
        : result_(result)
    {
    }

    [[nodiscard]] bool isComplete() const { return parseState_ == ParseState::End && hasTaskList_; }

    bool null() { return isIgnored(); }
    bool number_float(double /*value*/, const std::string & /*text*/) { return isIgnored(); }
    bool binary(const Json::binary_t & /*value*/) { return isIgnored(); }
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
    // True if the next value is skipped, so that it may have any type.
    [[nodiscard]] bool isIgnored() const
    {
        const bool inObject = parseState_ == ParseState::Answer || parseState_ == ParseState::Report;
        return skipDepth_ > 0 || (inObject && !expectsTaskList_ && std::holds_alternative<std::monostate>(field_));
    }
    template <typename T>
    bool assign(T value)
    {
        T *const *field = skipDepth_ == 0 ? std::get_if<T *>(&field_) : nullptr;
        if (field == nullptr) {
            return isIgnored();
        }
        **field = std::move(value);
        return true;
    }
    bool beginSkip()
    {
        const bool allowed = isIgnored();
        ++skipDepth_;
        return allowed;
    }
    FieldPointer reportField(std::string_view name);
    bool finishReport();

    WorkerResult &result_;
    ParseState parseState_ = ParseState::Start;
    unsigned skipDepth_ = 0; // nesting depth inside a skipped object or array; 0 outside
    FieldPointer field_; // destination of the next value
    bool expectsTaskList_ = false; // the next value must be the array "tasks"
    bool hasTaskList_ = false;
    std::string outcome_; // of the current report, as is error_
    std::string error_;
};

template <typename T>
bool assignUnsigned(T *field, std::uint64_t value)
{
    if (value > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
        return false;
    }
    *field = static_cast<T>(value);
    return true;
}

bool AnswerReader::number_unsigned(std::uint64_t value)
{
    if (skipDepth_ > 0) {
        return true;
    }
    if (auto *const *field = std::get_if<std::int64_t *>(&field_)) {
        return assignUnsigned(*field, value);
    }
    if (auto *const *field = std::get_if<std::uint64_t *>(&field_)) {
        return assignUnsigned(*field, value);
    }
    if (auto *const *field = std::get_if<std::uint32_t *>(&field_)) {
        return assignUnsigned(*field, value);
    }
    return isIgnored();
}

bool AnswerReader::start_object(std::size_t /*size*/)
{
    if (skipDepth_ == 0 && parseState_ == ParseState::Start) {
        parseState_ = ParseState::Answer;
        return true;
    }
    if (skipDepth_ == 0 && parseState_ == ParseState::Tasks) {
        result_.tasks_.emplace_back();
        outcome_.clear();
        error_.clear();
        parseState_ = ParseState::Report;
        return true;
    }
    return beginSkip();
}

bool AnswerReader::start_array(std::size_t /*size*/)
{
    if (skipDepth_ == 0 && parseState_ == ParseState::Answer && expectsTaskList_) {
        expectsTaskList_ = false;
        hasTaskList_ = true;
        result_.tasks_.clear();
        field_ = std::monostate{};
        parseState_ = ParseState::Tasks;
        return true;
    }
    return beginSkip();
}

bool AnswerReader::end_object()
{
    if (skipDepth_ > 0) {
        --skipDepth_;
        return true;
    }
    if (parseState_ == ParseState::Report) {
        parseState_ = ParseState::Tasks;
        field_ = std::monostate{};
        return finishReport();
    }
    parseState_ = ParseState::End;
    return true;
}

bool AnswerReader::end_array()
{
    if (skipDepth_ > 0) {
        --skipDepth_;
    } else {
        parseState_ = ParseState::Answer;
    }
    return true;
}

bool AnswerReader::key(const std::string &name)
{
    if (skipDepth_ > 0) {
        return true;
    }
    field_ = std::monostate{};
    expectsTaskList_ = false;
    if (parseState_ == ParseState::Report) {
        field_ = reportField(name);
    } else if (name == "epoch") {
        field_ = &result_.highestEpoch_.value_;
    } else if (name == "leaving") {
        field_ = &result_.leaving_;
    } else {
        expectsTaskList_ = name == "tasks";
    }
    return true;
}

FieldPointer AnswerReader::reportField(std::string_view name)
{
    WorkerTaskReport &report = result_.tasks_.back();
    const std::array<std::pair<std::string_view, FieldPointer>, 13> fields{{
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
    const auto found
        = std::find_if(fields.begin(), fields.end(), [name](const auto &candidate) { return candidate.first == name; });
    return found == fields.end() ? FieldPointer{} : found->second;
}

bool AnswerReader::finishReport()
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

// True if there is exactly one report per started task, in any order.
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
    if (!Json::sax_parse(body.begin(), body.end(), &reader) || !reader.isComplete()) {
        return false;
    }
    const auto *start = std::get_if<WorkerStart>(&request.op_);
    return start == nullptr || coversStart(*start, result.tasks_);
}

} // namespace mimosapier
