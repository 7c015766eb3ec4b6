// JSON document of members and ownership for the admin view.
#include "core/member/member_internal.h"

#include "core/common/json_func.h"
#include "core/common/shard_func.h"

namespace mimosapier
{

static std::string membersArray(const Membership &m)
{
    JsonArray members;
    for (const auto &[daemon, entry] : m.members_) {
        const auto peer = m.peers_.find(daemon);
        const bool connected = daemon == m.settings_.self_ || (peer != m.peers_.end() && peer->second.connected_);
        members.raw(JsonObject()
                        .text("daemon", daemon.value_)
                        .text("region", entry.record_.region_.value_)
                        .text("zone", entry.record_.zone_.value_)
                        .text("address", entry.record_.peerAddress_)
                        .boolean("leaving", isLeavingMember(m, daemon))
                        .boolean("connected", connected)
                        .finish());
    }
    return members.finish();
}

static void appendShards(JsonArray &out, const std::vector<ShardEntry> &shards)
{
    for (const ShardEntry &entry : shards) {
        out.raw(JsonObject()
                    .text("shard", entry.shard_.value_)
                    .text("holder", entry.holder_.value_)
                    .number("epoch", static_cast<std::int64_t>(entry.epoch_.value_))
                    .boolean("reachable", entry.reachable_)
                    .number("capacity", entry.load_.capacitySlots_)
                    .number("free", entry.load_.freeSlots_)
                    .number("queued", entry.load_.queued_)
                    .number("wait_ms", entry.load_.waitMs_)
                    .finish());
    }
}

std::string memberDocument(const Membership &membership, TimePoint now)
{
    const Membership &m = membership;
    const Milliseconds age = headAge(m, now);
    JsonArray shards;
    appendShards(shards, m.directory_.groups_);
    appendShards(shards, m.directory_.partitions_);
    return JsonObject()
        .text("daemon", m.settings_.self_.value_)
        .text("region", m.settings_.region_.value_)
        .boolean("relay", isRelay(m))
        .boolean("leaving", m.leaving_)
        .boolean("store_reached", m.storeReachedOnce_ && !m.outage_)
        .boolean("config_fresh", configIsFresh(m, now))
        .raw("head_age_ms", age == Milliseconds::max() ? "null" : std::to_string(age.count()))
        .number("version", static_cast<std::int64_t>(m.bundleVersion_.value_))
        .raw("members", membersArray(m))
        .raw("shards", shards.finish())
        .finish();
}

} // namespace mimosapier
