// Tests of the past use of accounts across a change of leader in a simulated cluster.
#include "control/control_cluster.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace mimosapier;

namespace
{

constexpr Milliseconds HalfLife{60'000};

// Three daemons and one runner that one task fills; the accounts "a" and "b" have equal weights.
struct PastUseCluster : ControlCluster
{
    explicit PastUseCluster(Milliseconds halfLife = HalfLife)
        : ControlCluster(0, 1)
    {
        for (int i = 0; i < 3; ++i) {
            ControlSettings settings;
            settings.self_ = DaemonId("d" + std::to_string(i) + "#1");
            settings.peerAddress_ = "10.0.0.2:1";
            settings.seed_ = static_cast<std::uint64_t>(i) + 1;
            settings.cell_.pastUseHalfLife_ = halfLife;
            CellDecoders decoders;
            decoders.config_ = [](std::string_view text, CellConfig &config) {
                const bool isRead = decodeConfig(text, config);
                config.accounts_ = {{"a", {"a"}, 1'000, {}}, {"b", {"b"}, 1'000, {}}};
                return isRead;
            };
            decoders.runner_ = [this](std::string_view key, std::string_view, RunnerRecord &record) {
                record = runners_.at(RunnerId(std::string(key))).record_;
                return true;
            };
            addDaemon(settings, std::move(decoders));
        }
        run(Milliseconds(4'000));
        cr_assert_not_null(leader());
    }

    std::uint64_t submit(const std::string &account)
    {
        SubmittedJob job;
        job.steps_.resize(1);
        job.steps_[0].size_ = {10'000, 100, 0, 0};
        job.steps_[0].estimate_ = Milliseconds(200);
        sendRequest(*leader(), ClientMethod::Submit, ++lastJob_, job, account);
        return lastJob_;
    }

    // Each run takes 200 ms.
    void advance(Milliseconds duration)
    {
        const TimePoint end = now_ + duration;
        RunnerModel &runner = runners_.begin()->second;
        while (now_ < end) {
            run(TickLength);
            for (; seen_ < runner.starts_.size(); ++seen_) {
                startedAt_.emplace(runner.starts_[seen_].first.job_.value_, now_);
                endAt_ = now_ + Milliseconds(200);
            }
            if (endAt_ != TimePoint{} && now_ >= endAt_) {
                runner.end(runner.starts_.back().first, RunEnd::Done);
                endAt_ = {};
            }
        }
    }

    double coreSeconds(const std::string &account)
    {
        return leader()->control_->cell_->accounts_.at(account).pastUse_.coreSeconds_;
    }

    // Whether a job of `first` starts before one of `second` with a lower id, when both wait with the same objective.
    bool startsBefore(const std::string &first, const std::string &second)
    {
        submit(first);
        advance(Milliseconds(100));
        const std::uint64_t other = submit(second);
        const std::uint64_t job = submit(first);
        advance(Milliseconds(2'000));
        cr_assert(startedAt_.contains(job) && startedAt_.contains(other));
        return startedAt_.at(job) < startedAt_.at(other);
    }

    int countRecoveryReads()
    {
        int reads = 0;
        onStoreReply_ = [&reads](ClusterDaemon &, const KvCall &call, KvReply &) {
            reads += call.purpose_ == KvPurpose::RecoverPastUse ? 1 : 0;
        };
        replaceLeader();
        onStoreReply_ = {};
        return reads;
    }

    // Lets the leader die; another daemon leads afterwards.
    void replaceLeader()
    {
        leader()->alive_ = false;
        advance(Milliseconds(15'000));
        cr_assert_not_null(leader(), "no other leader");
    }

    std::uint64_t lastJob_ = 0;
    std::map<std::uint64_t, TimePoint> startedAt_; // by job
    std::size_t seen_ = 0;
    TimePoint endAt_;
};

} // namespace

// Guards against a new leader that orders as if no account had used anything: it reads the record, and the time without
// a leader counts as decay.
Test(past_use_control, aNewLeaderOrdersAsTheOldOneDid)
{
    PastUseCluster cluster;
    for (int i = 0; i < 200; ++i) {
        cluster.submit("a");
        cluster.advance(Milliseconds(400));
    }
    cr_assert(cluster.startsBefore("b", "a"), "the account with less use waits");
    const double used = cluster.coreSeconds("a");
    const TimePoint diedAt = cluster.now_;
    cluster.replaceLeader();
    const double decay = std::exp2(-std::chrono::duration<double>(cluster.now_ - diedAt).count() / 60);
    // The record may be 10 s old, in which "a" has used up to 100 core-seconds.
    cr_assert_float_eq(cluster.coreSeconds("a"), used * decay, 100, "%f after %f", cluster.coreSeconds("a"), used);
    cr_assert_gt(cluster.coreSeconds("a"), 100);
    cr_assert(cluster.startsBefore("b", "a"), "the new leader has forgotten the past use");
}

// Guards against a cell that cannot recover because there is no record yet, as after an update from a version without
// it or after the loss of the store.
Test(past_use_control, aMissingRecordDoesNotHoldUpTheRecovery)
{
    PastUseCluster cluster;
    cr_assert_geq(cluster.countRecoveryReads(), 1);
    cluster.submit("a");
    cluster.advance(Milliseconds(1'000));
    cr_assert(cluster.startedAt_.contains(1));
}

// Guards against a cell that does not recover because of a record that cannot be read.
Test(past_use_control, aMalformedRecordDoesNotHoldUpTheRecovery)
{
    PastUseCluster cluster;
    cluster.store_.write(KvSpace::Own, std::string(PastUseKey), "no record");
    cluster.replaceLeader();
    const auto lines = cluster.linesOf("bad-record");
    cr_assert(lines.size() == 1 && lines[0].second.find("past-use") != std::string::npos);
    cluster.submit("a");
    cluster.advance(Milliseconds(1'000));
    cr_assert(cluster.startedAt_.contains(1));
}

// Guards against reads and writes of the store for a feature that is off.
Test(past_use_control, nothingIsReadOrWrittenWhenOff)
{
    PastUseCluster cluster(Milliseconds(0));
    for (int i = 0; i < 60; ++i) {
        cluster.submit("a");
        cluster.advance(Milliseconds(250));
    }
    cr_assert_eq(cluster.countRecoveryReads(), 0);
    cr_assert_not_null(cluster.leader());
    cr_assert(!cluster.store_.space(KvSpace::Own).contains(std::string(PastUseKey)));
}

// Guards against metrics of accounts that a daemon goes on showing after it has stepped down.
Test(past_use_control, aFormerLeaderReportsNoAccounts)
{
    PastUseCluster cluster;
    ClusterDaemon &former = *cluster.leader();
    beginLeaving(*former.control_, cluster.cellTime(), former.actions_);
    finishBatch(*former.control_, cluster.cellTime(), former.actions_);
    cr_assert(!former.control_->cell_, "it still leads");
    cr_assert(former.actions_.cell_.pastUse_ && former.actions_.cell_.pastUse_->empty());
}
