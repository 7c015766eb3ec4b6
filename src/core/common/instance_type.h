// Instances, from the platform's list. The list lags behind the real state of the instances.
#pragma once

#include "core/common/id_type.h"
#include "core/common/resource_type.h"

#include <string>
#include <vector>

namespace mimosapier
{

// A backend server.
struct WorkerInfo
{
    WorkerId id_;
    RegionId region_;
    ZoneId zone_;
    ShardId group_; // "g/<region>/<rack>"
    std::string address_; // "ip:port" of the worker's HTTP interface
    Resources capacity_;
    bool leaving_ = false; // gets no new work

    bool operator==(const WorkerInfo &) const = default;
};

// The complete list at one time. The platform has removed the workers that are missing in it.
struct InstanceSnapshot
{
    std::vector<WorkerInfo> workers_;
};

} // namespace mimosapier
