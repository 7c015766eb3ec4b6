// Freshness of the configuration: conditions (a) and (b) of section 6 of docs/design.md.
//
// A peer's heartbeat echoes the sequence number of one that this daemon sent before. Ages in the peer's heartbeat count
// from the send time of the echoed one, which is a lower bound of the peer's own send time. A heartbeat that waited in
// a socket buffer during a pause of this process is therefore not taken as recent.
#include "core/member/member_internal.h"

#include <algorithm>
#include <limits>

namespace mimosapier
{

static constexpr std::uint32_t UnknownAge = std::numeric_limits<std::uint32_t>::max();

static std::uint32_t ageInMs(TimePoint now, TimePoint then)
{
    const auto age = std::chrono::ceil<Milliseconds>(now - then).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UnknownAge));
}

static bool reachesStore(const Membership &m)
{
    return m.storeReachedOnce_ && !m.outage_ && m.now_ - m.storeAnsweredAt_ < StoreReachTimeout;
}

PeerFreshness currentOwnFreshness(const Membership &m)
{
    PeerFreshness own = m.ownFreshness_;
    own.daemon_ = m.settings_.self_;
    own.version_ = std::max({own.version_, m.bundleVersion_, m.highestPeerVersion_});
    own.headAgeMs_ = UnknownAge;
    if (m.ownHeadKnown_ && own.version_ == m.ownFreshness_.version_) {
        own.headAgeMs_ = ageInMs(m.now_, m.ownFreshnessSetAt_ - Milliseconds(m.ownFreshness_.headAgeMs_));
    }
    own.heardAgeMs_ = 0;
    own.reach_ = reachesStore(m) ? StoreReach::Reached : StoreReach::Unreachable;
    // Sign-offs do not ask a daemon that leaves or has had no member record for long, so it must not count as quiet.
    own.notQuiet_
        = own.notQuiet_ || m.leaving_ || m.renewalRequired_ || m.now_ - m.storeAnsweredAt_ >= MaxQuietDuration;
    return own;
}

void setOwnFreshness(Membership &membership, const PeerFreshness &freshness)
{
    membership.ownFreshness_ = freshness;
    membership.ownFreshnessSetAt_ = membership.now_;
    membership.ownHeadKnown_ = freshness.headAgeMs_ != UnknownAge;
}

void applyFreshness(Membership &m, const DaemonId &from, const Heartbeat &message, TimePoint reportedAt)
{
    for (const PeerFreshness &freshness : message.freshness_) {
        if (freshness.daemon_ == m.settings_.self_) {
            continue;
        }
        const bool direct = freshness.daemon_.empty();
        const TimePoint daemonReportedAt = direct ? reportedAt : reportedAt - Milliseconds(freshness.heardAgeMs_);
        ReceivedFreshness &known = m.receivedFreshness_[direct ? from : freshness.daemon_];
        if (known.freshness_.daemon_.empty() || daemonReportedAt > known.reportedAt_) {
            known = {freshness, daemonReportedAt, daemonReportedAt - Milliseconds(freshness.headAgeMs_),
                     freshness.headAgeMs_ != UnknownAge};
            known.freshness_.daemon_ = direct ? from : freshness.daemon_;
        }
    }
}

std::vector<PeerFreshness> relayedFreshness(const Membership &m, bool toOwnRegion)
{
    std::vector<PeerFreshness> list;
    if (reachesStore(m)) {
        return list;
    }
    for (const auto &[daemon, received] : m.receivedFreshness_) {
        const auto member = m.members_.find(daemon);
        const bool own = member != m.members_.end() && member->second.record_.region_ == m.settings_.region_;
        if (own == toOwnRegion || m.now_ - received.reportedAt_ > FreshnessWindow) {
            continue;
        }
        PeerFreshness freshness = received.freshness_;
        freshness.heardAgeMs_ = ageInMs(m.now_, received.reportedAt_);
        freshness.headAgeMs_ = received.headKnown_ ? ageInMs(received.reportedAt_, received.headSeenAt_) : UnknownAge;
        list.push_back(std::move(freshness));
    }
    return list;
}

Milliseconds headAge(const Membership &membership, TimePoint now)
{
    const Membership &m = membership;
    bool known = false;
    TimePoint newest;
    const auto consider = [&](TimePoint headAt) {
        newest = known ? std::max(newest, headAt) : headAt;
        known = true;
    };
    // A head at or below the applied version shows that the applied version was current at that time.
    if (m.ownHeadKnown_ && m.ownFreshness_.version_ <= m.bundleVersion_) {
        consider(m.ownFreshnessSetAt_ - Milliseconds(m.ownFreshness_.headAgeMs_));
    }
    for (const auto &[daemon, received] : m.receivedFreshness_) {
        if (received.headKnown_ && received.freshness_.version_ <= m.bundleVersion_) {
            consider(received.headSeenAt_);
        }
    }
    return known ? std::chrono::ceil<Milliseconds>(now - newest) : Milliseconds::max();
}

