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

bool hasLabel(const StepSpec &spec, const Runner &runner)
{
    const auto &labels = runner.record_.labels_;
    return spec.requiredLabel_.empty() || std::find(labels.begin(), labels.end(), spec.requiredLabel_) != labels.end();
}

RoomIndex::RoomIndex(Cell &cell, TimePoint now)
    : cell_(cell)
{
    for (const auto &[id, runner] : cell.runners_) {
        if (usable(cell, *runner, now)) {
            rooms_[runner->record_.service_].push_back(
                {runner.get(), runner->record_.capacity_.milliCpus_ - runner->used_.milliCpus_});
        }
    }
    for (auto &[service, rooms] : rooms_) {
        std::stable_sort(rooms.begin(), rooms.end(), [](const RunnerRoom &left, const RunnerRoom &right) {
            return left.milliCpus_ > right.milliCpus_;
        });
    }
}

std::span<const RunnerRoom> RoomIndex::withRoom(const std::string &service, std::int64_t milliCpus)
{
    const auto found = rooms_.find(service);
    if (found == rooms_.end()) {
        return {};
    }
    const std::vector<RunnerRoom> &rooms = found->second;
    const auto end = std::partition_point(rooms.begin(), rooms.end(),
                                          [milliCpus](const RunnerRoom &room) { return room.milliCpus_ >= milliCpus; });
    const auto count = static_cast<std::size_t>(end - rooms.begin());
    cell_.runnersLookedAt_ += count;
    return std::span(rooms).first(count);
}

} // namespace mimosapier::detail
