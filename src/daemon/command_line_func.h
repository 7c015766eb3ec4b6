// Command line of mimosapierd.
#pragma once

#include <string>
#include <vector>

namespace mimosapier
{

struct CommandLine
{
    std::string config_; // file
    std::vector<std::string> overrides_; // "key=value"
    bool check_ = false; // check the settings and exit
    bool run_ = false; // false: exit with exitCode_
    int exitCode_ = 0;
};

// Parses the command line; prints help, version and errors.
CommandLine parseCommandLine(int argc, char **argv);

} // namespace mimosapier
