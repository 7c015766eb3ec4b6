// Commands of operators for the configuration bundle: draft, sign, show, diff, status and edits.
#include "ctl/ctl_internal.h"

#include "core/config/config_func.h"

#include <fstream>
#include <iterator>
#include <ostream>

namespace mimosapier
{

// Reads a whole file, or standard input for "-". Returns false after a message when the file cannot be read.
static bool readFileOrStdin(const std::string &file, const CommandIo &io, std::string &text)
{
    if (file == "-") {
        text.assign(std::istreambuf_iterator<char>(io.in_), {});
        return true;
    }
    std::ifstream stream(file, std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(stream), {});
    if (!stream) {
        io.err_ << "The file " << file << " cannot be read.\n";
    }
    return static_cast<bool>(stream);
}

// Returns false after a message when the operator's name is missing.
static bool checkOperator(const Options &options, const CommandIo &io)
{
    if (options.bundle_.operator_.empty()) {
        io.err_ << "The operator's name is missing; use --as NAME or set MIMOSAPIER_OPERATOR.\n";
        return false;
    }
    return true;
}

static ExitCode sendDraft(const Options &options, const CommandIo &io, const std::string &text)
{
    const Json body{{"author", options.bundle_.operator_}, {"text", text}};
    const ApiResponse response = sendRequest(options, io, "POST", "/v1/admin/draft", body);
    Json detail;
    if (options.printsJson_ || exitCode(response) != ExitCode::Done
        || !parseJson(textField(response.json_, "detail"), detail)) {
        return printResponse(options, io, response);
    }
    const std::string draft = textField(detail, "draft");
    io.out_ << "Draft " << draft << ", made from version " << numberField(detail, "base_version")
            << ". Another operator signs it off with: mimosapierctl --as NAME bundle sign " << draft << "\n";
    return ExitCode::Done;
}

ExitCode draftCmd(const Options &options, const CommandIo &io)
{
    std::string text;
    if (!checkOperator(options, io) || !readFileOrStdin(options.bundle_.file_, io, text)) {
        return ExitCode::Usage;
    }
    Bundle bundle;
    std::vector<BundleProblem> problems;
    if (parseBundle(text, bundle, problems)) {
        io.err_ << formatProblems(options.bundle_.file_, problems);
        return ExitCode::Refused;
    }
    return sendDraft(options, io, text);
}

// Finds a draft in the list of a daemon. Returns Done, or another code after a message.
static ExitCode findDraft(const Options &options, const CommandIo &io, const std::string &draft, Json &entry)
{
    const ApiResponse response = sendRequest(options, io, "GET", "/v1/admin/drafts");
    if (exitCode(response) != ExitCode::Done) {
        return printResponse(options, io, response);
    }
    const auto list = response.json_.find("drafts");
    if (list != response.json_.end() && list->is_array()) {
        for (const Json &candidate : *list) {
            if (textField(candidate, "draft") == draft) {
                entry = candidate;
                return ExitCode::Done;
            }
        }
    }
    io.err_ << "There is no draft " << draft << ".\n";
    return ExitCode::Refused;
}

ExitCode signCmd(const Options &options, const CommandIo &io)
{
    if (!checkOperator(options, io)) {
        return ExitCode::Usage;
    }
    std::int64_t baseVersion = options.bundle_.baseVersion_;
    if (baseVersion < 0) {
        Json draft;
        if (const ExitCode code = findDraft(options, io, options.bundle_.draftId_, draft); code != ExitCode::Done) {
            return code;
        }
        baseVersion = numberField(draft, "base_version");
    }
    const Json body{
        {"signer", options.bundle_.operator_}, {"draft", options.bundle_.draftId_}, {"base_version", baseVersion}};
    return printResponse(options, io, sendRequest(options, io, "POST", "/v1/admin/sign", body));
}

ExitCode showCmd(const Options &options, const CommandIo &io)
{
    const ApiResponse response = sendRequest(options, io, "GET", "/v1/admin/bundle");
    if (options.printsJson_ || exitCode(response) != ExitCode::Done) {
        return printResponse(options, io, response);
    }
    io.out_ << "# version " << numberField(response.json_, "version") << ", by " << textField(response.json_, "author")
            << ", signed off by " << textField(response.json_, "signer") << "\n"
            << textField(response.json_, "text");
    if (!textField(response.json_, "text").ends_with('\n')) {
        io.out_ << "\n";
    }
    return ExitCode::Done;
}

ExitCode diffCmd(const Options &options, const CommandIo &io)
{
    if (options.bundle_.file_.empty() == options.bundle_.draftId_.empty()) {
        io.err_ << "Specify either a draft or --file.\n";
        return ExitCode::Usage;
    }
    const ApiResponse head = sendRequest(options, io, "GET", "/v1/admin/bundle");
    if (exitCode(head) != ExitCode::Done) {
        return printResponse(options, io, head);
    }
    std::string text;
    if (!options.bundle_.file_.empty()) {
        if (!readFileOrStdin(options.bundle_.file_, io, text)) {
            return ExitCode::Usage;
        }
    } else {
        Json draft;
        if (const ExitCode code = findDraft(options, io, options.bundle_.draftId_, draft); code != ExitCode::Done) {
            return code;
        }
        text = textField(draft, "text");
    }
    const std::string difference = lineDiff(textField(head.json_, "text"), text);
    if (options.printsJson_) {
        io.out_ << dumpJson({{"version", numberField(head.json_, "version")}, {"diff", difference}}) << "\n";
    } else {
        io.out_ << difference;
    }
    return ExitCode::Done;
}

ExitCode draftsCmd(const Options &options, const CommandIo &io)
{
    const ApiResponse response = sendRequest(options, io, "GET", "/v1/admin/drafts");
    if (options.printsJson_ || exitCode(response) != ExitCode::Done || !response.json_.contains("drafts")) {
        return printResponse(options, io, response);
    }
    for (const Json &draft : response.json_["drafts"]) {
        io.out_ << textField(draft, "draft") << " by " << textField(draft, "author") << ", from version "
                << numberField(draft, "base_version") << "\n";
    }
    return ExitCode::Done;
}

ExitCode bundleStatusCmd(const Options &options, const CommandIo &io)
{
    Json list = Json::array();
    ExitCode code = ExitCode::Done;
    for (const std::string &address : options.addresses_) {
        const ApiResponse response = sendRequestTo(options, io, address, "GET", "/v1/admin/status");
        if (exitCode(response) != ExitCode::Done) {
            code = ExitCode::Unreachable;
            list.push_back({{"address", address}, {"reached", false}});
            continue;
        }
        bool isFresh = false;
        readField(response.json_, "config_fresh", isFresh);
        list.push_back({{"address", address},
                        {"reached", true},
                        {"daemon", textField(response.json_, "daemon")},
                        {"version", numberField(response.json_, "bundle_version")},
                        {"fresh", isFresh}});
    }
    if (options.printsJson_) {
        io.out_ << dumpJson({{"daemons", list}}) << "\n";
        return code;
    }
    for (const Json &entry : list) {
        io.out_ << textField(entry, "address") << ": ";
        if (!entry["reached"].get<bool>()) {
            io.out_ << "not reached\n";
            continue;
        }
        io.out_ << textField(entry, "daemon") << ", version " << numberField(entry, "version")
                << (entry["fresh"].get<bool>() ? "" : ", cannot confirm that it is the head") << "\n";
    }
    return code;
}

// Sets the hash of the key to grant or withdraw; makes a new key for a grant without one. A key itself is read from
// standard input only, because other users of the machine can see command lines.
static bool resolveKey(BundleEdit edit, Options &options, const CommandIo &io)
{
    BundleOptions &bundle = options.bundle_;
    if (bundle.keyFromStdin_) {
        std::string key;
        std::getline(io.in_, key);
        bundle.hash_ = key.empty() ? "" : keyHash(key);
    } else if (bundle.hash_.empty() && edit == BundleEdit::GrantKey) {
        const std::string key = io.randomHex_();
        bundle.hash_ = keyHash(key);
        io.err_ << "New key, shown only once: " << key << "\n";
    }
    if (bundle.hash_.empty()) {
        io.err_ << "Specify the key with --hash or --key-from-input.\n";
        return false;
    }
    return true;
}

ExitCode editCmd(BundleEdit edit, const Options &options, const CommandIo &io)
{
    Options resolvedOptions = options;
    const bool needsKey = edit == BundleEdit::GrantKey || edit == BundleEdit::WithdrawKey;
    if (!checkOperator(options, io) || (needsKey && !resolveKey(edit, resolvedOptions, io))) {
        return ExitCode::Usage;
    }
    const ApiResponse head = sendRequest(options, io, "GET", "/v1/admin/bundle");
    if (exitCode(head) != ExitCode::Done) {
        return printResponse(options, io, head);
    }
    std::string editedText;
    std::string reason;
    if (!editBundle(edit, resolvedOptions.bundle_, textField(head.json_, "text"), editedText, reason)) {
        io.err_ << reason << "\n";
        return ExitCode::Refused;
    }
    return sendDraft(options, io, editedText);
}

} // namespace mimosapier
