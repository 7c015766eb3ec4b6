// Store operations as HTTP requests, and answers as results.
#pragma once

#include "core/message/store_type.h"
#include "http/http_type.h"

#include <string_view>

namespace mimosapier
{

constexpr std::size_t MaxStoreValueBytes = 1'000'000; // in the store's form

// True when the operation can change the store, so that a lost answer leaves its effect unknown.
bool changesStore(const StoreOp &op);

// Name of the operation, for metrics and logs: "get", "list", "cas" and so on.
std::string_view storeOpName(const StoreOp &op);

// Returns false when the operation cannot be sent because its value is too large.
bool encodeStoreOp(const StoreOp &op, HttpRequest &request);

// Fills status and contents of `result` from an answer with status 200. Returns false when the answer is malformed.
bool decodeStoreAnswer(const StoreOp &op, std::string_view body, StoreResult &result);

} // namespace mimosapier
