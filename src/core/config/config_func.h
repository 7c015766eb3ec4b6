// The configuration of a daemon: reads the head of the bundle, applies higher versions only, stores drafts, signs off.
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

// One thing that is wrong in a bundle's text.
struct BundleProblem
{
    int line_ = 0; // 1-based; 0 when the text as a whole is concerned
    std::string key_; // path, for example "teams.school.limit"
    std::string value_; // as given
    std::string allowed_; // what is allowed
};

// Parses and validates YAML. On error (BadBundle) `bundle` is unchanged and `problems` lists what is wrong.
std::error_code parseBundle(std::string_view text, Bundle &bundle, std::vector<BundleProblem> &problems);

// "line 3: teams.school.limit: -1: an integer from 0 to 1000000", one line for each problem.
std::string formatProblems(std::string_view file, std::span<const BundleProblem> problems);

// Lines that differ, "-" for those only in `from` and "+" for those only in `to`; at most 40 lines and a count.
std::string lineDiff(std::string_view from, std::string_view to);

// Hex SHA-256 of a key, as it stands in the bundle.
std::string keyHash(std::string_view key);

Handle<ConfigState> makeConfigState();

void startConfig(ConfigState &state, Context &context);
void tickConfig(ConfigState &state, Context &context);
void onConfigStoreResult(ConfigState &state, const StoreResult &result, Context &context);
void onConfigAnnounce(ConfigState &state, const DaemonId &from, const ConfigAnnounce &message, Context &context);
void onConfigAnnounceAck(ConfigState &state, const DaemonId &from, const ConfigAnnounceAck &message, Context &context);
void onConfigPush(ConfigState &state, const DaemonId &from, const ConfigPush &message, Context &context);

// All member daemons (memberDaemons of Membership), of which a majority hears of a change before it is written, and the
// live daemons of the own region, to which a relay pushes the head.
void setMembers(ConfigState &state, std::span<const DaemonId> members, std::span<const DaemonId> ownRegion);

// Whether this daemon follows the head for its region.
void setRelay(ConfigState &state, bool relay);

// Age of what this daemon and its peers know of the head (headAge of Membership). A daemon reads the head itself when
// the age grows because the relay is gone.
void setHeadAge(ConfigState &state, Milliseconds age);

// Daemons of which a majority has to confirm that the version in force is the head (setVoters of Membership).
std::span<const DaemonId> voters(const ConfigState &state);

// A heartbeat told of a head; a higher version than the own is read from the store or awaited from the relay.
void onHeadHeard(ConfigState &state, BundleVersion version, Context &context);

// Operators' requests. Each answers with exactly one CallerAnswer, now or later.
void onDraft(ConfigState &state, CallId call, const DraftRequest &request, Context &context);
void onSign(ConfigState &state, CallId call, const SignRequest &request, Context &context);
std::string bundleDocument(const ConfigState &state); // JSON: version, digest, author, signer, text
std::string draftsDocument(const ConfigState &state); // JSON; the drafts known here, as of the last list

// Lists the drafts in the store, then answers the call with draftsDocument.
void onDraftsView(ConfigState &state, CallId call, Context &context);

// The bundle in force; version 0 before the first.
const Bundle &currentBundle(const ConfigState &state);

// Checks the key or open queue of a request against the bundle in force and the freshness of its version.
// Errors: UnknownTeam, WrongKey, ConfigStale.
std::error_code authorize(const ConfigState &state, const TeamId &team, std::string_view key, std::string_view queue,
                          bool fresh);

// What goes into the own PeerFreshness of heartbeats.
PeerFreshness ownFreshness(const ConfigState &state, const DaemonId &self, TimePoint now);

} // namespace mimosapier
