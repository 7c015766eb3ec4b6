// Simulated list of instances of the platform. Changes show in the list after a configured delay, as they do on the
// platform. All requests are handled on the thread that runs the io_context.
#pragma once

#include "http/server_base.h"
#include "standin/program_func.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosapier::standin
{

// Settings: address, lag_ms (2000), instances: list as in docs/protocols.md.
//
// POST /v1/control {"id","state":"live|leaving|gone"}: changes the state of a listed instance; GET /v1/instances shows
// the change after lag_ms. A "gone" instance is left out of the list.
class InstanceService
{
public:
    InstanceService(boost::asio::io_context &context, const Json &settings);
    // Binds the configured address. Returns false and prints the error to stderr when that fails.
    bool listen();
    // Bound address, "IP:port"; valid after listen().
    [[nodiscard]] std::string address() const { return server_.address(); }

private:
    struct Change
    {
        TimePoint visibleAt_;
        std::string id_;
        std::string state_;
    };

    void handle(const HttpRequest &request, const HttpResponder &respond);
    void updateList();

    std::uint64_t processNonce_; // random part of entityTag_
    std::uint64_t listVersion_ = 0; // number of times that body_ was built
    std::string body_; // response of GET /v1/instances; empty before the first request
    std::string entityTag_; // of body_
    std::string configuredAddress_;
    Milliseconds lag_{2'000}; // from a control request until the list shows the change
    std::map<std::string, Json> instances_; // by id; with the state that the list shows
    std::vector<Change> pendingChanges_; // in the order of the control requests
    HttpServer server_;
};

} // namespace mimosapier::standin
