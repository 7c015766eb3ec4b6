// Random schedules of lost messages, refusals and changes of holders over several entries that share simulated shards.
// Like groups and home partitions, these deduplicate by job.
#include "entry/entry_world.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <memory>

using namespace mimosapier;
using namespace mimosapier::test;

// State of one shard. It survives a change of the holder, as tasks on workers and journals do.
struct FakeShard
{
    std::map<JobId, int> starts_;
    std::map<JobId, Outcome> known_;
    std::map<JobId, std::uint32_t> refused_; // highest attempt refused
};

struct MultiEntryWorld
{
    std::vector<std::unique_ptr<EntryWorld>> entries_;
    std::map<ShardId, FakeShard> shards_;
    std::mt19937_64 random_;
    std::vector<std::tuple<std::size_t, CallId, JobId, std::uint32_t>> submitted_; // entry, call, job, attempt
    int lostPercent_ = 0;
    int refusedPercent_ = 0;

    explicit MultiEntryWorld(std::uint64_t seed)
        : random_(seed)
    {
        for (int i = 0; i < 3; ++i) {
            entries_.push_back(std::make_unique<EntryWorld>(seed + i, 3));
        }
    }

    bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }

    // Outcome of the job at the shard; starts it there unless it is known, refused or only looked up.
    std::pair<Outcome, ErrorKind> start(FakeShard &shard, const JobId &job, std::uint32_t attempt, bool lookup)
    {
        if (const auto known = shard.known_.find(job); known != shard.known_.end()) {
            return {known->second, ErrorKind::None};
        }
        const auto refused = shard.refused_.find(job);
        if (lookup) {
            return {Outcome::NotRun, ErrorKind::UnknownJob};
        }
        if ((refused != shard.refused_.end() && attempt <= refused->second) || chance(refusedPercent_)) {
            shard.refused_[job] = std::max(attempt, shard.refused_[job]);
            return {Outcome::NotRun, ErrorKind::Overloaded};
        }
        ++shard.starts_[job];
        shard.known_[job] = Outcome::Done;
        return {Outcome::Done, ErrorKind::None};
    }

    void answerMessages(EntryWorld &entry)
    {
        std::deque<SentMessage> sent = std::move(entry.sent_);
        entry.sent_.clear();
        for (const SentMessage &message : sent) {
            if (chance(lostPercent_)) {
                continue; // lost; the entry waits for the answer until the connection is lost or the deadline passes
            }
            if (const auto *offer = std::get_if<TaskOffer>(&message.message_)) {
                const auto [outcome, error]
                    = start(shards_[offer->group_], offer->job_.id_, offer->attempt_, offer->lookupOnly_);
                if (!chance(lostPercent_)) {
                    entry.reply(*offer, outcome, error);
                }
            } else if (const auto *submit = std::get_if<JobSubmit>(&message.message_)) {
                const auto [outcome, error]
                    = start(shards_[submit->partition_], submit->job_.id_, submit->attempt_, false);
                if (!chance(lostPercent_)) {
                    entry.reply(submit->replyTo_, submit->job_.id_, outcome, error);
                }
            }
        }
    }

    void changeReachability(std::uint8_t failure)
    {
        EntryWorld &entry = *entries_[random_() % entries_.size()];
        ShardEntry &shard = failure % 2 == 0 ? entry.directory_.partitions_[0]
                                             : entry.directory_.groups_[random_() % entry.directory_.groups_.size()];
        shard.reachable_ = failure % 3 == 0;
        if (failure % 5 == 0) {
            shard.holder_ = DaemonId(shard.holder_.value_ + "'");
            ++shard.epoch_.value_;
        }
        if (!shard.reachable_) {
            entry.peerDown(shard.holder_);
        }
    }
};

static void runRequests(std::uint32_t seed, const std::vector<std::uint8_t> &failures)
{
    MultiEntryWorld world(seed);
    for (const std::uint8_t failure : failures) {
        world.lostPercent_ = failure % 7 == 0 ? 40 : 0;
        world.refusedPercent_ = failure % 4 == 0 ? 30 : 0;
        world.changeReachability(failure);
        for (int i = 0; i < 6; ++i) {
            const std::size_t entryIndex = world.random_() % world.entries_.size();
            const std::string id = std::to_string(world.random_() % (failures.size() + 1));
            const bool nonIdempotent = std::hash<std::string>{}(id) % 2 == 0;
            const std::uint32_t attempt = 1
                + std::count_if(world.submitted_.begin(), world.submitted_.end(),
                                [&](const auto &submitted) { return std::get<2>(submitted) == JobId("school:" + id); });
            const CallId call = world.entries_[entryIndex]->submit(id, nonIdempotent ? "once" : "counter", attempt);
            world.submitted_.emplace_back(entryIndex, call, JobId("school:" + id), attempt);
        }
        for (int i = 0; i < 5; ++i) {
            for (const auto &entry : world.entries_) {
                world.answerMessages(*entry);
                entry->run(Milliseconds(20 + world.random_() % 100));
            }
        }
    }
    for (const auto &entry : world.entries_) {
        entry->run(Milliseconds(2000));
        RC_ASSERT(entry->answeredTwice_.empty());
        RC_ASSERT(openCallerRequests(*entry->entry_) == 0U);
    }
    std::map<JobId, int> starts;
    std::map<JobId, bool> allRefused;
    for (const auto &[shard, state] : world.shards_) {
        for (const auto &[job, count] : state.starts_) {
            starts[job] += count;
        }
    }
    for (const auto &[entryIndex, call, job, attempt] : world.submitted_) {
        RC_ASSERT(world.entries_[entryIndex]->answered(call));
        const Outcome outcome = world.entries_[entryIndex]->answer(call).outcome_;
        // A job whose attempts were all answered NotRun must not have started.
        allRefused.emplace(job, true).first->second &= outcome == Outcome::NotRun;
        RC_ASSERT((outcome != Outcome::Done || starts[job] > 0));
    }
    for (const auto &[job, refused] : allRefused) {
        RC_ASSERT((!refused || starts[job] == 0));
        RC_ASSERT((std::hash<std::string>{}(job.value_.substr(7)) % 2 != 0 || starts[job] <= 1));
    }
}

// Guards against requests without an answer or with two, refused requests that ran, and non-idempotent requests that
// are started more than once when several entries send them.
Test(requests, eachRequestGetsOneCorrectAnswer)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=500 max_size=60", 1);
    cr_assert(
        rc::check([](std::uint32_t seed, const std::vector<std::uint8_t> &failures) { runRequests(seed, failures); }));
}
