// Forwards TCP connections with a delay; can cut links and silence connections.
#pragma once

#include "http/server_base.h"
#include "standin/program_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mimosapier::standin
{

class LinkConnection;

// One listen address and its target.
struct Link
{
    std::string name_;
    std::string listen_;
    boost::asio::ip::tcp::endpoint target_;
    Duration delay_{0}; // one way
    bool cut_ = false;
    std::uint64_t bytesToTarget_ = 0; // towards the target
    std::uint64_t bytesToClient_ = 0;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_; // none while the link is cut
    std::vector<std::weak_ptr<LinkConnection>> connections_;
};

// Settings: control_address, links: list of {name, listen, target, delay_ms}.
//
// POST /v1/control {"action":"cut|restore|silence","names":[...]}; names are whole names, or a prefix followed by "*".
//   cut      new connections are refused, existing ones are reset
//   restore  ends a cut
//   silence  existing connections stay open and forward nothing any more; new ones work
// GET /v1/stats: {"links":{name:{"out","back","connections"}}}, bytes of payload by direction.
class LinkService
{
public:
    LinkService(boost::asio::io_context &context, const Json &settings);
    bool listen();
    [[nodiscard]] std::string controlAddress() const { return control_.address(); }

private:
    bool open(Link &link);
    void accept(Link &link);
    void cut(Link &link);
    void handle(const HttpRequest &request, const HttpResponder &respond);

    boost::asio::io_context &context_;
    std::string configuredControlAddress_;
    std::vector<std::unique_ptr<Link>> links_;
    bool addressesValid_ = true; // all addresses of the settings could be parsed
    HttpServer control_;
};

} // namespace mimosapier::standin
