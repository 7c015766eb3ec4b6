// JSON of the admin views on the configuration.
#include "core/config/config_internal.h"

#include "core/common/json_func.h"

namespace mimosapier
{

std::string bundleDocument(const ConfigState &state)
{
    const HeadRecord &head = state.head_;
    std::string out = "{\"version\":" + std::to_string(head.version_.value_);
    out += ",\"digest\":" + jsonString(head.digest_);
    out += ",\"author\":" + jsonString(head.author_);
    out += ",\"signer\":" + jsonString(head.signer_);
    out += ",\"text\":" + jsonString(head.text_);
    return out + "}";
}

std::string draftsDocument(const ConfigState &state)
{
    std::string out = "{\"drafts\":[";
    std::string separator;
    for (const auto &[id, draft] : state.drafts_) {
        out += separator + "{\"draft\":" + jsonString(id);
        out += ",\"author\":" + jsonString(draft.author_);
        out += ",\"base_version\":" + std::to_string(draft.base_.value_);
        out += ",\"text\":" + jsonString(draft.text_) + "}";
        separator = ",";
    }
    return out + "]}";
}

} // namespace mimosapier
