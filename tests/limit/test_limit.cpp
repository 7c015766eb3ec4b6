// Tests of allowances: under any combination of conflicts, lost answers, outages, lowered limits and changes of
// holders, a team never gets more than its limit.
#include "core/limit/limit_internal.h"
#include "support/fake_store.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <functional>
#include <memory>

using namespace mimosapier;
using namespace mimosapier::test;

static const RegionId Hobart("hobart");

namespace
{

using Rows = std::map<TeamId, std::vector<AllowancePart>>;

struct Daemon
{
    DaemonId id_;
    Actions actions_;
    Handle<AllowanceState> state_ = makeAllowances();
    Bundle bundle_; // as this daemon knows it
    std::vector<ShardId> groups_; // groups that this daemon believes it holds
};

using Limits = std::map<TeamId, std::uint64_t>;

// Simulates several daemons with allowances and one store whose answers may be late, lost or refused.
struct Fleet
{
    TimePoint now_{std::chrono::hours(1)};
    std::mt19937_64 random_;
    FakeStore store_;
    Directory directory_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::map<ShardId, std::size_t> actualHolder_; // a former holder may still believe it holds the group
    std::map<std::pair<ShardId, TeamId>, std::uint32_t> running_;
    std::map<std::pair<ShardId, TeamId>, std::uint32_t> wanted_;
    std::multimap<TimePoint, std::function<void()>> events_;
    unsigned lostPercent_ = 0; // of operations, without effect
    unsigned lostAnswerPercent_ = 0; // of operations that take effect
    unsigned lateEffectPercent_ = 0; // of operations; they take effect after the loss was reported
    bool storeDown_ = false;
    bool bundlesDiffer_ = false; // daemons learn of a lowered limit at different times
    std::string violation_;

    explicit Fleet(std::uint64_t seed)
        : random_(seed)
    {
    }

    void addDaemon()
    {
        auto daemon = std::make_unique<Daemon>();
        daemon->id_ = DaemonId("d" + std::to_string(daemons_.size()));
        daemon->actions_.lastId_ = (daemons_.size() + 1) * 1'000'000;
        daemons_.push_back(std::move(daemon));
    }

    void setLimit(Daemon &daemon, const std::string &team, std::uint32_t limit)
    {
        Team &entry = daemon.bundle_.teams_[TeamId(team)];
        entry.id_ = TeamId(team);
        entry.limit_ = limit;
        daemon.bundle_.version_ = BundleVersion{daemon.bundle_.version_.value_ + 1};
    }

    void call(Daemon &daemon, const std::function<void(Context &)> &function)
    {
        Context context{now_, daemon.id_, Hobart, daemon.bundle_, directory_, daemon.actions_, random_};
        function(context);
        std::vector<Action> actions = std::move(daemon.actions_.pending_);
        daemon.actions_.pending_.clear();
        for (const Action &action : actions) {
            if (const auto *request = std::get_if<StoreRequest>(&action)) {
                send(daemon, *request);
            } else if (const auto *message = std::get_if<PeerSend>(&action)) {
                sendPeerMessage(*message);
            }
        }
    }

    // Delivers a request for allowance with a delay. Messages are lost at the same rate as store operations.
    void sendPeerMessage(const PeerSend &send)
    {
        const auto *wanted = std::get_if<AllowanceWanted>(&send.message_);
        if (wanted == nullptr || random_() % 100 < lostPercent_) {
            return;
        }
        for (auto &daemon : daemons_) {
            if (daemon->id_ == send.to_) {
                events_.emplace(now_ + delay(20), [this, &daemon, message = *wanted] {
                    call(*daemon, [&](Context &context) { onAllowanceWanted(*daemon->state_, message, context); });
                });
            }
        }
    }

    static Limits limitsOf(const Daemon &daemon)
    {
        Limits limits;
        for (const auto &[id, team] : daemon.bundle_.teams_) {
            limits[id] = team.limit_;
        }
        return limits;
    }

