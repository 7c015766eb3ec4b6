// The configuration bundle as parsed and validated from YAML: regions, teams with keys and limits, classes of work and
// weights. Read by all parts of the decision logic; only the configuration replaces it.
#pragma once

#include "core/common/id_type.h"
#include "core/common/resource_type.h"
#include "core/common/time_type.h"
#include "core/common/work_type.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosapier
{

// What happens to the excess running tasks of a team when its limit is lowered: Drain lets them finish, Stop stops
// them.
enum class LimitAction : std::uint8_t { Drain, Stop };

struct Team
{
    TeamId id_;
    double share_ = 1.0; // weight in fair sharing when the fleet is full; > 0
    std::uint32_t limit_ = 0; // maximum number of running tasks in the whole fleet
    RegionId homeRegion_; // where its journaled jobs are kept
    LimitAction limitAction_ = LimitAction::Drain;
    std::vector<std::string> keyHashes_; // lower-case hex SHA-256 of the valid keys
    std::vector<std::string> openQueues_; // queues that accept work without a key
};

struct WorkClass
{
    ClassId id_;
    WorkMode mode_ = WorkMode::Interactive;
    Priority priority_ = Priority::Normal;
    bool idempotent_ = true;
    Milliseconds deadline_{1000}; // default time limit for starting (interactive) or being accepted (other modes)
    Milliseconds objective_{1000}; // longest wait that meets the service level objective
    double objectiveRatio_ = 0.99; // fraction of the work that must meet objective_, in (0, 1)
    bool mayThrottle_ = false; // tasks may be throttled in favour of urgent work
    bool mayCheckpoint_ = false; // or checkpointed
    bool mayStop_ = false; // or stopped
};

struct RegionConfig
{
    RegionId id_;
    std::uint32_t partitions_ = 1; // number of home partitions; cannot change, as jobs are mapped to partitions by it
};

// Weights of the placement goals, >= 0.
struct PolicyWeights
{
    double waiting_ = 1.0;
    double packing_ = 1.0;
    double crossing_ = 1.0; // of traffic between regions
};

struct Bundle
{
    BundleVersion version_; // 0: no bundle yet, and no work is accepted
    std::vector<RegionConfig> regions_; // ascending by id
    std::unordered_map<TeamId, Team> teams_;
    std::unordered_map<ClassId, WorkClass> classes_;
    PolicyWeights weights_;
};

// Look-ups; nullptr when the bundle has no such team or class. The result is owned by the bundle.
inline const Team *findTeam(const Bundle &bundle, const TeamId &team)
{
    const auto found = bundle.teams_.find(team);
    return found == bundle.teams_.end() ? nullptr : &found->second;
}

inline const WorkClass *findClass(const Bundle &bundle, const ClassId &id)
{
    const auto found = bundle.classes_.find(id);
    return found == bundle.classes_.end() ? nullptr : &found->second;
}

} // namespace mimosapier
