// Life cycle of one peer connection as a state machine. The machine is a Boost.MSM machine in session.cpp, which is
// compiled as C++17; this header compiles as C++17 and C++20.
#pragma once

#include "core/common/handle_type.h"

#include <cstdint>

namespace mimosapier
{

enum class SessionState : std::uint8_t {
    Connecting, // dialling
    AwaitingHello, // hello sent by the dialling side; the other side's hello is awaited
    Parked, // hello of a daemon outside the peer set received; waits for the set to change
    Established,
    Closed,
};

enum class SessionEvent : std::uint8_t {
    Connected, // the dialled connection is open
    Accepted, // the connection was dialled by the peer
    HelloValid, // the peer's hello is valid and the peer belongs to the set
    HelloOutsideSet, // the peer's hello is valid, but the peer is not in the set
    Admitted, // the set now contains the parked peer
    Fault, // error of the socket, malformed frame, full queue, silence or removal from the set
};

// What the machine asks of the connection.
class SessionHooks
{
public:
    SessionHooks() = default;
    SessionHooks(const SessionHooks &) = delete;
    SessionHooks &operator=(const SessionHooks &) = delete;
    virtual ~SessionHooks() = default;

    virtual void sendHello() = 0;
    virtual void onEstablished() = 0;
    virtual void onClosed(bool wasEstablished) = 0;
};

struct PeerSession;

template <>
void Destroy<PeerSession>::operator()(PeerSession *state) const;

// Parameters: hooks, which outlive the session.
Handle<PeerSession> makePeerSession(SessionHooks &hooks);

// Handles an event; an event that the current state does not expect is ignored. Result: the state afterwards.
SessionState processEvent(PeerSession &session, SessionEvent event);

SessionState sessionState(const PeerSession &session);

} // namespace mimosapier