    Milliseconds delay(std::uint64_t most) { return Milliseconds(1 + static_cast<std::int64_t>(random_() % most)); }

    // Applies an operation, and checks that a write raises no sum above the limit. `limits` are those that the daemon
    // knew when it sent the operation, which may arrive late.
    StoreResult apply(const Limits &limits, const StoreRequest &request)
    {
        const auto *cas = std::get_if<StoreCas>(&request.op_);
        const Rows before = cas == nullptr ? Rows{} : rows(cas->key_);
        StoreResult result = store_.answer(request, now_);
        if (cas != nullptr && result.status_ == StoreStatus::Ok) {
            for (const auto &[team, parts] : rows(cas->key_)) {
                const auto old = before.find(team);
                const std::uint64_t oldSum = old == before.end() ? 0 : sumOfParts(old->second);
                if (sumOfParts(parts) > std::max<std::uint64_t>(oldSum, limits.at(team))) {
                    violation_ = "a write raised the sum above the limit";
                }
            }
        }
        return result;
    }

    void send(Daemon &daemon, const StoreRequest &request)
    {
        const StoreResult failed{request.id_, request.component_, {}, StoreStatus::Unknown, {}, {}, {}};
        const auto answer = [this, &daemon](Duration wait, StoreResult result) {
            events_.emplace(now_ + wait, [this, &daemon, result = std::move(result)] {
                call(daemon, [&](Context &context) { onLimitStoreResult(*daemon.state_, result, context); });
            });
        };
        const Limits limits = limitsOf(daemon);
        const unsigned roll = random_() % 100;
        if (storeDown_) {
            StoreResult refused = failed;
            refused.status_ = StoreStatus::Unavailable;
            answer(delay(5), refused);
        } else if (roll < lostPercent_) {
            answer(delay(300), failed);
        } else if (roll < lostPercent_ + lateEffectPercent_) {
            answer(delay(300), failed);
            events_.emplace(now_ + delay(2000), [this, limits, request] { apply(limits, request); });
        } else {
            events_.emplace(now_ + delay(10), [this, limits, request, failed, answer, roll] {
                const StoreResult result = apply(limits, request);
                const bool answered = roll >= lostPercent_ + lateEffectPercent_ + lostAnswerPercent_;
                answer(delay(answered ? 10 : 300), answered ? result : failed);
            });
        }
    }

    Rows rows(const std::string &key) const
    {
        Rows result;
        const auto found = store_.keys_.find(key);
        if (found != store_.keys_.end()) {
            decodeAllowances(found->second.value_, result);
        }
        return result;
    }

    std::uint32_t stored(const ShardId &group, const TeamId &team) const
    {
        const Rows all = rows("allowance/" + std::to_string(allowanceKeyIndex(team)));
        const auto row = all.find(team);
        for (const auto &part : row == all.end() ? std::vector<AllowancePart>{} : row->second) {
            if (part.group_ == group) {
                return part.amount_;
            }
        }
        return 0;
    }

    void gain(const ShardId &group, std::size_t daemon)
    {
        actualHolder_[group] = daemon;
        for (ShardEntry &entry : directory_.groups_) {
            if (entry.shard_ == group) {
                ++entry.epoch_.value_;
                entry.holder_ = daemons_[daemon]->id_;
            }
        }
        if (std::find(daemons_[daemon]->groups_.begin(), daemons_[daemon]->groups_.end(), group)
            == daemons_[daemon]->groups_.end()) {
            daemons_[daemon]->groups_.push_back(group);
        }
        call(*daemons_[daemon],
             [&](Context &context) { openGroupAllowances(*daemons_[daemon]->state_, group, context); });
    }

    void lose(const ShardId &group, std::size_t daemon)
    {
        if (actualHolder_.at(group) != daemon) {
            std::erase(daemons_[daemon]->groups_, group);
            closeGroupAllowances(*daemons_[daemon]->state_, group);
        }
    }

