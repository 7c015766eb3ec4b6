// Logic of one simulated worker: slots, declared sizes, epochs, the task lease and tasks that only take time. It
// performs no I/O and reads no clock for its decisions: callers pass the time and receive the journal lines. Not
// thread-safe; used by WorkerService and by tests.
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
    Fail, // each task starts and fails after 1 ms
    Refuse, // no task starts; each start is answered with not-run and task-failed
};

using TaskKey = std::pair<std::string, std::int64_t>; // job id, index

struct SimulatedTask
{
    std::string team_;
    std::string class_;
    std::string requestId_;
    Resources size_; // declared by the request
    bool idempotent_ = true;
    bool isService_ = false; // runs until stopped
    bool willFail_ = false; // fails at the end of its run time
    bool throttled_ = false; // runs at half speed
    TimePoint startedAt_;
    TimePoint finishesAt_; // when it finishes if it is not stopped; unused for services
    Resources actualUsage_; // simulated; may exceed size_
    bool usageReported_ = false; // reports include actualUsage_, from UsageLag after the start
    std::string outcome_ = "running"; // "done", "failed" or "cancelled" after the end
    std::string error_ = "none";
    std::string result_;
};

// HTTP status and body of an answer.
struct WorkerAnswer
{
    unsigned status_ = 200;
    Json body_;
};

class SimulatedWorker
{
public:
    using JournalFunction = std::function<void(const Json &)>;

    // Settings: id, milli_cpus, memory_mb, accelerators, slots. Calls `journal` for each start and end of a task. The
    // seed determines the simulated resource usage.
    SimulatedWorker(const Json &settings, JournalFunction journal, std::uint64_t seed);

    // Checks the epoch of a request and remembers the highest one. Returns false and sets the answer to 400 for a
    // missing epoch or 409 for an old one. Call it before all functions below that take a request.
    bool admitEpoch(const Json &request, WorkerAnswer &answer);

    // Renews the lease and returns all tasks.
    WorkerAnswer hold(const Json &request, TimePoint now);
    // Renews the lease and starts the tasks that fit the free capacity. For a task that was started before, returns its
    // state.
    WorkerAnswer start(const Json &request, TimePoint now);
    // Stops or throttles the listed tasks.
    WorkerAnswer stop(const Json &request, TimePoint now);

    // First part of a poll: removes the tasks whose results the caller acknowledges and renews the lease.
    void acknowledge(const Json &request, TimePoint now);

    // Second part of a poll: its answer, which the caller sends once hasPendingReports() is true or the wait time is
    // over. Ended tasks in `known` are not reported again.
    WorkerAnswer pollAnswer(TimePoint now, const std::set<TaskKey> &known = {});
    // True when a poll has an ended task or a change to "leaving" to report.
    [[nodiscard]] bool hasPendingReports(const std::set<TaskKey> &known = {}) const;

    // Tasks in the field `known` of a poll.
    static std::set<TaskKey> knownTasks(const Json &request);

    // Finishes the tasks whose run time is over, and fails the others with task-lease-lapsed once the lease has
    // expired.
    void advance(TimePoint now);

    void setMode(WorkerMode mode) { mode_ = mode; }
    void setLeaving(bool leaving);
    [[nodiscard]] const std::string &id() const { return id_; }
    // Highest epoch seen.
    [[nodiscard]] std::uint64_t epoch() const { return highestEpoch_; }
    // Number of running tasks.
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
    Resources free_; // capacity_ minus the declared sizes of the running tasks
    JournalFunction journal_;
    std::uint64_t randomState_; // of the generator for actualUsage_
    std::uint64_t highestEpoch_ = 0;
    TimePoint leaseEnd_; // of all tasks
    bool leaving_ = false;
    bool leavingReported_ = false; // a poll answer has reported "leaving"
    WorkerMode mode_ = WorkerMode::Ok;
    std::map<TaskKey, SimulatedTask> tasks_; // running, or ended and not acknowledged
};

} // namespace mimosapier::standin
