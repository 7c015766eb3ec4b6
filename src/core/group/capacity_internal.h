// Index of the free capacity of workers: finds a worker for a size without a scan of all workers. The group's placement
// code updates it through updateIndexedFree.
//
// Workers with a free slot are in buckets by free processors, with separate buckets for workers with and without free
// accelerators. A search probes a few workers of the best buckets. When none of them fits, a tree of componentwise
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

// Order in which workers are preferred among those that fit.
enum class FitPolicy : std::uint8_t {
    Tightest, // fewest free processors: keeps other workers free for large tasks
    Loosest, // most free processors: spreads the load
};

struct CapacityIndex
{
    static constexpr std::uint32_t Buckets = 64; // one bit each in nonEmptyBuckets_
    static constexpr std::uint32_t Kinds = 2; // 0: without, 1: with free accelerators

    struct BucketPosition
    {
        std::uint32_t kind_ = Kinds; // Kinds when the worker is in no bucket
        std::uint32_t bucket_ = 0;
        std::uint32_t offset_ = 0; // index in the bucket
    };

    std::vector<Resources> free_; // by worker; zero while nothing may be placed on it
    std::vector<BucketPosition> positions_; // by worker
    std::array<std::array<std::vector<WorkerIndex>, Buckets>, Kinds> buckets_;
    std::array<std::uint64_t, Kinds> nonEmptyBuckets_{}; // by kind; bit i is set when bucket i is not empty
    std::vector<Resources> tree_; // componentwise maxima; node i has children 2i and 2i+1; leaves start at leafCount_
    std::uint32_t leafCount_ = 0; // power of two; 0 while the index is empty
    std::int64_t bucketWidth_ = 1; // range of free milliCpus_ in one bucket
    std::uint32_t probeOffset_ = 0; // start of the next search within a bucket; rises so that all workers get tried
};

// Sets the free capacity of a worker; extends the index when the worker is new.
void setFree(CapacityIndex &index, WorkerIndex worker, const Resources &free);

// A worker on which `size` fits, by preference of the policy among those probed; NoWorker when none fits.
WorkerIndex findFit(CapacityIndex &index, const Resources &size, FitPolicy policy);

// Writes up to candidates.size() workers on which `size` fits, those of the loosest buckets first; returns their
// number. 0 only when none fits.
std::uint32_t findLooseFits(CapacityIndex &index, const Resources &size, std::span<WorkerIndex> candidates);

// Componentwise maxima over all workers; one worker need not have all of them.
Resources largestFree(const CapacityIndex &index);

} // namespace mimosapier
