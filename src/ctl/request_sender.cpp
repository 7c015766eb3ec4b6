// Sends one HTTP request and waits for the result.
#include "ctl/ctl_internal.h"

#include <boost/asio/io_context.hpp>

namespace mimosapier
{

RequestSender makeRequestSender(Milliseconds timeout)
{
    return [timeout](const std::string &address, const HttpRequest &request) {
        boost::asio::io_context context;
        HttpClient client(context, {});
        HttpResult result;
        client.send(address, request, timeout, [&](HttpResult response) {
            result = std::move(response);
            context.stop();
        });
        context.run();
        return result;
    };
}

} // namespace mimosapier
