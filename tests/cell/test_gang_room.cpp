// Tests of the reservations for waiting gangs, see src/core/cell/gang_room.cpp: steady small work on a fleet of 64
// runners and gangs of 20 tasks that may use a quarter of the runners. No network; the clock is simulated.
#include "cell/cell_world.h"

#include <criterion/criterion.h>

#include <queue>
#include <random>

using namespace mimosapier;

namespace
{

constexpr int Runners = 64;
constexpr std::int64_t RunnerMilliCpus = 32'000;
constexpr std::uint32_t GangMembers = 20;
constexpr std::int64_t MemberMilliCpus = 9'000;
constexpr Milliseconds MemberTime{6'200};
constexpr std::uint64_t GangId = 1'000'000; // ids of gangs start here

struct EndingRun
{
    TimePoint at_;
    RunnerId runner_;
    StagedTask task_;
    bool operator<(const EndingRun &other) const { return at_ > other.at_; }
};

// A leader with small urgent jobs (priority 0), wide steps (priority 2) and gangs (priority 1).
struct LoadWorld : CellWorld
{
    explicit LoadWorld(double share)
        : CellWorld(1, Runners)
    {
        cell_->settings_.gangRoomShare_ = share;
        keepsLog_ = true;
        for (auto &[id, runner] : runners_) {
            runner.record_.capacity_ = {RunnerMilliCpus, 64'000, 0, 0};
        }
        config_.accounts_[0].weight_ = 100'000; // submissions per second
        applyConfig(*cell_, config_);
        listRunners();
        std::vector<DaemonId> queriers;
        for (int i = 0; i < 12; ++i) {
            queriers.emplace_back("d" + std::to_string(i));
        }
        setPolicyQueriers(*cell_, queriers);
        policyTime_ = [](const PolicyQuery &query) {
            return Milliseconds(540 + static_cast<int>(7.7 * static_cast<double>(query.runners_.size())));
        };
        isAllowed_ = [](StagedJobId job, const RunnerId &runner) { // a quarter of the runners, others for each job
            return (std::stoull(runner.value_.substr(1)) + job.value_) % 4 == 0;
        };
        advance(Milliseconds(300));
    }

    CellRequest job(std::uint64_t id, std::uint32_t priority, std::uint32_t count, std::int64_t milliCpus,
                    Milliseconds estimate, double slackFactor, Milliseconds target)
    {
        CellRequest request = submission(id, count, milliCpus);
        request.policy_.queue_ = "q" + std::to_string(priority);
        request.policy_.priority_ = priority;
        request.policy_.slackFactor_ = slackFactor;
        request.policy_.targetCompletion_ = target;
        request.submitted_.steps_[0].estimate_ = estimate;
        return request;
    }

    void submitSmall()
    {
        send(job(++lastSmall_, 0, 3, 5'000, Milliseconds(1'000), 1.5, Milliseconds(500)));
        submittedAt_[lastSmall_] = now_;
    }

    void submitWide(std::uint32_t count = 25)
    {
        send(job(++lastWide_, 2, count, 3'500, Milliseconds(2'200), 4, Milliseconds(3'000)));
    }

    void submitGang(std::uint64_t id, bool withPolicy = true)
    {
        CellRequest request = job(id, 1, GangMembers, MemberMilliCpus, MemberTime, 2.2, Milliseconds(1'200));
        request.submitted_.steps_[0].gang_ = true;
        request.policy_.policyQueries_ = withPolicy;
        request.policy_.decideMs_ = 540;
        request.policy_.perRunnerMs_ = 7.7;
        send(request);
        submittedAt_[id] = now_;
    }

    void cancel(std::uint64_t id)
    {
        CellRequest request;
        request.call_ = CallId{++lastCall_};
        request.verb_ = CellVerb::Cancel;
        request.job_ = StagedJobId{id};
        request.policy_.queue_ = "q1";
        send(request);
    }

    // Runs for the duration. Submits small work at a steady rate and ends each run after its estimate times a random
    // factor of estimateSpread_.
    void advance(Milliseconds duration)
    {
        const TimePoint end = now_ + duration;
        while (now_ < end) {
            smallDue_ += smallPerSecond_ * 0.005;
            wideDue_ += widePerSecond_ * 0.005;
            for (; smallDue_ >= 1; smallDue_ -= 1) {
                submitSmall();
            }
            for (; wideDue_ >= 1; wideDue_ -= 1) {
                submitWide();
            }
            run(Milliseconds(5));
            noteStarts();
            while (!ending_.empty() && ending_.top().at_ <= now_) {
                endRun(ending_.top().runner_, ending_.top().task_, RunEnd::Done);
                ending_.pop();
            }
            for (const auto &[id, runner] : cell_->runners_) {
                cr_assert(runner->used_.milliCpus_ <= RunnerMilliCpus, "runner %s over its capacity",
                          id.value_.c_str());
            }
        }
    }

    void noteStarts()
    {
        for (auto &[id, runner] : runners_) {
            std::size_t &seen = seen_[id];
            for (; seen < runner.starts_.size(); ++seen) {
                const StagedTask &task = runner.starts_[seen].first;
                startedAt_.try_emplace(task.job_.value_, now_);
                const auto found = cell_->jobs_.find(task.job_);
                if (found == cell_->jobs_.end()) {
                    continue;
                }
                const auto estimate = found->second->submitted_.steps_[task.step_].estimate_;
                const double factor = 1 + estimateSpread_ * (static_cast<double>(random_() % 2'001) / 1'000.0 - 1);
                ending_.push(
                    {now_ + Milliseconds(static_cast<int>(static_cast<double>(estimate.count()) * factor)), id, task});
            }
        }
    }

    // Time from the submit of a job to its first start; the longest time if it has not started.
    std::int64_t waitMs(std::uint64_t id) const
    {
        const auto started = startedAt_.find(id);
        return started == startedAt_.end()
            ? INT32_MAX
            : std::chrono::duration_cast<Milliseconds>(started->second - submittedAt_.at(id)).count();
    }

    std::vector<std::int64_t> smallWaits() const
    {
        std::vector<std::int64_t> waits;
        for (std::uint64_t id = 1; id <= lastSmall_; ++id) {
            if (now_ - submittedAt_.at(id) > std::chrono::seconds(2)) {
                waits.push_back(waitMs(id));
            }
        }
        std::sort(waits.begin(), waits.end());
        return waits;
    }

    // Work that fills 80% of the processors.
    void setSteadyLoad()
    {
        smallPerSecond_ = 27; // 405 processors
        widePerSecond_ = 6.4; // 1,232 processors
    }

    const GangRoom *roomOf(std::uint64_t id) const
    {
        for (const GangRoom &room : cell_->gangRooms_.rooms_) {
            if (room.step_.job_.value_ == id) {
                return &room;
            }
        }
        return nullptr;
    }

    // Runs until the gang has a reservation.
    void awaitRoom(std::uint64_t id)
    {
        for (int i = 0; i < 600 && roomOf(id) == nullptr; ++i) {
            advance(Milliseconds(5));
        }
        cr_assert_not_null(roomOf(id), "no reservation");
    }

    std::mt19937 random_{7};
    double estimateSpread_ = 0.5;
    double smallPerSecond_ = 0;
    double widePerSecond_ = 0;
    double smallDue_ = 0;
    double wideDue_ = 0;
    std::uint64_t lastSmall_ = 0;
    std::uint64_t lastWide_ = 500'000;
    std::map<std::uint64_t, TimePoint> submittedAt_; // of small jobs and gangs
    std::map<std::uint64_t, TimePoint> startedAt_; // by job
    std::map<RunnerId, std::size_t> seen_;
    std::priority_queue<EndingRun> ending_;
};

} // namespace

// Guards against gangs that wait for as long as small work goes on: it took each processor as it became free, so that
// the members never fitted at one moment.
Test(gangRoom, gangStartsUnderSteadySmallWork)
{
    LoadWorld world(0.3);
    world.setSteadyLoad();
    world.advance(Milliseconds(5'000));
    for (std::uint64_t i = 0; i < 6; ++i) {
        world.submitGang(GangId + i);
        world.advance(Milliseconds(5'000));
    }
    for (std::uint64_t i = 0; i < 6; ++i) {
        cr_assert(world.waitMs(GangId + i) <= 4'000, "gang %d waited %lld ms", static_cast<int>(i),
                  static_cast<long long>(world.waitMs(GangId + i)));
    }
    cr_assert(world.linesWith({"room-reserved", "expected_ms"}) >= 6);
    cr_assert(world.linesWith({"room-released", "\"cause\":\"started\""}) >= 6);
    cr_assert(world.linesWith({"\"event\":\"start\"", "room_ms"}) >= 6 * GangMembers);
}

// Guards against small urgent jobs that wait for processors which are reserved for gangs.
Test(gangRoom, smallJobsStartAsWithoutGangs)
{
    std::vector<std::int64_t> waits[2];
    for (int withGangs = 0; withGangs < 2; ++withGangs) {
        LoadWorld world(0.3);
        world.setSteadyLoad();
        for (std::uint64_t i = 0; i < 8; ++i) {
            world.advance(Milliseconds(4'000));
            if (withGangs != 0) {
                world.submitGang(GangId + i);
            }
        }
        waits[withGangs] = world.smallWaits();
        for (std::uint64_t i = 0; withGangs != 0 && i < 6; ++i) {
            cr_assert(world.startedAt_.contains(GangId + i), "gang %d has not started", static_cast<int>(i));
        }
    }
    const auto part = [&waits](int run, std::size_t percent) { return waits[run][waits[run].size() * percent / 100]; };
    cr_assert(part(1, 50) <= part(0, 50) + 20);
    cr_assert(part(1, 95) <= part(0, 95) + 250);
}

// Guards against gangs that hold a part of what they need each, so that none of them starts.
Test(gangRoom, waitingGangsDoNotHoldPartsAgainstEachOther)
{
    for (const double share : {0.1, 0.3}) { // room for one gang, and for both
        LoadWorld world(share);
        world.setSteadyLoad();
        world.advance(Milliseconds(5'000));
        world.submitGang(GangId);
        world.submitGang(GangId + 4); // with the same allowed runners
        std::size_t rooms = 0;
        for (int i = 0; i < 2'000; ++i) {
            world.advance(Milliseconds(5));
            const auto &now = world.cell_->gangRooms_.rooms_;
            rooms = std::max(rooms, now.size());
            for (const GangRoom &room : now) {
                std::uint32_t members = 0;
                for (const auto &[id, count] : room.members_) {
                    members += count;
                }
                cr_assert_eq(members, GangMembers);
            }
        }
        cr_assert_eq(rooms, share < 0.2 ? 1 : 2);
        cr_assert(world.waitMs(GangId) <= 4'000);
        cr_assert(world.waitMs(GangId + 4) <= 8'000);
    }
}

// Guards against a gang that waits for a runner which can take no members any more.
Test(gangRoom, lostRunnersLeaveTheReservation)
{
    LoadWorld world(0.3);
    world.setSteadyLoad();
    world.advance(Milliseconds(5'000));
    world.submitGang(GangId);
    world.awaitRoom(GangId);
    auto members = world.roomOf(GangId)->members_;
    const RunnerId draining = members.begin()->first;
    RunnerRecord record = world.runners_.at(draining).record_;
    record.draining_ = true;
    world.runners_.at(draining).record_ = record;
    updateRunner(*world.cell_, record, world.time(), world.actions_);
    world.advance(Milliseconds(20));
    cr_assert(world.startedAt_.contains(GangId)
              || (world.roomOf(GangId) != nullptr && !world.roomOf(GangId)->members_.contains(draining)));
    cr_assert(world.linesWith({"room-reserved", "runner-left"}) == 1);
    members = world.roomOf(GangId)->members_;
    const RunnerId silent = members.begin()->first;
    world.runners_.at(silent).reachable_ = false;
    world.advance(Milliseconds(5'000));
    cr_assert(world.waitMs(GangId) <= 5'000, "waited %lld ms", static_cast<long long>(world.waitMs(GangId)));
}

// Guards against processors that stay reserved for a gang whose job was cancelled.
Test(gangRoom, cancelledGangReleasesItsReservation)
{
    LoadWorld world(0.3);
    world.setSteadyLoad();
    world.advance(Milliseconds(5'000));
    world.submitGang(GangId);
    world.awaitRoom(GangId);
    world.cancel(GangId);
    world.advance(Milliseconds(10));
    cr_assert_null(world.roomOf(GangId));
    for (const auto &[id, runner] : world.cell_->runners_) {
        cr_assert(runner->roomReservations_.empty());
    }
    cr_assert_eq(world.linesWith({"room-released", "job-ended"}), 1);
}

// Guards against a gang whose tickets have expired when its members fit at last, or that asks for tickets only then:
// the query takes most of a second.
Test(gangRoom, ticketsAreValidWhenTheReservationIsComplete)
{
    LoadWorld world(0.5);
    world.estimateSpread_ = 0;
    for (int i = 0; i < Runners; ++i) { // fills all runners for 5 s
        world.send(world.job(600'000 + static_cast<std::uint64_t>(i), 2, 1, RunnerMilliCpus, Milliseconds(5'000), 4,
                             Milliseconds(10'000)));
    }
    world.advance(Milliseconds(500));
    const TimePoint free = world.ending_.top().at_;
    world.submitGang(GangId);
    for (int i = 0; i < 40; ++i) { // waits for processors too, and is not placed on reserved runners
        world.submitWide(3);
    }
    world.advance(Milliseconds(10'000));
    cr_assert(world.startedAt_.contains(GangId));
    const auto late = std::chrono::duration_cast<Milliseconds>(world.startedAt_.at(GangId) - free).count();
    cr_assert(late <= 200, "started %lld ms after the runners were free", static_cast<long long>(late));
    cr_assert(world.queries_ <= 4);
}

// Fills all runners but four for 5 s; a gang waits for three of the full runners and has the four free ones reserved.
// Result: when the full runners become free.
static TimePoint reserveFreeRunners(LoadWorld &world)
{
    world.estimateSpread_ = 0;
    for (int i = 0; i < Runners - 4; ++i) {
        world.send(world.job(600'000 + static_cast<std::uint64_t>(i), 2, 1, RunnerMilliCpus, Milliseconds(5'000), 4,
                             Milliseconds(10'000)));
    }
    world.advance(Milliseconds(300));
    world.submitGang(GangId, false);
    world.awaitRoom(GangId);
    return world.ending_.top().at_;
}

// Guards against reserved processors that stay idle although there is work that ends in time, and against work that
// starts there and ends too late.
Test(gangRoom, onlyWorkThatEndsInTimeStartsOnReservedRunners)
{
    LoadWorld world(0.5);
    const TimePoint free = reserveFreeRunners(world);
    const auto submit = [&world](std::uint64_t id, Milliseconds estimate) {
        world.send(world.job(id, 2, 4, 30'000, estimate, 10, Milliseconds(30'000)));
    };
    submit(700'000, Milliseconds(8'000));
    world.advance(Milliseconds(100));
    submit(700'001, Milliseconds(1'000));
    world.advance(Milliseconds(100));
    cr_assert(!world.startedAt_.contains(700'000));
    cr_assert(world.startedAt_.contains(700'001));
    world.advance(Milliseconds(7'000));
    cr_assert(world.startedAt_.contains(GangId));
    const auto late = std::chrono::duration_cast<Milliseconds>(world.startedAt_.at(GangId) - free).count();
    cr_assert(late <= 200, "started %lld ms after the runners were free", static_cast<long long>(late));
    cr_assert(world.startedAt_.contains(700'000));
}

// Guards against urgent jobs that miss their objective because the only free processors are reserved for a gang of
// lower priority. Less urgent jobs have to wait.
Test(gangRoom, urgentWorkIgnoresReservationsBeforeItIsLate)
{
    LoadWorld world(0.5);
    reserveFreeRunners(world);
    world.send(world.job(700'000, 2, 1, 30'000, Milliseconds(6'000), 1.1, Milliseconds(500)));
    world.send(world.job(700'001, 0, 1, 30'000, Milliseconds(6'000), 1.5, Milliseconds(500)));
    world.advance(Milliseconds(50));
    cr_assert(!world.startedAt_.contains(700'001), "an urgent job with time left does not wait");
    world.advance(Milliseconds(2'000)); // the slack of 3,500 ms comes below 500 ms and a quarter of 6,000 ms
    cr_assert(world.startedAt_.contains(700'001));
    cr_assert(!world.startedAt_.contains(700'000));
}

// Checks that the runners have exactly the reservations of the leader's list, that each covers its whole gang, and that
// they stay within the share.
static void checkReservations(const LoadWorld &world, double share)
{
    std::size_t holds = 0;
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    for (const auto &[id, runner] : world.cell_->runners_) {
        holds += runner->roomReservations_.size();
        capacity += RunnerMilliCpus;
        for (const RoomReservation &hold : runner->roomReservations_) {
            reserved += hold.reserved_.milliCpus_;
        }
    }
    std::size_t parts = 0;
    for (const GangRoom &room : world.cell_->gangRooms_.rooms_) {
        parts += room.members_.size();
        std::uint32_t members = 0;
        for (const auto &[id, count] : room.members_) {
            members += count;
        }
        cr_assert_eq(members, GangMembers);
    }
    cr_assert_eq(holds, parts);
    cr_assert(static_cast<double>(reserved) <= share * static_cast<double>(capacity));
}

// Guards against reservations that outlive their gang, or that cover only a part of it, after runners were drained,
// fell silent and came back, and gangs were cancelled.
Test(gangRoom, reservationsStayWholeWhileRunnersComeAndGo)
{
    LoadWorld world(0.3);
    world.setSteadyLoad();
    std::mt19937 random(23);
    std::vector<std::uint64_t> gangs;
    for (int step = 0; step < 2'000; ++step) {
        if (step % 200 == 0) {
            gangs.push_back(GangId + gangs.size());
            world.submitGang(gangs.back());
        }
        if (step % 40 == 0) {
            RunnerModel &runner = world.runners_.at(RunnerId("r" + std::to_string(random() % Runners)));
            if (random() % 2 == 0) {
                runner.reachable_ = !runner.reachable_;
            } else {
                runner.record_.draining_ = !runner.record_.draining_;
                updateRunner(*world.cell_, runner.record_, world.time(), world.actions_);
            }
        }
        if (step % 500 == 499) {
            world.cancel(gangs.back());
        }
        world.advance(Milliseconds(5));
        checkReservations(world, 0.3);
    }
    world.smallPerSecond_ = 0;
    world.widePerSecond_ = 0;
    for (auto &[id, runner] : world.runners_) {
        runner.reachable_ = true;
        runner.record_.draining_ = false;
        updateRunner(*world.cell_, runner.record_, world.time(), world.actions_);
    }
    world.advance(Milliseconds(30'000));
    checkReservations(world, 0.3);
    cr_assert(world.cell_->gangRooms_.rooms_.empty());
    cr_assert(world.linesWith({"room-reserved", "runner-left"}) >= 1);
}

// Guards against reservations where the setting is 0.
Test(gangRoom, noReservationsByDefault)
{
    LoadWorld world(0);
    world.setSteadyLoad();
    world.advance(Milliseconds(5'000));
    world.submitGang(GangId);
    world.advance(Milliseconds(5'000));
    cr_assert(world.cell_->gangRooms_.rooms_.empty());
    cr_assert_eq(world.linesWith({"room-reserved"}), 0);
}
