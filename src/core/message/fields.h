// The fields of each encoded struct in wire order, for codec.cpp and the stored records. The order must not change. New
// fields go to the end: decoders ignore surplus fields but reject arrays that are too short, apart from
// optionalFieldCount().
#pragma once

#include "core/message/peer_type.h"

namespace mimosapier
{

// Defines visitFields(s, visit), which calls visit once with all fields of s: mutable for decoding, const for encoding.
#define MIMOSAPIER_FIELDS(Type, ...) \
    template <typename Visit> \
    void visitFields(Type &s, Visit &&visit) \
    { \
        visit(__VA_ARGS__); \
    } \
    template <typename Visit> \
    void visitFields(const Type &s, Visit &&visit) \
    { \
        visit(__VA_ARGS__); \
    }

MIMOSAPIER_FIELDS(Resources, s.milliCpus_, s.memoryMb_, s.accelerators_, s.slots_)
MIMOSAPIER_FIELDS(ReplyTo, s.component_, s.shard_, s.call_)
MIMOSAPIER_FIELDS(TaskId, s.job_, s.index_)
MIMOSAPIER_FIELDS(TaskResult, s.index_, s.outcome_, s.error_, s.worker_, s.result_)
MIMOSAPIER_FIELDS(JobSpec, s.id_, s.requestId_, s.team_, s.class_, s.mode_, s.priority_, s.homeRegion_, s.tasks_,
                  s.size_, s.declaredRun_, s.idempotent_, s.payload_)
MIMOSAPIER_FIELDS(GroupLoad, s.group_, s.epoch_, s.capacitySlots_, s.freeSlots_, s.queued_, s.waitMs_, s.largestFree_)
MIMOSAPIER_FIELDS(HeldShard, s.shard_, s.epoch_)
MIMOSAPIER_FIELDS(PeerFreshness, s.daemon_, s.version_, s.reach_, s.headAgeMs_, s.heardAgeMs_, s.notQuiet_)
MIMOSAPIER_FIELDS(Heartbeat, s.sequence_, s.leaving_, s.shards_, s.loads_, s.freshness_, s.echo_)
MIMOSAPIER_FIELDS(TaskOffer, s.replyTo_, s.group_, s.job_, s.firstIndex_, s.count_, s.attempt_, s.remaining_,
                  s.mayHaveRun_, s.lookupOnly_, s.forwarded_)
MIMOSAPIER_FIELDS(TaskAnswer, s.replyTo_, s.group_, s.job_, s.results_)
MIMOSAPIER_FIELDS(TaskAck, s.group_, s.tasks_)
MIMOSAPIER_FIELDS(TaskCancel, s.group_, s.tasks_)
MIMOSAPIER_FIELDS(JobSubmit, s.replyTo_, s.partition_, s.job_, s.attempt_, s.remaining_)
MIMOSAPIER_FIELDS(JobQuery, s.replyTo_, s.partition_, s.job_, s.wait_, s.explain_)
MIMOSAPIER_FIELDS(JobCancel, s.replyTo_, s.partition_, s.jobs_)
MIMOSAPIER_FIELDS(JobAnswer, s.replyTo_, s.job_, s.outcome_, s.error_, s.results_, s.detail_)
MIMOSAPIER_FIELDS(ConfigAnnounce, s.call_, s.version_, s.withdrawn_)
MIMOSAPIER_FIELDS(ConfigAnnounceAck, s.call_, s.version_)
MIMOSAPIER_FIELDS(ConfigPush, s.version_, s.record_)
MIMOSAPIER_FIELDS(Handover, s.shard_, s.epoch_)
MIMOSAPIER_FIELDS(AllowanceWanted, s.team_)
MIMOSAPIER_FIELDS(StepSpec, s.count_, s.size_, s.estimate_, s.after_, s.checkpointing_, s.gang_, s.sameRack_,
                  s.speculative_, s.longRunning_, s.fill_, s.requiredLabel_, s.affinityRack_, s.antiAffinity_, s.image_,
                  s.target_, s.missAllowed_)
MIMOSAPIER_FIELDS(SubmittedJob, s.spec_, s.steps_, s.repeatCount_, s.firstRunUnixMs_, s.intervalMs_)
MIMOSAPIER_FIELDS(QueuePolicy, s.queue_, s.service_, s.priority_, s.maxAttempts_, s.slackFactor_, s.targetCompletion_,
                  s.policyQueries_, s.decideMs_, s.perRunnerMs_, s.ticketValid_)
MIMOSAPIER_FIELDS(CellBeacon, s.sequence_, s.echo_, s.epoch_, s.leader_, s.configVersion_, s.configProofAgeMs_,
                  s.storeAnswerAgeMs_, s.retired_, s.leaderSeen_, s.evacuatedZones_, s.zonesRevision_)
// Number of fields at the end that daemons of the previous version do not send. Such fields keep their defaults.
constexpr std::size_t optionalFieldCount(const CellBeacon * /*type*/)
{
    return 2;
}
MIMOSAPIER_FIELDS(CellRequest, s.call_, s.verb_, s.job_, s.account_, s.policy_, s.submitted_, s.remaining_)
MIMOSAPIER_FIELDS(CellReply, s.call_, s.outcome_, s.state_, s.pending_, s.retryAfter_)
MIMOSAPIER_FIELDS(PolicyTicket, s.runner_, s.ticket_)
MIMOSAPIER_FIELDS(PolicyQuery, s.call_, s.job_, s.occurrence_, s.step_, s.runners_, s.timeout_)
MIMOSAPIER_FIELDS(PolicyAnswer, s.call_, s.answered_, s.allowed_)
MIMOSAPIER_FIELDS(CellConfigWanted, s.version_)
MIMOSAPIER_FIELDS(CellConfigText, s.version_, s.text_)
MIMOSAPIER_FIELDS(StagedTask, s.job_, s.occurrence_, s.step_, s.index_)
MIMOSAPIER_FIELDS(RunnerCall, s.id_, s.op_, s.runner_, s.address_, s.task_, s.run_, s.spec_, s.checkpoint_, s.ticket_,
                  s.token_, s.untilMs_, s.acknowledgedEnd_, s.wait_, s.timeout_)
MIMOSAPIER_FIELDS(ActiveRun, s.task_, s.run_, s.checkpoint_, s.percent_, s.usage_)
MIMOSAPIER_FIELDS(FinishedRun, s.number_, s.task_, s.run_, s.end_, s.checkpoint_)
MIMOSAPIER_FIELDS(RunnerReply, s.id_, s.op_, s.runner_, s.task_, s.run_, s.status_, s.clockMs_, s.startedUnixMs_,
                  s.active_, s.finished_)
MIMOSAPIER_FIELDS(RelayedCalls, s.calls_)
MIMOSAPIER_FIELDS(RelayedReplies, s.replies_)

} // namespace mimosapier