    std::uint32_t usable(const ShardId &group, const TeamId &team) const
    {
        return usableAllowance(*daemons_[actualHolder_.at(group)]->state_, group, team);
    }

    std::uint64_t sumRunning(const TeamId &team) const
    {
        std::uint64_t sum = 0;
        for (const auto &[group, daemon] : actualHolder_) {
            const auto found = running_.find({group, team});
            sum += found == running_.end() ? 0 : found->second;
        }
        return sum;
    }

    std::uint32_t highestLimit(const TeamId &team) const
    {
        std::uint32_t highest = 0;
        for (const auto &daemon : daemons_) {
            highest = std::max(highest, teamLimit(daemon->bundle_, team));
        }
        return highest;
    }

    void check(const TeamId &team)
    {
        std::uint64_t sum = 0;
        for (const auto &[group, daemon] : actualHolder_) {
            const std::uint32_t amount = usable(group, team);
            sum += amount;
            if (amount > stored(group, team)) {
                violation_ = "a holder uses more than the store shows";
            }
        }
        const std::uint64_t before = lastSum_[team];
        if (!bundlesDiffer_ && sum > before && sum > highestLimit(team)) {
            violation_ = "usable amounts rose above the limit";
        }
        lastSum_[team] = sum;
    }

    // Advances the time by 10 ms: deliveries, ticks, and starts and ends of tasks.
    void step(std::span<const TeamId> teams)
    {
        now_ += Milliseconds(10);
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
            for (const TeamId &team : teams) {
                check(team);
            }
        }
        for (auto &daemon : daemons_) {
            call(*daemon, [&](Context &context) { tickAllowances(*daemon->state_, context); });
            for (const ShardId &group : daemon->groups_) {
                for (const TeamId &team : teams) {
                    simulateTasks(*daemon, group, team);
                }
            }
        }
        for (const TeamId &team : teams) {
            check(team);
        }
    }

    void simulateTasks(Daemon &daemon, const ShardId &group, const TeamId &team)
    {
        std::uint32_t &running = running_[{group, team}];
        const std::uint32_t wanted = wanted_[{group, team}];
        const bool isHolder = daemons_[actualHolder_.at(group)].get() == &daemon;
        // A former holder that does not know of the new holder keeps reporting, but workers refuse its starts.
        const auto report = [&] {
            call(daemon, [&](Context &context) {
                reportDemand(*daemon.state_, group, team, isHolder ? running : 0,
                             isHolder ? std::max(running, wanted) : 0, context);
            });
        };
        if (isHolder && running > 0 && random_() % 8 == 0) {
            --running;
            report();
        }
        if (isHolder && running < wanted && running < usableAllowance(*daemon.state_, group, team)) {
            ++running;
            // While daemons have different bundles, a start may be based on the older one.
            if (!bundlesDiffer_ && sumRunning(team) > highestLimit(team)) {
                violation_ = "a start above the limit";
            }
        }
        report();
    }

    std::map<TeamId, std::uint64_t> lastSum_;
};

} // namespace

static const TeamId School("school");
static const TeamId Export("export");

static Fleet makeFleet(std::uint64_t seed, std::size_t daemons, std::uint32_t limit)
{
    Fleet fleet(seed);
    for (std::size_t i = 0; i < daemons; ++i) {
        fleet.addDaemon();
        fleet.setLimit(*fleet.daemons_[i], "school", limit);
        fleet.setLimit(*fleet.daemons_[i], "export", limit * 2);
        fleet.directory_.groups_.push_back(
            {ShardId("g/hobart/rack-" + std::to_string(i)), Hobart, fleet.daemons_[i]->id_, Epoch{0}, true, {}});
    }
    for (std::size_t i = 0; i < daemons; ++i) {
        fleet.gain(ShardId("g/hobart/rack-" + std::to_string(i)), i);
    }
    return fleet;
}

