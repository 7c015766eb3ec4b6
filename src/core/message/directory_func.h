// Questions to the directory that several parts ask.
#pragma once

#include "core/message/context_type.h"

namespace mimosapier
{

// True when the directory shows this daemon as the present holder of a group with the epoch. False after a pause until
// the ownership table was read again: what a holder concludes from elapsed leases counts only while nobody else may
// have renewed them.
inline bool isConfirmedHolder(const Context &context, const ShardId &group, Epoch epoch)
{
    const ShardEntry *entry = findGroup(context.directory_, group);
    return entry != nullptr && entry->holder_ == context.self_ && entry->epoch_ == epoch && entry->reachable_;
}

} // namespace mimosapier
