// Evacuated availability zones: starts, repeated and planned starts, and the capacity that admission counts on.
//
// Designed for the evacuation of a zone with a sixth of the fleet under full load: starts there end at once, those
// without an answer are withdrawn, runs go on, and submissions that only the zone could serve are refused.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier
{

using namespace detail;

bool detail::isEvacuated(const Cell &cell, const Runner &runner)
{
    return !cell.evacuatedZones_.empty() && cell.evacuatedZones_.contains(runner.record_.zone_);
}

bool detail::mayStartInZone(const Cell &cell, const Runner &runner)
{
    return cell.evacuationsKnown_ && !isEvacuated(cell, runner);
}

bool detail::isServiceEvacuated(const Cell &cell, const std::string &service)
{
    if (cell.evacuatedZones_.empty()) {
        return false;
    }
    bool hasRunners = false;
    for (const auto &[id, runner] : cell.runners_) {
        if (!runner->inDiscovery_ || runner->record_.draining_ || runner->record_.service_ != service) {
            continue;
        }
        if (!isEvacuated(cell, *runner)) {
            return false;
        }
        hasRunners = true;
    }
    return hasRunners;
}

void setEvacuatedZones(Cell &cell, const std::set<std::string> &zones)
{
    if (cell.evacuationsKnown_ && zones == cell.evacuatedZones_) {
        return;
    }
    cell.evacuationsKnown_ = true;
    cell.evacuatedZones_ = zones;
    cell.placementDue_ = true;
    cell.capacityStale_ = true;
    for (const auto &[id, runner] : cell.runners_) {
        if (!isEvacuated(cell, *runner)) {
            continue;
        }
        for (auto &[task, placement] : runner->tasks_) {
            if (placement.phase_ == PlacementPhase::Planned || placement.phase_ == PlacementPhase::Starting) {
                placement.retryAt_ = {}; // repeatCalls() gives it up or withdraws it with the next timers
                runner->nextCallRetryAt_ = {};
            }
        }
    }
}

std::size_t countTasksInZone(const Cell &cell, const std::string &zone)
{
    std::size_t tasks = 0;
    for (const auto &[id, runner] : cell.runners_) {
        tasks += runner->record_.zone_ == zone ? runner->tasks_.size() : 0;
    }
    return tasks;
}

} // namespace mimosapier
