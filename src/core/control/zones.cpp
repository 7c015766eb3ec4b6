// Availability zones that the operator has evacuated, by the keys "evacuate/ZONE" in the operator's part of the store.
//
// Every daemon knows the set, so that each new leader has it and a leader that the store rejects learns it from a peer.
// The set has the store revision up to which it is known; a set with a higher revision replaces it. Designed for an
// evacuation while the store rejects the leader, and during a change of leader.
#include "core/control/control_internal.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosapier::detail
{

static constexpr std::string_view EvacuationPrefix = "evacuate/";

// Zone of the key "evacuate/ZONE"; empty for other keys.
static std::string zoneOfKey(std::string_view key)
{
    return key.starts_with(EvacuationPrefix) ? std::string(key.substr(EvacuationPrefix.size())) : std::string();
}

static void logZones(const Control &control, std::string_view event, const std::set<std::string> &zones,
                     const std::set<std::string> &except, std::uint64_t revision, std::string_view source,
                     ControlActions &actions)
{
    for (const std::string &zone : zones) {
        if (except.contains(zone)) {
            continue;
        }
        JsonObject line = beginLogLine(event);
        line.text("zone", zone).text("source", source).number("revision", static_cast<std::int64_t>(revision));
        if (control.cell_) {
            line.number("tasks", static_cast<std::int64_t>(countTasksInZone(*control.cell_, zone)));
        }
        appendLogLine(actions, line, LogLevel::Warning);
    }
}

// Puts a set of evacuated zones in force. `source` is used for the log.
static void applyZones(Control &control, std::set<std::string> zones, std::uint64_t revision, std::string_view source,
                       CellTime now, ControlActions &actions)
{
    const bool changes = control.zonesRevision_ == 0 || zones != control.evacuatedZones_;
    logZones(control, "zone-evacuated", zones, control.evacuatedZones_, revision, source, actions);
    logZones(control, "zone-restored", control.evacuatedZones_, zones, revision, source, actions);
    control.evacuatedZones_ = std::move(zones);
    control.zonesRevision_ = revision;
    control.zonesLearnedAt_ = now.steady_;
    if (!changes) {
        return;
    }
    control.nextBeaconAt_ = now.steady_; // tells the peers, of which the store may reject some
    if (control.cell_) {
        setEvacuatedZones(*control.cell_, control.evacuatedZones_);
    }
}

void readZones(Control &control, const KvReply &read, CellTime now, ControlActions &actions)
{
    // A read that was sent before a peer has told a later set is out of date. One that was sent after that, and has a
    // lower revision, comes from a store that was replaced.
    if (read.revision_ < control.zonesRevision_ && read.sentAt_ <= control.zonesLearnedAt_) {
        return;
    }
    std::set<std::string> zones;
    for (const KvItem &item : read.items_) {
        std::string zone = zoneOfKey(item.key_);
        if (!zone.empty() && !item.removed_) {
            zones.insert(std::move(zone));
        }
    }
    applyZones(control, std::move(zones), read.revision_, "read", now, actions);
}

void updateZones(Control &control, const KvReply &watch, CellTime now, ControlActions &actions)
{
    std::set<std::string> zones = control.evacuatedZones_;
    for (const KvItem &item : watch.items_) {
        const std::string zone = zoneOfKey(item.key_);
        if (zone.empty() || item.revision_ <= control.zonesRevision_) { // a peer has told the change already
            continue;
        }
        if (item.removed_) {
            zones.erase(zone);
        } else {
            zones.insert(zone);
        }
    }
    applyZones(control, std::move(zones), std::max(control.zonesRevision_, watch.revision_), "watch", now, actions);
}

void adoptZones(Control &control, const DaemonId &from, const CellBeacon &beacon, CellTime now, ControlActions &actions)
{
    // While the own watch works, it delivers each change at once. A peer that the store rejects may still have the set
    // of a store that was replaced, with a higher revision.
    const bool isWatching = control.configFeed_.synced_ && control.configFeed_.failures_ == 0;
    if (isWatching || beacon.zonesRevision_ <= control.zonesRevision_) {
        return;
    }
    applyZones(control, {beacon.evacuatedZones_.begin(), beacon.evacuatedZones_.end()}, beacon.zonesRevision_,
               from.value_, now, actions);
}

} // namespace mimosapier::detail
