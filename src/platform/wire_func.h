// Codec of the platform's JSON messages. The platform's names appear only in this folder; each decoder turns a message
// into the product's types. Decoders never throw: input of another shape gives false or a status.
#pragma once

#include "core/control/control_type.h"
#include "http/http_type.h"

#include <string>
#include <string_view>

namespace mimosapier
{

// ---- clients ----

// Body of a submitted job. Returns false when it is malformed, or a step depends on itself or a later one.
bool decodeSubmittedJob(std::string_view body, SubmittedJob &job);

// A client's HTTP request; method_ is taken from the HTTP method. Returns false for other methods.
bool decodeClientRequest(const HttpRequest &http, ClientRequest &request);

HttpResponse encodeClientAnswer(const ClientAnswer &answer);

// ---- what others write to the store ----

bool decodeCellConfig(std::string_view text, CellConfig &config);
bool decodeRunnerRecord(std::string_view id, std::string_view bytes, RunnerRecord &record);

// ---- store ----

HttpRequest encodeKvCall(const KvCall &call);
void decodeKvReply(const KvCall &call, unsigned status, std::string_view body, KvReply &reply);

// ---- runners ----

HttpRequest encodeRunnerCall(const RunnerCall &call);
void decodeRunnerReply(const RunnerCall &call, unsigned status, std::string_view body, RunnerReply &reply);

// ---- policy service ----

HttpRequest encodePolicyQuery(const PolicyQuery &query);
void decodePolicyAnswer(unsigned status, std::string_view body, PolicyAnswer &answer);

// Reads the name of a task, see taskText().
bool decodeTask(std::string_view text, StagedTask &task);

} // namespace mimosapier
