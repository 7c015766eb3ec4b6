// Rendezvous (highest random weight) hashing: maps a key to one of several candidates so that a change of the
// candidates moves only the keys of the candidate that changed.
#pragma once

#include <cstdint>
#include <string_view>

namespace mimosapier
{

// Weight of a candidate for a key; the candidate with the highest weight is chosen.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

// 64-bit hash of a string, equal on all machines.
std::uint64_t stableHash(std::string_view text);

// Element of `range` with the highest weight for `key`; nullptr when the range is empty. `name` maps an element to
// the string that identifies it.
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
