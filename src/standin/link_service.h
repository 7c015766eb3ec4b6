// Simulated network links: TCP proxies with a delay that can reset connections, refuse new ones, or keep connections
// open without forwarding data. All links of a process run on the thread that runs the io_context.
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

// Forwards connections to one listening address to one target.
struct Link
{
    std::string name_;
    std::string listen_; // "IP:port"
    boost::asio::ip::tcp::endpoint target_;
    Duration delay_{0}; // one way
    bool cut_ = false; // refuses connections until it is restored
    std::uint64_t bytesToTarget_ = 0; // payload read from clients
    std::uint64_t bytesToClient_ = 0; // payload read from the target
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_; // null while the link is cut
    std::vector<std::weak_ptr<LinkConnection>> connections_; // may contain closed ones
};

// Settings: control_address, links: list of {name, listen, target, delay_ms}.
//
// POST /v1/control {"action":"cut|restore|silence","names":[...]}; names are whole names, or a prefix followed by "*".
//   cut      refuses new connections and resets existing ones
//   restore  ends a cut
//   silence  keeps existing connections open but forwards nothing on them; new connections work
// GET /v1/stats: {"links":{name:{"out","back","connections"}}}, payload bytes per direction.
class LinkService
{
public:
    LinkService(boost::asio::io_context &context, const Json &settings);
    // Binds the addresses of all links and the control address. Returns false and prints the error to stderr when an
    // address is invalid or cannot be bound.
    bool listen();
    // Bound control address, "IP:port"; valid after listen().
    [[nodiscard]] std::string controlAddress() const { return control_.address(); }

private:
    bool open(Link &link);
    void accept(Link &link);
    void cut(Link &link);
    void handle(const HttpRequest &request, const HttpResponder &respond);

    boost::asio::io_context &context_;
    std::string configuredControlAddress_;
    std::vector<std::unique_ptr<Link>> links_;
    bool addressesValid_ = true; // false when a target address in the settings could not be parsed
    HttpServer control_;
};

} // namespace mimosapier::standin
