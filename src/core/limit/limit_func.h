// Allowances: the part of each team's limit on running tasks that a group may use. The parts are kept in the store and
// changed by compare-and-swap, so that the sum over all groups is never raised above the limit.
//
// Called by the node (core/node) and by the groups it holds, on one thread. Performs no I/O: store operations and peer
// messages are appended to Context::actions_. Does not start or stop tasks; the group does, within usableAllowance.
#pragma once

#include "core/common/handle_type.h"
#include "core/message/context_type.h"

#include <cstdint>

namespace mimosapier
{

struct AllowanceState;

template <>
void Destroy<AllowanceState>::operator()(AllowanceState *state) const;

// The caller owns the result.
Handle<AllowanceState> makeAllowances();

// Call when the group was gained or lost. The allowance of a gained group is 0 until a read that started after the
// gain; that of a lost group is no longer changed by this daemon.
void openGroupAllowances(AllowanceState &state, const ShardId &group, Context &context);
void closeGroupAllowances(AllowanceState &state, const ShardId &group);

// Number of tasks of the team that the group may have running now, those already running included. 0 when not known,
// and for a group that is not open.
std::uint32_t usableAllowance(const AllowanceState &state, const ShardId &group, const TeamId &team);

// True when usableAllowance follows from the current rows in the store, so that running tasks above it may be stopped.
// False while a write is open or its answer was lost.
bool allowanceKnown(const AllowanceState &state, const ShardId &group, const TeamId &team);

// Reports that the group runs `inUse` tasks of the team and has demand for `wanted`, the running ones included. The
// allowance is raised and lowered in chunks. Cheap enough to be called on each change; ignored for a group that is not
// open.
void reportDemand(AllowanceState &state, const ShardId &group, const TeamId &team, std::uint32_t inUse,
                  std::uint32_t wanted, Context &context);

// Handles the request of another daemon that needs more of a team's limit: unused allowance of the team is returned
// after a shorter idle time.
void onAllowanceWanted(AllowanceState &state, const AllowanceWanted &message, Context &context);

// Call every TickInterval (core/node/node_func.h).
void tickAllowances(AllowanceState &state, Context &context);

// Handles the result of a store operation of StoreComponent::Limit. Results of other calls are ignored.
void onLimitStoreResult(AllowanceState &state, const StoreResult &result, Context &context);

} // namespace mimosapier
