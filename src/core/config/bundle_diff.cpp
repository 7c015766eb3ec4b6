// Differences between bundles: for the answer to an operator whose draft lost to another one, and for the check that no
// region's number of partitions changes.
#include "core/config/config_internal.h"

#include <algorithm>

namespace mimosapier
{

static constexpr std::size_t MaxDiffLines = 40;
static constexpr std::size_t MaxDiffCells
    = 4'000'000; // of the table; longer texts are described by their numbers of lines

static std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

// Finds the longest common subsequence by dynamic programming, after cutting off the common head and tail.
std::string lineDiff(std::string_view from, std::string_view to)
{
    std::vector<std::string_view> a = splitLines(from);
    std::vector<std::string_view> b = splitLines(to);
    while (!a.empty() && !b.empty() && a.back() == b.back()) {
        a.pop_back();
        b.pop_back();
    }
    const auto first = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
    b.erase(b.begin(), first.second);
    a.erase(a.begin(), first.first);
    if ((a.size() + 1) * (b.size() + 1) > MaxDiffCells) {
        return "-" + std::to_string(a.size()) + " lines\n+" + std::to_string(b.size()) + " lines\n";
    }
    const std::size_t width = b.size() + 1;
    std::vector<std::uint32_t> common((a.size() + 1) * width, 0); // length for the tails from i and j
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;) {
            common[i * width + j] = a[i] == b[j] ? common[(i + 1) * width + j + 1] + 1
                                                 : std::max(common[(i + 1) * width + j], common[i * width + j + 1]);
        }
    }
    std::string out;
    std::size_t lines = 0;
    const auto add = [&out, &lines](char sign, std::string_view line) {
        if (++lines <= MaxDiffLines) {
            out += sign;
            out += line;
            out += '\n';
        }
    };
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        } else if (j == b.size() || (i < a.size() && common[(i + 1) * width + j] >= common[i * width + j + 1])) {
            add('-', a[i++]);
        } else {
            add('+', b[j++]);
        }
    }
    if (lines > MaxDiffLines) {
        out += "(" + std::to_string(lines - MaxDiffLines) + " more lines)\n";
    }
    return out;
}

std::string partitionChange(const Bundle &from, const Bundle &to)
{
    for (const RegionConfig &before : from.regions_) {
        const auto after = std::find_if(to.regions_.begin(), to.regions_.end(),
                                        [&before](const RegionConfig &region) { return region.id_ == before.id_; });
        if (after == to.regions_.end()) {
            return "regions." + before.id_.value_ + ": a region cannot be removed";
        }
        if (after->partitions_ != before.partitions_) {
            return "regions." + before.id_.value_ + ".partitions: " + std::to_string(after->partitions_)
                + ": cannot change from " + std::to_string(before.partitions_);
        }
    }
    return {};
}

} // namespace mimosapier
