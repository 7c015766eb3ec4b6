// Control logic of one cell daemon: store session, leader election, configuration, and client requests. It does no I/O,
// reads no clock and starts no thread; the process in src/daemon passes events in and carries out the actions.
//
// Not thread-safe: one thread makes all calls for a Control.
#pragma once

#include "core/control/control_base.h"

namespace mimosapier
{

// Creates the state of a daemon that has just started. `now` is the start time.
std::unique_ptr<Control> makeControl(const ControlSettings &settings, CellDecoders decoders, TimePoint now);

// Event handlers; each appends to `actions`. Call finishBatch() after each batch of events, and on each timer tick even
// if there were no events.
void onClientRequest(Control &control, ClientRequest request, CellTime now, ControlActions &actions);
void onPeerUp(Control &control, const DaemonId &daemon, CellTime now, ControlActions &actions);
void onPeerDown(Control &control, const DaemonId &daemon, CellTime now, ControlActions &actions);
void onPeerMessage(Control &control, const DaemonId &from, const PeerMessage &message, CellTime now,
                   ControlActions &actions);
void onKvReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions);
void onRunnerReply(Control &control, const RunnerReply &reply, CellTime now, ControlActions &actions);
void onPolicyAnswer(Control &control, const PolicyAnswer &answer, CellTime now, ControlActions &actions);

// Starts a graceful shutdown. The daemon answers its open requests, and a leader hands over leadership. Repeated calls
// have no effect.
void beginLeaving(Control &control, CellTime now, ControlActions &actions);

// Runs everything that is due: store session, watches, election, recovery, cell decisions, request timeouts, beacons.
void finishBatch(Control &control, CellTime now, ControlActions &actions);

// True when this daemon can serve client requests: it is not leaving, its configuration is fresh, and it leads or is
// connected to the leader.
bool isServing(const Control &control, TimePoint now);

// True when a leaving daemon does not lead any more and has no open request.
bool hasLeft(const Control &control);

} // namespace mimosapier
