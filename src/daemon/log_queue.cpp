// Implementation of the log queue and the classification of log lines.
#include "daemon/log_queue_base.h"

#include "daemon/table/log_event_table.h"

#include <algorithm>

namespace mimosapier
{

LogRate logRate(std::string_view object)
{
    constexpr std::string_view Prefix = R"({"event":")";
    if (!object.starts_with(Prefix)) {
        return LogRate::Rare;
    }
    object.remove_prefix(Prefix.size());
    const std::string_view event = object.substr(0, object.find('"'));
    return std::binary_search(FrequentLogEvents.begin(), FrequentLogEvents.end(), event) ? LogRate::Frequent
                                                                                         : LogRate::Rare;
}

LogQueue::LogQueue(LogQueueLimits limits)
    : room_(limits)
{
}

void LogQueue::put(std::vector<QueuedLogLine> lines)
{
    {
        const std::lock_guard lock(mutex_);
        for (QueuedLogLine &line : lines) {
            std::size_t &room = line.rate_ == LogRate::Rare ? room_.rareBytes_ : room_.frequentBytes_;
            if (closed_ || line.text_.size() > room) {
                ++(line.rate_ == LogRate::Rare ? drops_.rare_ : drops_.frequent_);
                continue;
            }
            room -= line.text_.size();
            lines_.push_back(std::move(line));
        }
    }
    notEmpty_.notify_one();
}

bool LogQueue::take(std::vector<std::string> &lines, LogDrops &drops)
{
    std::unique_lock lock(mutex_);
    notEmpty_.wait(lock, [this] { return !lines_.empty() || closed_; });
    drops = {drops_.rare_ - reportedDrops_.rare_, drops_.frequent_ - reportedDrops_.frequent_};
    reportedDrops_ = drops_;
    if (lines_.empty()) {
        return drops != LogDrops{};
    }
    for (QueuedLogLine &line : lines_) {
        (line.rate_ == LogRate::Rare ? room_.rareBytes_ : room_.frequentBytes_) += line.text_.size();
        lines.push_back(std::move(line.text_));
    }
    lines_.clear();
    return true;
}

void LogQueue::close()
{
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
    }
    notEmpty_.notify_all();
}

LogDrops LogQueue::drops() const
{
    const std::lock_guard lock(mutex_);
    return drops_;
}

std::vector<std::string> joinLogLines(const std::vector<std::string> &lines, std::size_t maxBytes)
{
    std::vector<std::string> blocks;
    for (const std::string &line : lines) {
        if (blocks.empty() || blocks.back().size() + 1 + line.size() > maxBytes) {
            blocks.push_back(line);
        } else {
            blocks.back().append("\n").append(line);
        }
    }
    return blocks;
}

} // namespace mimosapier
