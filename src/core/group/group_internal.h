// Functions shared by the files of this folder.
#pragma once

#include "core/group/group_base.h"

#include <string_view>

namespace mimosapier
{

// Notes the time at which the group was opened, once.
void beginStep(Group &group, Context &context);

// Places what can be placed, sends calls and answers, reports demand.
void finishStep(Group &group, Context &context);

GroupTask *findTask(Group &group, const TaskId &id);
GroupTeam &findOrAddTeam(Group &group, const TeamId &id, Context &context);

// memory.cpp
void recordOutcome(Group &group, const TaskId &id, OutcomeRecord entry, Context &context);
void recordTaskOutcome(Group &group, const GroupTask &task, const TaskResult &result, Context &context);
const OutcomeRecord *findOutcome(const Group &group, const TaskId &id, TimePoint now);
void expireOutcomes(Group &group, TimePoint now);

// True when the absence of a task from the memory proves that it did not run here within RememberTime.
bool outcomesAreComplete(const Group &group, TimePoint now);

// answer.cpp
std::uint64_t addRequester(Group &group, const DaemonId &from, const TaskOffer &offer);
void attachRequester(Group &group, GroupTask &task, std::uint64_t requester);
void answerRequester(Group &group, std::uint64_t requester, const TaskResult &result);
void flushAnswers(Group &group, Context &context);

// Ends a task: answers everybody who waits and keeps the result until it is acknowledged, if it has to be.
// The task may be destroyed.
void finishTask(Group &group, GroupTask &task, TaskResult result, Context &context);

// Ends a task that did not run in this group. NotRun becomes Unknown when an earlier attempt may have run.
void refuseTask(Group &group, GroupTask &task, ErrorKind error, Context &context);
void eraseTask(Group &group, GroupTask &task);
void resendResults(Group &group, Context &context);
bool needsJournal(const GroupTask &task);

// queue.cpp
void enqueue(Group &group, GroupTask &task);
void dequeue(Group &group, GroupTask &task);
void addDeadline(Group &group, GroupTask &task);
void removeDeadline(Group &group, GroupTask &task);
void endExpiredTasks(Group &group, Context &context);
Milliseconds waitEstimate(const Group &group, Priority priority, TimePoint now);

// fairness.cpp
void addUsage(Group &group, GroupTeam &team, const Resources &size);
void removeUsage(Group &group, GroupTeam &team, const Resources &size);
void setReady(Group &group, GroupTeam &team, std::uint32_t priority);
void clearReady(Group &group, GroupTeam &team, std::uint32_t priority);
void refreshWeightedShares(Group &group, Context &context);

// Priority to serve next among those with ready teams; PriorityCount when there is none.
std::uint32_t selectPriority(Group &group);
bool hasAllowance(const Group &group, const GroupTeam &team, std::uint32_t tasks);
void queueDemandReport(Group &group, GroupTeam &team);
void reportDemands(Group &group, Context &context);
void recheckAllowances(Group &group);

// placement.cpp
void placeAll(Group &group, Context &context);
void updateIndexedFree(Group &group, GroupWorker &worker, TimePoint now);
void reserveCapacity(Group &group, GroupWorker &worker, const Resources &size, TimePoint now);
void releaseCapacity(Group &group, GroupWorker &worker, const Resources &size, TimePoint now);

// Puts a task on a worker in the given stage, or takes it off.
void assignToWorker(Group &group, GroupTask &task, GroupWorker &worker, TaskStage stage, Context &context);
void removeFromWorker(Group &group, GroupTask &task, Context &context);
void setStage(Group &group, GroupTask &task, TaskStage stage);

// gang.cpp
void makeGang(Group &group, std::vector<GroupTask *> tasks);

enum class GangPlacement : std::uint8_t { Placed, NoCapacity, NoAllowance };

GangPlacement placeGang(Group &group, GroupGang &gang, Context &context);
void retryGangs(Group &group, Context &context);

// A task of the gang is destroyed.
void removeFromGang(Group &group, GroupTask &task);
void releaseReservation(Group &group, GroupGang &gang, TimePoint now);

// True when all tasks of the gang can be stopped and started again together.
bool canRestartGang(const Group &group, const GroupGang &gang);

// A member of a failed gang has ended and no worker knows it any more.
void onGangMemberCleared(Group &group, GroupTask &task, Context &context);

// A task of a gang could not start or was stopped because of that; returns true when the gang takes care of it.
// The task is off its worker; task.worker_ names the worker when that still knows the task.
bool onGangFailure(Group &group, GroupTask &task, ErrorKind error, Context &context);

// preempt.cpp
void addPreemptible(Group &group, GroupTask &task, Context &context);
void removePreemptible(Group &group, GroupTask &task);
void preemptForUrgent(Group &group, Context &context);
void throttleForUrgent(Group &group, const GroupTask &urgent, Context &context);
void stopAboveLimit(Group &group, Context &context);

// worker_cmd.cpp
void queueWorkerFlush(Group &group, GroupWorker &worker);
void flushWorkers(Group &group, Context &context);
void contactWorker(Group &group, GroupWorker &worker, Context &context);
void scheduleContact(Group &group, GroupWorker &worker, TimePoint due);
void clearThenRequeue(Group &group, GroupTask &task);
void fence(Group &group, Context &context);
void runTimers(Group &group, Context &context);
void queueAck(Group &group, WorkerIndex worker, const TaskId &task);
void requestStop(Group &group, GroupTask &task, StopMode mode, Context &context);

// takeover.cpp
void onHoldResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                  Context &context);

// True when the listed workers could hold `tasks` tasks of the size at once if nothing else ran.
bool canEverFit(const Group &group, const Resources &size, std::uint32_t tasks);
void resumeWaitingTasks(Group &group, Context &context);
void onWorkerLeaseEnd(Group &group, GroupWorker &worker, Context &context);
void refreshTotals(Group &group);

// report.cpp
// `sent` is the time at which the call was sent that gave the report.
void applyReport(Group &group, GroupWorker &worker, const WorkerTaskReport &report, TimePoint sentAt, Context &context);
void onStartRefused(Group &group, GroupTask &task, ErrorKind error, Context &context);

// The task has ended on its worker without a usable outcome: restarts it or ends it as unknown.
void onTaskLost(Group &group, GroupTask &task, ErrorKind error, bool workerHasRecord, Context &context);
void requeueCleared(Group &group, const TaskId &id, Context &context);
void updateWorkerHealth(Group &group, GroupWorker &worker, GroupTeam &team, bool success, Context &context);

// forward.cpp
bool isFirstCandidate(Group &group, const JobId &job, ShardId &second, Context &context);
void querySecondCandidate(Group &group, GroupTask &task, Context &context);
bool forwardIfBetter(Group &group, GroupTask &task, Context &context);
void requerySecondCandidates(Group &group, Context &context);

// offer_cmd.cpp
// The checks of a task are done: starts it, forwards it or ends it as unknown.
void onChecksDone(Group &group, GroupTask &task, Context &context);

} // namespace mimosapier
