// State of the configuration and the functions that its files share.
//
// A daemon accepts keys only while it knows that its version is the head: (a) it or a peer knew so from the store less
// than 5 s ago, or (b) a majority of the voters neither reaches the store nor has heard of a change.
#pragma once

#include "core/chart/chart_func.h"
#include "core/config/config_func.h"
#include "core/message/fields.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosapier
{

inline constexpr std::string_view HeadKey = "config/head";
inline constexpr std::string_view DraftPrefix = "config/draft/";

// Knowledge of the head at a relay is at most as old as HeadWatchWait plus the duration of one call. Heartbeats add up
// to about 1 s. The sum stays below the 5 s of condition (a).
constexpr Milliseconds HeadWatchWait{1000};
constexpr Milliseconds HeadRetryDelay{500}; // after a failed operation; up to twice as long, at random
constexpr Milliseconds MinHeadInterval{20}; // limits the rate of watches while the head changes often
constexpr Milliseconds MaxHeadAge{3000}; // a daemon reads the head itself when all knowledge of it is older
constexpr Milliseconds PushTimeout{2000}; // for the relay's push after a peer reported a higher version
constexpr Milliseconds ConfigOpTimeout{5000}; // a store operation without a result then counts as Unknown
constexpr Milliseconds AnnounceTimeout{3000}; // for acknowledgements by a majority
// A sign-off or draft write ends after this time. The answer is Unknown if the write may still take effect.
constexpr Milliseconds SignOffTimeout{10'000};
constexpr Milliseconds SignOffRetryDelay{200};
constexpr Milliseconds AnnounceRepeatInterval{1000};
constexpr int MaxWithdrawalSends = 10; // a daemon that misses the withdrawal cannot use condition (b)
constexpr std::size_t MaxPendingRequests = 64; // sign-offs, and as many draft writes, waiting at one daemon
constexpr std::size_t MaxListedDrafts = 256; // kept in memory and shown by one daemon

// Value of the store key config/head.
struct HeadRecord
{
    BundleVersion version_;
    std::string digest_; // hex SHA-256 of text_
    std::string author_;
    std::string signer_;
    std::string text_; // YAML
    std::vector<DaemonId> voters_; // members at the sign-off; condition (b) and the next sign-off need a majority
};

// Value of a store key config/draft/<id>.
struct DraftRecord
{
    std::string author_;
    BundleVersion base_; // version of the head that the draft is based on
    std::string text_;
};

MIMOSAPIER_FIELDS(HeadRecord, s.version_, s.digest_, s.author_, s.signer_, s.text_, s.voters_)
MIMOSAPIER_FIELDS(DraftRecord, s.author_, s.base_, s.text_)

// A sign-off in the queue. Only the first one is processed; the others wait.
struct SignOff
{
    CallId call_;
    SignRequest request_;
    ChartExecution chart_; // state machine of charts/rollout.yaml; not started while the sign-off waits
    StoreOpId op_; // in flight; 0: none
    TimePoint opGiveUpAt_; // then the operation counts as Unknown
    TimePoint retryAt_; // earliest time of the next operation
    TimePoint deadline_;
    bool started_ = false;
    DraftRecord draft_;
    Revision draftRevision_;
    Revision headRevision_;
    Revision writtenRevision_; // of config/head after this sign-off's write
    HeadRecord head_; // new head, with the draft's text
    std::string value_; // encoded head_; kept for repeats of the write, and to recognise it when read back
    CallId announce_; // of the announcement; 0: not announced yet
    TimePoint announceDeadline_;
    TimePoint announceRepeatAt_;
    std::vector<DaemonId> announceTargets_; // daemons to announce to; a majority must acknowledge
    std::set<DaemonId> announcedTo_; // all daemons that were targets
    std::set<DaemonId> acks_; // subset of announcedTo_
};

// A draft that is being written to the store.
struct DraftWrite
{
    CallId call_;
    std::string id_;
    DraftRecord record_;
    StoreOpId op_; // in flight
    bool readBack_ = false; // op_ reads the draft, because the result of the write is unknown
    TimePoint opGiveUpAt_;
    TimePoint deadline_;
};

// Withdrawal of an announced change that will not be written. Repeated, because messages can get lost.
struct Withdrawal
{
    ConfigAnnounce message_;
    std::set<DaemonId> to_;
    int sendsLeft_ = 0;
    TimePoint nextAt_; // time of the next send
};

struct ConfigState
{
    HeadRecord head_; // in force
    Bundle bundle_;
    Revision headRevision_; // newest known revision of config/head
    BundleVersion heardVersion_; // highest version applied or reported by a peer
    TimePoint heardVersionAt_; // when a peer's report last raised heardVersion_

    bool relay_ = false;
    std::vector<DaemonId> members_;
    BundleVersion membersVersion_; // version of the head whose voters were known when members_ was set
    std::vector<DaemonId> ownRegion_;
    Milliseconds peerHeadAge_ = Milliseconds::max(); // see setHeadAge()

    StoreOpId headOp_; // list or watch of the head in flight; 0: none
    TimePoint headOpSentAt_;
    TimePoint headOpGiveUpAt_;
    TimePoint nextHeadOpAt_; // earliest time of the next head operation
    Revision watchAfter_; // revision of the store to watch from; 0: list first
    BundleVersion watchedVersion_; // version of the head at watchAfter_
    bool headKnown_ = false; // a result has shown that the version in force is the head
    TimePoint headKnownAt_; // when the last operation with such a result was sent
    bool lastHeadOpSucceeded_ = false; // the store answered the last operation on the head

    std::map<DaemonId, ConfigAnnounce> announcements_; // by signing daemon: announced change that may be written
    std::map<DaemonId, CallId> withdrawnCalls_; // by signing daemon: highest withdrawn call
    std::deque<SignOff> signOffs_; // in order of arrival; the first is processed
    std::vector<Withdrawal> withdrawals_;
    std::vector<DraftWrite> draftWrites_;
    std::map<std::string, DraftRecord> drafts_; // by id; at most MaxListedDrafts
    StoreOpId draftListOp_; // in flight; 0: none
    TimePoint draftListGiveUpAt_;
    std::vector<CallId> draftListCalls_; // to be answered with the list
};

// digest.cpp
// sha256Hex() gives lower-case hex; empty when libcrypto fails.
std::string sha256Hex(std::string_view text);
bool equalConstantTime(std::string_view left, std::string_view right);

// bundle_diff.cpp
// Describes the first region that `to` lacks or whose number of partitions differs; empty when there is none.
std::string partitionChange(const Bundle &from, const Bundle &to);

// head.cpp
void tickHead(ConfigState &state, Context &context);
bool onHeadResult(ConfigState &state, const StoreResult &result, Context &context);
// Applies an encoded HeadRecord if its version is higher than the one in force. Returns the record's version, or
// nullopt when the record cannot be decoded, or is higher but not valid.
std::optional<BundleVersion> applyHead(ConfigState &state, const std::string &value, Revision revision,
                                       Context &context);

// draft_cmd.cpp
// The on...Result() functions return false when the result is not that of an operation of theirs.
void tickDrafts(ConfigState &state, Context &context);
bool onDraftResult(ConfigState &state, const StoreResult &result, Context &context);
std::string draftDetail(const std::string &id, BundleVersion base);

// sign_cmd.cpp
void tickSignOffs(ConfigState &state, Context &context);
bool onSignResult(ConfigState &state, const StoreResult &result, Context &context);

// announce.cpp
void announce(ConfigState &state, SignOff &sign, Context &context);
// Tells all targets of an announcement that the change will not be written.
void withdraw(ConfigState &state, const SignOff &sign, Context &context);
void tickWithdrawals(ConfigState &state, Context &context);
bool hasMajority(const SignOff &sign); // of acknowledgements
// Erases announcements of versions up to the one in force.
void eraseAppliedAnnouncements(ConfigState &state);

void answerOperator(Context &context, CallId call, Outcome outcome, ErrorKind error, std::string detail);

} // namespace mimosapier
