// Runs one trace file in a simulated world. Called by test_replay.cpp; single-threaded.
#pragma once

#include "replay/replay_world.h"

#include <yaml-cpp/yaml.h>

namespace mimosapier::test
{

// State of a trace that is being run: the world and the names that the trace defines.
struct Replay
{
    ReplayWorld world_;
    std::map<std::string, std::string> bundles_; // bundle text by name
    std::map<std::string, CallId> calls_; // by label
    std::map<std::string, std::string> aliases_; // daemon by alias

    // Resolves an expression to the name of a daemon: a name, an alias, "@<shard>" (the holder that the store shows) or
    // "!<daemon>" (the first other daemon that is running). Throws std::runtime_error when there is none.
    std::string daemon(const std::string &name);
    // First answer to the call, or nullptr when there is none yet. Throws std::runtime_error for an unknown label.
    const CallerAnswer *answer(const std::string &label);
};

// Checks one item of `expect` and appends a description of each difference to `problems`. Throws std::runtime_error
// when the item is malformed.
void checkExpectation(Replay &replay, const YAML::Node &expect, std::vector<std::string> &problems);

// Runs the trace and returns the problems found; empty when all expectations hold. With `log`, prints the log of the
// nodes to stderr. Throws std::exception when the file is malformed.
std::vector<std::string> runTrace(const std::string &path, bool log);

} // namespace mimosapier::test
