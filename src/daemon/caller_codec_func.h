// Codec of the HTTP protocol of callers and operators. Pure functions, called by CallerFrontEnd.
#pragma once

#include "core/message/caller_type.h"
#include "http/http_type.h"

#include <string>
#include <system_error>

namespace mimosapier
{

// Parses and validates a request. Errors: UnknownPath; MalformedRequest, with the reason in `detail`. On an error
// `body` holds the fields read so far, which refusal() needs.
std::error_code parseCallerRequest(const HttpRequest &request, CallerBody &body, std::string &detail);

// Status and JSON body of an answer.
HttpResponse renderAnswer(const CallerAnswer &answer);

// Answer to a request that the front end refuses. The outcome is NotRun for the first attempt of a submission, Unknown
// for all other requests. An empty `detail` is replaced by the text of `error`.
CallerAnswer refusal(const CallerBody &body, ErrorKind error, std::string detail);

// Name of the kind of request, used as a metric label.
std::string_view callerBodyName(const CallerBody &body);

} // namespace mimosapier
