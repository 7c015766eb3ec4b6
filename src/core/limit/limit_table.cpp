// Encoding of the store keys allowance/<n>: rows of teams with the parts of the groups, in msgpack. Queries on rows.
#include "core/limit/limit_internal.h"

#include "core/common/rendezvous_func.h"
#include "core/message/fields.h"

namespace mimosapier
{

MIMOSAPIER_FIELDS(AllowancePart, s.group_, s.amount_, s.epoch_)
MIMOSAPIER_FIELDS(AllowanceRow, s.team_, s.parts_)

} // namespace mimosapier

#include "core/message/pack_func.h"

namespace mimosapier
{

std::uint32_t allowanceKeyIndex(const TeamId &team)
{
    return static_cast<std::uint32_t>(stableHash(team.value_) % detail::AllowanceKeyCount);
}

std::string encodeAllowances(const std::map<TeamId, std::vector<AllowancePart>> &rows)
{
    std::vector<AllowanceRow> list;
    list.reserve(rows.size());
    for (const auto &[team, parts] : rows) {
        if (!parts.empty()) {
            list.push_back({team, parts});
        }
    }
    return packToString(list);
}

bool decodeAllowances(std::string_view bytes, std::map<TeamId, std::vector<AllowancePart>> &rows)
{
    rows.clear();
    std::vector<AllowanceRow> list;
    if (!unpackFromString(bytes, list)) {
        return false;
    }
    for (AllowanceRow &row : list) {
        rows[row.team_] = std::move(row.parts_);
    }
    return true;
}

const AllowancePart *findPart(const AllowanceKey &key, const TeamId &team, const ShardId &group)
{
    const auto row = key.rows_.find(team);
    if (row == key.rows_.end()) {
        return nullptr;
    }
    for (const AllowancePart &part : row->second) {
        if (part.group_ == group) {
            return &part;
        }
    }
    return nullptr;
}

std::uint64_t sumOfParts(const std::vector<AllowancePart> &parts)
{
    std::uint64_t sum = 0;
    for (const AllowancePart &part : parts) {
        sum += part.amount_;
    }
    return sum;
}

std::uint32_t teamLimit(const Bundle &bundle, const TeamId &team)
{
    const Team *found = findTeam(bundle, team);
    return found == nullptr ? 0 : found->limit_;
}

} // namespace mimosapier
