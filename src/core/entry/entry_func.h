// Requests of callers at this daemon: admission, routing to groups and homes, retries, and exactly one answer each.
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

Handle<Entry> makeEntry();

// `authorization` is the result of authorize() for the request.
void onSubmit(Entry &entry, CallId call, const SubmitRequest &request, std::error_code authorization, Context &context);
void onStatus(Entry &entry, CallId call, const StatusRequest &request, std::error_code authorization, Context &context);
void onCancel(Entry &entry, CallId call, const CancelRequest &request, std::error_code authorization, Context &context);
void onCallerGone(Entry &entry, CallId call);

void onEntryTaskAnswer(Entry &entry, const DaemonId &from, const TaskAnswer &message, Context &context);
void onEntryJobAnswer(Entry &entry, const DaemonId &from, const JobAnswer &message, Context &context);
void onEntryPeerDown(Entry &entry, const DaemonId &peer, Context &context);
void tickEntry(Entry &entry, Context &context);

// Refuses new submits with ShuttingDown; open requests go on.
void stopAdmitting(Entry &entry);

// Number of callers' requests that wait for an answer.
std::size_t openRequests(const Entry &entry);

// JSON: counters and waiting-time histograms by class and team, for the report.
std::string entryDocument(const Entry &entry);

} // namespace mimosapier
