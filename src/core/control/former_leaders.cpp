// Former leaders: which earlier leaders may still act, and until when. pollElection() keeps the answer current in the
// cell of the leader, which counts leases from then, and in the store, for daemons that have just started.
//
// A former leader may act until the grace time after its session. It has ended before when it has announced that, when
// its process was replaced, or when nobody can confirm to it any more that it leads. For the last, a leader knows which
// daemons may follow its predecessor, and stores them for later leaders that have never heard of it.
#include "core/control/control_internal.h"

#include <algorithm>
#include <charconv>

namespace mimosapier::detail
{

// A daemon with which a leader was in contact this long before it was replaced is known to that leader as a member as
// long as it acts, see UnlistedMemberRetention.
static constexpr Milliseconds KnownMemberAge{10'000};
static constexpr Milliseconds FormerLeadersRetryDelay{500};

bool parseEpoch(std::string_view text, CellEpoch &epoch, DaemonId &leader)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), epoch.value_);
    if (error != std::errc{} || end == text.data() + text.size()) {
        return false;
    }
    leader = DaemonId(std::string(end + 1, text.data() + text.size()));
    return true;
}

void addFormerLeader(Control &control, CellEpoch epoch, const DaemonId &daemon, TimePoint now)
{
    if (!daemon.empty() && daemon != control.settings_.self_) {
        control.formerLeaders_[epoch] = {daemon, now + sessionTtl(control) + LeaderGrace, {}};
    }
}

bool addKnownEpoch(Control &control, CellEpoch epoch)
{
    constexpr std::size_t MaxKnownEpochs = 64; // much more than there are elections within LeaderGrace
    std::set<CellEpoch> &known = control.knownEpochs_;
    if (known.size() == MaxKnownEpochs) {
        if (epoch < *known.begin()) {
            return false;
        }
        known.erase(known.begin());
    }
    return known.insert(epoch).second;
}

std::string encodeFormerLeaders(const Control &control)
{
    std::string text;
    const auto add = [&text](CellEpoch epoch, const DaemonId &daemon) {
        text += std::to_string(epoch.value_) + " " + daemon.value_ + "\n";
    };
    for (const auto &[epoch, leader] : control.formerLeaders_) {
        add(epoch, leader.daemon_);
    }
    if (!control.lastLeader_.empty()) {
        add(control.lastLeaderEpoch_, control.lastLeader_);
    }
    return text;
}

void learnFormerLeaders(Control &control, std::string_view text, TimePoint now)
{
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(line.size() + 1, text.size()));
        CellEpoch epoch;
        DaemonId daemon;
        if (parseEpoch(line, epoch, daemon) && epoch < control.epoch_ && addKnownEpoch(control, epoch)) {
            addFormerLeader(control, epoch, daemon, now);
        }
    }
}

// The part of the id that is the same for all processes of the instance, with the separator.
static std::string daemonName(const DaemonId &daemon)
{
    return daemon.value_.substr(0, daemon.value_.find('#')) + "#";
}

// True when a later process with the name of the daemon has registered. An instance runs one daemon process at a time,
// so the earlier one has ended; its member record stays until its session expires. The revisions of the member records
// tell which process registered later. Daemon ids have the form "<name>#<incarnation>".
bool isReplaced(const Control &control, const DaemonId &daemon)
{
    const DaemonId &self = control.settings_.self_;
    if (daemon == self) {
        return false;
    }
    const std::string name = daemonName(daemon);
    if (self.value_.starts_with(name)) {
        return true;
    }
    const auto known = control.members_.find(daemon);
    const std::uint64_t recordRevision = known == control.members_.end() ? 0 : known->second.recordRevision_;
    return std::any_of(control.members_.begin(), control.members_.end(), [&](const auto &entry) {
        const auto &[candidate, member] = entry;
        return member.listed_ && candidate != daemon && candidate.value_.starts_with(name)
            && member.recordRevision_ > recordRevision;
    });
}

static bool hasRetired(const Control &control, const DaemonId &daemon, CellEpoch epoch)
{
    const auto member = control.members_.find(daemon);
    return member != control.members_.end() && member->second.retired_ >= epoch;
}

// True when no process with the id of the listed daemon can confirm to the leader of the epoch that it leads: it has
// ended, since a later process has its name, or it knows of a later leader.
static bool hasStoppedFollowing(const Control &control, const FormerFollower &follower, CellEpoch epoch)
{
    const std::string name = daemonName(follower.daemon_);
    if (control.settings_.self_.value_.starts_with(name)) {
        return true; // this process, which knows of a later leader, or an earlier one
    }
    return std::any_of(control.members_.begin(), control.members_.end(), [&](const auto &entry) {
        const auto &[candidate, member] = entry;
        if (candidate == follower.daemon_) {
            return member.epoch_ > epoch;
        }
        // Without a known record of the daemon, the candidate's may be of an earlier process.
        return follower.recordRevision_ != 0 && candidate.value_.starts_with(name)
            && member.recordRevision_ > follower.recordRevision_;
    });
}

