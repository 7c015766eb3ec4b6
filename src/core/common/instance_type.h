// Instances as the platform's lagging list reports them.
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

// One reading of the list. A worker that is missing is gone according to the platform.
struct InstanceSnapshot
{
    std::vector<WorkerInfo> workers_;
};

} // namespace mimosapier
