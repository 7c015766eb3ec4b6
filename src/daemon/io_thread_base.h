// Thread with an Asio event loop. HTTP servers and clients run on such threads; the decision threads do no I/O.
#pragma once

#include "core/common/time_type.h"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace mimosapier
{

class IoThread
{
public:
    IoThread();
    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;
    // Calls stop().
    ~IoThread();

    void start();
    // Stops the event loop and joins the thread; pending tasks are dropped. Called by another thread.
    void stop();

    // The functions below may be called from any thread. Tasks run on the event loop's thread, once it has started.
    void post(std::function<void()> task);
    void postAfter(Milliseconds delay, std::function<void()> task);

    [[nodiscard]] boost::asio::io_context &context();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
