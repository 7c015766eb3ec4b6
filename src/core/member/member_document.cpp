// JSON of the admin view on members and ownership.
#include "core/member/member_internal.h"

#include "core/common/json_func.h"
#include "core/common/shard_func.h"

namespace mimosapier
{

static void appendMembers(std::string &out, const Membership &m)
{
    out += "\"members\":[";
    std::string separator;
    for (const auto &[daemon, entry] : m.members_) {
        const auto peer = m.peers_.find(daemon);
        const bool up = daemon == m.settings_.self_ || (peer != m.peers_.end() && peer->second.up_);
        out += separator + "{\"daemon\":" + jsonString(daemon.value_);
        out += ",\"region\":" + jsonString(entry.record_.region_.value_);
        out += ",\"zone\":" + jsonString(entry.record_.zone_.value_);
        out += ",\"address\":" + jsonString(entry.record_.peerAddress_);
        out += std::string(",\"leaving\":") + (isLeavingMember(m, daemon) ? "true" : "false");
        out += std::string(",\"connected\":") + (up ? "true" : "false") + "}";
        separator = ",";
    }
    out += "]";
}

static void appendShards(std::string &out, const std::vector<ShardEntry> &shards, std::string &separator)
{
    for (const ShardEntry &entry : shards) {
        out += separator + "{\"shard\":" + jsonString(entry.shard_.value_);
        out += ",\"holder\":" + jsonString(entry.holder_.value_);
        out += ",\"epoch\":" + std::to_string(entry.epoch_.value_);
        out += std::string(",\"reachable\":") + (entry.reachable_ ? "true" : "false");
        out += ",\"capacity\":" + std::to_string(entry.load_.capacitySlots_);
        out += ",\"free\":" + std::to_string(entry.load_.freeSlots_);
        out += ",\"queued\":" + std::to_string(entry.load_.queued_);
        out += ",\"wait_ms\":" + std::to_string(entry.load_.waitMs_) + "}";
        separator = ",";
    }
}

std::string memberDocument(const Membership &membership, TimePoint now)
{
    const Membership &m = membership;
    const Milliseconds age = headAge(m, now);
    std::string out = "{\"daemon\":" + jsonString(m.settings_.self_.value_);
    out += ",\"region\":" + jsonString(m.settings_.region_.value_);
    out += std::string(",\"relay\":") + (isRelay(m) ? "true" : "false");
    out += std::string(",\"leaving\":") + (m.leaving_ ? "true" : "false");
    out += std::string(",\"store_reached\":") + (m.storeReached_ && !m.outage_ ? "true" : "false");
    out += std::string(",\"config_fresh\":") + (configIsFresh(m, now) ? "true" : "false");
    out += ",\"head_age_ms\":" + (age == Milliseconds::max() ? std::string("null") : std::to_string(age.count()));
    out += ",\"version\":" + std::to_string(m.applied_.value_) + ",";
    appendMembers(out, m);
    out += ",\"shards\":[";
    std::string separator;
    appendShards(out, m.directory_.groups_, separator);
    appendShards(out, m.directory_.partitions_, separator);
    return out + "]}";
}

} // namespace mimosapier
