// Allowances: the part of each team's upper limit that a group may use. Kept in the store and changed by
// compare-and-swap, so that the sum over all groups never exceeds the limit.
#pragma once

#include "core/common/handle_type.h"
#include "core/message/context_type.h"

#include <cstdint>

namespace mimosapier
{

struct AllowanceState;

template <>
void Destroy<AllowanceState>::operator()(AllowanceState *state) const;

Handle<AllowanceState> makeAllowances();

// The shard was gained or lost. A lost group's allowance is no longer used here; a gained one is usable after a read
// that started after the gain.
void openGroupAllowances(AllowanceState &state, const ShardId &group, Context &context);
void closeGroupAllowances(AllowanceState &state, const ShardId &group);

// Tasks of the team that the group may have running in all, at this moment. 0 when not known.
std::uint32_t usableAllowance(const AllowanceState &state, const ShardId &group, const TeamId &team);

// True when usableAllowance shows what the store holds, so that running tasks above it may be stopped.
bool allowanceKnown(const AllowanceState &state, const ShardId &group, const TeamId &team);

// The group has `inUse` tasks of the team running and wants room for `wanted` in all; the state raises or lowers the
// allowance in chunks. Cheap enough to be called for each change.
void reportDemand(AllowanceState &state, const ShardId &group, const TeamId &team, std::uint32_t inUse,
                  std::uint32_t wanted, Context &context);

// Another daemon needs more of a team's limit: unused allowance of the team is given back soon.
void onAllowanceWanted(AllowanceState &state, const AllowanceWanted &message, Context &context);

void tickAllowances(AllowanceState &state, Context &context);
void onLimitStoreResult(AllowanceState &state, const StoreResult &result, Context &context);

} // namespace mimosapier