// True when the store lists the daemons that may follow the leader of the epoch, and none of them does so any more. The
// daemon that has stored them was known to that leader as a member, so that it steps down by itself when nobody
// confirms it, see isIsolated().
static bool haveStoredFollowersStopped(const Control &control, CellEpoch epoch)
{
    const auto stored = control.storedFollowers_.find(epoch);
    return stored != control.storedFollowers_.end()
        && std::all_of(stored->second.begin(), stored->second.end(),
                       [&](const FormerFollower &follower) { return hasStoppedFollowing(control, follower, epoch); });
}

// True when a daemon may confirm to the leader of the epoch that it leads: it does not know of a later one.
static bool isFollowed(const Control &control, const DaemonId &leader, CellEpoch epoch)
{
    return std::any_of(control.members_.begin(), control.members_.end(), [&](const auto &entry) {
        const auto &[daemon, member] = entry;
        return daemon != leader && member.epoch_ <= epoch && !isReplaced(control, daemon);
    });
}

// True when the daemon has this one among its members, as leader until it ends.
static bool knowsSelf(const Control &control, const DaemonId &daemon)
{
    const auto known = control.members_.find(daemon);
    return known != control.members_.end() && known->second.echoedBeaconSentAt_ != TimePoint{}
    && known->second.echoedBeaconSentAt_ + KnownMemberAge >= control.cell_->acquiredAt_;
}

// True when all members that registered before the own election are known.
static bool areMembersKnown(const Control &control)
{
    return control.clusterFeed_.synced_ && control.clusterFeed_.revision_ >= control.epochKeyRevision_;
}

// Shortens the time until which former leaders act that are isolated: the store confirms only this daemon, and each
// other one knows of a later leader or has ended. Such a leader steps down by itself, see isIsolated().
static void noteIsolatedLeaders(Control &control, TimePoint now)
{
    if (!areMembersKnown(control)) {
        return;
    }
    for (auto &[epoch, leader] : control.formerLeaders_) {
        const auto isIsolatedNow = [&control, epoch = epoch, &daemon = leader.daemon_] {
            return knowsSelf(control, daemon) ? !isFollowed(control, daemon, epoch)
                                              : haveStoredFollowersStopped(control, epoch);
        };
        if (leader.isolatedSince_ == TimePoint{} && isIsolatedNow()) {
            leader.isolatedSince_ = now;
            leader.actsUntil_ = std::min<TimePoint>(leader.actsUntil_, now + IsolationLimit);
        }
    }
}

// Forgets the former leaders that make no more calls: they have announced that they stepped down, their process was
// replaced, or their time is over.
void removeEndedLeaders(Control &control, TimePoint now)
{
    std::erase_if(control.formerLeaders_, [&](const auto &entry) {
        const auto &[epoch, leader] = entry;
        return now >= leader.actsUntil_ || hasRetired(control, leader.daemon_, epoch)
            || isReplaced(control, leader.daemon_);
    });
}

// Upper bound of the time until which former leaders act, `now` if there are none.
static TimePoint formerLeadersEndBy(Control &control, TimePoint now)
{
    noteIsolatedLeaders(control, now);
    removeEndedLeaders(control, now);
    TimePoint endBy = now;
    for (const auto &[epoch, leader] : control.formerLeaders_) {
        endBy = std::max(endBy, leader.actsUntil_);
    }
    return endBy;
}

void updateFormerLeadersEnd(Control &control, CellTime now, ControlActions &actions)
{
    const TimePoint endBy = formerLeadersEndBy(control, now.steady_);
    if (endBy == control.cell_->formerLeadersEndBy_) {
        return;
    }
    control.cell_->formerLeadersEndBy_ = endBy;
    JsonObject line = beginLogLine("former-leaders");
    line.number("epoch", static_cast<std::int64_t>(control.cell_->epoch_.value_));
    line.number("acting", static_cast<std::int64_t>(control.formerLeaders_.size()));
    line.number("until_ms", -ageMs(now.steady_, endBy));
    if (!control.formerLeaders_.empty()) {
        line.text("latest", control.formerLeaders_.rbegin()->second.daemon_.value_);
    }
    appendLogLine(actions, line);
}

// A call that writes lists of former leaders unless another daemon has been elected: its former leaders would be those
// before it.
static KvCall makeListCall(const Control &control, KvPurpose purpose)
{
    KvCall call;
    call.purpose_ = purpose;
    call.op_ = KvOp::Commit;
    call.conditions_ = {{std::string(LeaderKey), control.cell_->leaderKeyRevision_},
                        {std::string(EpochKey), control.epochKeyRevision_}};
    call.lane_ = static_cast<std::uint32_t>(control.cell_->epoch_.value_);
    return call;
}