static void runSteps(Fleet &fleet, int steps)
{
    const std::array<TeamId, 2> teams{School, Export};
    for (int i = 0; i < steps; ++i) {
        fleet.step(teams);
    }
}

static ShardId rack(std::size_t index)
{
    return ShardId("g/hobart/rack-" + std::to_string(index));
}

// Guards against a limit that is exceeded or not fully used when all groups want more.
Test(limit, groupsShareTheLimit)
{
    Fleet fleet = makeFleet(1, 3, 10);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.wanted_[{rack(i), School}] = 8;
    }
    runSteps(fleet, 300);
    cr_assert_eq(fleet.usable(rack(0), School) + fleet.usable(rack(1), School) + fleet.usable(rack(2), School), 10U);
    cr_assert(fleet.violation_.empty(), "%s", fleet.violation_.c_str());
}

// Guards against an allowance that stays with an idle group, and against store writes under a steady demand.
Test(limit, idleAllowanceIsGivenBackWithFewWrites)
{
    Fleet fleet = makeFleet(2, 2, 10);
    fleet.wanted_[{rack(0), School}] = 10;
    runSteps(fleet, 100);
    cr_assert_eq(fleet.usable(rack(0), School), 10U);
    fleet.wanted_[{rack(0), School}] = 0;
    fleet.wanted_[{rack(1), School}] = 10;
    runSteps(fleet, 1500);
    cr_assert_eq(fleet.usable(rack(0), School), 0U);
    cr_assert_eq(fleet.usable(rack(1), School), 10U);
    const std::uint64_t writes = fleet.store_.writes_;
    runSteps(fleet, 3000);
    cr_assert_leq(fleet.store_.writes_ - writes, 10U, "writes under a steady demand");
}

// Guards against starts while a lowered limit is exceeded, and against holders that do not lower their part.
Test(limit, loweredLimitIsReached)
{
    Fleet fleet = makeFleet(3, 3, 30);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.wanted_[{rack(i), School}] = 10;
    }
    runSteps(fleet, 300);
    cr_assert_eq(fleet.sumRunning(School), 30U);
    for (auto &daemon : fleet.daemons_) {
        fleet.setLimit(*daemon, "school", 7);
    }
    runSteps(fleet, 5); // the rows are read again first
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        sum += fleet.usable(rack(i), School);
    }
    cr_assert_leq(sum, 7U, "usable amounts exceed the lowered limit: %u", sum);
    runSteps(fleet, 1500);
    cr_assert_leq(fleet.sumRunning(School), 7U);
    cr_assert_geq(fleet.sumRunning(School), 4U);
    cr_assert(fleet.violation_.empty(), "%s", fleet.violation_.c_str());
}

// Guards against a former holder that returns allowance which the new holder uses.
Test(limit, formerHolderCannotLowerTheNewHoldersPart)
{
    Fleet fleet = makeFleet(4, 3, 10);
    fleet.wanted_[{rack(0), School}] = 10;
    runSteps(fleet, 100);
    fleet.gain(rack(0), 1); // daemon 0 does not know of the new holder
    fleet.wanted_[{rack(2), School}] = 10;
    runSteps(fleet, 1500);
    cr_assert_eq(fleet.usable(rack(0), School), 10U);
    cr_assert_eq(fleet.usable(rack(2), School), 0U);
    cr_assert(fleet.violation_.empty(), "%s", fleet.violation_.c_str());
}

// Guards against allowances that are reserved before a bundle, and thus a limit, is known.
Test(limit, nothingIsReservedWithoutABundle)
{
    Fleet fleet = makeFleet(5, 1, 10);
    fleet.daemons_[0]->bundle_.version_ = {};
    fleet.wanted_[{rack(0), School}] = 5;
    runSteps(fleet, 200);
    cr_assert_eq(fleet.usable(rack(0), School), 0U);
    cr_assert_eq(fleet.store_.writes_, 0U);
}

