// Tests the validation of bundles: which texts are accepted, the messages for rejected ones, and that no input crashes
// the parser.
#include "core/config/config_internal.h"
#include "core/config/yaml_func.h"

#include <criterion/criterion.h>

#include <random>

using namespace mimosapier;

static const std::string Sample = R"(regions:
  ben-lomond: {partitions: 2}
  mt-field: {}
weights: {waiting: 3, packing: 1, crossing: 0.5}
classes:
  slot-confirmation:
    mode: interactive
    priority: urgent
    idempotent: true
    deadline_ms: 800
    objective_ms: 100
    objective_ratio: 0.99
    may: [throttle, stop]
  season-allocation: {mode: journaled, idempotent: false}
teams:
  school:
    share: 3
    limit: 120
    home_region: ben-lomond
    on_lowered_limit: stop
    keys: ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]
    open_queues: [public]
)";

static std::string problemsOf(const std::string &text)
{
    Bundle bundle;
    std::vector<BundleProblem> problems;
    const std::error_code error = parseBundle(text, bundle, problems);
    cr_assert((errorKind(error) == ErrorKind::BadBundle) == !problems.empty());
    return formatProblems("b.yaml", problems);
}

// Guards against settings that are parsed into the wrong field or ignored.
Test(bundle, allSettingsAreRead)
{
    Bundle bundle;
    std::vector<BundleProblem> problems;
    cr_assert(!parseBundle(Sample, bundle, problems));
    cr_expect_eq(bundle.regions_.size(), 2);
    cr_expect_eq(bundle.regions_[0].partitions_, 2);
    cr_expect_eq(bundle.weights_.crossing_, 0.5);
    const WorkClass *slot = findClass(bundle, ClassId("slot-confirmation"));
    cr_assert(slot != nullptr);
    cr_expect(slot->mode_ == WorkMode::Interactive && slot->priority_ == Priority::Urgent && slot->idempotent_);
    cr_expect(slot->deadline_ == Milliseconds(800) && slot->objective_ == Milliseconds(100));
    cr_expect(slot->mayThrottle_ && !slot->mayCheckpoint_ && slot->mayStop_);
    const WorkClass *season = findClass(bundle, ClassId("season-allocation"));
    cr_expect(season != nullptr && season->mode_ == WorkMode::Journaled && !season->idempotent_);
    const Team *school = findTeam(bundle, TeamId("school"));
    cr_assert(school != nullptr);
    cr_expect(school->share_ == 3 && school->limit_ == 120 && school->limitAction_ == LimitAction::Stop);
    cr_expect(school->homeRegion_ == RegionId("ben-lomond"));
    cr_expect(school->keyHashes_ == std::vector<std::string>{keyHash("secret")});
}

// Guards against error messages without line, key, value or allowed range, and against validation that stops at the
// first problem.
Test(bundle, everyProblemIsNamed)
{
    const auto expect = [](const std::string &from, const std::string &to, const std::string &message) {
        std::string text = Sample;
        text.replace(text.find(from), from.size(), to);
        const std::string problems = problemsOf(text);
        cr_expect(problems.find(message) != std::string::npos, "%s", problems.c_str());
    };
    expect("limit: 120", "limit: -1", "b.yaml: line 18: teams.school.limit: -1: an integer from 0 to 1000000\n");
    expect("limit: 120", "limit: 12x", "line 18: teams.school.limit: 12x");
    expect("    limit: 120\n", "", "teams.school.limit");
    expect("share: 3", "share: 0", "line 17: teams.school.share: 0: a number above 0 to 1000000");
    expect("share: 3", "share: nan", "teams.school.share: nan");
    expect("home_region: ben", "home_region: glen",
           "line 19: teams.school.home_region: glen-lomond: a name under regions");
    expect("mode: interactive", "mode: sometimes", "one of interactive, journaled, service, gang");
    expect("objective_ratio: 0.99", "objective_ratio: 1", "objective_ratio: 1: a number above 0 and below 1");
    expect("partitions: 2", "partitions: 0", "regions.ben-lomond.partitions: 0: an integer from 1 to 64");
    expect("stop]", "pause]", "throttle, checkpoint or stop");
    expect("2bb80d", "2BB80d", "64 lower-case hex digits");
    expect("weights:", "weight:", "line 4: weight: weight: one of the keys regions, weights, classes, teams");
    expect("mt-field:", "ben-lomond:", "regions.ben-lomond: ben-lomond: each name once");
    expect("mt-field:", "mt/field:", "a name of 1 to 64 characters");
    expect("priority: urgent", "mode: gang", "mode: mode: each key once");
    std::string two = Sample;
    two.replace(two.find("limit: 120"), 10, "limit: -1");
    two.replace(two.find("share: 3"), 8, "share: x");
    const std::string problems = problemsOf(two);
    cr_expect(problems.find("limit") != std::string::npos && problems.find("share") != std::string::npos);
    cr_expect(problemsOf("a: [1").find("YAML") != std::string::npos);
    cr_expect(!problemsOf("").empty());
}

// Guards against short texts that exhaust memory or stack: aliases of aliases grow exponentially, and lists can nest
// without limit.
Test(bundle, expansionIsBounded)
{
    std::string aliases = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int i = 1; i < 9; ++i) {
        const std::string last = "*a" + std::to_string(i - 1);
        aliases += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [" + last;
        for (int j = 0; j < 9; ++j) {
            aliases += ", " + last;
        }
        aliases += "]\n";
    }
    cr_expect(problemsOf(aliases).find("expands too far") != std::string::npos);
    cr_expect(!problemsOf(std::string(10'000, '[')).empty());
    cr_expect(!problemsOf(std::string(1'000'000, 'a')).empty());
}

// Guards against crashes of the parser on damaged bundles. The seed is fixed, so every run has the same inputs.
Test(bundle, damagedTextsNeverCrash)
{
    std::mt19937_64 random(11);
    int accepted = 0;
    constexpr std::string_view Letters = ":{}[]\n -&*!|>'\"%@`#,?0a\t\x01\xff";
    for (int round = 0; round < 10'000; ++round) {
        std::string text = Sample;
        const std::size_t changes = 1 + random() % 5;
        for (std::size_t i = 0; i < changes; ++i) {
            const std::size_t at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[at] = Letters[random() % Letters.size()];
                break;
            case 1:
                text.erase(at, random() % 20);
                break;
            default:
                text.insert(at, text.substr(random() % text.size(), random() % 30));
                break;
            }
        }
        accepted += problemsOf(text).empty() ? 1 : 0;
    }
    cr_expect_gt(accepted, 0);
    cr_expect_lt(accepted, 10'000);
}

// Guards against a diff that omits changed lines or includes unchanged ones.
Test(bundle, lineDiffShowsChangedLines)
{
    cr_expect_str_eq(lineDiff("a\nb\nc\n", "a\nx\nc\nd\n").c_str(), "-b\n+x\n+d\n");
    cr_expect_str_eq(lineDiff(Sample, Sample).c_str(), "");
    cr_expect_str_eq(lineDiff("", "a\n").c_str(), "+a\n");
}
