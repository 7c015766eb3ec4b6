// Index of free capacity: buckets by free processors and a tree of componentwise maxima.
#include "core/group/capacity_internal.h"

#include <algorithm>
#include <bit>

namespace mimosapier
{

static constexpr std::uint32_t ProbesPerBucket = 4;
static constexpr std::uint32_t ProbesPerSearch = 24;

static Resources componentMax(const Resources &a, const Resources &b)
{
    return {std::max(a.milliCpus_, b.milliCpus_), std::max(a.memoryMb_, b.memoryMb_),
            std::max(a.accelerators_, b.accelerators_), std::max(a.slots_, b.slots_)};
}

static std::uint32_t bucketOf(const CapacityIndex &index, std::int64_t milliCpus)
{
    const std::int64_t bucket = std::max<std::int64_t>(0, milliCpus) / index.bucketWidth_;
    return static_cast<std::uint32_t>(std::min<std::int64_t>(bucket, CapacityIndex::Buckets - 1));
}

static void removeFromBucket(CapacityIndex &index, WorkerIndex worker)
{
    CapacityIndex::BucketPosition &position = index.positions_[worker];
    if (position.kind_ == CapacityIndex::Kinds) {
        return;
    }
    std::vector<WorkerIndex> &bucket = index.buckets_.at(position.kind_).at(position.bucket_);
    bucket[position.offset_] = bucket.back();
    index.positions_[bucket.back()].offset_ = position.offset_;
    bucket.pop_back();
    if (bucket.empty()) {
        index.nonEmptyBuckets_.at(position.kind_) &= ~(std::uint64_t{1} << position.bucket_);
    }
    position.kind_ = CapacityIndex::Kinds;
}

static void addToBucket(CapacityIndex &index, WorkerIndex worker)
{
    const Resources &free = index.free_[worker];
    if (free.slots_ <= 0) {
        return;
    }
    CapacityIndex::BucketPosition &position = index.positions_[worker];
    position.kind_ = free.accelerators_ > 0 ? 1 : 0;
    position.bucket_ = bucketOf(index, free.milliCpus_);
    std::vector<WorkerIndex> &bucket = index.buckets_.at(position.kind_).at(position.bucket_);
    position.offset_ = static_cast<std::uint32_t>(bucket.size());
    bucket.push_back(worker);
    index.nonEmptyBuckets_.at(position.kind_) |= std::uint64_t{1} << position.bucket_;
}

// Rebuilds the tree and the buckets, for more workers or wider buckets.
static void rebuild(CapacityIndex &index)
{
    index.leafCount_ = std::bit_ceil(std::max<std::uint32_t>(8, static_cast<std::uint32_t>(index.free_.size())));
    index.tree_.assign(std::size_t{2} * index.leafCount_, Resources{});
    for (std::size_t worker = 0; worker < index.free_.size(); ++worker) {
        index.tree_[index.leafCount_ + worker] = index.free_[worker];
    }
    for (std::uint32_t node = index.leafCount_ - 1; node > 0; --node) {
        index.tree_[node] = componentMax(index.tree_[std::size_t{2} * node], index.tree_[std::size_t{2} * node + 1]);
    }
    for (WorkerIndex worker = 0; worker < index.free_.size(); ++worker) {
        removeFromBucket(index, worker);
    }
    for (WorkerIndex worker = 0; worker < index.free_.size(); ++worker) {
        addToBucket(index, worker);
    }
}

void setFree(CapacityIndex &index, WorkerIndex worker, const Resources &free)
{
    bool needsRebuild = false;
    if (worker >= index.free_.size()) {
        index.free_.resize(worker + 1);
        index.positions_.resize(worker + 1);
        needsRebuild = worker >= index.leafCount_;
    }
    removeFromBucket(index, worker);
    index.free_[worker] = free;
    if (free.milliCpus_ >= index.bucketWidth_ * CapacityIndex::Buckets) {
        index.bucketWidth_ = free.milliCpus_ / CapacityIndex::Buckets + 1;
        needsRebuild = true;
    }
    if (needsRebuild) {
        rebuild(index);
        return;
    }
    addToBucket(index, worker);
    std::uint32_t node = index.leafCount_ + worker;
    index.tree_[node] = free;
    while (node > 1) {
        node /= 2;
        const Resources maximum
            = componentMax(index.tree_[std::size_t{2} * node], index.tree_[std::size_t{2} * node + 1]);
        if (maximum == index.tree_[node]) {
            return;
        }
        index.tree_[node] = maximum;
    }
}

// Appends workers that fit from the buckets of one kind to candidates[found...], in the order of the policy. Probes at
// most about ProbesPerSearch workers; returns the number of probes.
static std::uint32_t probeBuckets(CapacityIndex &index, std::uint32_t kind, const Resources &size, FitPolicy policy,
                                  std::span<WorkerIndex> candidates, std::uint32_t &found)
{
    const std::uint32_t lowest = bucketOf(index, size.milliCpus_);
    std::uint64_t mask = index.nonEmptyBuckets_.at(kind) & (~std::uint64_t{0} << lowest);
    std::uint32_t probes = 0;
    while (mask != 0 && probes < ProbesPerSearch && found < candidates.size()) {
        const auto bit = static_cast<std::uint32_t>(policy == FitPolicy::Tightest
                                                        ? std::countr_zero(mask)
                                                        : CapacityIndex::Buckets - 1 - std::countl_zero(mask));
        mask &= ~(std::uint64_t{1} << bit);
        const std::vector<WorkerIndex> &bucket = index.buckets_.at(kind).at(bit);
        const auto count = static_cast<std::uint32_t>(bucket.size());
        const std::uint32_t start = index.probeOffset_++ % count;
        for (std::uint32_t i = 0; i < std::min(count, ProbesPerBucket) && found < candidates.size(); ++i) {
            ++probes;
            const WorkerIndex worker = bucket[(start + i) % count];
            if (fits(size, index.free_[worker])) {
                candidates[found++] = worker;
            }
        }
    }
    return probes;
}

static WorkerIndex findInTree(const CapacityIndex &index, std::uint32_t node, const Resources &size)
{
    if (!fits(size, index.tree_[node])) {
        return NoWorker;
    }
    if (node >= index.leafCount_) {
        return node - index.leafCount_;
    }
    const WorkerIndex left = findInTree(index, 2 * node, size);
    return left != NoWorker ? left : findInTree(index, 2 * node + 1, size);
}

static std::uint32_t search(CapacityIndex &index, const Resources &size, FitPolicy policy,
                            std::span<WorkerIndex> candidates)
{
    if (index.leafCount_ == 0 || !fits(size, index.tree_[1])) {
        return 0;
    }
    std::uint32_t found = 0;
    // Workers with free accelerators are left to tasks that need them while the task fits on others.
    if (size.accelerators_ == 0) {
        probeBuckets(index, 0, size, policy, candidates, found);
    }
    if (found == 0) {
        probeBuckets(index, 1, size, policy, candidates, found);
    }
    if (found == 0) {
        const WorkerIndex worker = findInTree(index, 1, size);
        if (worker != NoWorker) {
            candidates[found++] = worker;
        }
    }
    return found;
}

WorkerIndex findFit(CapacityIndex &index, const Resources &size, FitPolicy policy)
{
    WorkerIndex worker = NoWorker;
    search(index, size, policy, {&worker, 1});
    return worker;
}

std::uint32_t findLooseFits(CapacityIndex &index, const Resources &size, std::span<WorkerIndex> candidates)
{
    return search(index, size, FitPolicy::Loosest, candidates);
}

Resources largestFree(const CapacityIndex &index)
{
    return index.leafCount_ == 0 ? Resources{} : index.tree_[1];
}

} // namespace mimosapier
