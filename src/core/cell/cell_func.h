// Decisions of a cell's leader. Called by src/core/control. No I/O, no clock and no threads: the caller passes the time
// and carries out the actions.
//
// Functions append to `actions`. The caller must call advanceCell() after each batch of calls; advanceCell() starts the
// work that these calls have made possible.
#pragma once

#include "core/cell/cell_base.h"

#include <span>
#include <string_view>

namespace mimosapier
{

constexpr std::string_view LeaderKey = "cluster/leader"; // key under the lease of the leader's session

// Prefixes of the store keys of jobs, followed by jobText().
constexpr std::string_view JobKeyPrefix = "job/"; // an accepted job
constexpr std::string_view ProgressKeyPrefix = "progress/"; // its state; kept longer than the job's record

constexpr std::string_view PastUseKey = "past-use"; // key of the accounts' past use, see past_use.cpp

// A leader steps down this long after its session has expired, or would have if it had been renewed with the last
// confirmation of the leadership. While the store is down for everyone, no other leader can be elected, and such
// outages last up to about 6 s. A new leader waits for the leases of runners that do not answer, counted from the time
// at which all earlier leaders have stepped down or ended.
constexpr Milliseconds LeaderGrace{6'000};

// Store key that each transaction of the lane writes. Its revision and value detect repeated and conflicting
// transactions.
std::string laneKey(std::size_t lane);

// Creates the state of a new leadership. Parameters: settings, this daemon, the epoch won, the revision of the leader
// key, the revisions of the lane keys read after the election, when the election transaction was sent, and the time.
std::unique_ptr<Cell> makeCell(const CellSettings &settings, const DaemonId &self, CellEpoch epoch,
                               std::uint64_t leaderKeyRevision, std::span<const std::uint64_t> laneRevisions,
                               TimePoint electionSentAt, TimePoint now);

// Recovery from the store. The calls come in this order: jobs, progress, list of runners, past use, discovery,
// finishRecovery(). Records that cannot be decoded are logged and skipped; a list of runners that cannot be decoded is
// ignored.
void recoverJob(Cell &cell, const KvItem &item, CellTime now, CellActions &actions);
void recoverProgress(Cell &cell, const KvItem &item, CellTime now, CellActions &actions);
void recoverRunners(Cell &cell, std::string_view stored);
void recoverPastUse(Cell &cell, const KvItem &item, CellTime now, CellActions &actions);
void finishRecovery(Cell &cell, CellTime now, CellActions &actions);

// Applies a new configuration to accounts and placement. Accepted jobs keep the policy of their queue.
void applyConfig(Cell &cell, const CellConfig &config);

// Sets the availability zones in which no task may start. Nothing starts before the first call.
void setEvacuatedZones(Cell &cell, const std::set<std::string> &zones);
// Number of tasks on the runners of a zone.
std::size_t countTasksInZone(const Cell &cell, const std::string &zone);

// Sets the daemons that can send policy queries.
void setPolicyQueriers(Cell &cell, std::span<const DaemonId> daemons);

// Handles a client's request that `from` has forwarded. The reply goes back to `from`; a later call may append it.
void handleRequest(Cell &cell, const DaemonId &from, const CellRequest &request, CellTime now, CellActions &actions);

// Discovery: an entry was added or changed, or was removed. A removed runner keeps its tasks until they have ended or
// its leases have expired.
void updateRunner(Cell &cell, const RunnerRecord &record, CellTime now, CellActions &actions);
void removeRunner(Cell &cell, const RunnerId &id, CellTime now, CellActions &actions);

// Replies of runners, of the policy service and of the store (purpose Lane). Replies to calls of an earlier leadership
// are ignored.
void handleRunnerReply(Cell &cell, const RunnerReply &reply, CellTime now, CellActions &actions);
void handlePolicyAnswer(Cell &cell, const DaemonId &from, const PolicyAnswer &answer, CellTime now,
                        CellActions &actions);
void handleLaneReply(Cell &cell, const KvReply &reply, CellTime now, CellActions &actions);

// Reply of the store to a read of the leader key (purpose ConfirmLeadership). Answers the requests that waited for it.
void handleLeadershipReply(Cell &cell, const KvReply &reply, CellTime now, CellActions &actions);

// Has the store confirm from time to time that this daemon leads. advanceCell() does it too; to be called instead of it
// until the recovery is complete.
void keepLeadershipConfirmed(Cell &cell, CellTime now, CellActions &actions);

// Runs the timers and starts what has become possible: task starts, policy queries, holds, transactions and retries.
void advanceCell(Cell &cell, CellTime now, CellActions &actions);

// The same leader has won the election again without another leader in between; `leaderKeyRevision` is that of the new
// leader key.
void renewLeadership(Cell &cell, std::uint64_t leaderKeyRevision);

// A job's id as 16 hex digits, for keys and logs.
std::string jobText(StagedJobId id);

// A task as "<16 hex digits>.<occurrence>.<step>.<index>": used in logs and as the task's name on runners.
std::string taskText(const StagedTask &task);

// True when the store has all jobs and progress.
bool isFlushed(const Cell &cell);

// Numbers of jobs with progress, and of ends of runs, that the store does not have yet: a new leader knows of these
// ends only from the runners.
std::int64_t countUnstoredJobs(const Cell &cell);
std::int64_t countUnstoredEnds(const Cell &cell);

// True when no accepted job waits to be stored.
bool isAcceptLaneFlushed(const Cell &cell);

} // namespace mimosapier
