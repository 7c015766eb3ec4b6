// Range checks for enums in decoded messages. Enums of the cell and its runners have theirs beside the type.
#pragma once

#include "core/message/peer_type.h"

namespace mimosapier
{

constexpr bool isValid(ReplyComponent value)
{
    return value <= ReplyComponent::Group;
}

constexpr bool isValid(StoreReach value)
{
    return value <= StoreReach::Unreachable;
}

constexpr bool isValid(WorkMode value)
{
    return value <= WorkMode::Gang;
}

constexpr bool isValid(Priority value)
{
    return value <= Priority::Batch;
}

constexpr bool isValid(Outcome value)
{
    return value <= Outcome::Unknown;
}

constexpr bool isValid(ErrorKind value)
{
    return value < ErrorKind::Count;
}

} // namespace mimosapier
