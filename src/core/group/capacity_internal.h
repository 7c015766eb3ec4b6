// Index of the free capacity of workers: finds a worker for a size without a scan of all workers.
//
// Workers with a free slot are kept in buckets by free processors, apart for workers with and without free
// accelerators. A search looks at a few workers of the best buckets. When none of these fits, a tree of componentwise
// maxima finds any worker that fits.
#pragma once

#include "core/common/resource_type.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace mimosapier
{

using WorkerIndex = std::uint32_t;

constexpr WorkerIndex NoWorker = 0xffffffffU;

// Which of the workers that fit is taken.
enum class FitPolicy : std::uint8_t {
    Tightest, // least free processors: leaves large gaps for large tasks
    Loosest, // most free processors: least loaded
};

struct CapacityIndex
{
    static constexpr std::uint32_t Buckets = 64; // one bit each in nonEmptyBuckets_
    static constexpr std::uint32_t Kinds = 2; // without and with free accelerators

    struct BucketPosition
    {
        std::uint32_t kind_ = Kinds; // Kinds: not in a bucket
        std::uint32_t bucket_ = 0;
        std::uint32_t offset_ = 0;
    };

    std::vector<Resources> free_; // by worker; zero for workers that take nothing
    std::vector<BucketPosition> positions_; // by worker
    std::array<std::array<std::vector<WorkerIndex>, Buckets>, Kinds> buckets_;
    std::array<std::uint64_t, Kinds> nonEmptyBuckets_{}; // bit set: bucket is not empty
    std::vector<Resources> tree_; // node i has the children 2i and 2i+1; leaves start at leafCount_
    std::uint32_t leafCount_ = 0; // power of two
    std::int64_t bucketWidth_ = 1; // free milliCpus_ per bucket
    std::uint32_t probeOffset_ = 0; // start of the next search within a bucket
};

// Sets what worker `index` has free; grows the index when needed.
void setFree(CapacityIndex &index, WorkerIndex worker, const Resources &free);

// A worker on which `size` fits; NoWorker when there is none.
WorkerIndex findFit(CapacityIndex &index, const Resources &size, FitPolicy policy);

// Up to candidates.size() workers on which `size` fits, loosest first; returns the number found.
std::uint32_t findLooseFits(CapacityIndex &index, const Resources &size, std::span<WorkerIndex> candidates);

// Componentwise largest free amounts of one worker.
Resources largestFree(const CapacityIndex &index);

} // namespace mimosapier
