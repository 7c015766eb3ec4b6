// State machine of one peer connection. Driven by PeerConnection on the transport's thread; does no I/O.
// The machine is implemented with Boost.MSM in peer_session.cpp, which is compiled as C++17; this header must compile
// as both C++17 and C++20.
#pragma once

#include "core/common/handle_type.h"

#include <cstdint>

namespace mimosapier
{

enum class SessionState : std::uint8_t {
    Connecting, // initial state; an outgoing connection is not open yet
    AwaitingHello, // the peer's hello has not arrived; the dialling side has already sent its own
    Parked, // incoming; the hello names a daemon outside the peer set, which may be added later
    Established, // both hellos exchanged; messages may be sent
    Closed, // final
};

enum class SessionEvent : std::uint8_t {
    Connected, // the outgoing connection is open
    Accepted, // the connection is incoming
    HelloValid, // the peer's hello is valid and the peer is in the peer set
    HelloOutsideSet, // the peer's hello is valid, but the peer is not in the peer set
    Admitted, // the peer set now contains the peer of a parked connection
    Fault, // socket error, malformed frame, full queue, silence, or removal from the peer set
};

// Actions of the state machine, implemented by the connection. Called within processEvent().
class SessionHooks
{
public:
    SessionHooks() = default;
    SessionHooks(const SessionHooks &) = delete;
    SessionHooks &operator=(const SessionHooks &) = delete;
    virtual ~SessionHooks() = default;

    virtual void sendHello() = 0;
    virtual void onEstablished() = 0; // on entering Established
    virtual void onClosed(bool wasEstablished) = 0; // on entering Closed, once
};

struct PeerSession;

template <>
void Destroy<PeerSession>::operator()(PeerSession *state) const;

// Creates a session in the state Connecting. `hooks` must outlive the session.
Handle<PeerSession> makePeerSession(SessionHooks &hooks);

// Processes an event; ignores one that the current state does not expect. Returns the new state.
SessionState processEvent(PeerSession &session, SessionEvent event);

SessionState sessionState(const PeerSession &session);

} // namespace mimosapier
