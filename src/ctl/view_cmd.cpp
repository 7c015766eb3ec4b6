// Commands that show the cluster as one daemon knows it: members, shards, workers.
#include "ctl/ctl_internal.h"

#include <iomanip>
#include <ostream>

namespace mimosapier
{

static const Json &arrayField(const Json &json, const char *name)
{
    static const Json empty = Json::array();
    if (!json.is_object()) {
        return empty;
    }
    const auto found = json.find(name);
    return found == json.end() || !found->is_array() ? empty : *found;
}

static bool boolField(const Json &json, const char *name)
{
    bool value = false;
    readField(json, name, value);
    return value;
}

ExitCode clusterStatusCmd(const Options &options, const CommandIo &io)
{
    const ApiResponse response = sendRequest(options, io, "GET", "/v1/admin/status");
    if (options.printsJson_ || exitCode(response) != ExitCode::Done) {
        return printResponse(options, io, response);
    }
    const auto found = response.json_.find("member");
    const Json member = found != response.json_.end() ? *found : Json::object();
    io.out_ << textField(response.json_, "daemon") << " in " << textField(response.json_, "region") << ", version "
            << numberField(response.json_, "bundle_version")
            << (boolField(response.json_, "config_fresh") ? "" : ", configuration not confirmed")
            << (boolField(member, "store_reached") ? "" : ", store not reached") << "\n\nmembers\n";
    for (const Json &entry : arrayField(member, "members")) {
        io.out_ << "  " << std::left << std::setw(28) << textField(entry, "daemon") << std::setw(16)
                << textField(entry, "region") << (boolField(entry, "connected") ? "connected" : "not connected")
                << (boolField(entry, "leaving") ? ", leaving" : "") << "\n";
    }
    io.out_ << "\nshards\n";
    for (const Json &entry : arrayField(member, "shards")) {
        const std::string holder = textField(entry, "holder");
        io.out_ << "  " << std::left << std::setw(28) << textField(entry, "shard") << std::setw(28)
                << (holder.empty() ? "vacant" : holder) << "epoch " << numberField(entry, "epoch");
        if (textField(entry, "shard").starts_with("g/")) { // partitions have no slots
            io.out_ << ", " << numberField(entry, "free") << "/" << numberField(entry, "capacity") << " slots free, "
                    << numberField(entry, "queued") << " queued";
        }
        io.out_ << (boolField(entry, "reachable") ? "" : ", not reachable") << "\n";
    }
    return ExitCode::Done;
}

ExitCode instancesCmd(const Options &options, const CommandIo &io)
{
    const ApiResponse response = sendRequest(options, io, "GET", "/v1/admin/instances");
    if (options.printsJson_ || exitCode(response) != ExitCode::Done) {
        return printResponse(options, io, response);
    }
    for (const Json &worker : arrayField(response.json_, "workers")) {
        io.out_ << std::left << std::setw(24) << textField(worker, "id") << std::setw(28) << textField(worker, "group")
                << std::setw(24) << textField(worker, "address") << numberField(worker, "milli_cpus") / 1000
                << " processors, " << numberField(worker, "memory_mb") << " MB, " << numberField(worker, "slots")
                << " slots" << (boolField(worker, "leaving") ? ", leaving" : "") << "\n";
    }
    return ExitCode::Done;
}

} // namespace mimosapier
