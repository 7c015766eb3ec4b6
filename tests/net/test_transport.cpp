// Tests of the peer transport over loopback: lost, silent and half-open connections, malformed and oversized frames,
// order of messages, full queues and changes of the peer set.
#include "net/frame_func.h"
#include "net/socket_helper.h"
#include "net/transport_base.h"

#include "core/message/codec_func.h"

#include <criterion/criterion.h>

#include <condition_variable>
#include <mutex>
#include <numeric>
#include <optional>
#include <thread>

using namespace mimosapier;
using mimosapier::testing::RawSocket;

static constexpr Milliseconds TestTimeout{3000}; // longer than any wait in a passing test
static constexpr Milliseconds SilenceLimit{400};

// Clock that stands still until the test advances it. No connection is found silent meanwhile, whatever the load.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override { return TimePoint(elapsed_.load()); }
    void advance(Milliseconds time) { elapsed_ = elapsed_.load() + time; }

private:
    std::atomic<Milliseconds> elapsed_{Milliseconds(1'000'000)}; // the epoch means "never"
};

// Transport on its own thread that records its events; a second thread sends heartbeats to the peers.
class TestDaemon
{
public:
    // Uses the system's clock without `clock`.
    explicit TestDaemon(const std::string &id, std::map<std::string, std::string> overrides = {},
                        std::size_t maxQueued = 8'000'000, const Clock *clock = nullptr)
        : id_(id)
        , transport_(
              settings(id, std::move(overrides), maxQueued), [this](Event event) { record(std::move(event)); },
              clock != nullptr ? *clock : systemClock_)
    {
        cr_assert(!transport_.listen());
        thread_ = std::thread([this] { transport_.run(); });
        heartbeatThread_ = std::thread([this] { sendHeartbeats(); });
    }
    TestDaemon(const TestDaemon &) = delete;
    TestDaemon &operator=(const TestDaemon &) = delete;
    ~TestDaemon()
    {
        stopping_ = true;
        heartbeatThread_.join();
        transport_.stop();
        thread_.join();
    }

    [[nodiscard]] PeerAddress address() const
    {
        return {DaemonId(id_), "127.0.0.1:" + std::to_string(transport_.port())};
    }
    void setPeers(std::vector<PeerAddress> peers)
    {
        {
            const std::lock_guard lock(mutex_);
            peers_ = peers;
        }
        transport_.post([this, peers] { transport_.setPeers({peers}); });
    }
    // Sends a numbered message with the version `number`.
    void sendConfigPush(const std::string &to, std::uint64_t number, std::size_t padding = 0)
    {
        const ConfigPush message{BundleVersion{number}, std::string(padding, 'x')};
        transport_.post([this, to, message] { transport_.send(DaemonId(to), message); });
    }
    void sendHeartbeat()
    {
        const std::lock_guard lock(mutex_);
        for (const PeerAddress &peer : peers_) {
            transport_.post([this, to = peer.daemon_] { transport_.send(to, Heartbeat{}); });
        }
    }
    // Number of closed connections, per cause or for all causes.
    [[nodiscard]] std::uint64_t closedCount(CloseCause cause) const
    {
        return transport_.counters().closedByCause_.at(static_cast<std::size_t>(cause));
    }
    [[nodiscard]] std::uint64_t closedCount() const
    {
        const auto closedByCause = transport_.counters().closedByCause_;
        return std::accumulate(closedByCause.begin(), closedByCause.end(), std::uint64_t{0});
    }
    [[nodiscard]] std::uint64_t establishedCount() const { return transport_.counters().connectionsEstablished_; }
    [[nodiscard]] int heartbeatsReceived()
    {
        const std::lock_guard lock(mutex_);
        return heartbeatsReceived_;
    }
    // Waits until the recorded events satisfy the condition.
    template <typename Condition>
    bool waitForEvents(Condition condition)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, TestTimeout, [&] { return condition(); });
    }
    // Waits until `count` connections were closed for the cause.
    bool waitUntilClosed(CloseCause cause, std::uint64_t count = 1)
    {
        return pollUntil([&] { return closedCount(cause) >= count; });
    }
    // Waits for a condition that no event announces, such as a counter.
    template <typename Condition>
    bool pollUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(Milliseconds(5));
        }
        return true;
    }

    int peerUpCount_ = 0;
    int peerDownCount_ = 0;
    int heartbeatsReceived_ = 0;
    std::vector<std::uint64_t> receivedVersions_; // of the received ConfigPush messages, in order
    std::atomic<bool> sendsHeartbeats_{true};
    SystemClock systemClock_;
    std::string id_;
    PeerTransport transport_;

