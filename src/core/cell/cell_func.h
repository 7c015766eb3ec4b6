// Decisions of the leader of a cell. No I/O, clock or thread: the caller passes the time and carries out the actions.
//
// Each function appends to `actions`; settle() has to follow a batch of calls, and begins what they made possible.
#pragma once

#include "core/cell/cell_base.h"

#include <span>
#include <string_view>

namespace mimosapier
{

constexpr std::string_view LeaderKey = "cluster/leader"; // held under the lease of the leader's session

// A leader that cannot renew its session goes on this long, because nobody can follow it while the store is away for
// all. A new leader counts it in for runners that do not answer. Outages of the store last up to about 6 s.
constexpr Milliseconds LeaderGrace{6'000};

// Key that each transaction of a lane writes.
std::string laneKey(std::size_t lane);

// Starts a leadership. Parameters: settings, this daemon, epoch won, revision of the leader key, revisions of the lane
// keys after the election, time of the election.
std::unique_ptr<Cell> makeCell(const CellSettings &settings, const DaemonId &self, CellEpoch epoch,
                               std::uint64_t leaderRevision, std::span<const std::uint64_t> laneRevisions,
                               TimePoint now);

// Recovery, in this order: jobs, progress, stored list of runners, discovery; then finishRecovery().
void recoverJob(Cell &cell, const KvItem &item, CellTime now, CellActions &actions);
void recoverProgress(Cell &cell, const KvItem &item, CellTime now, CellActions &actions);
void recoverRunners(Cell &cell, std::string_view stored);
void finishRecovery(Cell &cell, CellTime now, CellActions &actions);

// A configuration is in force.
void applyConfig(Cell &cell, const CellConfig &config);

// The daemons that can make policy queries.
void setAskers(Cell &cell, std::span<const DaemonId> daemons);

// A client's request that `from` has forwarded.
void handleRequest(Cell &cell, const DaemonId &from, const CellRequest &request, CellTime now, CellActions &actions);

// Discovery: an entry as it is now, or its removal.
void updateRunner(Cell &cell, const RunnerRecord &record, CellTime now, CellActions &actions);
void removeRunner(Cell &cell, const RunnerId &id, CellTime now, CellActions &actions);

// Replies of runners, of the policy service and of the store (purpose Lane).
void handleRunnerReply(Cell &cell, const RunnerReply &reply, CellTime now, CellActions &actions);
void handlePolicyAnswer(Cell &cell, const DaemonId &from, const PolicyAnswer &answer, CellTime now,
                        CellActions &actions);
void handleLaneReply(Cell &cell, const KvReply &reply, CellTime now, CellActions &actions);

// Does what time and the preceding calls have made possible: starts, queries, holds, transactions, retries.
void settle(Cell &cell, CellTime now, CellActions &actions);

// A leadership that was lost and won again, with no other in between.
void renewLeadership(Cell &cell, std::uint64_t leaderRevision);

// Text form "<16 hex digits>" of a job's id, used in keys and logs.
std::string jobText(StagedJobId id);

// "<16 hex digits>.<occurrence>.<step>.<index>": in logs, and the name that runners know the task by.
std::string taskText(const StagedTask &task);

// True when nothing waits for the store.
bool isFlushed(const Cell &cell);
// True when no job waits for being stored.
bool acceptsFlushed(const Cell &cell);

} // namespace mimosapier
