// Options, exit codes and input and output of mimosapierctl. The program is single-threaded.
#pragma once

#include "core/common/time_type.h"
#include "http/client_base.h"
#include "http/json_func.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace mimosapier
{

// Exit codes of the process, documented in the output of --help. The values are fixed, because scripts rely on them.
enum class ExitCode : std::uint8_t {
    Done = 0, // done, accepted by submit, or shown
    Failed = 1, // the work ran and failed, or was cancelled; or the configuration has findings
    Usage = 2, // wrong arguments, or a local file that cannot be read or written
    Refused = 3, // not run; or the configuration is unchanged
    Unknown = 4, // the request may have taken effect
    Unreachable = 5, // no daemon received the request; or, in reports, not all daemons did
    Race = 6, // another bundle was signed off first
    Pending = 7, // accepted, not finished yet
};

// Sends a request to one "ip:port" and waits for the result.
using RequestSender = std::function<HttpResult(const std::string &address, const HttpRequest &request)>;

// Input and output of a command; replaced in tests.
struct CommandIo
{
    RequestSender send_;
    std::istream &in_;
    std::ostream &out_;
    std::ostream &err_;
    std::function<std::string()> randomHex_; // returns 32 hex digits that cannot be guessed; makes request ids and keys
};

struct JobOptions
{
    std::string requestId_;
    std::vector<std::string> requestIds_; // for cancel
    std::string team_;
    std::string class_;
    std::string queue_;
    std::string region_;
    std::string payload_;
    std::uint32_t attempt_ = 1;
    std::uint32_t tasks_ = 1;
    std::int64_t milliCpus_ = 100;
    std::int64_t memoryMb_ = 64;
    std::int64_t accelerators_ = 0;
    std::int64_t runMs_ = 0;
    std::int64_t deadlineMs_ = 0; // 0: that of the class
    std::int64_t waitMs_ = 0; // longest wait for the outcome
    bool atMostOnce_ = false; // the job is not idempotent; each task starts at most once
    bool waitForOutcome_ = false; // submit waits until an accepted job has finished
};

struct BundleOptions
{
    std::string operator_; // author or signer
    std::string file_; // "-" for standard input
    std::string draftId_; // of sign or diff
    std::int64_t baseVersion_ = -1; // version that the signed draft replaces; -1: the one it was made from
    std::string team_;
    std::string homeRegion_;
    std::string hash_; // SHA-256 of a key, in hex
    bool keyFromStdin_ = false;
    double value_ = 0; // share of a team, or value of the weight weightName_
    std::int64_t limit_ = 0; // running tasks of a team
    std::string weightName_; // waiting, packing or crossing
};

struct TraceOptions
{
    std::vector<std::string> files_; // logs of daemons; "-" for standard input
    std::string job_; // 16 hexadecimal digits; empty: all jobs, by cause
};

struct ConfigOptions
{
    std::string file_; // configuration of a cell; "-" for standard input
    std::string against_; // the one in force; empty: no comparison
};

struct ZoneOptions
{
    std::string store_; // "ip:port" of the cell's store
    std::string name_; // availability zone
};

struct Options
{
    std::vector<std::string> addresses_; // "ip:port" of entry instances
    std::string keyFile_;
    std::string key_; // of the team; empty: no Authorization header
    bool printsJson_ = false;
    JobOptions job_;
    BundleOptions bundle_;
    TraceOptions trace_;
    ConfigOptions config_;
    ZoneOptions zone_;
    std::string htmlFile_; // the report is written here; empty: no file
};

// Parses the command line and runs the command. Errors are printed to io.err_. `argv` includes the program name.
ExitCode runCtl(int argc, const char *const *argv, const CommandIo &io);

} // namespace mimosapier
