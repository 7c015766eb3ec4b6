// JSON documents of the admin views.
#include "core/common/json_func.h"
#include "core/node/node_internal.h"

namespace mimosapier::detail
{

static std::string statusDocument(const Node &node, TimePoint now)
{
    JsonArray groups;
    for (const auto &[id, group] : node.groups_) {
        groups.raw(groupDocument(*group, now));
    }
    JsonArray homes;
    for (const auto &[id, home] : node.homes_) {
        homes.raw(homeDocument(*home));
    }
    return JsonObject()
        .text("daemon", node.settings_.member_.self_.value_)
        .text("region", node.settings_.member_.region_.value_)
        .text("zone", node.settings_.member_.zone_.value_)
        .number("bundle_version", static_cast<std::int64_t>(currentBundle(*node.config_).version_.value_))
        .boolean("config_fresh", configIsFresh(*node.member_, now))
        .boolean("leaving", node.leavePhase_ != LeavePhase::None)
        .number("open_requests", static_cast<std::int64_t>(openCallerRequests(*node.entry_)))
        .raw("member", memberDocument(*node.member_, now))
        .raw("groups", groups.finish())
        .raw("homes", homes.finish())
        .finish();
}

static std::string instancesDocument(const Node &node)
{
    JsonArray workers;
    for (const WorkerInfo &worker : node.instances_.workers_) {
        workers.raw(JsonObject()
                        .text("id", worker.id_.value_)
                        .text("region", worker.region_.value_)
                        .text("zone", worker.zone_.value_)
                        .text("group", worker.group_.value_)
                        .text("address", worker.address_)
                        .boolean("leaving", worker.leaving_)
                        .number("milli_cpus", worker.capacity_.milliCpus_)
                        .number("memory_mb", worker.capacity_.memoryMb_)
                        .number("accelerators", worker.capacity_.accelerators_)
                        .number("slots", worker.capacity_.slots_)
                        .finish());
    }
    return JsonObject().raw("workers", workers.finish()).finish();
}

std::string adminDocument(const Node &node, AdminView view, TimePoint now)
{
    switch (view) {
    case AdminView::Status:
        return statusDocument(node, now);
    case AdminView::Bundle:
        return bundleDocument(*node.config_);
    case AdminView::Drafts:
        return draftsDocument(*node.config_);
    case AdminView::Instances:
        return instancesDocument(node);
    case AdminView::Report:
        return entryDocument(*node.entry_);
    }
    return "{}";
}

} // namespace mimosapier::detail
