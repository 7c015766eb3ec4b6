// Command line of mimosapierctl, parsed with CLI11.
#include "ctl/ctl_internal.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cctype>
#include <fstream>

namespace mimosapier
{

static constexpr const char *Footer = R"(Exit codes:
  0 done, accepted, or shown         1 the work failed or was cancelled
  2 wrong usage                      3 refused; nothing was run or changed
  4 unknown; may have taken effect   5 no daemon, or not every daemon, was reached
  6 another bundle was signed off first
  7 accepted, not finished yet

Examples:
  mimosapierctl submit --team school --class slot-confirmation --payload "run_ms=20"
  mimosapierctl wait 4711 --team school --wait-ms 60000
  mimosapierctl --as ann bundle draft bundle.yaml
  mimosapierctl --as ben bundle sign 8-0f3c5a2277e01b9d
  mimosapierctl --as ann key withdraw school --hash 2bb80d53...
  mimosapierctl trace --log d1.log --log d2.log 5d7b9b719d1eae97
  mimosapierctl zone evacuate north-1 --store 10.0.0.9:2379
  mimosapierctl --address 10.0.0.1:8080 --address 10.0.0.2:8080 report --html report.html)";

using CommandFunction = std::function<ExitCode(const Options &, const CommandIo &)>;

namespace
{

struct Parser
{
    CLI::App app_{"mimosapierctl, command line of the mimosapier scheduler"};
    Options options_;
    CommandFunction command_;
};

} // namespace

static CLI::App *addCommand(Parser &parser, CLI::App &parent, const std::string &name, const std::string &text,
                            CommandFunction function)
{
    CLI::App *command = parent.add_subcommand(name, text);
    command->callback([&parser, function = std::move(function)] { parser.command_ = function; });
    return command;
}

static void addTeamOption(Parser &parser, CLI::App *command)
{
    command->add_option("--team", parser.options_.job_.team_, "Team")->required()->envname("MIMOSAPIER_TEAM");
}