// Guards against a limit that stays partly unusable because a group that no longer exists keeps its part.
Test(limit, partOfAMissingGroupIsRemoved)
{
    Fleet fleet = makeFleet(6, 2, 10);
    fleet.wanted_[{rack(0), School}] = 10;
    runSteps(fleet, 100);
    fleet.actualHolder_.erase(rack(0));
    fleet.daemons_[0]->groups_.clear();
    closeGroupAllowances(*fleet.daemons_[0]->state_, rack(0));
    fleet.directory_.groups_.erase(fleet.directory_.groups_.begin());
    fleet.wanted_[{rack(1), School}] = 10;
    runSteps(fleet, 1000);
    cr_assert_eq(fleet.usable(rack(1), School), 0U);
    fleet.now_ += std::chrono::minutes(10);
    runSteps(fleet, 1000);
    cr_assert_eq(fleet.usable(rack(1), School), 10U);
}

static void setLimits(Fleet &fleet, std::size_t changed, std::uint32_t limit)
{
    for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
        if (!fleet.bundlesDiffer_ || i == changed) {
            fleet.setLimit(*fleet.daemons_[i], "school", limit);
        }
    }
}

// Runs random commands. Returns the first violation, or an empty text.
static std::string runSchedule(std::uint64_t seed, int commands)
{
    Fleet fleet = makeFleet(seed, 4, 12);
    fleet.bundlesDiffer_ = seed % 2 == 0;
    const std::array<TeamId, 2> teams{School, Export};
    for (int i = 0; i < commands; ++i) {
        const std::size_t daemon = fleet.random_() % 4;
        const ShardId group = rack(fleet.random_() % 4);
        switch (fleet.random_() % 8) {
        case 0:
        case 1:
        case 2:
            fleet.wanted_[{group, teams.at(fleet.random_() % 2)}] = static_cast<std::uint32_t>(fleet.random_() % 14);
            break;
        case 3:
            setLimits(fleet, daemon, static_cast<std::uint32_t>(2 + fleet.random_() % 20));
            break;
        case 4:
            fleet.lostPercent_ = fleet.random_() % 30;
            fleet.lateEffectPercent_ = fleet.random_() % 30;
            fleet.lostAnswerPercent_ = fleet.random_() % 30;
            break;
        case 5:
            fleet.storeDown_ = fleet.random_() % 3 == 0;
            break;
        case 6:
            fleet.gain(group, daemon);
            break;
        default:
            fleet.lose(group, daemon);
            break;
        }
        for (std::size_t steps = fleet.random_() % 60; steps > 0; --steps) {
            fleet.step(teams);
        }
        if (!fleet.violation_.empty()) {
            return fleet.violation_ + " after command " + std::to_string(i);
        }
    }
    return {};
}

// Guards against a former holder that does not know of the new holder and returns allowance under which the new holder
// has adopted tasks. Each of these schedules started a task above the limit that way.
Test(limit, formerHolderGivesNothingBack)
{
    constexpr int Commands = 100;
    for (const std::uint64_t seed :
         {554001669ULL, 318000961ULL, 408001231ULL, 530001597ULL, 22000073ULL, 68000211ULL}) {
        const std::string violation = runSchedule(seed, Commands);
        cr_assert(violation.empty(), "seed %llu: %s", static_cast<unsigned long long>(seed), violation.c_str());
    }
}

// Guards against a team that gets more than its limit, under random orders of conflicts, lost and late writes, outages,
// lowered limits and changes of holders.
Test(limit, randomSchedules)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=80 max_size=300", 1);
    const bool passed = rc::check("allowances stay within limits", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto commands = *rc::gen::inRange(1, 120);
        RC_ASSERT(runSchedule(seed, commands) == std::string());
    });
    cr_assert(passed);
}