// Condition (b): a majority of the voters, this daemon among them, reported within FreshnessWindow that they neither
// reach the store nor know of a newer or announced head. A sign-off announces its change to a majority first, so none
// can have succeeded unnoticed.
static bool majorityIsQuiet(const Membership &m, TimePoint now)
{
    std::size_t quiet = 0;
    std::size_t total = 0;
    const auto count = [&](const DaemonId &daemon) {
        ++total;
        if (daemon == m.settings_.self_) {
            return;
        }
        const auto found = m.receivedFreshness_.find(daemon);
        if (found == m.receivedFreshness_.end()) {
            return;
        }
        const PeerFreshness &freshness = found->second.freshness_;
        if (now - found->second.reportedAt_ < FreshnessWindow && freshness.version_ <= m.bundleVersion_
            && !freshness.notQuiet_ && freshness.reach_ == StoreReach::Unreachable) {
            ++quiet;
        }
    };
    const PeerFreshness own = currentOwnFreshness(m);
    if (own.version_ > m.bundleVersion_ || own.notQuiet_ || own.reach_ != StoreReach::Unreachable) {
        return false;
    }
    bool selfCounts = false;
    if (m.voters_.empty()) {
        selfCounts = m.members_.contains(m.settings_.self_);
        for (const auto &[daemon, entry] : m.members_) {
            count(daemon);
        }
    } else {
        for (const DaemonId &voter : m.voters_) {
            if (!m.departedDaemons_.contains(voter)) {
                selfCounts = selfCounts || voter == m.settings_.self_;
                count(voter);
            }
        }
    }
    quiet += selfCounts ? 1 : 0;
    return 2 * quiet > total;
}

bool configIsFresh(const Membership &membership, TimePoint now)
{
    if (membership.bundleVersion_.value_ == 0) {
        return false;
    }
    return headAge(membership, now) < FreshnessWindow || majorityIsQuiet(membership, now);
}

BundleVersion highestPeerVersion(const Membership &membership)
{
    return membership.highestPeerVersion_;
}

void setVoters(Membership &membership, std::span<const DaemonId> voters)
{
    if (!std::equal(voters.begin(), voters.end(), membership.voters_.begin(), membership.voters_.end())) {
        membership.voters_.assign(voters.begin(), voters.end());
    }
    for (const DaemonId &voter : voters) { // memberDaemons() names them although their records may be gone
        membership.recordSeenAt_.try_emplace(voter, membership.now_);
    }
}

// Daemon id without its incarnation.
static std::string_view daemonName(const DaemonId &daemon)
{
    return std::string_view(daemon.value_).substr(0, daemon.value_.find('#'));
}

void tickVoters(Membership &m)
{
    std::erase_if(m.recordSeenAt_, [&m](const auto &entry) {
        return std::find(m.voters_.begin(), m.voters_.end(), entry.first) == m.voters_.end();
    });
    std::map<std::string_view, const DaemonId *> byName;
    for (const auto &[daemon, entry] : m.members_) {
        byName.emplace(daemonName(daemon), &daemon);
    }
    for (const DaemonId &voter : m.voters_) {
        TimePoint &seen = m.recordSeenAt_.try_emplace(voter, m.now_).first->second;
        const auto member = byName.find(daemonName(voter));
        if (isMember(m, voter)) {
            seen = m.now_;
        } else if (m.outage_) {
            // During an outage, VoterRetention counts from the store's last answer at the earliest.
            seen = std::max(seen, m.storeAnsweredAt_);
        }
        if (!isMember(m, voter) && member != byName.end()) {
            m.departedDaemons_.insert(voter);
        }
    }
}

std::vector<DaemonId> memberDaemons(const Membership &membership)
{
    const Membership &m = membership;
    std::vector<DaemonId> daemons;
    for (const auto &[daemon, entry] : m.members_) {
        daemons.push_back(daemon);
    }
    for (const auto &[daemon, seen] : m.recordSeenAt_) {
        if (!isMember(m, daemon) && !m.departedDaemons_.contains(daemon) && m.now_ - seen < VoterRetention) {
            daemons.push_back(daemon);
        }
    }
    std::sort(daemons.begin(), daemons.end());
    return daemons;
}

std::vector<DaemonId> regionDaemons(const Membership &membership)
{
    std::vector<DaemonId> daemons;
    for (const auto &[daemon, entry] : membership.members_) {
        if (entry.record_.region_ == membership.settings_.region_) {
            daemons.push_back(daemon);
        }
    }
    return daemons;
}

bool isRelay(const Membership &membership)
{
    const std::vector<DaemonId> daemons = regionDaemons(membership);
    return !daemons.empty() && daemons.front() == membership.settings_.self_;
}

} // namespace mimosapier
