// Replays all traces of tests/traces against their stated outcomes. MIMOSAPIER_TRACE=<part of a name> runs some of
// them with the nodes' log.
#include "replay/replay_run.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace mimosapier::test;

// Guards against a guarantee of design section 1.2 that stops to hold under a failure that was met or foreseen.
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
