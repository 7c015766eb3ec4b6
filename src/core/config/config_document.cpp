// JSON of the admin views of the bundle and the drafts.
#include "core/config/config_internal.h"

#include "core/common/json_func.h"

namespace mimosapier
{

std::string bundleDocument(const ConfigState &state)
{
    const HeadRecord &head = state.head_;
    return JsonObject()
        .number("version", static_cast<std::int64_t>(head.version_.value_))
        .text("digest", head.digest_)
        .text("author", head.author_)
        .text("signer", head.signer_)
        .text("text", head.text_)
        .finish();
}

std::string draftsDocument(const ConfigState &state)
{
    JsonArray drafts;
    for (const auto &[id, draft] : state.drafts_) {
        drafts.raw(JsonObject()
                       .text("draft", id)
                       .text("author", draft.author_)
                       .number("base_version", static_cast<std::int64_t>(draft.base_.value_))
                       .text("text", draft.text_)
                       .finish());
    }
    return JsonObject().raw("drafts", drafts.finish()).finish();
}

} // namespace mimosapier
