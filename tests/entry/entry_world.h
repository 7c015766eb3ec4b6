// An entry with a directory of groups and one home partition, on a simulated clock. The test takes the messages that
// the entry sends and answers them in place of the holders.
#pragma once

#include "core/common/shard_func.h"
#include "core/config/bundle_base.h"
#include "core/entry/entry_func.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace mimosapier::test
{

struct SentMessage
{
    DaemonId to_;
    PeerMessage message_;
};

struct EntryWorld
{
    DaemonId self_{"entry#1"};
    RegionId region_{"hobart"};
    ShardId partition_{"p/hobart/0"};
    Bundle bundle_;
    Directory directory_;
    Actions actions_;
    std::mt19937_64 random_;
    TimePoint now_{std::chrono::hours(1)};
    Handle<Entry> entry_ = makeEntry();
    std::uint64_t lastCall_ = 0;
    std::map<CallId, CallerAnswer> answers_;
    std::set<CallId> answeredTwice_;
    std::deque<SentMessage> sent_; // not taken by the test yet

    explicit EntryWorld(std::uint64_t seed = 1, int groups = 2)
        : random_(seed)
    {
        const auto add = [this](const char *name, WorkMode mode, Priority priority, bool idempotent) {
            WorkClass work;
            work.id_ = ClassId(name);
            work.mode_ = mode;
            work.priority_ = priority;
            work.idempotent_ = idempotent;
            work.deadline_ = Milliseconds(1000);
            work.objective_ = Milliseconds(100);
            bundle_.classes_[work.id_] = work;
        };
        add("counter", WorkMode::Interactive, Priority::Urgent, true);
        add("once", WorkMode::Interactive, Priority::Urgent, false);
        add("nightly", WorkMode::Journaled, Priority::Batch, true);
        bundle_.regions_.push_back({region_, 1});
        for (const char *name : {"school", "club", "shop"}) {
            Team team;
            team.id_ = TeamId(name);
            team.homeRegion_ = region_;
            bundle_.teams_[team.id_] = team;
        }
        for (int i = 0; i < groups; ++i) {
            const std::string name = std::to_string(i);
            directory_.groups_.push_back(
                {groupShard(region_, "r" + name), region_, DaemonId("g" + name + "#1"), {1}, true, {}});
        }
        directory_.partitions_.push_back({partition_, region_, DaemonId("home#1"), {1}, true, {}});
    }

    Context context() { return {now_, self_, region_, bundle_, directory_, actions_, random_}; }

    void performActions()
    {
        for (Action &action : actions_.pending_) {
            if (auto *answer = std::get_if<CallerAnswer>(&action)) {
                if (!answers_.emplace(answer->call_, *answer).second) {
                    answeredTwice_.insert(answer->call_);
                }
            } else if (auto *send = std::get_if<PeerSend>(&action)) {
                sent_.push_back({send->to_, std::move(send->message_)});
            }
        }
        actions_.pending_.clear();
    }

    static SubmitRequest request(const std::string &id, const char *workClass, std::uint32_t attempt = 1)
    {
        SubmitRequest request;
        request.requestId_ = id;
        request.team_ = TeamId("school");
        request.class_ = ClassId(workClass);
        request.attempt_ = attempt;
        request.size_ = {100, 64, 0, 0};
        return request;
    }

    CallId submit(const SubmitRequest &request, std::error_code authorization = {})
    {
        Context now = context();
        onSubmit(*entry_, {++lastCall_}, request, authorization, now);
        performActions();
        return {lastCall_};
    }

    CallId submit(const std::string &id, const char *workClass, std::uint32_t attempt = 1)
    {
        return submit(request(id, workClass, attempt));
    }

    CallId status(const std::string &id, Milliseconds wait = Milliseconds(0))
    {
        StatusRequest request;
        request.requestId_ = id;
        request.team_ = TeamId("school");
        request.wait_ = wait;
        Context now = context();
        onStatus(*entry_, {++lastCall_}, request, {}, now);
        performActions();
        return {lastCall_};
    }

    CallId cancel(std::vector<std::string> ids)
    {
        Context now = context();
        onCancel(*entry_, {++lastCall_}, {std::move(ids), TeamId("school"), {}}, {}, now);
        performActions();
        return {lastCall_};
    }

    // Removes and returns the oldest sent message of a type; nothing when there is none.
    template <typename Message>
    std::optional<Message> take(DaemonId *to = nullptr)
    {
        for (auto sent = sent_.begin(); sent != sent_.end(); ++sent) {
            if (auto *message = std::get_if<Message>(&sent->message_)) {
                std::optional<Message> taken(std::move(*message));
                if (to != nullptr) {
                    *to = sent->to_;
                }
                sent_.erase(sent);
                return taken;
            }
        }
        return std::nullopt;
    }

    void reply(const TaskOffer &offer, Outcome outcome, ErrorKind error = ErrorKind::None)
    {
        TaskAnswer answer{offer.replyTo_, offer.group_, offer.job_.id_, {}};
        for (std::uint32_t i = 0; i < offer.count_; ++i) {
            answer.results_.push_back(
                {offer.firstIndex_ + i, outcome, error, {}, "result of " + offer.job_.requestId_});
        }
        Context now = context();
        onEntryTaskAnswer(*entry_, {}, answer, now);
        performActions();
    }

    void reply(const ReplyTo &to, const JobId &job, Outcome outcome, ErrorKind error = ErrorKind::None,
               std::vector<TaskResult> results = {})
    {
        Context now = context();
        onEntryJobAnswer(*entry_, {}, {to, job, outcome, error, std::move(results), {}}, now);
        performActions();
    }

    void peerDown(const DaemonId &peer)
    {
        Context now = context();
        onEntryPeerDown(*entry_, peer, now);
        performActions();
    }

    ShardEntry &group(const ShardId &id)
    {
        return *std::find_if(directory_.groups_.begin(), directory_.groups_.end(),
                             [&id](const ShardEntry &entry) { return entry.shard_ == id; });
    }

    CandidateGroups candidates(const std::string &id) const
    {
        std::vector<ShardId> groups;
        for (const ShardEntry &entry : directory_.groups_) {
            groups.push_back(entry.shard_);
        }
        return candidateGroups(JobId("school:" + id), groups);
    }

    void run(Milliseconds time, Milliseconds stepTime = Milliseconds(20))
    {
        for (const TimePoint end = now_ + time; now_ < end;) {
            now_ += stepTime;
            Context now = context();
            tickEntry(*entry_, now);
            performActions();
        }
    }

    // Answer to a call; throws when there is none.
    const CallerAnswer &answer(CallId call) const { return answers_.at(call); }
    bool answered(CallId call) const { return answers_.contains(call); }
};

} // namespace mimosapier::test