static void addJobCommands(Parser &parser)
{
    JobOptions &job = parser.options_.job_;
    CLI::App *submit = addCommand(parser, parser.app_, "submit", "Submits a job", submitCmd);
    addTeamOption(parser, submit);
    submit->add_option("--class", job.class_, "Class of work")->required();
    submit->add_option("--id", job.requestId_, "Request id; default: random. Repeats use the same id");
    submit->add_option("--attempt", job.attempt_, "Number of the attempt, from 1; higher for each repeat")
        ->check(CLI::PositiveNumber);
    submit->add_option("--region", job.region_, "Region of first contact, for repeats");
    submit->add_option("--queue", job.queue_, "Open queue, instead of a key");
    submit->add_option("--tasks", job.tasks_, "Number of tasks")->check(CLI::PositiveNumber);
    submit->add_option("--milli-cpus", job.milliCpus_, "Thousandths of a processor per task");
    submit->add_option("--memory-mb", job.memoryMb_, "Memory per task, in MB");
    submit->add_option("--accelerators", job.accelerators_, "Accelerators per task");
    submit->add_option("--run-ms", job.runMs_, "Estimated run time of a task, in ms");
    submit->add_option("--deadline-ms", job.deadlineMs_, "Deadline, in ms; default: that of the class");
    submit->add_option("--payload", job.payload_, "Payload for the worker");
    submit->add_flag("--once", job.atMostOnce_, "Each task starts at most once");
    submit->add_flag("--wait", job.waitForOutcome_, "Waits for the outcome of an accepted job");
    submit->add_option("--wait-ms", job.waitMs_, "Longest wait of --wait, in ms")->default_val(60'000);
    const auto addJobCommand = [&](const std::string &name, const std::string &text, CommandFunction function) {
        CLI::App *command = addCommand(parser, parser.app_, name, text, std::move(function));
        addTeamOption(parser, command);
        command->add_option("id", job.requestId_, "Request id")->required();
        return command;
    };
    addJobCommand("explain", "Explains why a job waits, why it runs where it does, or why it was refused", explainCmd);
    addJobCommand("wait", "Waits for the outcome of a job", waitCmd)
        ->add_option("--wait-ms", job.waitMs_, "Longest wait, in ms")
        ->default_val(60'000);
    CLI::App *cancel = addCommand(parser, parser.app_, "cancel", "Cancels jobs", cancelCmd);
    addTeamOption(parser, cancel);
    cancel->add_option("ids", job.requestIds_, "Request ids")->required();
}

static void addBundleCommands(Parser &parser)
{
    BundleOptions &bundle = parser.options_.bundle_;
    CLI::App &group = *parser.app_.add_subcommand("bundle", "The configuration bundle")->require_subcommand(1);
    addCommand(parser, group, "draft", "Checks a bundle and stores it as a draft", draftCmd)
        ->add_option("file", bundle.file_, "YAML; - for standard input")
        ->required();
    CLI::App *sign = addCommand(parser, group, "sign", "Signs off a draft of another operator", signCmd);
    sign->add_option("draft", bundle.draftId_, "Id of the draft")->required();
    sign->add_option("--base", bundle.baseVersion_,
                     "Version that the draft replaces; default: the one it was made from");
    addCommand(parser, group, "show", "Shows the bundle in force", showCmd);
    CLI::App *diff = addCommand(parser, group, "diff", "Compares the bundle in force with a draft or file", diffCmd);
    diff->add_option("draft", bundle.draftId_, "Id of the draft");
    diff->add_option("--file", bundle.file_, "YAML; - for standard input");
    addCommand(parser, group, "drafts", "Lists the drafts", draftsCmd);
    addCommand(parser, group, "status", "Shows the version of each daemon", bundleStatusCmd);
}

static CLI::App *addEditCommand(Parser &parser, CLI::App &group, const std::string &name, const std::string &text,
                                BundleEdit edit)
{
    CLI::App *command = addCommand(parser, group, name, text, [edit](const Options &options, const CommandIo &io) {
        return editCmd(edit, options, io);
    });
    if (edit != BundleEdit::SetPolicy) {
        command->add_option("team", parser.options_.bundle_.team_, "Team")->required();
    }
    return command;
}

static void addEditCommands(Parser &parser)
{
    BundleOptions &bundle = parser.options_.bundle_;
    CLI::App &team = *parser.app_.add_subcommand("team", "Drafts a change of teams")->require_subcommand(1);
    CLI::App *add = addEditCommand(parser, team, "add", "Adds a team", BundleEdit::AddTeam);
    add->add_option("--share", bundle.value_, "Weight when the fleet is full")->default_val(1);
    add->add_option("--limit", bundle.limit_, "Highest number of running tasks")->required();
    add->add_option("--home-region", bundle.homeRegion_, "Region of its journaled jobs")->required();
    addEditCommand(parser, team, "remove", "Removes a team", BundleEdit::RemoveTeam);
    CLI::App &key = *parser.app_.add_subcommand("key", "Drafts a change of keys")->require_subcommand(1);
    for (const bool grant : {true, false}) {
        CLI::App *command = grant
            ? addEditCommand(parser, key, "grant", "Grants a key; default: a new one", BundleEdit::GrantKey)
            : addEditCommand(parser, key, "withdraw", "Withdraws a key", BundleEdit::WithdrawKey);
        command->add_option("--hash", bundle.hash_, "SHA-256 of the key, in hex");
        command->add_flag("--key-from-input", bundle.keyFromStdin_, "Reads the key from standard input");
    }
    addEditCommand(parser, parser.app_, "share", "Drafts a change of a team's share", BundleEdit::SetShare)
        ->add_option("share", bundle.value_, "Weight when the fleet is full")
        ->required();
    addEditCommand(parser, parser.app_, "limit", "Drafts a change of a team's limit", BundleEdit::SetLimit)
        ->add_option("limit", bundle.limit_, "Highest number of running tasks")
        ->required();
    CLI::App *policy
        = addEditCommand(parser, parser.app_, "policy", "Drafts a change of a weight", BundleEdit::SetPolicy);
    policy->add_option("weight", bundle.weightName_, "waiting, packing or crossing")
        ->required()
        ->check(CLI::IsMember({"waiting", "packing", "crossing"}));
    policy->add_option("value", bundle.value_, "Value of the weight, 0 or more")->required();
}

// Checks the name of a zone. Result: what is wrong with it; empty: nothing.
static std::string checkZone(const std::string &name)
{
    static constexpr std::string_view Punctuation = "-._:";
    const bool valid = !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return (c < 0x80 && std::isalnum(c) != 0) || Punctuation.find(static_cast<char>(c)) != std::string_view::npos;
    });
    return valid ? "" : "A zone's name has letters, digits and -._: only";
}

