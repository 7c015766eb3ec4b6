// Options, exit codes and surroundings of mimosapierctl.
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

// Documented in the output of --help.
enum class ExitCode : std::uint8_t {
    Done = 0,
    Failed = 1, // the work ran and failed, or was cancelled
    Usage = 2,
    Refused = 3, // certainly not run, or the configuration is unchanged
    Unknown = 4, // the request may have taken effect
    Unreachable = 5, // no daemon got the request
    Race = 6, // another bundle was signed off first
    Pending = 7, // accepted, not finished yet
};

// Sends a request to one address.
using RequestSender = std::function<HttpResult(const std::string &address, const HttpRequest &request)>;

struct CommandIo
{
    RequestSender send_;
    std::istream &in_;
    std::ostream &out_;
    std::ostream &err_;
    std::function<std::string()> randomHex_; // 32 hex digits, unpredictable
};

struct JobOptions
{
    std::string requestId_;
    std::vector<std::string> requestIds_; // of cancel
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
    std::int64_t deadlineMs_ = 0; // 0: of the class
    std::int64_t waitMs_ = 0;
    bool atMostOnce_ = false; // non-idempotent
    bool waitForOutcome_ = false; // after submit
};

struct BundleOptions
{
    std::string operator_; // author or signer
    std::string file_; // "-" for standard input
    std::string draftId_;
    std::int64_t baseVersion_ = -1; // -1: the version from which the draft was made
    std::string team_;
    std::string homeRegion_;
    std::string hash_;
    bool keyFromStdin_ = false;
    double value_ = 0; // share or weight
    std::int64_t limit_ = 0;
    std::string weightName_; // waiting, packing or crossing
};

struct Options
{
    std::vector<std::string> addresses_; // "ip:port" of entry instances
    std::string keyFile_;
    std::string key_;
    bool printsJson_ = false;
    JobOptions job_;
    BundleOptions bundle_;
    std::string htmlFile_; // file of the report
};

// Parses the command line and carries it out.
ExitCode runCtl(int argc, const char *const *argv, const CommandIo &io);

} // namespace mimosapier
