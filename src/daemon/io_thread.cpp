// Threads with an Asio event loop.
#include "daemon/io_thread_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>

namespace mimosapier
{

namespace asio = boost::asio;

struct IoThread::State
{
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> workGuard_ = asio::make_work_guard(context_);
    std::thread thread_;
};

IoThread::IoThread()
    : state_(std::make_unique<State>())
{
}

IoThread::~IoThread()
{
    stop();
}

void IoThread::start()
{
    state_->thread_ = std::thread([this] { state_->context_.run(); });
}

void IoThread::stop()
{
    state_->context_.stop();
    if (state_->thread_.joinable()) {
        state_->thread_.join();
    }
}

void IoThread::post(std::function<void()> task)
{
    asio::post(state_->context_, std::move(task));
}

void IoThread::postAfter(Milliseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(state_->context_, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &error) {
        if (!error) {
            task();
        }
    });
}

asio::io_context &IoThread::context()
{
    return state_->context_;
}

} // namespace mimosapier
