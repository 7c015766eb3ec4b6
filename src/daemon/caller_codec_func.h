// Requests of callers and operators as HTTP carries them, and their answers.
#pragma once

#include "core/message/caller_type.h"
#include "http/http_type.h"

#include <string>
#include <system_error>

namespace mimosapier
{

// Parses and validates a request. Errors: UnknownPath; MalformedRequest, with the reason in `detail`. `body` then
// holds what was read before the error.
std::error_code parseCallerRequest(const HttpRequest &request, CallerBody &body, std::string &detail);

// Renders an answer.
HttpResponse renderAnswer(const CallerAnswer &answer);

// Answer to a request that the front end refuses by itself: "not-run" where that is certain.
CallerAnswer refusal(const CallerBody &body, ErrorKind error, std::string detail);

// Name of the kind of request, for metrics.
std::string_view callerBodyName(const CallerBody &body);

} // namespace mimosapier
