// Tests of the order of waiting work by past use: accounts whose use differs over hours, replayed without a network.
// The half-life is the shortest one that the settings allow, so that minutes stand for hours.
#include "cell/cell_world.h"

#include <criterion/criterion.h>
#include <msgpack.hpp>

#include <cmath>
#include <limits>
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
        : TwoAccounts(1, halfLife)
    {
        world_.listRunners();
        advance(Milliseconds(200));
    }

    // The leader after `former`, which has ended `later` ago. It reads the record of the past use.
    TwoAccounts(const TwoAccounts &former, Milliseconds later)
        : TwoAccounts(2, former.world_.cell_->settings_.pastUseHalfLife_)
    {
        world_.start_ -= former.world_.now_ - former.world_.start_ + later; // the time of day goes on
        recover(former.world_.stored_.at(std::string(PastUseKey)));
    }

    TwoAccounts(std::uint64_t leadership, Milliseconds halfLife)
        : world_(leadership, 1)
    {
        world_.cell_->settings_.pastUseHalfLife_ = halfLife;
        world_.config_.accounts_ = {{"a", {"key"}, 1'000, {}}, {"b", {"key2"}, 1'000, {}}};
        applyConfig(*world_.cell_, world_.config_);
    }

    void recover(const std::string &record)
    {
        world_.keepsLog_ = true;
        recoverPastUse(*world_.cell_, {std::string(PastUseKey), record, 1, false}, world_.time(), world_.actions_);
        world_.listRunners();
        finishRecovery(*world_.cell_, world_.time(), world_.actions_);
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
    cr_assert(!accounts.world_.stored_.contains(std::string(PastUseKey)));
}

