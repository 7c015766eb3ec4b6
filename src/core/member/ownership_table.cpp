// Ownership tables as read from the store, the shards that this daemon holds according to them, and the directory.
#include "core/member/member_internal.h"

#include "core/common/shard_func.h"
#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

const OwnerRow *findRow(const Membership &m, const ShardId &shard)
{
    const auto table = m.tables_.find(shardRegion(shard));
    if (table == m.tables_.end()) {
        return nullptr;
    }
    const auto row = table->second.rows_.find(shard);
    return row == table->second.rows_.end() ? nullptr : &row->second;
}

bool applyTable(Membership &m, const RegionId &region, const StoreEntry &entry)
{
    OwnerTable &table = m.tables_[region];
    if (entry.revision_ <= table.revision_) {
        return false;
    }
    std::vector<OwnerRow> rows;
    if (!unpackFromString(entry.value_, rows)) {
        return false;
    }
    table.revision_ = entry.revision_;
    table.rows_.clear();
    for (OwnerRow &row : rows) {
        const ShardId shard = row.shard_;
        const auto newer = m.newerHolders_.find(shard);
        if (newer != m.newerHolders_.end() && newer->second.second <= row.epoch_) {
            m.newerHolders_.erase(newer);
        }
        table.rows_.emplace(shard, std::move(row));
    }
    m.directoryDirty_ = true;
    return true;
}

// True when the row names this daemon, no heartbeat has shown a later holder, and the shard was not released since.
static bool isHeldHere(const Membership &m, const OwnerRow &row)
{
    if (row.holder_ != m.settings_.self_ || m.newerHolders_.contains(row.shard_)) {
        return false;
    }
    const auto released = m.releasedShards_.find(row.shard_);
    return released == m.releasedShards_.end() || row.epoch_ > released->second.epoch_;
}

void updateHeld(Membership &m)
{
    std::map<ShardId, Epoch> held;
    for (const auto &[region, table] : m.tables_) {
        for (const auto &[shard, row] : table.rows_) {
            const auto released = m.releasedShards_.find(shard);
            if (released != m.releasedShards_.end()
                && (row.holder_ != m.settings_.self_ || row.epoch_ > released->second.epoch_)) {
                m.releasedShards_.erase(released);
            }
            if (isHeldHere(m, row)) {
                held.emplace(shard, row.epoch_);
            }
        }
    }
    for (const auto &[shard, epoch] : m.heldShards_) {
        const auto now = held.find(shard);
        if (now == held.end() || now->second != epoch) {
            m.changes_.push_back({shard, epoch, false});
            m.directoryDirty_ = true;
        }
    }
    for (const auto &[shard, epoch] : held) {
        const auto before = m.heldShards_.find(shard);
        if (before == m.heldShards_.end() || before->second != epoch) {
            m.changes_.push_back({shard, epoch, true});
            m.directoryDirty_ = true;
        }
    }
    m.heldShards_ = std::move(held);
    if (!m.shardToMove_.empty() && !m.heldShards_.contains(m.shardToMove_)) {
        m.shardToMove_ = {};
    }
}

void readTable(Membership &m, const RegionId &region, Context &context)
{
    OwnerTable &table = m.tables_[region];
    if (table.pendingOp_.value_ != 0) {
        table.mustRead_ = true; // onTableResult starts the read
        return;
    }
    table.mustRead_ = true;
    table.pendingOp_
        = sendMemberOp(m, context, {OpKind::ReadTable, region, {}, {}, false, {}}, StoreGet{"owners/" + region.value_});
}

static void onTableReadResult(Membership &m, OwnerTable &table, const RegionId &region, const StoreResult &result)
{
    if (result.status_ == StoreStatus::Ok || result.status_ == StoreStatus::NotFound) {
        table.mustRead_ = false;
        if (!result.entries_.empty()) {
            applyTable(m, region, result.entries_.front());
        }
    } else {
        table.retryAt_ = m.now_ + StoreRetryInterval;
    }
}

// Handles the result of a claim. The claim takes effect here only with a successful write or a table read from the
// store.
static void onClaimResult(Membership &m, OwnerTable &table, const PendingOp &op, const StoreResult &result)
{
    const RegionId &region = op.region_;
    switch (result.status_) {
    case StoreStatus::Ok:
        applyTable(m, region, {"", op.value_, result.revision_});
        return;
    case StoreStatus::Unchanged: // results of watches only
    case StoreStatus::Unknown:
        table.mustRead_ = true;
        return;
    case StoreStatus::Conflict:
        if (!result.entries_.empty()) {
            applyTable(m, region, result.entries_.front());
        } else {
            table.mustRead_ = true;
        }
        return;
    case StoreStatus::NotFound:
    case StoreStatus::Unavailable:
        table.retryAt_ = m.now_ + StoreRetryInterval;
        return;
    }
}

void onTableResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context)
{
    OwnerTable &table = m.tables_[op.region_];
    table.pendingOp_ = {};
    if (op.kind_ == OpKind::ReadTable) {
        onTableReadResult(m, table, op.region_, result);
    } else {
        onClaimResult(m, table, op, result);
    }
    updateHeld(m);
    if (table.mustRead_ && table.pendingOp_.value_ == 0 && context.now_ >= table.retryAt_) {
        readTable(m, op.region_, context);
    }
}

static ShardEntry shardEntry(const Membership &m, const OwnerRow &row)
{
    ShardEntry entry;
    entry.shard_ = row.shard_;
    entry.region_ = shardRegion(row.shard_);
    entry.holder_ = row.holder_;
    entry.epoch_ = row.epoch_;
    const auto newer = m.newerHolders_.find(row.shard_);
    if (newer != m.newerHolders_.end()) {
        entry.holder_ = newer->second.first;
        entry.epoch_ = newer->second.second;
    }
    if (entry.holder_ == m.settings_.self_) {
        entry.reachable_ = !m.ownershipUncertain_ && m.heldShards_.contains(row.shard_);
    } else {
        const auto peer = m.peers_.find(entry.holder_);
        entry.reachable_ = peer != m.peers_.end() && peer->second.connected_;
    }
    const auto load = m.loads_.find(row.shard_);
    if (load != m.loads_.end() && load->second.epoch_ == entry.epoch_) {
        entry.load_ = load->second;
    }
    return entry;
}

void rebuildDirectory(Membership &m)
{
    m.directoryDirty_ = false;
    ++m.directoryBuilds_;
    m.directory_.groups_.clear();
    m.directory_.partitions_.clear();
    std::set<ShardId> unheld; // in an instance list, but in no table yet
    for (const auto &[region, shards] : m.instanceGroups_) {
        for (const ShardId &shard : shards) {
            if (findRow(m, shard) == nullptr) {
                unheld.insert(shard);
            }
        }
    }
    const auto add = [&m](const OwnerRow &row) {
        auto &list = isGroup(row.shard_) ? m.directory_.groups_ : m.directory_.partitions_;
        list.push_back(shardEntry(m, row));
    };
    for (const auto &[region, table] : m.tables_) {
        for (const auto &[shard, row] : table.rows_) {
            add(row);
        }
    }
    for (const ShardId &shard : unheld) {
        add({shard, {}, {}});
    }
    const auto byShard = [](const ShardEntry &left, const ShardEntry &right) { return left.shard_ < right.shard_; };
    std::sort(m.directory_.groups_.begin(), m.directory_.groups_.end(), byShard);
    std::sort(m.directory_.partitions_.begin(), m.directory_.partitions_.end(), byShard);
}

} // namespace mimosapier
