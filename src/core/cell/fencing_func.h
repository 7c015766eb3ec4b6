// Fencing tokens: a runner refuses calls with a lower token than the highest that it has seen.
//
// A leader has a range of tokens, and the epoch that it wins in the store is the last one of them. So each token is
// higher than those of all earlier leaders, also of leaders of the releases whose only token is their epoch. A leader
// calls a runner with the first token of its range, and takes the next one for it when calls that it sent before must
// not be carried out any more, see raiseToken().
#pragma once

#include "core/message/runner_type.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::uint64_t TokensPerEpoch = 1'000; // also the distance between two epochs

// The epoch of the leader after `epoch`.
constexpr CellEpoch nextEpoch(CellEpoch epoch)
{
    return CellEpoch{epoch.value_ + TokensPerEpoch};
}

// Token for calls to a runner whose token the leader of the epoch has raised this often. The epoch is at least
// TokensPerEpoch. The last token of the range cannot be raised.
constexpr FencingToken fencingToken(CellEpoch epoch, std::uint64_t raises)
{
    return FencingToken{epoch.value_ - TokensPerEpoch + 1 + std::min(raises, TokensPerEpoch - 1)};
}

// True if the token is lower than all tokens of the epoch.
constexpr bool isTokenOfEarlierEpoch(FencingToken token, CellEpoch epoch)
{
    return token.value_ + TokensPerEpoch <= epoch.value_;
}

} // namespace mimosapier
