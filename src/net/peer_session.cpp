// Transition table and actions of the peer session, see peer_session_func.h.
#include "net/peer_session_func.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace mimosapier
{

namespace
{

namespace front = boost::msm::front;

struct Connected
{
};
struct Accepted
{
};
struct HelloValid
{
};
struct HelloOutsideSet
{
};
struct Admitted
{
};
struct Fault
{
};

// Boost.MSM numbers the states by their order in the transition table; current_state() returns that number.
struct Connecting : front::state<>
{
};
struct DialledAwaitingHello : front::state<>
{
};
struct AcceptedAwaitingHello : front::state<>
{
};
struct Parked : front::state<>
{
};
struct Established : front::state<>
{
};
struct Closed : front::state<>
{
};

struct SendHello
{
    template <typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.hooks_->sendHello();
    }
};

struct Establish
{
    template <typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.hooks_->onEstablished();
    }
};

struct SendHelloAndEstablish
{
    template <typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.hooks_->sendHello();
        machine.hooks_->onEstablished();
    }
};

template <bool WasEstablished>
struct Close
{
    template <typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.hooks_->onClosed(WasEstablished);
    }
};

struct MachineDef : front::state_machine_def<MachineDef>
{
    using initial_state = Connecting; // NOLINT(readability-identifier-naming): name fixed by Boost.MSM

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming): name fixed by Boost.MSM
        front::Row<Connecting, Connected, DialledAwaitingHello, SendHello, front::none>,
        front::Row<Connecting, Accepted, AcceptedAwaitingHello, front::none, front::none>,
        front::Row<Connecting, Fault, Closed, Close<false>, front::none>,
        front::Row<DialledAwaitingHello, HelloValid, Established, Establish, front::none>,
        front::Row<DialledAwaitingHello, Fault, Closed, Close<false>, front::none>,
        front::Row<AcceptedAwaitingHello, HelloValid, Established, SendHelloAndEstablish, front::none>,
        front::Row<AcceptedAwaitingHello, HelloOutsideSet, Parked, front::none, front::none>,
        front::Row<AcceptedAwaitingHello, Fault, Closed, Close<false>, front::none>,
        front::Row<Parked, Admitted, Established, SendHelloAndEstablish, front::none>,
        front::Row<Parked, Fault, Closed, Close<false>, front::none>,
        front::Row<Established, Fault, Closed, Close<true>, front::none>> {};
    // clang-format on

    template <typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int) // NOLINT(readability-identifier-naming): fixed by Boost.MSM
    {
    }

    SessionHooks *hooks_ = nullptr;
};

using Machine = boost::msm::back::state_machine<MachineDef>;

} // namespace

struct PeerSession
{
    Machine machine_;
};

template <>
void Destroy<PeerSession>::operator()(PeerSession *state) const
{
    delete state;
}

Handle<PeerSession> makePeerSession(SessionHooks &hooks)
{
    Handle<PeerSession> session(new PeerSession);
    session->machine_.hooks_ = &hooks;
    session->machine_.start();
    return session;
}

SessionState sessionState(const PeerSession &session)
{
    using Stt = Machine::stt;
    const int id = session.machine_.current_state()[0];
    if (id == boost::msm::back::get_state_id<Stt, Established>::value) {
        return SessionState::Established;
    }
    if (id == boost::msm::back::get_state_id<Stt, Closed>::value) {
        return SessionState::Closed;
    }
    if (id == boost::msm::back::get_state_id<Stt, Parked>::value) {
        return SessionState::Parked;
    }
    return id == boost::msm::back::get_state_id<Stt, Connecting>::value ? SessionState::Connecting
                                                                        : SessionState::AwaitingHello;
}

SessionState processEvent(PeerSession &session, SessionEvent event)
{
    switch (event) {
    case SessionEvent::Connected:
        session.machine_.process_event(Connected{});
        break;
    case SessionEvent::Accepted:
        session.machine_.process_event(Accepted{});
        break;
    case SessionEvent::HelloValid:
        session.machine_.process_event(HelloValid{});
        break;
    case SessionEvent::HelloOutsideSet:
        session.machine_.process_event(HelloOutsideSet{});
        break;
    case SessionEvent::Admitted:
        session.machine_.process_event(Admitted{});
        break;
    case SessionEvent::Fault:
        session.machine_.process_event(Fault{});
        break;
    }
    return sessionState(session);
}

} // namespace mimosapier
