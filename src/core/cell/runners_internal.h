// Functions shared by runners.cpp, runner_losses.cpp, runner_replies.cpp and runner_timers.cpp; no other source
// includes this header.
#pragma once

#include "core/cell/cell_internal.h"

namespace mimosapier::detail
{

// Defined in runners.cpp.

// The latest time at which this daemon is known to have led, or the runner not to have heard of a later leader.
TimePoint startProofAt(const Cell &cell, const Runner &runner);
// True when the runner may be sent starts, given a proof for them.
bool mayStart(const Cell &cell, const Runner &runner);
// True while a late acknowledgement is possible that covers the end of a run which begins now: both calls may reach an
// incarnation of the runner that this leader has not seen, and it would then never hear of the end. An unanswered
// acknowledgement ends this, as later calls have a higher token.
bool mayBeAcknowledgedUnheard(const Cell &cell, const Runner &runner, TimePoint now);
// True while a hold that asks for a lease is in flight. No start is sent beside it: an incarnation that this leader has
// not seen could carry the hold out late, and lengthen the lease of the run that the start has begun.
bool isRenewingLease(const Runner &runner);
// Has the stored list of runners written again if the runner has become quiescent or is not quiescent any more.
void updateStoredState(Cell &cell, Runner &runner, bool wasQuiescent);
// Has the runner refuse all calls that were sent to it so far, once it has seen the next one. To be used when such a
// call may still be under way and must not be carried out: by the runner's next incarnation, which has seen no token,
// or after this leader has made other decisions.
void raiseToken(const Cell &cell, Runner &runner);
// True when the runner's lease is to lapse: an end there waits for it, and nothing else needs the lease.
bool mayLapse(const Runner &runner);
void sendHold(Cell &cell, Runner &runner, CellTime now, CellActions &actions);
void addOrphan(Runner &runner, const StagedTask &task, RunNumber run);
// Releases a task of which no start was sent, and takes its risk back.
void cancelPlannedStart(Cell &cell, Runner &runner, const StagedTask &task);
void sendStop(Cell &cell, Runner &runner, const StagedTask &task, Placement &placement, CellActions &actions);
// A member of a gang did not start: stops the other members, which would wait for this member until their timeout.
void stopGang(Cell &cell, const StagedTask &task, CellTime now, CellActions &actions);

// Defined in runner_losses.cpp.

// Releases a task of which the run ended without a result or never began.
void releaseFailedRun(Cell &cell, Runner &runner, const StagedTask &task, CellTime now, CellActions &actions);
// Presumes that runs have ended of which no list of the runner has named the end. The placements stay until the
// leadership is confirmed; orphans are released at once, as nothing starts in their place.
void presumeEnded(Cell &cell, Runner &runner, std::span<const StagedTask> tasks, CellTime now, CellActions &actions);
// The leases that this leader has asked for are over, on the clock of the incarnation that it knows. Keeps the starts
// that another incarnation may have carried out, until the leases there are over as well.
void handleEndedLeases(Cell &cell, Runner &runner, CellTime now, CellActions &actions);
// Resets the state that belongs to one incarnation of the runner.
void beginIncarnation(Cell &cell, Runner &runner, std::int64_t startedUnixMs, CellTime now, CellActions &actions);

// Defined in runner_replies.cpp.

// The lease of the runner has lapsed: no end waits for it any more.
void handleLapse(Cell &cell, Runner &runner, CellActions &actions);

} // namespace mimosapier::detail
