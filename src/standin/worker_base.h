// One stand-in worker: slots, declared sizes, epochs, the task lease and simulated tasks. No I/O; the caller passes
// the time and takes the journal lines.
#pragma once

#include "core/common/resource_type.h"
#include "core/common/time_type.h"
#include "http/json_func.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace mimosapier::standin
{

enum class WorkerMode : std::uint8_t {
    Ok,
    Fail, // each task starts and fails at once
    Refuse, // each start is answered not-run, task-failed
};

using TaskKey = std::pair<std::string, std::int64_t>; // job id, index

struct SimulatedTask
{
    std::string team_;
    std::string class_;
    std::string requestId_;
    Resources size_; // declared
    bool idempotent_ = true;
    bool isService_ = false; // runs until stopped
    bool willFail_ = false;
    bool throttled_ = false;
    TimePoint startedAt_;
    TimePoint finishesAt_; // while it runs
    Resources actualUsage_; // what it really uses
    bool usageReported_ = false; // actualUsage_ is part of reports from UsageLag after the start
    std::string outcome_ = "running"; // "done", "failed" or "cancelled" when finished and not acknowledged
    std::string error_ = "none";
    std::string result_;
};

// An answer of the worker's interface.
struct WorkerAnswer
{
    unsigned status_ = 200;
    Json body_;
};

class SimulatedWorker
{
public:
    using JournalFunction = std::function<void(const Json &)>;

    // Settings: id, milli_cpus, memory_mb, accelerators, slots.
    SimulatedWorker(const Json &settings, JournalFunction journal, std::uint64_t seed);

    // Checks the epoch; false fills in a 409.
    bool admitEpoch(const Json &request, WorkerAnswer &answer);

    WorkerAnswer hold(const Json &request, TimePoint now);
    WorkerAnswer start(const Json &request, TimePoint now);
    WorkerAnswer stop(const Json &request, TimePoint now);

    // First part of a poll: acknowledges results and renews the lease.
    void acknowledge(const Json &request, TimePoint now);

    // Second part of a poll: the answer, due when hasPendingReports() or when the poll has waited long enough.
    // `known`: tasks that have ended and are not reported again.
    WorkerAnswer pollAnswer(TimePoint now, const std::set<TaskKey> &known = {});
    [[nodiscard]] bool hasPendingReports(const std::set<TaskKey> &known = {}) const;

    // Tasks named by the field `known` of a poll.
    static std::set<TaskKey> knownTasks(const Json &request);

    // Finishes tasks that have run their time and stops all when the lease has lapsed.
    void advance(TimePoint now);

    void setMode(WorkerMode mode) { mode_ = mode; }
    void setLeaving(bool leaving);
    [[nodiscard]] const std::string &id() const { return id_; }
    [[nodiscard]] std::uint64_t epoch() const { return highestEpoch_; }
    [[nodiscard]] std::size_t running() const;

private:
    void renew(const Json &request, TimePoint now);
    Json startTask(const Json &request, TimePoint now);
    void finish(const TaskKey &key, SimulatedTask &task, const char *event, const char *outcome, const char *error);
    void stopTask(const TaskKey &key, SimulatedTask &task, const std::string &mode, TimePoint now);
    [[nodiscard]] Json report(const TaskKey &key, const SimulatedTask &task) const;
    void journal(const char *event, const TaskKey &key, const SimulatedTask &task);

    std::string id_;
    Resources capacity_;
    Resources free_;
    JournalFunction journal_;
    std::uint64_t randomState_; // state of the generator of real usage
    std::uint64_t highestEpoch_ = 0; // highest seen
    TimePoint leaseEnd_; // of all tasks
    bool leaving_ = false;
    bool leavingReported_ = false; // in a poll answer since it changed
    WorkerMode mode_ = WorkerMode::Ok;
    std::map<TaskKey, SimulatedTask> tasks_;
};

} // namespace mimosapier::standin
