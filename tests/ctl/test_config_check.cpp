// Tests of `config check`: each kind of finding, the differences, and the exit codes.
#include "ctl/ctl_internal.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace mimosapier;

static const std::string Good
    = R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/p/","TargetCompletionMs":1200,"Priority":1,)"
      R"("Service":"s","MaxAttempts":3,"SlackFactor":2.2,"Advice":{"DecideMs":390.0,"PerWorkerMs":5.5,"ValidMs":1500},)"
      R"("Public":false}],"Services":[{"Name":"s"}],)"
      R"("Tenants":[{"Name":"t","ApiKeys":["secret-1","secret-2"],"Weight":27,"Cap":{"Cpu":1760128,"MemMb":5,"Gpu":0}}]})";

// The good configuration with a part replaced.
static std::string with(const std::string &part, const std::string &replacement)
{
    std::string text = Good;
    const std::size_t at = text.find(part);
    cr_assert(at != std::string::npos, "%s", part.c_str());
    return text.replace(at, part.size(), replacement);
}

namespace
{

struct CheckRun
{
    ExitCode code_ = ExitCode::Done;
    std::string out_;
    std::string err_;
};

} // namespace

static CheckRun run(const std::string &input, std::vector<const char *> arguments = {})
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const CommandIo io{{}, in, out, err, {}};
    arguments.insert(arguments.begin(), {"mimosapierctl", "config", "check", "-"});
    CheckRun result;
    result.code_ = runCtl(static_cast<int>(arguments.size()), arguments.data(), io);
    result.out_ = out.str();
    result.err_ = err.str();
    return result;
}

static void checkFinding(const std::string &input, const std::string &line)
{
    const CheckRun result = run(input);
    cr_assert(result.code_ == ExitCode::Failed, "no finding in %s", input.c_str());
    cr_assert(result.out_.find(line) != std::string::npos, "%s is not in\n%s", line.c_str(), result.out_.c_str());
    cr_assert(result.out_.find("secret") == std::string::npos, "shows an API key:\n%s", result.out_.c_str());
}

// Guards against findings where there are none, which would make operators ignore the others.
Test(config_check, aCleanConfigurationHasNoFindings)
{
    const CheckRun result = run(Good);
    cr_assert(result.code_ == ExitCode::Done, "%s", result.out_.c_str());
    cr_assert(result.out_.empty() && result.err_.empty());
}

// Guards against errors that do not say where they are and what is allowed, and against a check that ends at the first.
Test(config_check, errorsNamePlaceKeyValueAndWhatIsAllowed)
{
    checkFinding(with("\"Priority\":1", "\"Priority\":-1"),
                 "error Routes[0].Priority: got -1; allowed: an integer from 0 to 4294967295");
    checkFinding(with("\"ValidMs\":1500", "\"ValidMs\":\"soon\""), "error Routes[0].Advice.ValidMs: got \"soon\"; ");
    checkFinding(with("\"Cpu\":1760128", "\"Cpu\":-4"),
                 "error Tenants[0].Cap.Cpu: got -4; allowed: a number from 0 to 1000000000000");
    checkFinding(with("\"Version\":7", "\"Version\":0"), "error Version: got 0; allowed: an integer from 1");
    checkFinding(with("\"Version\":7,", ""), "error Version: got null; allowed: an integer from 1");
    checkFinding(with("\"Public\":false", "\"Public\":0"), "error Routes[0].Public: got 0; allowed: true or false");
    checkFinding(with("[{\"Name\":\"s\"}]", "{}"), "error Services: got object; allowed: a list");
    checkFinding(with("[{\"Name\":\"s\"}]", "[5]"), "error Services[0]: got 5; allowed: an object");
    checkFinding(with("[\"secret-1\",\"secret-2\"]", "\"secret-1\""),
                 "error Tenants[0].ApiKeys: got \"string\"; allowed: a list of texts");
    const CheckRun two
        = run(R"({"Version":7,"Routes":[{"Priority":-1}],"Tenants":[{"Weight":"x"},{"Cap":{"Gpu":1.5e30}}]})");
    cr_assert(two.out_.find("Routes[0].Priority") != std::string::npos
              && two.out_.find("Tenants[0].Weight") != std::string::npos
              && two.out_.find("Tenants[1].Cap.Gpu") != std::string::npos);
}

// Guards against entries that look as if they were in force.
Test(config_check, entriesThatNeverMatch)
{
    checkFinding(with("h.example", "H.example"), "never-matches Routes[0].Host: got H.example; ");
    checkFinding(with("h.example", "h.example:80"), "never-matches Routes[0].Host: got h.example:80; ");
    checkFinding(with("/p/", "p/"), "never-matches Routes[0].Prefix: got p/; ");
    checkFinding(with("\"Routes\":[",
                      R"("Routes":[{"Name":"r0","Host":"h.example","Prefix":"/p/","Service":"s","SlackFactor":2},)"),
                 "never-matches Routes[1].Prefix: got /p/; Routes[0] has the same host and prefix");
    checkFinding(with("\"Service\":\"s\"", "\"Service\":\"t\""), "never-matches Routes[0].Service: got t; ");
    checkFinding(with("\"secret-1\",\"secret-2\"", ""), "never-matches Tenants[0].ApiKeys; without a key");
    checkFinding(with("\"Tenants\":[", R"("Tenants":[{"Name":"u","ApiKeys":["secret-2"]},)"),
                 "never-matches Tenants[1].ApiKeys; a key of Tenants[0]");
}

