// The configuration of a daemon: follows the head (the bundle in force) in the store, applies higher versions only,
// stores drafts and signs them off. Node calls these functions; they only push actions and never block.
#pragma once

#include "core/common/handle_type.h"
#include "core/config/bundle_base.h"
#include "core/message/context_type.h"

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace mimosapier
{

struct ConfigState;

template <>
void Destroy<ConfigState>::operator()(ConfigState *state) const;

// One error in a bundle's text.
struct BundleProblem
{
    int line_ = 0; // 1-based; 0 when the error concerns the whole text
    std::string key_; // path, for example "teams.school.limit"
    std::string value_; // as written, shortened; a list, a map or a missing value is described in words
    std::string allowed_; // description of the valid values
};

// Parses and validates YAML of up to 900,000 bytes. `problems` is cleared first. On error (BadBundle) `bundle` is
// unchanged and `problems` holds up to 100 errors. On success Bundle::version_ is 0.
std::error_code parseBundle(std::string_view text, Bundle &bundle, std::vector<BundleProblem> &problems);

// One line per problem: "line 3: teams.school.limit: -1: an integer from 0 to 1000000". Starts with "<file>: " unless
// `file` is empty.
std::string formatProblems(std::string_view file, std::span<const BundleProblem> problems);

// Line diff: "-" marks lines only in `from`, "+" lines only in `to`. Shows at most 40 lines and the number of further
// ones; for texts that are too long to compare, only the numbers of lines.
std::string lineDiff(std::string_view from, std::string_view to);

// Lower-case hex SHA-256 of a key, in the form that the bundle uses.
std::string keyHash(std::string_view key);

Handle<ConfigState> makeConfigState();

void startConfig(ConfigState &state, Context &context);
void tickConfig(ConfigState &state, Context &context);
void onConfigStoreResult(ConfigState &state, const StoreResult &result, Context &context);
void onConfigAnnounce(ConfigState &state, const DaemonId &from, const ConfigAnnounce &message, Context &context);
void onConfigAnnounceAck(ConfigState &state, const DaemonId &from, const ConfigAnnounceAck &message, Context &context);
void onConfigPush(ConfigState &state, const DaemonId &from, const ConfigPush &message, Context &context);

// Sets all member daemons (memberDaemons() of Membership), a majority of which must acknowledge a change before it is
// written, and the live daemons of this daemon's region, to which a relay pushes the head. Membership must have been
// told of the voters() before.
void setMembers(ConfigState &state, std::span<const DaemonId> members, std::span<const DaemonId> ownRegion);

// Sets whether this daemon is its region's relay, which watches the head and pushes it to the others.
void setRelay(ConfigState &state, bool relay);

// Sets the age of the newest knowledge of the head at this daemon or its peers (headAge() of Membership). A daemon that
// is no relay reads the head itself when this age grows, because the relay is then down.
void setHeadAge(ConfigState &state, Milliseconds age);

// Daemons a majority of which must confirm that the version in force is still the head (for setVoters() of Membership).
// Valid until a newer version is applied.
std::span<const DaemonId> voters(const ConfigState &state);

// A peer reported the version of its newest head. A version higher than the one in force is expected as a push of the
// relay and read from the store when no push comes.
void onHeadHeard(ConfigState &state, BundleVersion version, Context &context);

// Operators' requests. Each pushes exactly one CallerAnswer, at once or later.
void onDraft(ConfigState &state, CallId call, const DraftRequest &request, Context &context);
void onSign(ConfigState &state, CallId call, const SignRequest &request, Context &context);
std::string bundleDocument(const ConfigState &state); // JSON: version, digest, author, signer, text
std::string draftsDocument(const ConfigState &state); // JSON; drafts of the last list and those stored here since

// Lists the drafts in the store, then answers the call with draftsDocument.
void onDraftsView(ConfigState &state, CallId call, Context &context);

// The bundle in force; version 0 before the first one is applied. Owned by `state`.
const Bundle &currentBundle(const ConfigState &state);

// Checks the key or open queue of a request against the bundle in force. `fresh` tells whether that version is
// confirmed as the head; open queues do not need it. Errors: UnknownTeam, WrongKey, ConfigStale.
std::error_code authorize(const ConfigState &state, const TeamId &team, std::string_view key, std::string_view queue,
                          bool fresh);

// Freshness of this daemon's version, for heartbeats. The headAgeMs_ of an unknown head is UINT32_MAX; heardAgeMs_ is
// not set.
PeerFreshness ownFreshness(const ConfigState &state, const DaemonId &self, TimePoint now);

} // namespace mimosapier
