// Several daemons' membership and configuration in virtual time, with one store, cuts, pauses, outages and lost
// answers. All randomness comes from one seed.
#pragma once

#include "core/config/config_func.h"
#include "core/member/member_func.h"
#include "support/fake_store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosapier::test
{

struct Cluster;

struct TestDaemon
{
    MemberSettings settings_;
    Handle<Membership> member_;
    Handle<ConfigState> config_;
    Actions actions_;
    std::mt19937_64 random_;
    bool alive_ = true;
    bool paused_ = false;
    TimePoint pausedAt_;
    bool storeCut_ = false;
    bool releases_ = true; // the node's part of a hand-over
    std::deque<std::function<void()>> inbox_; // deliveries while paused
    std::set<DaemonId> wantedPeers_;
    std::map<ShardId, Epoch> held_;
    std::vector<CallerAnswer> answers_;
    BundleVersion highest_;
};

// Bundle text in which only the key "key-<n>" is granted.
std::string bundleText(int n);

struct Cluster
{
    explicit Cluster(std::uint64_t seed);

    TestDaemon &add(const std::string &name, const std::string &region);
    TestDaemon &at(std::size_t index) { return *daemons_.at(index); }

    // Runs for a time in steps of 20 ms; all checks of invariants apply.
    void run(Milliseconds time);

    // Sets the racks of which each daemon learns.
    void racks(const std::string &region, int count);

    void kill(TestDaemon &daemon);
    void pause(TestDaemon &daemon);
    void resume(TestDaemon &daemon);
    void cut(const TestDaemon &left, const TestDaemon &right, bool on);

    // Calls with the daemon's context.
    void withContext(TestDaemon &daemon, const std::function<void(Context &)> &call);

    // Drafts and signs off at a daemon and runs until answered (bounded); returns the answer of the sign-off.
    CallerAnswer signOff(TestDaemon &daemon, const std::string &text, const std::string &author = "ann",
                         const std::string &signer = "ben");
    std::string draft(TestDaemon &daemon, const std::string &text, const std::string &author = "ann");
    CallId sign(TestDaemon &daemon, const std::string &draft, BundleVersion base, const std::string &signer = "ben");
    const CallerAnswer *answer(const TestDaemon &daemon, CallId call) const;

    bool fresh(const TestDaemon &daemon) const { return configIsFresh(*daemon.member_, now_); }

    // Starts a fault of a random schedule and lets it end by itself; heal() ends all.
    void inject(int kind, std::size_t index, Milliseconds duration);
    void heal();
    static constexpr int FaultKinds = 7;

    // Empty when each shard has exactly one living holder that the table names; otherwise what is wrong.
    std::string unsettled() const;

    // All violations so far in one line; empty when there are none.
    std::string violationText() const;

    FakeStore store_;
    bool storeDown_ = false;
    // Sees each heartbeat between connected daemons; false loses it. May be empty.
    std::function<bool(const DaemonId &from, const DaemonId &to, const Heartbeat &)> onBeat_;
    int lostPerMille_ = 0; // answers lost after the effect, or effects after the lost answer
    std::vector<std::string> violations_;
    TimePoint now_{std::chrono::seconds(1000)};
    std::vector<std::unique_ptr<TestDaemon>> daemons_;
    std::map<std::uint64_t, TimePoint> headWritten_; // by version: when the store took it
    Milliseconds staleFor_{0}; // longest time for which a daemon still took a withdrawn key

private:
    void start(TestDaemon &daemon);
    void tick(TestDaemon &daemon);
    void later(Milliseconds delay, std::function<void()> call);
    void deliver(TestDaemon &daemon, std::function<void()> call);
    void carryOut(TestDaemon &daemon);
    void send(TestDaemon &from, const PeerSend &message);
    void request(TestDaemon &daemon, const StoreRequest &request);
    void answerStore(TestDaemon &daemon, const StoreRequest &request, StoreResult result, Milliseconds delay);
    void connect();
    void checkWrite(const std::string &key, const std::string &value);
    void checkDaemon(TestDaemon &daemon);
    bool isCut(const TestDaemon &left, const TestDaemon &right) const;
    TestDaemon *find(const DaemonId &daemon);

    std::mt19937_64 random_;
    std::multimap<TimePoint, std::function<void()>> queue_;
    std::set<std::pair<DaemonId, DaemonId>> cuts_;
    std::set<std::pair<DaemonId, DaemonId>> up_; // connections, left < right
    std::map<std::pair<DaemonId, DaemonId>, TimePoint> silentSince_;
    InstanceSnapshot instances_;
    std::map<ShardId, std::map<Epoch, DaemonId>> holders_; // by epoch, as gained by daemons
    std::map<ShardId, std::pair<Epoch, DaemonId>> rows_; // as written
    std::uint64_t lastCall_ = 0;
    int incarnation_ = 1;
};

} // namespace mimosapier::test
