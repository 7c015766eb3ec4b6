// Assigns tasks to groups: groups of the home region first, then by load, as the better of two random candidates. Works
// on loads that groups reported; a group may still refuse.
#include "core/home/home_internal.h"

#include "core/config/bundle_base.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::uint32_t MaxTasksPerAssignment = 32; // spreads the tasks of a large job over groups; not for gangs

// Free slots that the group reported, less the tasks assigned to it since.
static std::uint32_t freeSlots(const Home &home, const ShardEntry &entry)
{
    const auto usage = home.groupUsage_.find(entry.shard_);
    const std::uint32_t assigned = usage != home.groupUsage_.end() && usage->second.load_ == entry.load_
        ? usage->second.assignedSinceReport_
        : 0;
    return entry.load_.freeSlots_ - std::min(entry.load_.freeSlots_, assigned);
}

static bool hasFreeCapacity(const Home &home, const HomeJob &job, const ShardEntry &entry, std::uint32_t count)
{
    return freeSlots(home, entry) >= count && fits(job.spec_.size_, entry.load_.largestFree_);
}

// True when the group is reachable, has not refused the job recently and is not known to be too small.
static bool isUsable(const HomeJob &job, const ShardEntry &entry, const Context &context)
{
    if (entry.holder_.empty() || !entry.reachable_ || job.tooSmallGroups_.contains(entry.shard_)) {
        return false;
    }
    const auto refused = job.retryGroupAt_.find(entry.shard_);
    return refused == job.retryGroupAt_.end() || refused->second <= context.now_;
}

// The less loaded of two groups picked at random; nullptr when `entries` is empty.
static const ShardEntry *sampleLessLoaded(const Home &home, const std::vector<const ShardEntry *> &entries,
                                          Context &context)
{
    if (entries.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> pick(0, entries.size() - 1);
    const ShardEntry *first = entries[pick(context.random_)];
    const ShardEntry *second = entries[pick(context.random_)];
    const auto balance = [&home](const ShardEntry &entry) {
        return std::int64_t{freeSlots(home, entry)} - std::int64_t{entry.load_.queued_};
    };
    return balance(*second) > balance(*first) ? second : first;
}

// Group for `count` tasks: a local one with free capacity, a remote one with free capacity if crossing regions is
// allowed, else any usable one, where the tasks queue. nullptr when no group is usable.
static const ShardEntry *chooseGroup(const Home &home, const HomeJob &job, std::uint32_t count, Context &context)
{
    std::vector<const ShardEntry *> local; // usable groups of the home region
    std::vector<const ShardEntry *> localFree; // those of them with enough free capacity
    std::vector<const ShardEntry *> remote;
    std::vector<const ShardEntry *> remoteFree;
    const ShardEntry *largest = nullptr; // gets a gang that exceeds all reported capacities; the group decides
    const bool gang = job.spec_.mode_ == WorkMode::Gang;
    for (const ShardEntry &entry : context.directory_.groups_) {
        if (!isUsable(job, entry, context)) {
            continue;
        }
        if (largest == nullptr || entry.load_.capacitySlots_ > largest->load_.capacitySlots_) {
            largest = &entry;
        }
        if (gang && entry.load_.capacitySlots_ < count) {
            continue;
        }
        const bool isLocal = entry.region_ == job.spec_.homeRegion_;
        (isLocal ? local : remote).push_back(&entry);
        if (hasFreeCapacity(home, job, entry, count)) {
            (isLocal ? localFree : remoteFree).push_back(&entry);
        }
    }
    if (!localFree.empty()) {
        return sampleLessLoaded(home, localFree, context);
    }
    const PolicyWeights &weights = context.bundle_.weights_;
    const bool mayCross = job.spec_.priority_ == Priority::Urgent || weights.waiting_ >= weights.crossing_;
    if (!remoteFree.empty() && (mayCross || local.empty())) {
        return sampleLessLoaded(home, remoteFree, context);
    }
    const ShardEntry *chosen = sampleLessLoaded(home, local.empty() ? remote : local, context);
    return chosen == nullptr ? largest : chosen;
}

bool isTooLargeForAllGroups(const HomeJob &job, const Context &context)
{
    const auto &groups = context.directory_.groups_;
    return !groups.empty() && std::all_of(groups.begin(), groups.end(), [&job](const ShardEntry &entry) {
        return job.tooSmallGroups_.contains(entry.shard_);
    });
}

static void countAssigned(Home &home, const ShardEntry &entry, std::uint32_t count)
{
    GroupUsage &usage = home.groupUsage_[entry.shard_];
    if (usage.load_ != entry.load_) {
        usage = {entry.load_, 0};
    }
    usage.assignedSinceReport_ += count;
}

// True when no unfinished task of the gang is left in a group. Only then is it assigned again, as a whole.
static bool isGangUnassigned(const HomeJob &job)
{
    return std::all_of(job.tasks_.begin(), job.tasks_.end(),
                       [](const HomeTask &task) { return task.group_.empty() || isFinal(task.result_.outcome_); });
}

std::vector<TaskRange> assignTasks(Home &home, HomeJob &job, Context &context)
{
    std::vector<TaskRange> ranges;
    const bool gang = job.spec_.mode_ == WorkMode::Gang;
    if (gang && !isGangUnassigned(job)) {
        return ranges;
    }
    const auto isUnassigned
        = [](const HomeTask &task) { return task.group_.empty() && !isFinal(task.result_.outcome_); };
    const auto unassignedCount
        = static_cast<std::uint32_t>(std::count_if(job.tasks_.begin(), job.tasks_.end(), isUnassigned));
    const ShardEntry *gangGroup
        = gang && unassignedCount > 0 ? chooseGroup(home, job, unassignedCount, context) : nullptr;
    for (std::uint32_t index = 0; index < job.tasks_.size();) {
        if (!isUnassigned(job.tasks_[index])) {
            ++index;
            continue;
        }
        const auto maxTasks = gang ? static_cast<std::uint32_t>(job.tasks_.size()) : MaxTasksPerAssignment;
        std::uint32_t count = 0;
        while (count < maxTasks && index + count < job.tasks_.size() && isUnassigned(job.tasks_[index + count])) {
            ++count;
        }
        const ShardEntry *group = gang ? gangGroup : chooseGroup(home, job, count, context);
        if (group == nullptr) {
            break;
        }
        countAssigned(home, *group, count);
        for (std::uint32_t i = index; i < index + count; ++i) {
            HomeTask &task = job.tasks_[i];
            task.group_ = group->shard_;
            task.assignmentDurable_ = false;
            task.mayHaveRun_ = false;
            task.call_ = {};
            task.offerSent_ = false;
        }
        home.unfinishedJobsByGroup_[group->shard_].insert(job.spec_.id_);
        ranges.push_back({index, count, group->shard_});
        index += count;
    }
    return ranges;
}

} // namespace mimosapier
