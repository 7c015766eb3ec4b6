// Functions shared by the files of this folder. Everything runs on the thread of the decision logic: nothing blocks,
// and calls to workers, peers and the store are actions in Context::actions_.
#pragma once

#include "core/group/group_base.h"

#include <string_view>

namespace mimosapier
{

// Every public event function calls beginEvent first, and finishEvent last unless it ignores the event. beginEvent
// records the time of the event.
void beginEvent(Group &group, Context &context);

// Runs due timers, places waiting tasks, and sends the calls, answers and demand reports that the event has caused.
void finishEvent(Group &group, Context &context);

// nullptr when the group does not have the task.
GroupTask *findTask(Group &group, const TaskId &id);

// The team's state in this group, with the weight from the bundle when it is new.
GroupTeam &findOrAddTeam(Group &group, const TeamId &id, Context &context);

// outcome_record.cpp
// Keeps an outcome for OutcomeRetention; evicts the oldest one when there are more than OutcomeRecordsMax.
void recordOutcome(Group &group, const TaskId &id, OutcomeRecord entry, Context &context);
void recordTaskOutcome(Group &group, const GroupTask &task, const TaskResult &result, Context &context);

// nullptr when no outcome is kept. The pointer is valid until the next change of the records.
const OutcomeRecord *findOutcome(const Group &group, const TaskId &id, TimePoint now);
void expireOutcomes(Group &group, TimePoint now);

// True when the absence of a record proves that the task did not run here within OutcomeRetention.
bool outcomesAreComplete(const Group &group, TimePoint now);

// answer.cpp
// Adds the sender of an offer; returns its id in Group::requesters_.
std::uint64_t addRequester(Group &group, const DaemonId &from, const TaskOffer &offer);

// Adds the requester to those that get the outcome of the task; a home partition is also added to homes_.
void attachRequester(Group &group, GroupTask &task, std::uint64_t requester);

// Queues a result for the requester; flushAnswers sends it. Unknown ids are ignored.
void answerRequester(Group &group, std::uint64_t requester, const TaskResult &result);
void flushAnswers(Group &group, Context &context);

// Ends a task and answers its requesters. The result of a journaled task that ended on a worker is kept until the
// home acknowledges it; otherwise `task` is destroyed.
void finishTask(Group &group, GroupTask &task, TaskResult result, Context &context);

// Ends a task that did not run in this group: with NotRun, or with Unknown when an earlier attempt may have run and the
// error is not NotHolder. `task` is destroyed.
void refuseTask(Group &group, GroupTask &task, ErrorKind error, Context &context);

// Removes the task from all lists and destroys it.
void eraseTask(Group &group, GroupTask &task);

// Sends results again that the home has not acknowledged within ResultResendInterval.
void resendResults(Group &group, Context &context);

// True when the home journals the task, so that its result is kept until the home acknowledges it.
bool needsJournal(const GroupTask &task);

// queue.cpp
// Appends the task to the queue of its team and priority. For a gang, `task` is the first task.
void enqueue(Group &group, GroupTask &task);

// Does nothing when the task is not in a queue.
void dequeue(Group &group, GroupTask &task);

// Maintain Group::deadlines_; both may be called repeatedly.
void addDeadline(Group &group, GroupTask &task);
void removeDeadline(Group &group, GroupTask &task);

// Ends tasks whose deadline for the start has passed.
void endExpiredTasks(Group &group, Context &context);

// Expected time until a new task of the priority starts; 0 when a slot is free or nothing is known.
Milliseconds waitEstimate(const Group &group, Priority priority, TimePoint now);

// fairness.cpp
// Add and subtract the declared size of a task, and update the weighted share of the team.
void addUsage(Group &group, GroupTeam &team, const Resources &size);
void removeUsage(Group &group, GroupTeam &team, const Resources &size);

// Maintain Group::readyTeams_. setReady does nothing for a team at its allowance or without waiting tasks.
void setReady(Group &group, GroupTeam &team, std::uint32_t priority);
void clearReady(Group &group, GroupTeam &team, std::uint32_t priority);

// Recomputes the shares of all teams when the bundle or the total capacity has changed.
void refreshWeightedShares(Group &group, Context &context);

// Selects the priority to serve next and counts the lower ones as skipped; PriorityCount when no team is ready.
std::uint32_t selectPriority(Group &group);

// True when the team may start `tasks` more tasks now.
bool hasAllowance(const Group &group, const GroupTeam &team, std::uint32_t tasks);

// The running or waiting tasks of the team have changed; the next reportDemands reports them.
void queueDemandReport(Group &group, GroupTeam &team);
void reportDemands(Group &group, Context &context);

// Makes teams ready whose allowance was raised.
void recheckAllowances(Group &group);

// placement.cpp
void placeAll(Group &group, Context &context);

// Writes to the capacity index what may be placed on the worker now. Call it after each change of the worker's state.
void updateIndexedFree(Group &group, GroupWorker &worker, TimePoint now);

// Take capacity of the worker and give it back. releaseCapacity also lets waiting teams try the worker.
void reserveCapacity(Group &group, GroupWorker &worker, const Resources &size, TimePoint now);
void releaseCapacity(Group &group, GroupWorker &worker, const Resources &size, TimePoint now);

// Assigns a task to a worker in the given stage, or removes it. removeFromWorker leaves the task in stage Clearing
// with worker_ still set; the caller decides what follows.
void assignToWorker(Group &group, GroupTask &task, GroupWorker &worker, TaskStage stage, Context &context);
void removeFromWorker(Group &group, GroupTask &task, Context &context);

// Changes the stage and keeps GroupWorker::uncertainTasks_ correct.
void setStage(Group &group, GroupTask &task, TaskStage stage);

// gang.cpp
// Makes a gang of tasks that are not queued yet, and queues it. `tasks` is not empty.
void makeGang(Group &group, std::vector<GroupTask *> tasks);

enum class GangPlacement : std::uint8_t { Placed, NoCapacity, NoAllowance };

// Places all tasks of the gang or none. At NoCapacity one gang at a time may keep the reservations that it got.
GangPlacement placeGang(Group &group, GroupGang &gang, Context &context);

// Tries waiting gangs again and ends a reservation that has lasted GangReservationTime.
void retryGangs(Group &group, Context &context);

// The task ends or goes on alone. The gang is destroyed with its last task.
void removeFromGang(Group &group, GroupTask &task);
void releaseReservation(Group &group, GroupGang &gang, TimePoint now);

// True when all tasks of the gang may be stopped and started again together.
bool canRestartGang(const Group &group, const GroupGang &gang);

// A member of a failed gang has ended and no worker has a record of it any more. With the last such member the gang is
// queued again, cancelled or refused as a whole.
void onGangMemberCleared(Group &group, GroupTask &task, Context &context);

// A task of a gang could not start, was lost, or was stopped because of another one. Stops the other members. Returns
// true when the gang restarts as a whole; otherwise the caller ends the task.
// The task must be removed from its worker; task.worker_ is set when that worker still has a record of the task.
bool onGangFailure(Group &group, GroupTask &task, ErrorKind error, Context &context);

// preempt.cpp
// Maintain Group::preemptibleTasks_. Tasks whose class does not allow preemption are not added.
void addPreemptible(Group &group, GroupTask &task, Context &context);
void removePreemptible(Group &group, GroupTask &task);

// Stops or checkpoints running tasks so that waiting urgent tasks fit.
void preemptForUrgent(Group &group, Context &context);

// Throttles tasks on the worker of `urgent` while the measured load would exceed the worker's processors.
void throttleForUrgent(Group &group, const GroupTask &urgent, Context &context);

// Stops tasks of teams that run more than their allowance, if the bundle asks for that (LimitAction::Stop).
void stopAboveLimit(Group &group, Context &context);

// worker_cmd.cpp
// flushWorkers sends the starts, stops and urgent acknowledgements of the queued workers.
void queueWorkerFlush(Group &group, GroupWorker &worker);
void flushWorkers(Group &group, Context &context);

// Keeps a call open to the worker: a hold, a poll, or a ping that does not renew the lease.
void contactWorker(Group &group, GroupWorker &worker, Context &context);
void scheduleContact(Group &group, GroupWorker &worker, TimePoint due);

// Lets the worker drop its record of the task; requeueCleared follows when the worker has confirmed it.
void clearThenRequeue(Group &group, GroupTask &task);

// Another daemon holds the group with a higher epoch: refuses tasks that have not started and calls no worker any more.
void fence(Group &group, Context &context);
void runTimers(Group &group, Context &context);

// The next poll tells the worker that it may drop its record of the task.
void queueAck(Group &group, WorkerIndex worker, const TaskId &task);

// Queues a stop, checkpoint or throttle request; the task stays on its worker until the worker reports its end.
void requestStop(Group &group, GroupTask &task, StopMode mode, Context &context);

// takeover.cpp
// Applies the worker's list of tasks. The first answered hold makes the worker usable.
void onHoldResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                  Context &context);

