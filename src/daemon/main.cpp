// Entry point of mimosapierd: parses the command line, reads the settings, runs the daemon, and shuts it down
// gracefully on SIGTERM or SIGINT. The main thread only waits for signals and for the end of the shutdown.
#include "daemon/cell_process_base.h"
#include "daemon/command_line_func.h"
#include "daemon/log_func.h"
#include "daemon/process_base.h"
#include "daemon/settings_func.h"

#include <csignal>
#include <iostream>
#include <string>

using namespace mimosapier;

static constexpr int ExitBadSettings = 2;
static constexpr int ExitCannotStart = 1;

// Runs the process until SIGTERM or SIGINT. Returns the exit code. Settings are read at startup only, so SIGHUP, which
// asks for a reload, is logged and ignored.
template <typename AnyProcess>
static int runProcess(const Settings &settings, const sigset_t &signals)
{
    AnyProcess process(settings);
    std::string detail;
    if (const std::error_code error = process.start(detail)) {
        writeLog(LogLevel::Error, "[daemon] Cannot start: " + detail + ": " + error.message());
        return ExitCannotStart;
    }
    int received = 0;
    sigwait(&signals, &received);
    while (received == SIGHUP) {
        const LogLine line{LogLevel::Info, R"({"event":"reload","outcome":"ignored-until-restart"})"};
        writeStructuredLog(std::span(&line, 1));
        sigwait(&signals, &received);
    }
    process.requestLeave();
    if (!process.waitForEnd()) {
        writeLog(LogLevel::Warning, "[daemon] Graceful shutdown did not finish within its limit.");
    }
    return 0;
}

int main(int argc, char **argv)
{
    const CommandLine line = parseCommandLine(argc, argv);
    if (!line.shouldRun_) {
        return line.exitCode_;
    }
    const SettingsResult result = readSettings(line.configFile_, line.overrides_);
    for (const std::string &problem : result.problems_) {
        std::cerr << problem << '\n';
    }
    if (!result.problems_.empty() || line.checkOnly_) {
        return result.problems_.empty() ? 0 : ExitBadSettings;
    }

    // Block the signals before any thread starts: all threads inherit the mask, so only sigwait() receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    const LogScope log(result.settings_.logLevel_);
    const bool cell = !result.settings_.cell_.readyAddress_.empty();
    const int exitCode
        = cell ? runProcess<CellProcess>(result.settings_, signals) : runProcess<Process>(result.settings_, signals);
    const LogLine stopped{LogLevel::Info, R"({"event":"stopped"})"};
    writeStructuredLog(std::span(&stopped, 1));
    writeLog(LogLevel::Info, "[daemon] Stopped.");
    return exitCode;
}
