// The configuration bundle: teams, keys, limits, classes of work and policies, as validated from YAML.
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

// What happens to running tasks of a team whose limit was lowered below what it runs.
enum class LimitAction : std::uint8_t { Drain, Stop };

struct Team
{
    TeamId id_;
    double share_ = 1.0; // weight when the fleet is full, > 0
    std::uint32_t limit_ = 0; // most tasks running over the whole fleet
    RegionId homeRegion_; // where its journaled jobs are kept
    LimitAction limitAction_ = LimitAction::Drain;
    std::vector<std::string> keyHashes_; // hex SHA-256 of the keys that are granted
    std::vector<std::string> openQueues_; // queues on which work is taken without a key
};

struct WorkClass
{
    ClassId id_;
    WorkMode mode_ = WorkMode::Interactive;
    Priority priority_ = Priority::Normal;
    bool idempotent_ = true;
    Milliseconds deadline_{1000}; // default time to start (interactive) or to be accepted (others)
    Milliseconds objective_{1000}; // waiting time that counts as good in the report
    double objectiveRatio_ = 0.99; // part of the work that has to be good, in (0, 1)
    bool mayThrottle_ = false; // in favour of urgent work
    bool mayCheckpoint_ = false;
    bool mayStop_ = false;
};

struct RegionConfig
{
    RegionId id_;
    std::uint32_t partitions_ = 1; // number of home partitions; never changes for a region once set
};

// Weights of the measures, >= 0.
struct PolicyWeights
{
    double waiting_ = 1.0;
    double packing_ = 1.0;
    double crossing_ = 1.0; // cross-region traffic
};

struct Bundle
{
    BundleVersion version_; // 0: no bundle yet; then no work is taken
    std::vector<RegionConfig> regions_; // ascending by id
    std::unordered_map<TeamId, Team> teams_;
    std::unordered_map<ClassId, WorkClass> classes_;
    PolicyWeights weights_;
};

// nullptr when the bundle does not have it.
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
