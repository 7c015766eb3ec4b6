// Codec of the workers' HTTP protocol: operations to requests, answers to results. Pure functions, called by
// WorkerClient.
#pragma once

#include "core/message/worker_type.h"
#include "http/http_type.h"

#include <string_view>

namespace mimosapier
{

// Name of the operation, used as a metric label and in the path: "hold", "start", "poll" or "stop".
std::string_view workerOpName(const WorkerOp &op);

HttpRequest encodeWorkerOp(const WorkerRequest &request);

// Fills `result` from the body of an answer with status 200. Returns false if the body is malformed, or if the answer
// to a start does not report exactly the started tasks; `result` may then be filled in part.
bool decodeWorkerAnswer(const WorkerRequest &request, std::string_view body, WorkerResult &result);

// Reads the highest epoch known to the worker from an answer with status 409. Returns false if the body is malformed.
bool decodeStaleEpoch(std::string_view body, Epoch &epoch);

} // namespace mimosapier
