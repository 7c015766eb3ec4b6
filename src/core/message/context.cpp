// Directory look-ups, and functions that append actions.
#include "core/message/context_type.h"

#include <algorithm>

namespace mimosapier
{

static const ShardEntry *findShard(const std::vector<ShardEntry> &entries, const ShardId &shard)
{
    const auto found = std::lower_bound(entries.begin(), entries.end(), shard,
                                        [](const ShardEntry &entry, const ShardId &id) { return entry.shard_ < id; });
    if (found == entries.end() || found->shard_ != shard) {
        return nullptr;
    }
    return &*found;
}

const ShardEntry *findGroup(const Directory &directory, const ShardId &group)
{
    return findShard(directory.groups_, group);
}

const ShardEntry *findPartition(const Directory &directory, const ShardId &partition)
{
    return findShard(directory.partitions_, partition);
}

void sendPeer(Context &context, const DaemonId &to, PeerMessage message)
{
    context.actions_.push(PeerSend{to, std::move(message)});
}

StoreOpId sendStore(Context &context, StoreComponent component, const ShardId &shard, StoreOp op)
{
    const StoreOpId id{context.actions_.nextId()};
    context.actions_.push(StoreRequest{id, component, shard, std::move(op)});
    return id;
}

void logLine(Context &context, LogLevel level, std::string text)
{
    context.actions_.push(LogLine{level, std::move(text)});
}

} // namespace mimosapier