static void addZoneCommands(Parser &parser)
{
    ZoneOptions &zone = parser.options_.zone_;
    CLI::App &group
        = *parser.app_.add_subcommand("zone", "Evacuates availability zones of a cell; needs the store's address only")
               ->require_subcommand(1);
    CLI::App *evacuate = addCommand(parser, group, "evacuate", "Lets no task start in a zone", evacuateZoneCmd);
    CLI::App *restore = addCommand(parser, group, "restore", "Ends the evacuation of a zone", restoreZoneCmd);
    CLI::App *list = addCommand(parser, group, "list", "Lists the evacuated zones", listZonesCmd);
    for (CLI::App *command : {evacuate, restore, list}) {
        command->add_option("--store", zone.store_, "\"ip:port\" of the store")->required();
        if (command != list) {
            command->add_option("zone", zone.name_, "Zone, as the runners' entries name it")
                ->required()
                ->check(checkZone);
        }
    }
}

static void addOptions(Parser &parser)
{
    Options &options = parser.options_;
    parser.app_.footer(Footer);
    parser.app_.require_subcommand(1);
    parser.app_.fallthrough();
    parser.app_
        .add_option("--address", options.addresses_,
                    "\"ip:port\" of an entry instance; can be repeated: tried in order, and all of them for a report")
        ->envname("MIMOSAPIER_ADDRESS")
        ->delimiter(',')
        ->allow_extra_args(false);
    parser.app_.add_option("--key-file", options.keyFile_, "File with the team's key");
    parser.app_.add_option("--as", options.bundle_.operator_, "Name of the operator")->envname("MIMOSAPIER_OPERATOR");
    parser.app_.add_flag("--json", options.printsJson_, "Prints JSON");
    addJobCommands(parser);
    addBundleCommands(parser);
    addEditCommands(parser);
    addZoneCommands(parser);
    CLI::App *status = addCommand(parser, parser.app_, "status",
                                  "Shows the state of a job; without id: members and shards as a daemon knows them",
                                  [](const Options &commandOptions, const CommandIo &io) {
                                      return commandOptions.job_.requestId_.empty()
                                          ? clusterStatusCmd(commandOptions, io)
                                          : statusCmd(commandOptions, io);
                                  });
    CLI::Option *team = status->add_option("--team", options.job_.team_, "Team of the job")->envname("MIMOSAPIER_TEAM");
    status->add_option("id", options.job_.requestId_, "Request id")->needs(team);
    CLI::App *trace = addCommand(parser, parser.app_, "trace",
                                 "Shows from logs of daemons what became of jobs; needs no address", traceCmd);
    trace->add_option("--log", options.trace_.files_, "Structured log; - for standard input; can be repeated")
        ->allow_extra_args(false)
        ->required();
    trace->add_option("id", options.trace_.job_, "Job: 16 hexadecimal digits; default: all jobs, counted by cause");
    CLI::App &config = *parser.app_.add_subcommand("config", "The configuration of a cell")->require_subcommand(1);
    CLI::App *check = addCommand(parser, config, "check",
                                 "Checks a configuration; needs no address. Exit code 1: it has findings, 2: it cannot "
                                 "be read",
                                 configCheckCmd);
    check->add_option("file", options.config_.file_, "JSON; - for standard input")->required();
    check->add_option("--against", options.config_.against_, "The configuration in force; shows the differences");
    addCommand(parser, parser.app_, "instances", "Lists the workers", instancesCmd);
    addCommand(parser, parser.app_, "report", "Shows service levels and burn rates of error budgets", reportCmd)
        ->add_option("--html", options.htmlFile_, "Also writes an HTML page to this file");
}

// Reads the team's key from a file or the environment, because other users of the machine can see command lines.
static bool readKey(Options &options, const CommandIo &io)
{
    if (options.keyFile_.empty()) {
        const char *key = std::getenv("MIMOSAPIER_KEY");
        options.key_ = key == nullptr ? "" : key;
        return true;
    }
    std::ifstream file(options.keyFile_);
    if (!std::getline(file, options.key_)) {
        io.err_ << "The key file " << options.keyFile_ << " cannot be read.\n";
        return false;
    }
    return true;
}

ExitCode runCtl(int argc, const char *const *argv, const CommandIo &io)
{
    Parser parser;
    addOptions(parser);
    try {
        parser.app_.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return parser.app_.exit(error, io.out_, io.err_) == 0 ? ExitCode::Done : ExitCode::Usage;
    }
    const Options &options = parser.options_;
    const bool needsNoDaemon
        = !options.trace_.files_.empty() || !options.config_.file_.empty() || !options.zone_.store_.empty();
    if (options.addresses_.empty() && !needsNoDaemon) {
        io.err_ << "--address is required\nRun with --help for more information.\n";
        return ExitCode::Usage;
    }
    if (!readKey(parser.options_, io)) {
        return ExitCode::Usage;
    }
    return parser.command_(parser.options_, io);
}

} // namespace mimosapier
