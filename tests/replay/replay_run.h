// Runs one trace file.
#pragma once

#include "replay/replay_world.h"

#include <yaml-cpp/yaml.h>

namespace mimosapier::test
{

struct Replay
{
    ReplayWorld world_;
    std::map<std::string, std::string> bundles_; // text by name
    std::map<std::string, CallId> calls_; // by label
    std::map<std::string, std::string> aliases_; // daemons

    // Daemon by name, alias, "@<shard>" (its holder in the store) or "!<daemon>" (the first other one that lives).
    std::string daemon(const std::string &name);
    const CallerAnswer *answer(const std::string &label);
};

// Checks one `expect`; appends what differs.
void checkExpectation(Replay &replay, const YAML::Node &expect, std::vector<std::string> &problems);

// Runs the trace; empty when all stated outcomes hold. Throws std::runtime_error when the file is malformed.
std::vector<std::string> runTrace(const std::string &path, bool log);

} // namespace mimosapier::test
