// State of the configuration and the functions that its files share.
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

// The age of what a relay knows is at most HeadWait plus the call's time until the next answer; heartbeats add up to
// about 1 s. Together this stays below the 5 s of condition (a).
constexpr Milliseconds HeadWait{1000};
constexpr Milliseconds HeadRetry{500}; // between tries that failed
constexpr Milliseconds HeadPause{20}; // bounds the calls of the watch while the head changes all the time
constexpr Milliseconds ReadAge{3000}; // knowledge of the head older than this makes a daemon read the head itself
constexpr Milliseconds PushWait{2000}; // for the relay's push after a heartbeat told of a higher version
constexpr Milliseconds ConfigOpTimeout{5000}; // an operation without a result counts as Unknown after this time
constexpr Milliseconds AnnounceWait{3000}; // for a majority of acknowledgements
constexpr Milliseconds SignWait{10'000}; // for a certain result of a sign-off; then the answer is Unknown
constexpr Milliseconds SignRetry{200};
constexpr Milliseconds WithdrawRepeat{1000};
constexpr int WithdrawTimes = 10; // a lost withdrawal would keep a daemon from condition (b)
constexpr std::size_t MaxSignOffs = 64; // waiting at one daemon
constexpr std::size_t MaxDraftsKept = 256; // listed at one daemon

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
    BundleVersion base_; // head that the draft was made from
    std::string text_;
};

MIMOSAPIER_FIELDS(HeadRecord, s.version_, s.digest_, s.author_, s.signer_, s.text_, s.voters_)
MIMOSAPIER_FIELDS(DraftRecord, s.author_, s.base_, s.text_)

// One sign-off. Only the first of the queue is under way.
struct SignOff
{
    CallId call_;
    SignRequest request_;
    ChartExecution chart_; // charts/rollout.yaml
    StoreOpId op_; // under way; 0 for none
    TimePoint opGiveUpAt_;
    TimePoint retryAt_;
    TimePoint deadline_;
    bool started_ = false;
    DraftRecord draft_;
    Revision draftRevision_;
    Revision headRevision_;
    Revision winningRevision_; // of the written head
    HeadRecord head_; // that is signed off
    std::string value_; // head_ as it is written
    CallId announce_;
    TimePoint announceUntil_;
    TimePoint announceRepeatAt_;
    std::vector<DaemonId> quorum_; // a majority of these has to acknowledge
    std::set<DaemonId> acks_;
};

struct DraftWrite
{
    CallId call_;
    std::string id_;
    DraftRecord record_;
    StoreOpId op_;
    bool readBack_ = false;
    TimePoint opGiveUpAt_;
    TimePoint deadline_;
};

struct Withdrawal
{
    ConfigAnnounce message_;
    std::vector<DaemonId> to_;
    int left_ = 0;
    TimePoint nextAt_;
};

struct ConfigState
{
    HeadRecord head_; // in force
    Bundle bundle_;
    Revision headRevision_; // newest known of config/head
    BundleVersion heard_; // highest version that was told of
    TimePoint heardAt_; // when heard_ rose

    bool relay_ = false;
    std::vector<DaemonId> members_;
    std::vector<DaemonId> ownRegion_;
    Milliseconds peerHeadAge_ = Milliseconds::max();

    StoreOpId headOp_; // get or watch of the head; 0 for none
    TimePoint headOpSentAt_;
    TimePoint headOpGiveUpAt_;
    TimePoint nextHeadAt_; // earliest time of the next one
    Revision watchAfter_; // revision of the store to watch from; 0: get first
    BundleVersion watchShown_; // version of the head at watchAfter_
    bool headKnown_ = false;
    TimePoint headKnownAt_; // sending of the last operation that showed the head
    bool storeReached_ = false; // by the last operation

    std::map<DaemonId, ConfigAnnounce> announced_; // by signer: change that may be written
    std::map<DaemonId, CallId> withdrawn_; // by signer: highest call that was withdrawn
    std::deque<SignOff> signOffs_;
    std::vector<Withdrawal> withdrawals_;
    std::vector<DraftWrite> draftWrites_;
    std::map<std::string, DraftRecord> drafts_;
    StoreOpId draftsOp_;
    TimePoint draftsGiveUpAt_;
    std::vector<CallId> draftsCalls_; // waiting for the list
};

// digest.cpp
std::string sha256Hex(std::string_view text);
bool equalConstantTime(std::string_view left, std::string_view right);

// bundle_diff.cpp
// Text of the first region whose number of partitions differs; empty when none does.
std::string partitionChange(const Bundle &from, const Bundle &to);

// head.cpp
void tickHead(ConfigState &state, Context &context);
bool onHeadResult(ConfigState &state, const StoreResult &result, Context &context);
// Applies a record with a higher version. Returns the record's version; nothing for one that is not valid.
std::optional<BundleVersion> applyHead(ConfigState &state, const std::string &value, Revision revision,
                                       Context &context);

// draft_cmd.cpp
void tickDrafts(ConfigState &state, Context &context);
bool onDraftResult(ConfigState &state, const StoreResult &result, Context &context);
std::string draftDetail(const std::string &id, BundleVersion base);

// sign_cmd.cpp
void tickSignOffs(ConfigState &state, Context &context);
bool onSignResult(ConfigState &state, const StoreResult &result, Context &context);

// announce.cpp
void announce(ConfigState &state, SignOff &sign, Context &context);
void withdraw(ConfigState &state, const SignOff &sign, Context &context);
void tickWithdrawals(ConfigState &state, Context &context);
bool hasMajority(const SignOff &sign);
void dropAnnouncements(ConfigState &state);

void answerOperator(Context &context, CallId call, Outcome outcome, ErrorKind error, std::string detail);

} // namespace mimosapier
