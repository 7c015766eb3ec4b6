// Serves the simulated list of instances and applies requested state changes after a delay.
#include "standin/instances_service.h"

#include <random>

namespace mimosapier::standin
{

InstanceService::InstanceService(boost::asio::io_context &context, const Json &settings)
    : processNonce_(std::random_device{}())
    , configuredAddress_(textOr(settings, "address", "127.0.0.1:0"))
    , lag_(numberOr(settings, "lag_ms", 2'000))
    , server_(context, {},
              [this](const HttpRequest &request, const HttpResponder &respond) { handle(request, respond); })
{
    const auto list = settings.find("instances");
    if (list == settings.end() || !list->is_array()) {
        return;
    }
    for (const auto &item : *list) {
        Json instance = item;
        instance["state"] = textOr(item, "state", "live");
        instances_[textOr(item, "id", "")] = std::move(instance);
    }
}

bool InstanceService::listen()
{
    return listenOrReport(server_, configuredAddress_, "standin-instances");
}

void InstanceService::handle(const HttpRequest &request, const HttpResponder &respond)
{
    const std::string path = splitTarget(request.target_).path_;
    if (path == "/v1/instances") {
        updateList();
        if (headerValue(request, "If-None-Match") == entityTag_) {
            respond({304, "", "application/json", entityTag_});
        } else {
            respond({200, body_, "application/json", entityTag_});
        }
        return;
    }
    Json body;
    if (path != "/v1/control") {
        respondError(respond, 404, "unknown-path");
        return;
    }
    if (!readBody(request, respond, body)) {
        return;
    }
    const std::string id = textOr(body, "id", "");
    const std::string state = textOr(body, "state", "");
    if (!instances_.contains(id) || (state != "live" && state != "leaving" && state != "gone")) {
        respondError(respond, 400, "malformed-request");
        return;
    }
    pendingChanges_.push_back({SystemClock().now() + lag_, id, state});
    respondJson(respond, {{"ok", true}});
}

// Applies the changes that are due and, if there were any, rebuilds the response body and its entity tag.
void InstanceService::updateList()
{
    const TimePoint now = SystemClock().now();
    const std::size_t changed = std::erase_if(pendingChanges_, [&](const Change &change) {
        if (change.visibleAt_ > now) {
            return false;
        }
        instances_[change.id_]["state"] = change.state_;
        return true;
    });
    if (changed == 0 && !body_.empty()) {
        return;
    }
    Json list = Json::array();
    for (const auto &[id, instance] : instances_) {
        if (instance["state"] != "gone") {
            list.push_back(instance);
        }
    }
    body_ = dumpJson({{"instances", std::move(list)}});
    // The random part keeps the tag of a restarted process from matching one of the previous process.
    entityTag_ = '"' + std::to_string(processNonce_) + '-' + std::to_string(++listVersion_) + '"';
}

} // namespace mimosapier::standin
