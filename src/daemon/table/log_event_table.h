// Names of the log events that occur for each request, task, runner or policy query. All other events are rare: they
// tell of the process, its dependencies, the leadership and the configuration.
#pragma once

#include <array>
#include <string_view>

namespace mimosapier
{

// Ascending.
inline constexpr std::array<std::string_view, 38> FrequentLogEvents{
    "accepted",
    "bad-discovery-entry",
    "bad-record",
    "bad-store-items",
    "cancel",
    "copy-started",
    "end",
    "end-awaits-lapse",
    "job-ended",
    "orphan",
    "policy-answer",
    "policy-lost",
    "policy-query",
    "relay-refused",
    "relay-replies-late",
    "relay-unanswered",
    "request-failed",
    "request-rejected",
    "room-released",
    "room-reserved",
    "runner-held",
    "runner-lapsed",
    "runner-listed",
    "runner-lost",
    "runner-paused",
    "runner-regained",
    "runner-silent",
    "runner-suspect",
    "runner-unlisted",
    "start",
    "start-rejected",
    "start-relayed",
    "start-unanswered",
    "submit",
    "submit-refused",
    "task-absent",
    "task-given-up",
    "task-suspected",
};

} // namespace mimosapier