// Guards against a record that uses up the store's writes, and against use that is never stored because nothing else
// is.
Test(past_use, theRecordIsWrittenAtMostOnceInTenSeconds)
{
    TwoAccounts accounts;
    const std::string key(PastUseKey);
    accounts.use("a", Milliseconds(60'000));
    const int writes = accounts.world_.writes_[key];
    cr_assert(writes == 5 || writes == 6, "%d writes in a minute of runs", writes);
    accounts.advance(Milliseconds(60'000));
    cr_assert_leq(accounts.world_.writes_[key], writes + 1, "written while nothing runs");
    CellRequest request = accounts.world_.submission(1'000, 1, 10'000);
    accounts.world_.send(request); // a long run, during which nothing else has to be stored
    accounts.world_.run(Milliseconds(35'000));
    cr_assert_geq(accounts.world_.writes_[key], writes + 3);
}

// Guards against a change of leader after which all accounts count as new.
Test(past_use, aNewLeaderOrdersAsTheOldOneDid)
{
    TwoAccounts former;
    former.use("a", Milliseconds(120'000));
    cr_assert(former.startsBefore("b", "a"));
    TwoAccounts next(former, Milliseconds(5'000));
    const double expected = former.coreSeconds("a") * std::exp2(-5.0 / 60);
    const double tenSeconds = 100; // the record may lack the use of 10 s
    cr_assert_float_eq(next.coreSeconds("a"), expected, tenSeconds, "%f, not %f", next.coreSeconds("a"), expected);
    next.advance(Milliseconds(30'000)); // until no runs of the former leader are possible any more
    cr_assert(next.startsBefore("b", "a"));
}

// A record as an earlier leader has written it; `extra`: with a field of a later version.
static std::string recordOf(std::int64_t unixMs, const std::map<std::string, double> &coreSeconds, bool extra = false)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(extra ? 3 : 2);
    packer.pack(unixMs);
    packer.pack_array(static_cast<std::uint32_t>(coreSeconds.size()));
    for (const auto &[account, value] : coreSeconds) {
        packer.pack_array(2);
        packer.pack(account);
        packer.pack(value);
    }
    if (extra) {
        packer.pack(std::string("later"));
    }
    return {buffer.data(), buffer.size()};
}

// Guards against a time of day that jumps and takes all past use away, or gives more than was stored: the time without
// a leader counts as decay, of at most four half-lives.
Test(past_use, theTimeWithoutALeaderCountsWithinABound)
{
    constexpr std::int64_t Year = 365LL * 86'400'000;
    const std::vector<std::pair<std::int64_t, double>> cases{{0, 1},
                                                             {-60'000, 0.5},
                                                             {-120'000, 0.25},
                                                             {-Year, 1.0 / 16},
                                                             {Year, 1}, // ms after now, part left
                                                             {std::numeric_limits<std::int64_t>::min(), 1.0 / 16},
                                                             {std::numeric_limits<std::int64_t>::max(), 1}};
    for (const auto &[offset, left] : cases) {
        TwoAccounts accounts(2, HalfLife);
        const std::int64_t now = accounts.world_.time().unixMs_;
        const bool isExtreme = offset < -Year || offset > Year;
        accounts.recover(recordOf(isExtreme ? offset : now + offset, {{"a", 1'000}}));
        cr_assert_float_eq(accounts.coreSeconds("a"), 1'000 * left, 1e-6, "record of %lld ms", (long long)offset);
    }
}

// Guards against a leader that cannot work with a record it cannot read, or takes over figures that are none.
Test(past_use, unusableRecordsAreLeftOut)
{
    for (const std::string &record : {std::string(), std::string("no record"), std::string("\x92\x01"),
                                      std::string("\x91\x01"), recordOf(1'000'000, {{"a", 10.5}}).substr(0, 12)}) {
        TwoAccounts accounts(2, HalfLife);
        accounts.recover(record);
        accounts.advance(Milliseconds(100));
        cr_assert_eq(accounts.world_.linesWith({"\"bad-record\"", "\"past-use\""}), 1, "a record of %zu bytes",
                     record.size());
        cr_assert_eq(accounts.coreSeconds("a"), 0);
    }
    constexpr double Infinity = std::numeric_limits<double>::infinity();
    for (const double figure : {-1.0, 1e300, Infinity, -Infinity, std::nan("")}) {
        TwoAccounts accounts(2, HalfLife);
        accounts.recover(recordOf(1'000'000, {{"a", figure}, {"b", 5}}));
        cr_assert_eq(accounts.coreSeconds("a"), 0);
        cr_assert_eq(accounts.coreSeconds("b"), 5);
    }
    TwoAccounts accounts(2, HalfLife);
    accounts.recover(recordOf(1'000'000, {{"a", 7}}, true));
    cr_assert_eq(accounts.coreSeconds("a"), 7, "the record of a later version is not read");
}

// Guards against an order that an operator cannot explain: the start of a shifted step and a line in 10 s name the
// shift, and the line and the metrics stay bounded with many accounts.
Test(past_use, theShiftIsLogged)
{
    TwoAccounts accounts;
    accounts.use("a", Milliseconds(120'000));
    accounts.world_.keepsLog_ = true;
    cr_assert(accounts.startsBefore("b", "a"));
    cr_assert_eq(accounts.world_.linesWith({R"("event":"start")", R"("past_use_shift_ms":)"}), 1, "that of a only");
    accounts.advance(Milliseconds(60'000));
    const std::int64_t lines = accounts.world_.linesWith({R"("event":"past-use")", R"({"account":"a","core_s":)"});
    cr_assert(lines == 6 || lines == 7, "%lld lines in a minute", static_cast<long long>(lines));
}

Test(past_use, reportsStayBoundedWithManyAccounts)
{
    TwoAccounts accounts;
    Cell &cell = *accounts.world_.cell_;
    for (int i = 0; i < 500; ++i) {
        const std::string name = "account-" + std::to_string(i);
        accounts.world_.config_.accounts_.push_back({name, {}, 1'000, {}});
        cell.accounts_[name].pastUse_.coreSeconds_ = 1'000.0 * i;
    }
    applyConfig(cell, accounts.world_.config_);
    accounts.world_.log_.clear();
    CellActions actions;
    accounts.advance(Milliseconds(9'000));
    for (int i = 0; i < 200 && !actions.pastUse_; ++i) {
        accounts.world_.now_ += Milliseconds(50);
        advanceCell(cell, accounts.world_.time(), actions);
    }
    cr_assert(actions.pastUse_.has_value());
    cr_assert_eq(actions.pastUse_->size(), 100U);
    cr_assert_eq(actions.pastUse_->front().account_, "account-499");
    const auto line = std::find_if(actions.log_.begin(), actions.log_.end(), [](const LogLine &entry) {
        return entry.text_.find("\"past-use\"") != std::string::npos;
    });
    cr_assert(line != actions.log_.end() && line->text_.size() < 1'500);
    cr_assert(line->text_.find("\"accounts\":499") != std::string::npos, "%s", line->text_.c_str());
}