private:
    static TransportSettings settings(const std::string &id, std::map<std::string, std::string> overrides,
                                      std::size_t maxQueued)
    {
        TransportSettings settings;
        settings.self_ = DaemonId(id);
        settings.region_ = RegionId("region-of-" + id.substr(0, 1));
        settings.listenAddress_ = "127.0.0.1:0";
        settings.addressOverrides_ = std::move(overrides);
        settings.silenceLimit_ = SilenceLimit;
        settings.maxQueuedBytes_ = maxQueued;
        settings.maxBufferedBytes_ = 2 * maxQueued;
        settings.minBackoff_ = Milliseconds(10);
        settings.maxBackoff_ = Milliseconds(50);
        return settings;
    }
    void record(Event event)
    {
        const std::lock_guard lock(mutex_);
        peerUpCount_ += std::holds_alternative<PeerUp>(event) ? 1 : 0;
        peerDownCount_ += std::holds_alternative<PeerDown>(event) ? 1 : 0;
        if (const auto *received = std::get_if<PeerReceived>(&event)) {
            if (const auto *push = std::get_if<ConfigPush>(&received->message_)) {
                receivedVersions_.push_back(push->version_.value_);
            } else {
                ++heartbeatsReceived_;
            }
        }
        changed_.notify_all();
    }
    void sendHeartbeats()
    {
        while (!stopping_) {
            if (sendsHeartbeats_) {
                sendHeartbeat();
            }
            std::this_thread::sleep_for(Milliseconds(50));
        }
    }

    std::mutex mutex_; // guards the recorded events and peers_
    std::condition_variable changed_;
    std::vector<PeerAddress> peers_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
    std::thread heartbeatThread_;
};

static std::string makeHello(const std::string &id, std::uint64_t generation = 1,
                             std::uint32_t version = PeerProtocolVersion)
{
    return encodeHello({version, DaemonId(id), RegionId("elsewhere"), generation});
}

static std::vector<std::uint64_t> versionsUpTo(std::uint64_t last)
{
    std::vector<std::uint64_t> numbers;
    for (std::uint64_t i = 1; i <= last; ++i) {
        numbers.push_back(i);
    }
    return numbers;
}

// Guards against lost, repeated or reordered messages, missing heartbeats and uncounted bytes, when both daemons send
// over two connections at once.
Test(transport, deliversInOrderOverTwoConnections, .timeout = 20)
{
    TestDaemon low("a#1");
    TestDaemon high("b#1");
    // The hello of the dialling side arrives before the accepting side has the peer in its set.
    low.setPeers({high.address()});
    std::this_thread::sleep_for(Milliseconds(50));
    high.setPeers({low.address()});
    cr_assert(low.waitForEvents([&] { return low.peerUpCount_ == 1; }));
    cr_assert(high.waitForEvents([&] { return high.peerUpCount_ == 1; }));
    for (std::uint64_t i = 1; i <= 200; ++i) {
        low.sendConfigPush("b#1", i, i == 7 ? 2'000'000 : 10);
        high.sendConfigPush("a#1", i);
    }
    cr_assert(
        high.waitForEvents([&] { return high.receivedVersions_.size() >= 200 && high.heartbeatsReceived_ >= 4; }));
    cr_assert(low.waitForEvents([&] { return low.receivedVersions_.size() >= 200; }));
    cr_assert(high.receivedVersions_ == versionsUpTo(200));
    cr_assert(low.receivedVersions_ == versionsUpTo(200));
    cr_assert_eq(low.transport_.counters().connectionsEstablished_, 2);
    cr_assert_geq(low.transport_.counters().bytesByRegion_[RegionId("region-of-b")].sent_, 2'000'000);
    cr_assert_eq(low.peerDownCount_, 0);
}

