// A thread that runs an Asio event loop, for the duties that do I/O.
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
    // Stops and joins.
    ~IoThread();

    void start();
    // Ends the loop and joins the thread. Called by another thread.
    void stop();

    // The functions below may be called from any thread; tasks run on this thread.
    void post(std::function<void()> task);
    void postAfter(Milliseconds delay, std::function<void()> task);

    [[nodiscard]] boost::asio::io_context &context();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
