// Codec of the platform's HTTP messages and their JSON. The platform's names for fields and paths appear only in this
// folder; decoders turn messages into the types of src/core. Pure functions, called by ClientFrontEnd, PlatformClient
// and, through CellDecoders, by the control logic.
//
// Decoders never throw. On malformed input they return false or set a status; output parameters may then be filled in
// part.
#pragma once

#include "core/control/control_type.h"
#include "http/http_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace mimosapier
{

// ---- clients ----

// Decodes the body of a submission. Returns false if it is malformed or exceeds a limit, or if a step depends on itself
// or on a later step.
bool decodeSubmittedJob(std::string_view body, SubmittedJob &job);

// Decodes a client's HTTP request. Returns false for methods other than POST, GET and DELETE. A malformed job does not
// fail: submitted_ then stays unset.
bool decodeClientRequest(const HttpRequest &http, ClientRequest &request);

// Status, headers and body of the answer. Retry-After is rounded up to whole seconds.
HttpResponse encodeClientAnswer(const ClientAnswer &answer);

// ---- store entries that others write ----

// A malformed value of the operator's configuration.
struct ConfigProblem
{
    std::string place_; // object that has the value, as "Routes[2].Advice"; empty: the document
    std::string key_; // empty: the object itself
    std::string value_; // JSON, shortened; only the type of a value that contains a secret or others
    std::string allowed_; // allowed values
};

constexpr std::size_t MaxConfigProblems = 100; // further ones are not named

// Decodes the operator's configuration. Returns false if any part of it is malformed.
bool decodeCellConfig(std::string_view text, CellConfig &config);
// The same, and names what is malformed. decodeCellConfig() calls it.
bool readCellConfig(std::string_view text, CellConfig &config, std::vector<ConfigProblem> &problems);
// Decodes the entry by which the runner `id` registers itself. Returns false if it is malformed.
bool decodeRunnerRecord(std::string_view id, std::string_view bytes, RunnerRecord &record);

// ---- store ----

HttpRequest encodeKvCall(const KvCall &call);
// Fills `reply` from an answer with `status`. If the body of a success or a conflict is malformed, the
// status is Unknown and there are no items.
void decodeKvReply(const KvCall &call, unsigned status, std::string_view body, KvReply &reply);

// ---- runners ----

HttpRequest encodeRunnerCall(const RunnerCall &call);
// Fills `reply` from an answer with `status`. If the lists of runs in the answer to a hold are malformed or
// incomplete, the status is Unknown and there are no runs.
void decodeRunnerReply(const RunnerCall &call, unsigned status, std::string_view body, RunnerReply &reply);

// ---- policy service ----

HttpRequest encodePolicyQuery(const PolicyQuery &query);
// Fills `answer`. answered_ stays false, and allowed_ empty, unless the answer is valid.
void decodePolicyAnswer(unsigned status, std::string_view body, PolicyAnswer &answer);

// Parses a task's name as taskText() writes it: job (hexadecimal), occurrence, step and index, separated by dots.
bool decodeTask(std::string_view text, StagedTask &task);

} // namespace mimosapier
