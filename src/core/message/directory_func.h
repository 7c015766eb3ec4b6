// Queries of the directory that several parts use.
#pragma once

#include "core/message/context_type.h"

namespace mimosapier
{

// Whether the directory shows this daemon as the current holder of a group with this epoch. False after a pause of the
// process until the ownership table has been read again. A holder may treat worker leases as expired only while this is
// true, because another holder could have renewed them.
inline bool isConfirmedHolder(const Context &context, const ShardId &group, Epoch epoch)
{
    const ShardEntry *entry = findGroup(context.directory_, group);
    return entry != nullptr && entry->holder_ == context.self_ && entry->epoch_ == epoch && entry->reachable_;
}

} // namespace mimosapier
