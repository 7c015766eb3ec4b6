// Runs all traces in tests/traces and checks their expectations. MIMOSAPIER_TRACE=<part of a name> runs only the
// matching ones and prints the log of the nodes.
#include "replay/replay_run.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace mimosapier::test;

// Guards against faults that break a guarantee of section 1.2 of the design. Each trace states a sequence of faults
// that was observed or is expected to be possible.
Test(replay, traces)
{
    std::set<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(MIMOSAPIER_SOURCE_DIR "/tests/traces")) {
        if (entry.path().extension() == ".yaml") {
            files.insert(entry.path().string());
        }
    }
    const char *only = std::getenv("MIMOSAPIER_TRACE");
    for (const std::string &file : files) {
        const std::string name = std::filesystem::path(file).stem().string();
        if (only != nullptr && name.find(only) == std::string::npos) {
            continue;
        }
        std::vector<std::string> problems;
        try {
            problems = runTrace(file, only != nullptr);
        } catch (const std::exception &error) {
            problems.push_back(error.what());
        }
        std::cerr << (problems.empty() ? "pass " : "FAIL ") << name << "\n";
        for (const std::string &problem : problems) {
            std::cerr << "  " << problem << "\n";
        }
        cr_expect(problems.empty(), "%s", name.c_str());
    }
}
