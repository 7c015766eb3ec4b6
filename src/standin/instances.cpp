// The platform's list of instances, with a lag.
#include "standin/instances_service.h"

namespace mimosapier::standin
{

InstanceService::InstanceService(boost::asio::io_context &context, const Json &settings)
    : configuredAddress_(textOr(settings, "address", "127.0.0.1:0"))
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
        respondJson(respond, listing());
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
    pending_.push_back({SystemClock().now() + lag_, id, state});
    respondJson(respond, {{"ok", true}});
}

Json InstanceService::listing()
{
    const TimePoint now = SystemClock().now();
    std::erase_if(pending_, [&](const Change &change) {
        if (change.visible_ > now) {
            return false;
        }
        instances_[change.id_]["state"] = change.state_;
        return true;
    });
    Json list = Json::array();
    for (const auto &[id, instance] : instances_) {
        if (instance["state"] != "gone") {
            list.push_back(instance);
        }
    }
    return {{"instances", std::move(list)}};
}

} // namespace mimosapier::standin
