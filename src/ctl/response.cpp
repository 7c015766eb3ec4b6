// Sends requests to daemons, and derives the output and the exit code from the responses.
#include "ctl/ctl_internal.h"

#include "core/common/error_type.h"

#include <ostream>

namespace mimosapier
{

ApiResponse sendRequestTo(const Options &options, const CommandIo &io, const std::string &address,
                          const std::string &method, const std::string &target, const Json &body)
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
    ApiResponse response;
    response.delivery_ = result.delivery_;
    response.status_ = result.status_;
    response.body_ = std::move(result.body_);
    if (response.delivery_ != HttpDelivery::Answered || !parseJson(response.body_, response.json_)
        || !response.json_.is_object()) {
        response.json_ = nullptr;
    }
    return response;
}

ApiResponse sendRequest(const Options &options, const CommandIo &io, const std::string &method,
                        const std::string &target, const Json &body)
{
    ApiResponse response;
    for (const std::string &address : options.addresses_) {
        response = sendRequestTo(options, io, address, method, target, body);
        const bool canRetry = response.delivery_ == HttpDelivery::NotSent
            || (response.delivery_ == HttpDelivery::MaybeSent && method == "GET");
        if (!canRetry) {
            return response;
        }
    }
    return response;
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

ExitCode exitCode(const ApiResponse &response)
{
    if (response.delivery_ == HttpDelivery::NotSent) {
        return ExitCode::Unreachable;
    }
    if (response.delivery_ == HttpDelivery::MaybeSent || response.json_.is_null()) {
        return ExitCode::Unknown;
    }
    const std::string outcome = textField(response.json_, "outcome");
    if (textField(response.json_, "error") == errorName(ErrorKind::VersionRace)) {
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
    if (outcome.empty() && response.status_ == 200) {
        return ExitCode::Done; // a document, for example a list
    }
    return ExitCode::Unknown;
}

static void printTasks(const CommandIo &io, const Json &json)
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

ExitCode printResponse(const Options &options, const CommandIo &io, const ApiResponse &response)
{
    const ExitCode code = exitCode(response);
    if (response.delivery_ != HttpDelivery::Answered) {
        io.err_ << (code == ExitCode::Unreachable ? "No daemon could be reached.\n"
                                                  : "The connection failed; the request may have taken effect.\n");
        return code;
    }
    if (options.printsJson_) {
        io.out_ << response.body_ << "\n";
        return code;
    }
    if (response.json_.is_null()) {
        io.err_ << "The response with status " << response.status_ << " is not JSON.\n";
        return code;
    }
    const std::string id = textField(response.json_, "request_id");
    const std::string error = textField(response.json_, "error");
    io.out_ << (id.empty() ? "" : id + ": ") << textField(response.json_, "outcome");
    if (!error.empty() && error != "none") {
        io.out_ << " (" << error << "): " << errorText(errorFromName(error));
    }
    io.out_ << "\n";
    const std::string detail = textField(response.json_, "detail");
    if (!detail.empty()) {
        io.out_ << detail << (detail.back() == '\n' ? "" : "\n");
    }
    printTasks(io, response.json_);
    return code;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '.' || c == '_' || c == '~';
        if (unreserved) {
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