// True when `tasks` tasks of the size would fit on the listed workers at once if nothing else ran, or when no worker is
// listed.
bool canEverFit(const Group &group, const Resources &size, std::uint32_t tasks);

// Does nothing until all workers have acknowledged the epoch; then continues with the tasks that wait for this.
void resumeWaitingTasks(Group &group, Context &context);

// The lease of a silent worker has ended: restarts its tasks or ends them as unknown.
void onWorkerLeaseEnd(Group &group, GroupWorker &worker, Context &context);

// Recomputes totalCapacity_ and capacityCounts_.
void refreshTotals(Group &group);

// report.cpp
// `sentAt` is the time at which the call was sent whose answer holds the report.
void applyReport(Group &group, GroupWorker &worker, const WorkerTaskReport &report, TimePoint sentAt, Context &context);

// The task did not start: removes it from its worker, then queues it again or ends it.
void onStartRefused(Group &group, GroupTask &task, ErrorKind error, Context &context);

// The task has ended on its worker without a usable outcome: restarts it or ends it as unknown. The task must already
// be removed from its worker. With `workerHasRecord` the worker drops its record first, before the task is queued
// again.
void onTaskLost(Group &group, GroupTask &task, ErrorKind error, bool workerHasRecord, Context &context);

// Continues with a task in stage Clearing of which the worker has no record any more; ignores other tasks.
void requeueCleared(Group &group, const TaskId &id, Context &context);

// Counts successes and failures of the worker's tasks; quarantines the worker after QuarantineFailures in a row.
void updateWorkerHealth(Group &group, GroupWorker &worker, GroupTeam &team, bool success, Context &context);

// forward.cpp
// True when this group is the first candidate for the job and a second one exists. Sets `second` to the second
// candidate in both cases; empty when there is only one group.
bool isFirstCandidate(Group &group, const JobId &job, ShardId &second, Context &context);

// Sends a query (an offer with lookupOnly_) to the second candidate, and plans the next one.
void querySecondCandidate(Group &group, GroupTask &task, Context &context);

// Forwards the task when the estimated wait at the second candidate is much shorter; returns whether it was sent.
bool forwardIfBetter(Group &group, GroupTask &task, Context &context);

// Sends the queries that are due.
void requerySecondCandidates(Group &group, Context &context);

// offer_cmd.cpp
// No check is open any more for the task: queues, forwards or ends it. Does nothing while a check is open.
void onChecksDone(Group &group, GroupTask &task, Context &context);

} // namespace mimosapier
