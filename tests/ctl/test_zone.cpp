// Tests of `mimosapierctl zone` against a small store that speaks the platform's wire format.
#include "ctl/ctl_internal.h"
#include "daemon/base64_func.h"

#include <criterion/criterion.h>

#include <map>
#include <sstream>

using namespace mimosapier;

namespace
{

struct ZoneRun
{
    std::map<std::string, std::string> keys_{{"op/config", "{}"}}; // content of the store
    std::uint64_t revision_ = 40;
    HttpResult failure_; // answer while fails_ is set
    bool fails_ = false;
    std::size_t pageItems_ = 500;
    std::vector<std::string> writes_; // bodies of the transactions
    std::istringstream in_;
    std::ostringstream out_;
    std::ostringstream err_;

    HttpResult answer(const HttpRequest &request)
    {
        const HttpTarget target = splitTarget(request.target_);
        Json body = Json::object();
        unsigned status = 200;
        if (target.path_ == "/kv-txn") {
            writes_.push_back(request.body_);
            Json transaction;
            cr_assert(parseJson(request.body_, transaction));
            for (const Json &row : transaction["Writes"]) {
                std::string value;
                cr_assert(decodeBase64(row["Value"].get<std::string>(), value));
                keys_[row["Key"].get<std::string>()] = value;
            }
            for (const Json &key : transaction["Remove"]) {
                keys_.erase(key.get<std::string>());
            }
            body["Revision"] = ++revision_;
        } else if (target.path_ == "/kv-key") {
            status = keys_.contains(std::string(queryValue(target, "Key"))) ? 200 : 404;
            body = {{"Key", queryValue(target, "Key")}, {"Value", "e30="}, {"Revision", revision_}};
        } else {
            cr_assert_eq(target.path_, "/kv-range");
            Json items = Json::array();
            body["HasMore"] = false;
            for (const auto &[key, value] : keys_) {
                if (!key.starts_with(queryValue(target, "Prefix")) || key <= queryValue(target, "After")) {
                    continue;
                }
                if (items.size() == pageItems_) {
                    body["HasMore"] = true;
                    break;
                }
                items.push_back({{"Key", key}, {"Value", encodeBase64(value)}, {"Revision", revision_}});
            }
            body["items"] = items;
        }
        body["AtRev"] = revision_;
        return {HttpDelivery::Answered, status, dumpJson(body), {}};
    }

    ExitCode execute(std::vector<const char *> arguments)
    {
        arguments.insert(arguments.begin(), "mimosapierctl");
        out_.str("");
        const RequestSender sender = [this](const std::string &address, const HttpRequest &request) {
            cr_assert_eq(address, "s:1");
            return fails_ ? failure_ : answer(request);
        };
        const CommandIo io{sender, in_, out_, err_, [] { return std::string(); }};
        return runCtl(static_cast<int>(arguments.size()), arguments.data(), io);
    }
};

} // namespace

// Guards against an evacuation under another key than the daemons watch, and one that cannot be ended or seen.
Test(zone, verbsWriteRemoveAndReadTheOperatorsKeys)
{
    ZoneRun run;
    cr_assert(run.execute({"zone", "evacuate", "north-1", "--store", "s:1"}) == ExitCode::Done, "%s",
              run.err_.str().c_str());
    cr_assert_eq(run.keys_.at("op/evacuate/north-1"), "{}");
    cr_assert_eq(run.out_.str(), "north-1 evacuated, revision 41\n");
    cr_assert(run.execute({"zone", "evacuate", "south", "--store", "s:1"}) == ExitCode::Done);
    cr_assert(run.execute({"zone", "list", "--store", "s:1"}) == ExitCode::Done);
    cr_assert_eq(run.out_.str(), "north-1\nsouth\n");
    run.pageItems_ = 1;
    cr_assert(run.execute({"--json", "zone", "list", "--store", "s:1"}) == ExitCode::Done);
    cr_assert_eq(run.out_.str(), "{\"revision\":42,\"zones\":[\"north-1\",\"south\"]}\n");
    cr_assert(run.execute({"zone", "restore", "north-1", "--store", "s:1"}) == ExitCode::Done);
    cr_assert_eq(run.out_.str(), "north-1 restored, revision 43\n");
    cr_assert(!run.keys_.contains("op/evacuate/north-1"));
    cr_assert(run.keys_.contains("op/evacuate/south") && run.keys_.contains("op/config"));
}

// Guards against a zone that stays evacuated because the name of another one was given for it.
Test(zone, restoringAZoneThatIsNotEvacuatedIsRefused)
{
    ZoneRun run;
    cr_assert(run.execute({"zone", "restore", "nroth", "--store", "s:1"}) == ExitCode::Refused);
    cr_assert(run.writes_.empty());
    cr_assert(run.err_.str().find("nroth is not evacuated") != std::string::npos);
}

// Guards against exit codes that tell a script that an evacuation is in force, or that it is not, when that is unknown.
Test(zone, exitCodesFollowTheStoresAnswer)
{
    const auto code = [](HttpResult result, const char *verb) {
        ZoneRun run;
        run.keys_["op/evacuate/z"] = "{}";
        run.fails_ = true;
        run.failure_ = std::move(result);
        return std::string_view(verb) == "list" ? run.execute({"zone", verb, "--store", "s:1"})
                                                : run.execute({"zone", verb, "z", "--store", "s:1"});
    };
    for (const char *verb : {"evacuate", "restore", "list"}) {
        cr_expect(code({HttpDelivery::NotSent, 0, "", {}}, verb) == ExitCode::Unreachable);
        cr_expect(code({HttpDelivery::MaybeSent, 0, "", {}}, verb) == ExitCode::Unknown);
        cr_expect(code({HttpDelivery::Answered, 503, "{}", {}}, verb) == ExitCode::Refused);
        cr_expect(code({HttpDelivery::Answered, 403, "{}", {}}, verb) == ExitCode::Refused);
        cr_expect(code({HttpDelivery::Answered, 404, "{}", {}}, verb) == ExitCode::Refused);
        cr_expect(code({HttpDelivery::Answered, 500, "{}", {}}, verb) == ExitCode::Unknown);
        cr_expect(code({HttpDelivery::Answered, 200, "odd", {}}, verb) == ExitCode::Unknown);
    }
}

// Guards against keys of zones that do not exist because a name is empty or has odd characters.
Test(zone, oddNamesAreWrongUsage)
{
    for (const char *name : {"", "a b", "a/b", "a\n", "\xff"}) {
        ZoneRun run;
        cr_expect(run.execute({"zone", "evacuate", name, "--store", "s:1"}) == ExitCode::Usage, "\"%s\"", name);
        cr_expect(run.writes_.empty());
    }
    ZoneRun run;
    cr_expect(run.execute({"zone", "evacuate", "z"}) == ExitCode::Usage, "without a store");
    cr_expect(run.execute({"zone", "--store", "s:1"}) == ExitCode::Usage, "without a verb");
}
