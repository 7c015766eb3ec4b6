// Entry points of the configuration: start, tick, store results and settings by Node.
#include "core/config/config_internal.h"

namespace mimosapier
{

template <>
void Destroy<ConfigState>::operator()(ConfigState *state) const
{
    delete state;
}

Handle<ConfigState> makeConfigState()
{
    return Handle<ConfigState>(new ConfigState);
}

void startConfig(ConfigState &state, Context &context)
{
    state.nextHeadOpAt_ = context.now_;
    tickHead(state, context);
}

void tickConfig(ConfigState &state, Context &context)
{
    tickHead(state, context);
    tickDrafts(state, context);
    tickSignOffs(state, context);
    tickWithdrawals(state, context);
}

void onConfigStoreResult(ConfigState &state, const StoreResult &result, Context &context)
{
    if (onHeadResult(state, result, context)) {
        tickHead(state, context);
    } else if (!onDraftResult(state, result, context)) {
        onSignResult(state, result, context);
    }
}

void setMembers(ConfigState &state, std::span<const DaemonId> members, std::span<const DaemonId> ownRegion)
{
    state.members_.assign(members.begin(), members.end());
    state.membersVersion_ = state.head_.version_;
    state.ownRegion_.assign(ownRegion.begin(), ownRegion.end());
}

void setHeadAge(ConfigState &state, Milliseconds age)
{
    state.peerHeadAge_ = age;
}

std::span<const DaemonId> voters(const ConfigState &state)
{
    return state.head_.voters_;
}

const Bundle &currentBundle(const ConfigState &state)
{
    return state.bundle_;
}

} // namespace mimosapier
