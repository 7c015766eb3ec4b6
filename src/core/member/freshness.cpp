// Freshness of the configuration: conditions (a) and (b) of section 6 of docs/design.md.
//
// The age of what a heartbeat reports counts from the time when this daemon sent the heartbeat that the peer echoes,
// which is before the peer sent its own. A heartbeat that waited in a socket buffer during a pause of this process is
// therefore not taken as recent.
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
    return m.storeReached_ && !m.outage_ && m.now_ - m.storeOkAt_ < StoreReachAge;
}

PeerFreshness ownStatement(const Membership &m)
{
    PeerFreshness own = m.own_;
    own.daemon_ = m.settings_.self_;
    own.version_ = std::max({own.version_, m.applied_, m.heardVersion_});
    own.headAgeMs_ = UnknownAge;
    if (m.ownHeadKnown_ && own.version_ == m.own_.version_) {
        own.headAgeMs_ = ageInMs(m.now_, m.ownAt_ - Milliseconds(m.own_.headAgeMs_));
    }
    own.heardAgeMs_ = 0;
    own.reach_ = reachesStore(m) ? StoreReach::Reached : StoreReach::Unreachable;
    // Sign-offs do not ask a daemon that leaves or has had no member record for long, so it must not count as quiet.
    own.announced_ = own.announced_ || m.leaving_ || m.blocked_ || m.now_ - m.storeOkAt_ >= QuietFor;
    return own;
}

void setOwnFreshness(Membership &membership, const PeerFreshness &freshness)
{
    membership.own_ = freshness;
    membership.ownAt_ = membership.now_;
    membership.ownHeadKnown_ = freshness.headAgeMs_ != UnknownAge;
}

void takeStatements(Membership &m, const DaemonId &from, const Heartbeat &message, TimePoint saidAt)
{
    for (const PeerFreshness &freshness : message.freshness_) {
        if (freshness.daemon_ == m.settings_.self_) {
            continue;
        }
        const bool direct = freshness.daemon_.empty();
        const TimePoint said = direct ? saidAt : saidAt - Milliseconds(freshness.heardAgeMs_);
        Statement &known = m.statements_[direct ? from : freshness.daemon_];
        if (known.freshness_.daemon_.empty() || said > known.saidAt_) {
            known = {freshness, said, said - Milliseconds(freshness.headAgeMs_), freshness.headAgeMs_ != UnknownAge};
            known.freshness_.daemon_ = direct ? from : freshness.daemon_;
        }
    }
}

std::vector<PeerFreshness> relayedStatements(const Membership &m, bool toOwnRegion)
{
    std::vector<PeerFreshness> list;
    if (reachesStore(m)) {
        return list;
    }
    for (const auto &[daemon, statement] : m.statements_) {
        const auto member = m.members_.find(daemon);
        const bool own = member != m.members_.end() && member->second.record_.region_ == m.settings_.region_;
        if (own == toOwnRegion || m.now_ - statement.saidAt_ > FreshFor) {
            continue;
        }
        PeerFreshness freshness = statement.freshness_;
        freshness.heardAgeMs_ = ageInMs(m.now_, statement.saidAt_);
        freshness.headAgeMs_ = statement.headKnown_ ? ageInMs(statement.saidAt_, statement.headAt_) : UnknownAge;
        list.push_back(std::move(freshness));
    }
    return list;
}

Milliseconds headAge(const Membership &membership, TimePoint now)
{
    const Membership &m = membership;
    bool known = false;
    TimePoint newest;
    const auto take = [&](TimePoint headAt) {
        newest = known ? std::max(newest, headAt) : headAt;
        known = true;
    };
    // A head at or below the applied version shows that the applied version was current at that time.
    if (m.ownHeadKnown_ && m.own_.version_ <= m.applied_) {
        take(m.ownAt_ - Milliseconds(m.own_.headAgeMs_));
    }
    for (const auto &[daemon, statement] : m.statements_) {
        if (statement.headKnown_ && statement.freshness_.version_ <= m.applied_) {
            take(statement.headAt_);
        }
    }
    return known ? std::chrono::ceil<Milliseconds>(now - newest) : Milliseconds::max();
}

// Condition (b): a majority of the voters, this daemon among them, reported within FreshFor that they neither reach the
// store nor know of a newer or announced head. A sign-off announces its change to a majority first, so none
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
        const auto found = m.statements_.find(daemon);
        if (found == m.statements_.end()) {
            return;
        }
        const PeerFreshness &freshness = found->second.freshness_;
        if (now - found->second.saidAt_ < FreshFor && freshness.version_ <= m.applied_ && !freshness.announced_
            && freshness.reach_ == StoreReach::Unreachable) {
            ++quiet;
        }
    };
    const PeerFreshness own = ownStatement(m);
    if (own.version_ > m.applied_ || own.announced_ || own.reach_ != StoreReach::Unreachable) {
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
            if (!m.goneForGood_.contains(voter)) {
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
    if (membership.applied_.value_ == 0) {
        return false;
    }
    return headAge(membership, now) < FreshFor || majorityIsQuiet(membership, now);
}

BundleVersion highestVersionHeard(const Membership &membership)
{
    return membership.heardVersion_;
}

void setVoters(Membership &membership, std::span<const DaemonId> voters)
{
    if (!std::equal(voters.begin(), voters.end(), membership.voters_.begin(), membership.voters_.end())) {
        membership.voters_.assign(voters.begin(), voters.end());
    }
}

// Daemon id without its incarnation.
static std::string_view daemonName(const DaemonId &daemon)
{
    return std::string_view(daemon.value_).substr(0, daemon.value_.find('#'));
}

void tickVoters(Membership &m)
{
    std::erase_if(m.recordSeen_, [&m](const auto &entry) {
        return std::find(m.voters_.begin(), m.voters_.end(), entry.first) == m.voters_.end();
    });
    std::map<std::string_view, const DaemonId *> byName;
    for (const auto &[daemon, entry] : m.members_) {
        byName.emplace(daemonName(daemon), &daemon);
    }
    for (const DaemonId &voter : m.voters_) {
        TimePoint &seen = m.recordSeen_.try_emplace(voter, m.now_).first->second;
        const auto member = byName.find(daemonName(voter));
        if (isMember(m, voter)) {
            seen = m.now_;
        } else if (m.outage_) {
            seen = std::max(seen, m.storeOkAt_);
        }
        if (!isMember(m, voter) && member != byName.end()) {
            m.goneForGood_.insert(voter);
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
    for (const auto &[daemon, seen] : m.recordSeen_) {
        if (!isMember(m, daemon) && !m.goneForGood_.contains(daemon) && m.now_ - seen < VoterRetention) {
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
