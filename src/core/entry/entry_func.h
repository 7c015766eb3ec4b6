// Requests of callers at this daemon: admission, routing to groups and home partitions, retries, and exactly one
// CallerAnswer each. Called by the node on its decision thread. The functions do not block: they change the state and
// add actions to the context.
#pragma once

#include "core/common/handle_type.h"
#include "core/config/config_func.h"
#include "core/message/context_type.h"

#include <string>

namespace mimosapier
{

struct Entry;

template <>
void Destroy<Entry>::operator()(Entry *state) const;

// The caller owns the state.
Handle<Entry> makeEntry();

// Each is answered with exactly one CallerAnswer to `call`, now or later, unless the caller disconnects first.
// `authorization` is the result of authorize() for the request; an error refuses the request.
// - A submit is answered by its own deadline or that of its class, at most one hour. NotRun means that the
//   work certainly did not run, Unknown that it may have.
// - A status request is answered when the job is final, at the latest two seconds after request.wait_, which is limited
//   to ten minutes.
// - A cancellation that is not refused is answered with one result per job, in the order of the request.
void onSubmit(Entry &entry, CallId call, const SubmitRequest &request, std::error_code authorization, Context &context);
void onStatus(Entry &entry, CallId call, const StatusRequest &request, std::error_code authorization, Context &context);
void onCancel(Entry &entry, CallId call, const CancelRequest &request, std::error_code authorization, Context &context);
// The caller of `call` has disconnected: its request is dropped, but a cancellation continues.
void onCallerGone(Entry &entry, CallId call);

// Answers to messages of the entry. Those that no request waits for are counted and ignored.
void onEntryTaskAnswer(Entry &entry, const DaemonId &from, const TaskAnswer &message, Context &context);
void onEntryJobAnswer(Entry &entry, const DaemonId &from, const JobAnswer &message, Context &context);
// Messages in flight to `peer` count as lost; their requests are sent again after a back-off.
void onEntryPeerDown(Entry &entry, const DaemonId &peer, Context &context);
// Runs timers: deadlines, retries and checks of messages in flight. Called on every tick of the node.
void tickEntry(Entry &entry, Context &context);

// Refuses new submits with ShuttingDown from now on; open requests, status requests and cancellations continue.
void stopAdmitting(Entry &entry);

// Number of callers' requests that wait for an answer.
std::size_t openCallerRequests(const Entry &entry);

// JSON object for the report: counters, and histograms of the time to the answer by class and team.
std::string entryDocument(const Entry &entry);

} // namespace mimosapier
