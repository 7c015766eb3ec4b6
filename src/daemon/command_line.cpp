// Command line of mimosapierd, by CLI11.
#include "daemon/command_line_func.h"

#include <CLI/CLI.hpp>

namespace mimosapier
{

CommandLine parseCommandLine(int argc, char **argv)
{
    CommandLine line;
    CLI::App app("mimosapierd, the daemon of the mimosapier scheduler");
    app.set_version_flag("--version", "mimosapierd " MIMOSAPIER_VERSION);
    app.add_option("--config", line.configFile_, "File with the settings")->required();
    app.add_option("--set", line.overrides_, "Setting that overrides the file, as key=value; may be repeated")
        ->allow_extra_args(false);
    app.add_flag("--check", line.checkOnly_, "Check the settings and exit");
    try {
        app.parse(argc, argv);
        line.shouldRun_ = true;
    } catch (const CLI::ParseError &error) {
        line.exitCode_ = app.exit(error);
    }
    return line;
}

} // namespace mimosapier
