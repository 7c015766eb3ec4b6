// One daemon of a cell. No I/O, clock or thread: events in, actions out.
#pragma once

#include "core/control/control_base.h"

namespace mimosapier
{

std::unique_ptr<Control> makeControl(const ControlSettings &settings, CellDecoders decoders, TimePoint now);

// Events. finishBatch() has to follow a batch of them, also when there were none for a tick.
void onClientRequest(Control &control, ClientRequest request, CellTime now, ControlActions &actions);
void onPeerUp(Control &control, const DaemonId &daemon, CellTime now, ControlActions &actions);
void onPeerDown(Control &control, const DaemonId &daemon, CellTime now, ControlActions &actions);
void onPeerMessage(Control &control, const DaemonId &from, const PeerMessage &message, CellTime now,
                   ControlActions &actions);
void onKvReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions);
void onRunnerReply(Control &control, const RunnerReply &reply, CellTime now, ControlActions &actions);
void onPolicyAnswer(Control &control, const PolicyAnswer &answer, CellTime now, ControlActions &actions);
void beginLeaving(Control &control, CellTime now, ControlActions &actions);
void finishBatch(Control &control, CellTime now, ControlActions &actions);

// True when clients' requests can be served here.
bool isServing(const Control &control, TimePoint now);

// True when a leaving daemon has handed over and has no open request.
bool hasLeft(const Control &control);

} // namespace mimosapier