// Guards against limits that cannot have been meant together.
Test(config_check, limitsThatContradictEachOther)
{
    checkFinding(with(R"("Advice":{"DecideMs":390.0,"PerWorkerMs":5.5,"ValidMs":1500},)",
                      R"("SlackFactor":1,)"
                      R"("TargetCompletionMs":0,)"),
                 "contradiction Routes[0].SlackFactor: got 1.0; ");
    checkFinding(
        with("2.2", "1").replace(Good.find("1200"), 4, "395"),
        "contradiction Routes[0].TargetCompletionMs: got 395.0; the policy query of one runner takes 395.5 ms");
    checkFinding(with("\"ValidMs\":1500", "\"ValidMs\":0"), "contradiction Routes[0].Advice.ValidMs: got 0; ");
    checkFinding(with("27", "-1"), "contradiction Tenants[0].Weight: got -1.0; ");
    checkFinding(with("\"secret-1\"", "\"\""), "contradiction Tenants[0].ApiKeys; the empty key");
    checkFinding(with("\"Tenants\":[", R"("Tenants":[{"Name":"t","ApiKeys":["secret-3"]},)"),
                 "contradiction Tenants[1].Name: got t; Tenants[0] has the same name");
}

namespace
{

// The configuration in force, as a file.
struct InForce
{
    explicit InForce(const std::string &text) { std::ofstream(path_) << text; }
    InForce(const InForce &) = delete;
    InForce &operator=(const InForce &) = delete;
    ~InForce() { std::filesystem::remove(path_); }

    std::string path_
        = (std::filesystem::temp_directory_path() / ("config-check-" + std::to_string(getpid()) + ".json")).string();
};

} // namespace

// Guards against changes that an operator does not see before they are in force, and against API keys in the output.
Test(config_check, differencesFromTheConfigurationInForce)
{
    const InForce inForce(Good);
    std::string next = with("\"Version\":7", "\"Version\":8");
    next.replace(next.find("27"), 2, "30");
    next.replace(next.find("secret-1"), 8, "secret-9");
    next.replace(next.find("\"ValidMs\":1500"), 14, "\"ValidMs\":900");
    next.replace(next.find("[{\"Name\":\"s\"}]"), 14, "[{\"Name\":\"s\"},{\"Name\":\"s2\"}]");
    const CheckRun text = run(next, {"--against", inForce.path_.c_str()});
    cr_assert(text.code_ == ExitCode::Done, "differences are no findings");
    for (const std::string line :
         {"changed account t: Weight from 27.0 to 30.0\n", "changed account t: ApiKeys from 1 removed to 1 added\n",
          "changed queue r: Advice.ValidMs from 1500 to 900\n", "added service s2\n"}) {
        cr_assert(text.out_.find(line) != std::string::npos, "%s is not in\n%s", line.c_str(), text.out_.c_str());
    }
    cr_assert_eq(std::count(text.out_.begin(), text.out_.end(), '\n'), 4);
    cr_assert(text.out_.find("secret") == std::string::npos);
    const CheckRun json = run(next, {"--against", inForce.path_.c_str(), "--json"});
    Json parsed;
    cr_assert(parseJson(json.out_, parsed));
    cr_assert(parsed["findings"].empty() && parsed["differences"].size() == 4);
    cr_assert_eq(parsed["differences"][0]["entry"], "account t");
    cr_assert_eq(parsed["differences"][0]["change"], "changed");
    cr_assert(run(Good, {"--against", inForce.path_.c_str()}).out_.empty());
    std::string removed = with("\"Version\":7", "\"Version\":8");
    removed.replace(removed.find("\"Name\":\"t\""), 10, "\"Name\":\"v\"");
    const std::string out = run(removed, {"--against", inForce.path_.c_str()}).out_;
    cr_assert(out.find("added account v\n") != std::string::npos
              && out.find("removed account t\n") != std::string::npos);
}

// Guards against changes that never come into force because daemons ignore a version that is not above theirs.
Test(config_check, theVersionHasToRise)
{
    const InForce inForce(Good);
    const CheckRun result = run(with("27", "30"), {"--against", inForce.path_.c_str()});
    cr_assert(result.code_ == ExitCode::Failed);
    cr_assert(result.out_.find("contradiction Version: got 7; not above the version in force, 7") != std::string::npos);
}

// Guards against findings that scripts cannot tell from a file that is not there.
Test(config_check, unreadableFiles)
{
    cr_assert(run("{").code_ == ExitCode::Usage);
    cr_assert(run("").code_ == ExitCode::Usage);
    cr_assert(run(Good, {"--against", "/nonexistent/file"}).code_ == ExitCode::Usage);
    const InForce inForce("{}");
    cr_assert(run(Good, {"--against", inForce.path_.c_str()}).code_ == ExitCode::Usage);
    const CheckRun array = run("[]");
    cr_assert(array.code_ == ExitCode::Failed, "JSON that is no configuration has findings");
    cr_assert(array.out_.find("error document: got array; allowed: an object") != std::string::npos, "%s",
              array.out_.c_str());
}
