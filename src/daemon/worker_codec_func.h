// Calls to workers as HTTP requests, and answers as results.
#pragma once

#include "core/message/worker_type.h"
#include "http/http_type.h"

#include <string_view>

namespace mimosapier
{

// Name of the operation, for metrics and logs: "hold", "start", "poll" or "stop".
std::string_view workerOpName(const WorkerOp &op);

HttpRequest encodeWorkerOp(const WorkerRequest &request);

// Fills `result` from an answer with status 200. Returns false when the answer is malformed.
bool decodeWorkerAnswer(const WorkerRequest &request, std::string_view body, WorkerResult &result);

// Highest epoch named by an answer with status 409. Returns false when the answer is malformed.
bool decodeStaleEpoch(std::string_view body, Epoch &epoch);

} // namespace mimosapier