// The list does not say since when they act no more, so that a daemon which reads it for the first time waits for each
// of them.
void emptyFormerLeadersKey(Control &control, TimePoint now, ControlActions &actions)
{
    if (!control.storesFormerLeaders_ || control.storingFormerLeaders_ || control.storingFollowers_
        || !control.leaderKeyExists_
        || now < std::max(control.cell_->formerLeadersEndBy_, control.storeFormerLeadersAt_)) {
        return;
    }
    KvCall call = makeListCall(control, KvPurpose::StoreFormerLeaders);
    call.writes_ = {{std::string(FormerLeadersKey), "", 0}, {std::string(FollowersKey), "", 0}};
    control.storingFormerLeaders_ = true;
    sendKvCall(control, std::move(call), actions);
}

void handleFormerLeadersReply(Control &control, const KvReply &reply, CellTime now)
{
    if (!control.cell_ || reply.lane_ != static_cast<std::uint32_t>(control.cell_->epoch_.value_)) {
        return; // of an earlier epoch
    }
    control.storingFormerLeaders_ = false;
    control.storesFormerLeaders_ = reply.status_ != KvStatus::Ok;
    control.storeFormerLeadersAt_ = now.steady_ + FormerLeadersRetryDelay;
}

// Value of FollowersKey: a line "<epoch> <record revision> <daemon>" for each follower.
static std::string encodeFollowers(const FormerFollowers &followers)
{
    std::string text;
    for (const auto &[epoch, daemons] : followers) {
        for (const FormerFollower &follower : daemons) {
            text += std::to_string(epoch.value_) + " " + std::to_string(follower.recordRevision_) + " "
                + follower.daemon_.value_ + "\n";
        }
    }
    return text;
}

// Takes a number and the space after it from the front of the text. Result: false if they are not there.
static bool takeNumber(std::string_view &text, std::uint64_t &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end == text.data() + text.size() || *end != ' ') {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()) + 1);
    return true;
}

FormerFollowers parseFollowers(std::string_view text)
{
    FormerFollowers followers;
    while (!text.empty()) {
        const std::size_t length = text.find('\n');
        std::string_view line = text.substr(0, length);
        CellEpoch epoch;
        FormerFollower follower;
        if (length == std::string_view::npos || !takeNumber(line, epoch.value_)
            || !takeNumber(line, follower.recordRevision_) || line.empty()) {
            return {}; // a part of a list would lack followers
        }
        follower.daemon_ = DaemonId(std::string(line));
        followers[epoch].push_back(std::move(follower));
        text.remove_prefix(length + 1);
    }
    return followers;
}

// All daemons that may confirm to the former leader that it leads; to be called while areMembersKnown(). Daemons that
// registered after the own election know of it.
static std::vector<FormerFollower> followersOf(const Control &control, const DaemonId &leader)
{
    std::vector<FormerFollower> followers{{control.settings_.self_, control.session_.recordRevision_}};
    for (const auto &[daemon, member] : control.members_) {
        if (daemon != leader && !isReplaced(control, daemon)) {
            followers.push_back({daemon, member.recordRevision_});
        }
    }
    return followers;
}

// Only a leader that a former leader knows as a member can tell who may follow that one, see isIsolated(). Lists of
// earlier leaders are kept.
void storeFollowers(Control &control, TimePoint now, ControlActions &actions)
{
    if (control.storingFollowers_ || !control.leaderKeyExists_ || now < control.storeFollowersAt_
        || !areMembersKnown(control)) {
        return;
    }
    FormerFollowers followers;
    bool isExtended = false;
    for (const auto &[epoch, leader] : control.formerLeaders_) {
        const auto stored = control.storedFollowers_.find(epoch);
        if (stored != control.storedFollowers_.end()) {
            followers[epoch] = stored->second;
        } else if (knowsSelf(control, leader.daemon_)) {
            followers[epoch] = followersOf(control, leader.daemon_);
            isExtended = true;
        }
    }
    if (!isExtended) {
        return;
    }
    KvCall call = makeListCall(control, KvPurpose::StoreFollowers);
    call.writes_ = {{std::string(FollowersKey), encodeFollowers(followers), 0}};
    control.followersInFlight_ = std::move(followers);
    control.storingFollowers_ = true;
    control.storesFormerLeaders_ = true; // both lists are emptied together
    sendKvCall(control, std::move(call), actions);
}

void handleFollowersReply(Control &control, const KvReply &reply, CellTime now)
{
    if (!control.cell_ || reply.lane_ != static_cast<std::uint32_t>(control.cell_->epoch_.value_)) {
        return; // of an earlier epoch
    }
    control.storingFollowers_ = false;
    control.storeFollowersAt_ = now.steady_ + FormerLeadersRetryDelay;
    if (reply.status_ == KvStatus::Ok) {
        control.storedFollowers_ = std::move(control.followersInFlight_);
        control.followersInFlight_ = {};
    }
}

} // namespace mimosapier::detail
