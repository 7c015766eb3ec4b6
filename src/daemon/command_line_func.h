// Command line of mimosapierd. Called by main() only.
#pragma once

#include <string>
#include <vector>

namespace mimosapier
{

struct CommandLine
{
    std::string configFile_; // path of the settings file
    std::vector<std::string> overrides_; // "key=value"
    bool checkOnly_ = false; // check the settings, do not run
    bool shouldRun_ = false; // false: exit with exitCode_ (help, version or an error was printed)
    int exitCode_ = 0;
};

// Parses the command line. Prints help, version and error messages.
CommandLine parseCommandLine(int argc, char **argv);

} // namespace mimosapier
