// Table of all settings: key, rule for allowed values, and the field that stores the value.
#pragma once

#include "daemon/settings_type.h"

#include <array>
#include <string_view>

namespace mimosapier
{

// Rule for the allowed values of a setting.
enum class SettingRule : std::uint8_t {
    Name,
    Address, // "ip:port" to connect to; port 0 is not allowed
    ListenAddress, // "ip:port"; port 0 picks a free one
    OptionalListenAddress,
    Level,
    Seed,
    Count,
    Ratio, // a decimal number
};

struct SettingRow
{
    std::string_view key_;
    SettingRule rule_;
    bool required_;
    std::string Settings::*text_ = nullptr; // field, for rules with text values
    std::uint64_t Limits::*count_ = nullptr; // field, for Count
    std::uint64_t min_ = 0; // for Count and Ratio, as is max_
    std::uint64_t max_ = 0;
    std::string CellDeployment::*cellText_ = nullptr; // for keys in section "cell", instead of text_ and count_
    std::uint64_t CellDeployment::*cellCount_ = nullptr;
    double CellDeployment::*cellRatio_ = nullptr;
    bool allowsZero_ = false; // for Count: 0 (off) is allowed besides the values from min_ to max_
};

// Helper that builds rows of the section "limits".
constexpr SettingRow limitCount(std::string_view key, std::uint64_t Limits::*count, std::uint64_t min,
                                std::uint64_t max)
{
    return {key, SettingRule::Count, false, nullptr, count, min, max};
}

// Helpers that build rows of the section "cell".
constexpr SettingRow cellAddress(std::string_view key, SettingRule rule, std::string CellDeployment::*text)
{
    SettingRow row{key, rule, false};
    row.cellText_ = text;
    return row;
}

constexpr SettingRow cellCount(std::string_view key, std::uint64_t CellDeployment::*count, std::uint64_t min,
                               std::uint64_t max)
{
    SettingRow row{key, SettingRule::Count, false, nullptr, nullptr, min, max};
    row.cellCount_ = count;
    return row;
}

// The value 0 is allowed besides those from min to max.
constexpr SettingRow cellCountOrOff(std::string_view key, std::uint64_t CellDeployment::*count, std::uint64_t min,
                                    std::uint64_t max)
{
    SettingRow row = cellCount(key, count, min, max);
    row.allowsZero_ = true;
    return row;
}

constexpr SettingRow cellRatio(std::string_view key, double CellDeployment::*ratio, std::uint64_t min,
                               std::uint64_t max)
{
    SettingRow row{key, SettingRule::Ratio, false, nullptr, nullptr, min, max};
    row.cellRatio_ = ratio;
    return row;
}

// A map setting. The key path of a member is "<key>.<member>"; its value is an Address.
struct MapSettingRow
{
    std::string_view key_;
    SettingRule memberRule_; // allowed member names
    std::map<std::string, std::string> Settings::*map_;
};

inline constexpr std::uint64_t MaxRing = 1'000'000;

inline constexpr std::array SettingTable{
    SettingRow{"name", SettingRule::Name, true, &Settings::name_},
    SettingRow{"region", SettingRule::Name, true, &Settings::region_},
    SettingRow{"zone", SettingRule::Name, true, &Settings::zone_},
    SettingRow{"caller_address", SettingRule::ListenAddress, true, &Settings::callerAddress_},
    SettingRow{"peer_address", SettingRule::Address, true, &Settings::peerAddress_},
    SettingRow{"metrics_address", SettingRule::OptionalListenAddress, false, &Settings::metricsAddress_},
    SettingRow{"store_address", SettingRule::Address, true, &Settings::storeAddress_},
    SettingRow{"instance_list_address", SettingRule::Address, false, &Settings::instanceListAddress_},
    SettingRow{"log_level", SettingRule::Level, false, &Settings::logLevel_},
    SettingRow{"seed", SettingRule::Seed, false},
    SettingRow{"limits.max_body_bytes", SettingRule::Count, false, nullptr, &Limits::maxBodyBytes_, 1024, 16'777'216},
    SettingRow{"limits.max_open_requests", SettingRule::Count, false, nullptr, &Limits::maxOpenRequests_, 1, MaxRing},
    SettingRow{"limits.caller_ring", SettingRule::Count, false, nullptr, &Limits::callerRing_, 1, MaxRing},
    SettingRow{"limits.peer_ring", SettingRule::Count, false, nullptr, &Limits::peerRing_, 16, MaxRing},
    SettingRow{"limits.store_ring", SettingRule::Count, false, nullptr, &Limits::storeRing_, 16, MaxRing},
    SettingRow{"limits.worker_ring", SettingRule::Count, false, nullptr, &Limits::workerRing_, 16, MaxRing},
    SettingRow{"limits.drain_ms", SettingRule::Count, false, nullptr, &Limits::drainMs_, 0, 30'000},
    SettingRow{"limits.shutdown_ms", SettingRule::Count, false, nullptr, &Limits::shutdownMs_, 0, 30'000},
    limitCount("limits.max_request_line_bytes", &Limits::maxRequestLineBytes_, 256, 1'048'576),
    limitCount("limits.max_header_bytes", &Limits::maxHeaderBytes_, 1024, 1'048'576),
    limitCount("limits.max_header_fields", &Limits::maxHeaderFields_, 16, 65'536),
    limitCount("limits.max_trailer_bytes", &Limits::maxTrailerBytes_, 0, 1'048'576),
    limitCount("limits.max_chunk_line_bytes", &Limits::maxChunkLineBytes_, 16, 1'048'576),
    limitCount("limits.max_chunk_overhead_bytes", &Limits::maxChunkOverheadBytes_, 1024, 134'217'728),
    limitCount("limits.max_pipelined", &Limits::maxPipelined_, 1, 4096),
    limitCount("limits.request_ms", &Limits::requestMs_, 100, 600'000),
    limitCount("limits.min_bytes_per_s", &Limits::minBytesPerS_, 1, 1'073'741'824),
    limitCount("limits.idle_ms", &Limits::idleMs_, 100, 3'600'000),
    limitCount("limits.write_ms", &Limits::writeMs_, 100, 600'000),
    limitCount("limits.max_connections", &Limits::maxConnections_, 1, 65'536),
    limitCount("limits.read_budget_bytes", &Limits::readBudgetBytes_, 0, 1'099'511'627'776),
    limitCount("limits.memory_mb", &Limits::memoryMb_, 0, 1'048'576),
    limitCount("limits.max_descriptors", &Limits::maxDescriptors_, 0, 1'048'576),
    cellAddress("cell.ready_address", SettingRule::ListenAddress, &CellDeployment::readyAddress_),
    cellAddress("cell.policy_address", SettingRule::Address, &CellDeployment::policyAddress_),
    cellCount("cell.hold_max_ms", &CellDeployment::holdMaxMs_, 1'000, 600'000),
    cellCount("cell.stop_timeout_ms", &CellDeployment::stopTimeoutMs_, 0, 600'000),
    cellCount("cell.gang_timeout_ms", &CellDeployment::gangTimeoutMs_, 100, 600'000),
    cellCount("cell.revoke_ms", &CellDeployment::revokeMs_, 2'000, 600'000),
    cellCount("cell.status_s", &CellDeployment::statusS_, 1, 86'400),
    cellCount("cell.grace_ms", &CellDeployment::graceMs_, 1'500, 600'000),
    cellCount("cell.store_writes_per_s", &CellDeployment::storeWritesPerS_, 1, 1'000'000),
    cellCount("cell.store_min_lease_ms", &CellDeployment::storeMinLeaseMs_, 1, 600'000),
    cellCount("cell.learned_run_times", &CellDeployment::learnedRunTimes_, 0, 1),
    cellCountOrOff("cell.past_use_half_life_s", &CellDeployment::pastUseHalfLifeS_, 60, 604'800),
    cellCount("cell.past_use_shift_ms", &CellDeployment::pastUseShiftMs_, 0, 600'000),
    cellRatio("cell.copy_share", &CellDeployment::copyShare_, 0, 1),
    cellRatio("cell.remote_factor", &CellDeployment::remoteFactor_, 1, 1'000),
    cellRatio("cell.gang_room_share", &CellDeployment::gangRoomShare_, 0, 1),
    cellRatio("cell.processor_share", &CellDeployment::processorShare_, 0, 1'000),
};

inline constexpr std::array MapSettingTable{
    MapSettingRow{"peer_address_overrides", SettingRule::Name, &Settings::peerAddressOverrides_},
    MapSettingRow{"worker_address_overrides", SettingRule::Address, &Settings::workerAddressOverrides_},
};

} // namespace mimosapier