// Forwards TCP connections on its own thread. A test can close or silence the oldest ones.
class TcpProxy
{
public:
    explicit TcpProxy(std::uint16_t target, bool isStalled = false)
        : isStalled_(isStalled)
        , listener_(RawSocket::listenOnLoopback())
        , thread_([this, target] { run(target); })
    {
    }
    TcpProxy(const TcpProxy &) = delete;
    TcpProxy &operator=(const TcpProxy &) = delete;
    ~TcpProxy()
    {
        stopping_ = true;
        thread_.join();
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
    std::atomic<bool> isStalled_; // accepts and forwards nothing
    std::atomic<int> silencedConnections_{0}; // number of connections, from the oldest, that forward nothing
    std::atomic<int> closedConnections_{0}; // number of connections, from the oldest, that are closed

private:
    struct Pair
    {
        std::optional<RawSocket> client_;
        std::optional<RawSocket> server_;
    };
    void run(std::uint16_t target)
    {
        std::vector<Pair> pairs;
        listener_.setNonBlocking();
        while (!stopping_) {
            if (isStalled_) {
                std::this_thread::sleep_for(Milliseconds(1));
                continue;
            }
            if (RawSocket accepted = listener_.accept(); accepted.isOpen()) {
                pairs.push_back({std::move(accepted), RawSocket::connectTo(target)});
            }
            for (int i = 0; i < static_cast<int>(pairs.size()); ++i) {
                Pair &pair = pairs[static_cast<std::size_t>(i)];
                if (i < closedConnections_) {
                    pair = {};
                } else if (i >= silencedConnections_ && pair.client_) {
                    pair.server_->send(pair.client_->receive(0));
                    pair.client_->send(pair.server_->receive(0));
                }
            }
            std::this_thread::sleep_for(Milliseconds(1));
        }
    }
    RawSocket listener_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Two daemons on a manual clock; the one with the lower id dials through a proxy. The ids are those of this process:
// another test's daemon that dials a port which has been given to this one must not count as a peer.
struct ProxiedPair
{
    explicit ProxiedPair(bool isStalled = false)
        : proxy_(high_.transport_.port(), isStalled)
    {
    }
    void connect()
    {
        low_.setPeers({high_.address()});
        high_.setPeers({low_.address()});
    }
    // Advances the clock by a fraction of the limit, after which each open connection carries a heartbeat; waits for
    // those that arrive. Connections that deliver are thus not found silent.
    void advanceWithHeartbeats()
    {
        constexpr int MaxConnections = 4; // of one peer; heartbeats take turns on them
        const int lowBefore = low_.heartbeatsReceived();
        const int highBefore = high_.heartbeatsReceived();
        clock_.advance(SilenceLimit / 10);
        for (int i = 0; i < MaxConnections; ++i) {
            low_.sendHeartbeat();
            high_.sendHeartbeat();
        }
        cr_assert(low_.waitForEvents([&] { return low_.heartbeatsReceived_ > lowBefore; }));
        cr_assert(high_.waitForEvents([&] { return high_.heartbeatsReceived_ > highBefore; }));
        std::this_thread::sleep_for(SilenceLimit / 8); // longer than between two checks for silence
    }
    bool waitUntilEstablished(std::uint64_t lowCount, std::uint64_t highCount)
    {
        return low_.pollUntil(
            [&] { return low_.establishedCount() == lowCount && high_.establishedCount() == highCount; });
    }
    void checkAllDelivered(std::uint64_t last)
    {
        cr_assert(high_.waitForEvents([&] { return high_.receivedVersions_.size() >= last; }));
        cr_assert(low_.waitForEvents([&] { return low_.receivedVersions_.size() >= last; }));
        cr_assert(high_.receivedVersions_ == versionsUpTo(last));
        cr_assert(low_.receivedVersions_ == versionsUpTo(last));
    }

    ManualClock clock_;
    TestDaemon high_{"b#" + std::to_string(::getpid()), {}, 8'000'000, &clock_};
    TcpProxy proxy_;
    TestDaemon low_{
        "a#" + std::to_string(::getpid()), {{"a", "127.0.0.1:1"}, {"b", proxy_.address()}}, 8'000'000, &clock_};
};

// Sends numbered messages through a proxy in both directions, calls `injectFault` halfway, and checks that all messages
// arrive once and in order, that one connection is closed and replaced, and that the peers stay up.
static void checkDeliveryThroughFaultyProxy(void (*injectFault)(TcpProxy &), CloseCause cause)
{
    ProxiedPair pair;
    TestDaemon &low = pair.low_;
    TestDaemon &high = pair.high_;
    pair.connect();
    cr_assert(pair.waitUntilEstablished(2, 2));
    cr_assert(low.closedCount() == 0 && high.closedCount() == 0);
    for (std::uint64_t i = 1; i <= 100; ++i) {
        low.sendConfigPush(high.id_, i);
        high.sendConfigPush(low.id_, i);
        if (i == 50) {
            injectFault(pair.proxy_);
        }
        std::this_thread::sleep_for(Milliseconds(2));
    }
    cr_assert(low.pollUntil([&] {
        if (cause == CloseCause::Silent) {
            pair.advanceWithHeartbeats();
        }
        return low.closedCount(cause) == 1 && high.closedCount(cause) == 1;
    }));
    pair.checkAllDelivered(100);
    cr_assert(pair.waitUntilEstablished(3, 3));
    cr_assert(low.closedCount() == 1 && high.closedCount() == 1);
    cr_assert(low.peerDownCount_ == 0 && high.peerDownCount_ == 0);
}

// Guards against messages lost when one of the two connections is closed: unacknowledged ones must be sent again.
Test(transport, lostConnectionLosesNoMessage, .timeout = 20)
{
    checkDeliveryThroughFaultyProxy([](TcpProxy &proxy) { proxy.closedConnections_ = 1; }, CloseCause::Lost);
}

// Guards against a connection that stays open but delivers nothing, while the other one works.
Test(transport, silentConnectionIsReplacedAndLosesNoMessage, .timeout = 20)
{
    checkDeliveryThroughFaultyProxy([](TcpProxy &proxy) { proxy.silencedConnections_ = 1; }, CloseCause::Silent);
}

// Guards against messages lost on connections that the dialling side has given up before the other side reads their
// hellos and counts them as established.
Test(transport, connectionsGivenUpBeforeTheirHelloArrivesLoseNoMessage, .timeout = 20)
{
    ProxiedPair pair(true);
    pair.connect();
    cr_assert(pair.low_.pollUntil([&] {
        pair.clock_.advance(SilenceLimit / 10);
        std::this_thread::sleep_for(SilenceLimit / 8);
        return pair.low_.closedCount(CloseCause::Silent) == 2;
    }));
    pair.proxy_.isStalled_ = false;
    cr_assert(pair.waitUntilEstablished(2, 4));
    for (std::uint64_t i = 1; i <= 100; ++i) {
        pair.low_.sendConfigPush(pair.high_.id_, i);
        pair.high_.sendConfigPush(pair.low_.id_, i);
    }
    cr_assert(pair.high_.pollUntil([&] {
        pair.advanceWithHeartbeats();
        return pair.high_.closedCount(CloseCause::Silent) == 2;
    }));
    pair.checkAllDelivered(100);
    cr_assert(pair.low_.closedCount() == 2 && pair.high_.closedCount() == 2);
    cr_assert(pair.low_.peerDownCount_ == 0 && pair.high_.peerDownCount_ == 0);
    cr_assert(pair.low_.establishedCount() == 2 && pair.high_.establishedCount() == 4);
}

// Guards against a connection that is found silent because all heartbeats go to the other one, and against sending each
// heartbeat on both.
Test(transport, heartbeatsTakeTurnsAndKeepBothConnections, .timeout = 20)
{
    TestDaemon low("a#1");
    TestDaemon high("b#1");
    low.setPeers({high.address()});
    high.setPeers({low.address()});
    cr_assert(low.pollUntil([&] { return low.transport_.counters().connectionsEstablished_ == 2; }));
    cr_assert(high.pollUntil([&] { return high.transport_.counters().connectionsEstablished_ == 2; }));
    std::this_thread::sleep_for(SilenceLimit);
    const std::uint64_t sentBefore = low.transport_.counters().messagesSent_;
    const std::uint64_t receivedBefore = high.transport_.counters().messagesReceived_;
    std::this_thread::sleep_for(4 * SilenceLimit);
    const std::uint64_t received = high.transport_.counters().messagesReceived_ - receivedBefore;
    const std::uint64_t sent = low.transport_.counters().messagesSent_ - sentBefore;
    cr_assert_geq(sent, 8);
    // After a pause of this process single heartbeats are sent on both connections.
    cr_assert(received + 2 >= sent && received <= sent * 3 / 2, "%d of %d", static_cast<int>(received),
              static_cast<int>(sent));
    cr_assert_eq(low.transport_.counters().connectionsEstablished_, 2);
    cr_assert_eq(high.transport_.counters().connectionsEstablished_, 2);
    cr_assert(low.peerDownCount_ == 0 && high.peerDownCount_ == 0);
}

// Guards against a peer that is reported up although nothing arrives from it, and one that stays down after it resumes.
Test(transport, silentPeerGoesDownAndComesBack, .timeout = 20)
{
    TestDaemon low("a#1");
    TestDaemon high("b#1");
    low.setPeers({high.address()});
    high.setPeers({low.address()});
    cr_assert(low.waitForEvents([&] { return low.peerUpCount_ == 1; }));
    high.sendsHeartbeats_ = false;
    cr_assert(low.waitForEvents([&] { return low.peerDownCount_ >= 1; }));
    cr_assert_geq(low.transport_.counters().closedByCause_.at(static_cast<std::size_t>(CloseCause::Silent)), 1);
    high.sendsHeartbeats_ = true;
    cr_assert(low.waitForEvents([&] { return low.peerUpCount_ > low.peerDownCount_ && low.peerUpCount_ >= 2; }));
    low.sendConfigPush("b#1", 9);
    cr_assert(high.waitForEvents([&] { return !high.receivedVersions_.empty(); }));
}

// Guards against accepting another daemon at the expected address, such as a restarted one with a new id, or a peer
// that was removed from the set.
Test(transport, peerSetDecidesWhoIsConnected, .timeout = 20)
{
    TestDaemon low("a#1");
    TestDaemon high("b#2");
    low.setPeers({{DaemonId("b#1"), high.address().address_}});
    high.setPeers({low.address()});
    cr_assert(low.waitUntilClosed(CloseCause::WrongPeer));
    cr_assert_eq(low.peerUpCount_, 0);
    low.setPeers({high.address()});
    cr_assert(low.waitForEvents([&] { return low.peerUpCount_ == 1; }));
    cr_assert(high.waitForEvents([&] { return high.peerUpCount_ >= 1; }));
    high.setPeers({});
    cr_assert(high.waitForEvents([&] { return high.peerDownCount_ == high.peerUpCount_; }));
    cr_assert(low.waitForEvents([&] { return low.peerDownCount_ == 1; }));
}

// Sends bytes to a transport and checks that it closes the connection for the cause and still serves other peers.
static void checkClosedAfter(const std::string &bytes, CloseCause cause)
{
    TestDaemon daemon("b#1");
    daemon.setPeers({{DaemonId("a#1"), "127.0.0.1:1"}});
    const RawSocket socket = RawSocket::connectTo(daemon.transport_.port());
    socket.send(bytes);
    cr_assert(socket.closesWithin(static_cast<int>(TestTimeout.count())));
    cr_assert(daemon.waitUntilClosed(cause));
    // Another connection is still served.
    const RawSocket good = RawSocket::connectTo(daemon.transport_.port());
    good.send(makeHello("a#1", 2));
    cr_assert(!good.receive(static_cast<int>(TestTimeout.count())).empty());
}

// Guards against malformed input that crashes the process or is delivered as a message.
Test(transport, malformedInputClosesTheConnection, .timeout = 30)
{
    const std::string offer = encodeMessage(TaskOffer{});
    checkClosedAfter(makeHello("a#1", 1, PeerProtocolVersion + 1), CloseCause::UnsupportedVersion);
    checkClosedAfter(std::string("\x00\x00\x00\x02xy", 6), CloseCause::MalformedFrame);
    checkClosedAfter("\x7f\xff\xff\xff", CloseCause::OversizedFrame);
    checkClosedAfter(makeHello("a#1") + encodeFrame({1, 0}, offer.substr(0, 9)), CloseCause::MalformedFrame);
    checkClosedAfter(makeHello("a#1") + encodeFrame({2, 0}, offer), CloseCause::MalformedFrame);
    checkClosedAfter(makeHello("a#1") + std::string("\x00\x3d\x09\x01", 4), CloseCause::OversizedFrame);
    checkClosedAfter(makeHello("a#1") + std::string("\x00\x00\x00\x01z", 5), CloseCause::MalformedFrame);
}

// Guards against connections that stay open without being established: one that sends no hello, and one from a daemon
// outside the peer set.
Test(transport, halfOpenConnectionsAreClosed, .timeout = 20)
{
    TestDaemon daemon("b#1");
    const RawSocket silentSocket = RawSocket::connectTo(daemon.transport_.port());
    const RawSocket unknownPeer = RawSocket::connectTo(daemon.transport_.port());
    unknownPeer.send(makeHello("a#1"));
    cr_assert(silentSocket.closesWithin(static_cast<int>(TestTimeout.count())));
    cr_assert(unknownPeer.closesWithin(static_cast<int>(TestTimeout.count())));
    cr_assert(daemon.waitUntilClosed(CloseCause::Silent, 2));
    cr_assert_eq(daemon.peerUpCount_, 0);
}

// Guards against unlimited memory use for frames that are announced and never completed: each is within the limit of
// one frame. The connection that holds the most is closed, and the other one stays.
Test(transport, unfinishedFramesAreBounded, .timeout = 20)
{
    const ManualClock clock;
    TestDaemon daemon("b#1", {}, 1'000'000, &clock);
    daemon.setPeers({{DaemonId("a#1"), "127.0.0.1:1"}, {DaemonId("a#2"), "127.0.0.1:1"}});
    const std::string start("\x00\x3d\x09\x00", 4); // of a frame of MaxFrameBytes
    const RawSocket small = RawSocket::connectTo(daemon.transport_.port());
    small.send(makeHello("a#1"));
    const RawSocket large = RawSocket::connectTo(daemon.transport_.port());
    large.send(makeHello("a#2"));
    cr_assert(daemon.waitForEvents([&] { return daemon.peerUpCount_ == 2; }));
    small.send(start + std::string(500'000, 'x'));
    large.send(start + std::string(1'800'000, 'x'));
    cr_assert(daemon.waitUntilClosed(CloseCause::ReadBudget));
    cr_assert(large.closesWithin(static_cast<int>(TestTimeout.count())));
    cr_assert_eq(daemon.closedCount(), 1U);
}

// Guards against unlimited memory use for a peer that does not read what it is sent.
Test(transport, fullQueueClosesTheConnection, .timeout = 20)
{
    TestDaemon daemon("b#1", {}, 1'000'000);
    daemon.setPeers({{DaemonId("a#1"), "127.0.0.1:1"}});
    const RawSocket socket = RawSocket::connectTo(daemon.transport_.port());
    socket.send(makeHello("a#1"));
    cr_assert(daemon.waitForEvents([&] { return daemon.peerUpCount_ == 1; }));
    for (std::uint64_t i = 1; i <= 20; ++i) {
        daemon.sendConfigPush("a#1", i, 100'000);
    }
    cr_assert(daemon.waitUntilClosed(CloseCause::QueueFull));
    cr_assert(daemon.waitForEvents([&] { return daemon.peerDownCount_ == 1; }));
    cr_assert(daemon.pollUntil([&] { return daemon.transport_.counters().messagesDropped_ > 0; }));
}
