// The platform's list of instances, with a lag.
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
// POST /v1/control {"id","state":"live|leaving|gone"}: visible in the list after lag_ms.
class InstanceService
{
public:
    InstanceService(boost::asio::io_context &context, const Json &settings);
    bool listen();
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

    std::uint64_t processNonce_; // differs between processes
    std::uint64_t listVersion_ = 0; // of body_
    std::string body_; // answer of GET /v1/instances; empty before the first
    std::string entityTag_; // of body_
    std::string configuredAddress_;
    Milliseconds lag_{2'000};
    std::map<std::string, Json> instances_; // by id; state as the list shows it
    std::vector<Change> pendingChanges_; // in the order they were asked for
    HttpServer server_;
};

} // namespace mimosapier::standin
