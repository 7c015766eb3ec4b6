// Index of the runners with free capacity, for one pass over the queue.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

Resources reservedSize(const StepSpec &spec)
{
    Resources size = spec.size_;
    size.slots_ = 0;
    if (spec.fill_) {
        size.milliCpus_ = 0;
    }
    return size;
}

bool hasRequiredLabel(const StepSpec &spec, const Runner &runner)
{
    const auto &labels = runner.record_.labels_;
    return spec.requiredLabel_.empty() || std::find(labels.begin(), labels.end(), spec.requiredLabel_) != labels.end();
}

FreeCapacityIndex::FreeCapacityIndex(Cell &cell, TimePoint now)
    : cell_(cell)
{
    for (const auto &[id, runner] : cell.runners_) {
        if (isUsable(cell, *runner, now)) {
            runnersByService_[runner->record_.service_].push_back(
                {runner.get(), runner->record_.capacity_.milliCpus_ - runner->used_.milliCpus_});
        }
    }
    for (auto &[service, runners] : runnersByService_) {
        std::stable_sort(runners.begin(), runners.end(),
                         [](const RunnerFreeCapacity &left, const RunnerFreeCapacity &right) {
                             return left.milliCpus_ > right.milliCpus_;
                         });
    }
}

std::span<const RunnerFreeCapacity> FreeCapacityIndex::runnersWithFree(const std::string &service,
                                                                       std::int64_t milliCpus)
{
    const auto found = runnersByService_.find(service);
    if (found == runnersByService_.end()) {
        return {};
    }
    const std::vector<RunnerFreeCapacity> &runners = found->second;
    const auto end
        = std::partition_point(runners.begin(), runners.end(), [milliCpus](const RunnerFreeCapacity &runner) {
              return runner.milliCpus_ >= milliCpus;
          });
    const auto count = static_cast<std::size_t>(end - runners.begin());
    cell_.runnersExamined_ += count;
    return std::span(runners).first(count);
}

} // namespace mimosapier::detail
