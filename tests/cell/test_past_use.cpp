// Tests of the order of waiting work by past use: accounts whose use differs over hours, replayed without a network.
// The half-life is the shortest one that the settings allow, so that minutes stand for hours.
#include "cell/cell_world.h"

#include <criterion/criterion.h>

#include <cmath>
#include <numbers>

using namespace mimosapier;

namespace
{

constexpr Milliseconds HalfLife{60'000};
constexpr double DecaySeconds = 60 / std::numbers::ln2;

// One runner that a task of each job fills, and the accounts "a" and "b" with equal weights. Each run takes RunTime.
struct TwoAccounts
{
    static constexpr Milliseconds RunTime{100};

    explicit TwoAccounts(Milliseconds halfLife = HalfLife)
        : world_(1, 1)
    {
        world_.cell_->settings_.pastUseHalfLife_ = halfLife;
        world_.config_.accounts_ = {{"a", {"key"}, 1'000, {}}, {"b", {"key2"}, 1'000, {}}};
        applyConfig(*world_.cell_, world_.config_);
        world_.listRunners();
        advance(Milliseconds(200));
    }

    std::uint64_t submit(const std::string &account, Milliseconds targetCompletion = Milliseconds(10'000))
    {
        CellRequest request = world_.submission(++lastJob_, 1, 10'000);
        request.account_ = account;
        request.policy_.targetCompletion_ = targetCompletion;
        request.submitted_.steps_[0].estimate_ = RunTime;
        world_.send(request);
        return lastJob_;
    }

    void advance(Milliseconds duration)
    {
        const TimePoint end = world_.now_ + duration;
        while (world_.now_ < end) {
            world_.run(Milliseconds(5));
            RunnerModel &runner = world_.runners_.begin()->second;
            for (; seen_ < runner.starts_.size(); ++seen_) {
                endAt_ = world_.now_ + RunTime;
                startedAt_[runner.starts_[seen_].first.job_.value_] = world_.now_;
            }
            if (seen_ > 0 && endAt_ != TimePoint{} && world_.now_ >= endAt_) {
                world_.endRun(runner.record_.id_, runner.starts_.back().first, RunEnd::Done);
                endAt_ = {};
            }
        }
    }

    // The account always has a job that waits.
    void use(const std::string &account, Milliseconds duration)
    {
        const TimePoint end = world_.now_ + duration;
        std::uint64_t last = submit(account);
        while (world_.now_ < end) {
            if (startedAt_.contains(last)) {
                last = submit(account);
            }
            advance(Milliseconds(5));
        }
        advance(RunTime * 4);
    }

    // Whether a job of `first` starts before a job of `second` when both wait with the same objective. The one of
    // `first` has the higher id, which puts it second unless past use decides.
    bool startsBefore(const std::string &first, const std::string &second)
    {
        submit(first);
        advance(Milliseconds(50)); // it runs, and the two jobs wait
        const std::uint64_t other = submit(second);
        const std::uint64_t job = submit(first);
        advance(RunTime * 8);
        cr_assert(startedAt_.contains(job) && startedAt_.contains(other));
        return startedAt_.at(job) < startedAt_.at(other);
    }

    double coreSeconds(const std::string &account) const
    {
        return world_.cell_->accounts_.at(account).pastUse_.coreSeconds_;
    }

    CellWorld world_;
    std::uint64_t lastJob_ = 0;
    std::map<std::uint64_t, TimePoint> startedAt_; // by job
    std::size_t seen_ = 0; // starts of the runner
    TimePoint endAt_; // of the run; empty: none
};

} // namespace

// Guards against an account that has used far more over hours and is still served as if it had not, and against an
// order that remembers this for longer than the difference lasts. After two half-lives of "a" alone, "b" needs 48 s
// alone until both have the same decayed use.
Test(past_use, accountWithLessUseGoesFirstUntilTheDifferenceIsGone)
{
    TwoAccounts accounts;
    accounts.use("a", Milliseconds(120'000));
    cr_assert(accounts.startsBefore("b", "a"), "the account with less use waits");
    accounts.use("b", Milliseconds(20'000));
    cr_assert(accounts.startsBefore("b", "a"), "the difference is not gone after 20 s");
    accounts.use("b", Milliseconds(70'000));
    cr_assert(accounts.startsBefore("a", "b"), "the order lasts longer than the difference");
}

// Guards against use that decays too fast or not at all, and against use that is not counted while a run lasts.
Test(past_use, useDecaysWithTheClockPassedIn)
{
    TwoAccounts accounts;
    accounts.use("a", Milliseconds(30'000));
    const double used = accounts.coreSeconds("a");
    const std::size_t runs = accounts.startedAt_.size();
    // 10 cores, less the pauses between the runs.
    cr_assert_gt(used, 0.8 * 10 * static_cast<double>(runs) * 0.1);
    cr_assert_lt(used, 10 * DecaySeconds * (1 - std::exp2(-0.55)));
    accounts.advance(HalfLife);
    cr_assert_float_eq(accounts.coreSeconds("a") / used, 0.5, 0.01, "%f of %f", accounts.coreSeconds("a"), used);
    accounts.advance(HalfLife * 10);
    cr_assert_eq(accounts.coreSeconds("a"), 0, "the last core-second is never forgotten");
}

// Guards against an account that uses little of the processors and most of the memory, and counts as a small one.
Test(past_use, theDominantShareOfTheFleetCounts)
{
    CellWorld world(1, 1);
    world.cell_->settings_.pastUseHalfLife_ = HalfLife;
    world.listRunners();
    world.run(Milliseconds(200));
    CellRequest request = world.submission(1, 1, 100);
    request.submitted_.steps_[0].size_.memoryMb_ = 5'000; // half of the fleet's memory: as much as 5 of its 10 cores
    world.send(request);
    world.run(Milliseconds(10'000));
    const double expected = 5 * DecaySeconds * (1 - std::exp2(-10.0 / 60));
    cr_assert_float_eq(world.cell_->accounts_.at("a").pastUse_.coreSeconds_, expected, 0.05 * expected);
}

// Guards against the starvation of an account with much use by a steady overload of another: no job submitted more than
// the largest shift after the waiting one may start before it.
Test(past_use, noAccountStarves)
{
    TwoAccounts accounts;
    accounts.use("a", Milliseconds(120'000));
    for (int i = 0; i < 20; ++i) {
        accounts.submit("b"); // 2 s of work
    }
    const std::uint64_t waiting = accounts.submit("a");
    const TimePoint submittedAt = accounts.world_.now_;
    std::uint64_t firstTooLate = 0;
    while (!accounts.startedAt_.contains(waiting)) {
        const std::uint64_t job = accounts.submit("b"); // twice what the runner can carry
        const bool isTooLate = accounts.world_.now_ > submittedAt + Milliseconds(2'010);
        firstTooLate = firstTooLate == 0 && isTooLate ? job : firstTooLate;
        accounts.advance(Milliseconds(50));
        cr_assert(firstTooLate == 0 || accounts.startedAt_.upper_bound(firstTooLate - 1) == accounts.startedAt_.end(),
                  "a job of b that came over 2 s later has started first");
        cr_assert_lt(accounts.world_.now_, submittedAt + Milliseconds(20'000));
    }
}

// Guards against urgent work that is put behind: a step with little slack is shifted by no more than that, so it starts
// before a step of the favoured account with a later objective.
Test(past_use, theShiftIsNeverMoreThanTheSlack)
{
    TwoAccounts accounts;
    accounts.use("a", Milliseconds(120'000));
    accounts.submit("b");
    accounts.advance(Milliseconds(50));
    const std::uint64_t later = accounts.submit("b", Milliseconds(900));
    const std::uint64_t urgent = accounts.submit("a", Milliseconds(400)); // shifted by 320 ms, without the bound 1 s
    accounts.advance(Milliseconds(1'000));
    cr_assert(accounts.startedAt_.at(urgent) < accounts.startedAt_.at(later));
}

// Guards against an account that is idle for long and then holds an unbounded credit, or a penalty for little use: what
// is left after a long quiet time decides nothing.
Test(past_use, aLongQuietTimeLevelsTheAccounts)
{
    TwoAccounts accounts;
    accounts.use("a", Milliseconds(20'000));
    accounts.advance(HalfLife * 8);
    accounts.submit("b"); // so that both accounts take part
    accounts.advance(Milliseconds(1'000));
    const PastUse &use = accounts.world_.cell_->accounts_.at("a").pastUse_;
    cr_assert_eq(use.shift_, Milliseconds(0), "%lld ms", static_cast<long long>(use.shift_.count()));
    cr_assert_leq(accounts.world_.cell_->accounts_.at("b").pastUse_.factor_, 1);
}

// Guards against effects of the feature while it is switched off, as it is by default.
Test(past_use, offByDefault)
{
    cr_assert_eq(CellSettings{}.pastUseHalfLife_, Milliseconds(0));
    TwoAccounts accounts{CellSettings{}.pastUseHalfLife_};
    accounts.use("a", Milliseconds(30'000));
    cr_assert(!accounts.startsBefore("b", "a"), "the order changes");
    cr_assert_eq(accounts.coreSeconds("a"), 0);
}
