// Command line of mimosapierd.
#pragma once

#include <string>
#include <vector>

namespace mimosapier
{

struct CommandLine
{
    std::string configFile_; // file
    std::vector<std::string> overrides_; // "key=value"
    bool checkOnly_ = false; // check the settings and exit
    bool shouldRun_ = false; // false: exit with exitCode_
    int exitCode_ = 0;
};

// Parses the command line; prints help, version and errors.
CommandLine parseCommandLine(int argc, char **argv);

} // namespace mimosapier
