// Rendezvous (highest random weight) hashing: maps a key to one of several candidates. Adding or removing a candidate
// moves only the keys of that candidate. Daemons must agree on the results, so the hash must never change.
#pragma once

#include <cstdint>
#include <string_view>

namespace mimosapier
{

// Weight of a candidate for a key. The candidate with the highest weight is chosen.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

// 64-bit hash of a string; the same on all machines and in all builds.
std::uint64_t stableHash(std::string_view text);

// Element of `range` with the highest weight for `key`, the first one of equal weights; nullptr when the range is
// empty. `name` maps an element to the string that identifies it. The result points into `range`.
template <typename Range, typename Name>
auto rendezvousChoice(std::string_view key, const Range &range, Name name) -> decltype(&*range.begin())
{
    decltype(&*range.begin()) best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &candidate : range) {
        const std::uint64_t weight = rendezvousWeight(key, name(candidate));
        if (best == nullptr || weight > bestWeight) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace mimosapier
