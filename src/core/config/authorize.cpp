// Authorization of requests by key or open queue, and the freshness of the version that this daemon reports to peers.
#include "core/config/config_internal.h"

#include <algorithm>
#include <limits>

namespace mimosapier
{

std::error_code authorize(const ConfigState &state, const TeamId &team, std::string_view key, std::string_view queue,
                          bool fresh)
{
    const Team *found = findTeam(state.bundle_, team);
    if (found != nullptr && !queue.empty()
        && std::find(found->openQueues_.begin(), found->openQueues_.end(), queue) != found->openQueues_.end()) {
        return {};
    }
    if (!fresh) {
        return ErrorKind::ConfigStale; // also for unknown teams: a newer version may define them
    }
    if (found == nullptr) {
        return ErrorKind::UnknownTeam;
    }
    if (key.empty()) {
        return ErrorKind::WrongKey;
    }
    const std::string hash = keyHash(key);
    bool granted = false;
    for (const std::string &candidate :
         found->keyHashes_) { // no early exit, so that the time does not depend on the key
        granted = equalConstantTime(candidate, hash) || granted;
    }
    return granted ? std::error_code() : ErrorKind::WrongKey;
}

PeerFreshness ownFreshness(const ConfigState &state, const DaemonId &self, TimePoint now)
{
    constexpr std::int64_t UnknownAge = std::numeric_limits<std::uint32_t>::max();
    PeerFreshness own;
    own.daemon_ = self;
    own.version_ = state.head_.version_;
    own.reach_ = state.lastHeadOpSucceeded_ ? StoreReach::Reached : StoreReach::Unreachable;
    own.headAgeMs_ = static_cast<std::uint32_t>(UnknownAge);
    if (state.headKnown_) {
        const auto age = std::chrono::ceil<Milliseconds>(now - state.headKnownAt_).count();
        own.headAgeMs_ = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UnknownAge));
    }
    own.notQuiet_ = !state.announcements_.empty();
    return own;
}

} // namespace mimosapier
