// Sending of requests, and what answers mean for the user and the exit code.
#include "ctl/ctl_internal.h"

#include "core/common/error_type.h"

#include <ostream>

namespace mimosapier
{

Answer askOne(const Options &options, const Surroundings &io, const std::string &address, const std::string &method,
              const std::string &target, const Json &body)
{
    HttpRequest request;
    request.method_ = method;
    request.target_ = target;
    if (!options.key_.empty()) {
        request.headers_.push_back({"Authorization", "Bearer " + options.key_});
    }
    if (!body.is_null()) {
        request.headers_.push_back({"Content-Type", "application/json"});
        request.body_ = dumpJson(body);
    }
    HttpResult result = io.send_(address, request);
    Answer answer;
    answer.delivery_ = result.delivery_;
    answer.status_ = result.status_;
    answer.body_ = std::move(result.body_);
    if (answer.delivery_ != HttpDelivery::Answered || !parseJson(answer.body_, answer.json_)) {
        answer.json_ = nullptr;
    }
    return answer;
}

Answer ask(const Options &options, const Surroundings &io, const std::string &method, const std::string &target,
           const Json &body)
{
    Answer answer;
    for (const std::string &address : options.addresses_) {
        answer = askOne(options, io, address, method, target, body);
        const bool again = answer.delivery_ == HttpDelivery::NotSent
            || (answer.delivery_ == HttpDelivery::MaybeSent && method == "GET");
        if (!again) {
            return answer;
        }
    }
    return answer;
}

std::string textField(const Json &json, const char *name)
{
    std::string text;
    readField(json, name, text);
    return text;
}

std::int64_t numberField(const Json &json, const char *name)
{
    std::int64_t number = 0;
    readField(json, name, number);
    return number;
}

ExitCode exitCode(const Answer &answer)
{
    if (answer.delivery_ == HttpDelivery::NotSent) {
        return ExitCode::Unreachable;
    }
    if (answer.delivery_ == HttpDelivery::MaybeSent || answer.json_.is_null()) {
        return ExitCode::Unknown;
    }
    const std::string outcome = textField(answer.json_, "outcome");
    if (textField(answer.json_, "error") == errorName(ErrorKind::VersionRace)) {
        return ExitCode::Race;
    }
    if (outcome == "done") {
        return ExitCode::Done;
    }
    if (outcome == "accepted") {
        return ExitCode::Pending;
    }
    if (outcome == "failed" || outcome == "cancelled") {
        return ExitCode::Failed;
    }
    if (outcome == "not-run") {
        return ExitCode::Refused;
    }
    if (outcome.empty() && answer.status_ == 200) {
        return ExitCode::Done; // a document
    }
    return ExitCode::Unknown;
}

static void printTasks(const Surroundings &io, const Json &json)
{
    const auto results = json.find("results");
    if (results == json.end() || !results->is_array()) {
        return;
    }
    for (const Json &task : *results) {
        io.out_ << "  task " << numberField(task, "index") << ": " << textField(task, "outcome");
        const std::string worker = textField(task, "worker");
        if (!worker.empty()) {
            io.out_ << " on " << worker;
        }
        const std::string error = textField(task, "error");
        if (!error.empty() && error != "none") {
            io.out_ << " (" << error << ")";
        }
        const std::string result = textField(task, "result");
        io.out_ << (result.empty() ? "" : ": " + result) << "\n";
    }
}

ExitCode printAnswer(const Options &options, const Surroundings &io, const Answer &answer)
{
    const ExitCode code = exitCode(answer);
    if (answer.delivery_ != HttpDelivery::Answered) {
        io.err_ << (code == ExitCode::Unreachable ? "No daemon could be reached.\n"
                                                  : "The connection failed; the request may have taken effect.\n");
        return code;
    }
    if (options.json_) {
        io.out_ << answer.body_ << "\n";
        return code;
    }
    if (answer.json_.is_null()) {
        io.err_ << "The answer with status " << answer.status_ << " is not JSON.\n";
        return code;
    }
    const std::string id = textField(answer.json_, "request_id");
    const std::string error = textField(answer.json_, "error");
    io.out_ << (id.empty() ? "" : id + ": ") << textField(answer.json_, "outcome");
    if (!error.empty() && error != "none") {
        io.out_ << " (" << error << "): " << errorText(errorFromName(error));
    }
    io.out_ << "\n";
    const std::string detail = textField(answer.json_, "detail");
    if (!detail.empty()) {
        io.out_ << detail << (detail.back() == '\n' ? "" : "\n");
    }
    printTasks(io, answer.json_);
    return code;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '.' || c == '_' || c == '~';
        if (plain) {
            out += c;
        } else {
            out += '%';
            out += Digits[byte >> 4U];
            out += Digits[byte & 0xfU];
        }
    }
    return out;
}

} // namespace mimosapier
