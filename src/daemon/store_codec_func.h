// Codec of the store's HTTP protocol: operations to requests, answers to results. Pure functions, called by
// StoreClient.
#pragma once

#include "core/message/store_type.h"
#include "http/http_type.h"

#include <string_view>

namespace mimosapier
{

constexpr std::size_t MaxStoreValueBytes = 1'000'000; // after encodeStoreValue()

// True if the operation can change the store. If the answer to such an operation is lost, its effect is unknown.
bool changesStore(const StoreOp &op);

// Name of the operation, used as a metric label: "get", "list", "cas" and so on.
std::string_view storeOpName(const StoreOp &op);

// Returns false if the encoded value exceeds MaxStoreValueBytes; `request` is then unchanged.
bool encodeStoreOp(const StoreOp &op, HttpRequest &request);

// Fills `result` from the body of an answer with status 200. Returns false if the body is malformed; `result` may then
// be filled in part.
bool decodeStoreAnswer(const StoreOp &op, std::string_view body, StoreResult &result);

} // namespace mimosapier
