// JSON encoding of the store's protocol.
#include "daemon/store_codec_func.h"

#include "daemon/base64_func.h"
#include "http/json_func.h"

#include <algorithm>
#include <array>

namespace mimosapier
{

// One row per alternative of StoreOp, in its order.
struct OpRow
{
    std::string_view name_;
    std::string_view target_;
    bool changesStore_;
};

static constexpr std::array<OpRow, std::variant_size_v<StoreOp>> OpTable{{
    {"get", "/v1/get", false},
    {"list", "/v1/list", false},
    {"cas", "/v1/cas", true},
    {"delete", "/v1/delete", true},
    {"lease-grant", "/v1/lease/grant", true},
    {"lease-renew", "/v1/lease/renew", true},
    {"lease-revoke", "/v1/lease/revoke", true},
    {"watch", "/v1/watch", false},
}};

bool changesStore(const StoreOp &op)
{
    return OpTable.at(op.index()).changesStore_;
}

std::string_view storeOpName(const StoreOp &op)
{
    return OpTable.at(op.index()).name_;
}

static Json encodeBody(const StoreGet &op)
{
    return {{"key", op.key_}};
}

static Json encodeBody(const StoreList &op)
{
    return {{"prefix", op.prefix_}};
}

static Json encodeBody(const StoreCas &op)
{
    return {{"key", op.key_},
            {"value", encodeStoreValue(op.value_)},
            {"expected", op.expected_.value_},
            {"lease", op.lease_.value_}};
}

static Json encodeBody(const StoreDelete &op)
{
    return {{"key", op.key_}, {"expected", op.expected_.value_}};
}

static Json encodeBody(const StoreLeaseGrant &op)
{
    return {{"ttl_ms", op.ttl_.count()}};
}

static Json encodeBody(const StoreLeaseRenew &op)
{
    return {{"lease", op.lease_.value_}};
}

static Json encodeBody(const StoreLeaseRevoke &op)
{
    return {{"lease", op.lease_.value_}};
}

static Json encodeBody(const StoreWatch &op)
{
    return {{"prefix", op.prefix_}, {"after", op.after_.value_}, {"wait_ms", op.wait_.count()}};
}

bool encodeStoreOp(const StoreOp &op, HttpRequest &request)
{
    const Json json = std::visit([](const auto &alternative) { return encodeBody(alternative); }, op);
    const auto value = json.find("value");
    if (value != json.end() && value->get_ref<const std::string &>().size() > MaxStoreValueBytes) {
        return false;
    }
    request.method_ = "POST";
    request.target_ = OpTable.at(op.index()).target_;
    request.body_ = dumpJson(json);
    return true;
}

static bool readEntry(const Json &json, std::vector<StoreEntry> &entries)
{
    StoreEntry entry;
    std::string text;
    if (!readField(json, "key", entry.key_) || !readField(json, "value", text)
        || !readField(json, "revision", entry.revision_.value_) || !decodeStoreValue(text, entry.value_)
        || entry.key_.empty() || entry.revision_ == Revision{}) {
        return false;
    }
    entries.push_back(std::move(entry));
    return true;
}

// Reads a boolean that must be present.
static bool readFlag(const Json &json, const char *name, bool &flag)
{
    return json.contains(name) && readField(json, name, flag);
}

// Reads the current entry from the answer to a get, or to a cas or delete whose expected revision did not match.
static bool readCurrentEntry(const Json &json, StoreStatus present, StoreStatus absent, StoreResult &result)
{
    bool found = false;
    if (!readFlag(json, "found", found)) {
        return false;
    }
    result.status_ = found ? present : absent;
    return !found || (json.contains("entry") && readEntry(json["entry"], result.entries_));
}

static bool decode(const StoreGet &, const Json &json, StoreResult &result)
{
    return readField(json, "revision", result.revision_.value_)
        && readCurrentEntry(json, StoreStatus::Ok, StoreStatus::NotFound, result);
}

static bool decodeEntries(const Json &json, StoreResult &result)
{
    const auto entries = json.find("entries");
    if (!readField(json, "revision", result.revision_.value_) || entries == json.end() || !entries->is_array()) {
        return false;
    }
    result.status_ = StoreStatus::Ok;
    return std::all_of(entries->begin(), entries->end(),
                       [&result](const Json &entry) { return readEntry(entry, result.entries_); });
}

static bool decode(const StoreList &, const Json &json, StoreResult &result)
{
    return decodeEntries(json, result);
}

static bool decode(const StoreWatch &, const Json &json, StoreResult &result)
{
    if (json.contains("unchanged")) {
        result.status_ = StoreStatus::Unchanged;
        return readField(json, "revision", result.revision_.value_);
    }
    return decodeEntries(json, result);
}

static bool decode(const StoreCas &, const Json &json, StoreResult &result)
{
    bool ok = false;
    if (!readFlag(json, "ok", ok) || !readField(json, "revision", result.revision_.value_)) {
        return false;
    }
    if (ok) {
        result.status_ = StoreStatus::Ok;
        return result.revision_ != Revision{};
    }
    return readCurrentEntry(json, StoreStatus::Conflict, StoreStatus::NotFound, result);
}

static bool decode(const StoreDelete &, const Json &json, StoreResult &result)
{
    bool ok = false;
    if (!readFlag(json, "ok", ok)) {
        return false;
    }
    if (ok) {
        result.status_ = StoreStatus::Ok;
        return true;
    }
    return readCurrentEntry(json, StoreStatus::Conflict, StoreStatus::NotFound, result);
}

static bool decode(const StoreLeaseGrant &, const Json &json, StoreResult &result)
{
    result.status_ = StoreStatus::Ok;
    return readField(json, "lease", result.lease_.value_) && result.lease_ != StoreLeaseId{};
}

static bool decodeLease(const Json &json, StoreResult &result)
{
    bool ok = false;
    const bool valid = readFlag(json, "ok", ok);
    result.status_ = ok ? StoreStatus::Ok : StoreStatus::NotFound;
    return valid;
}

static bool decode(const StoreLeaseRenew &, const Json &json, StoreResult &result)
{
    return decodeLease(json, result);
}

static bool decode(const StoreLeaseRevoke &, const Json &json, StoreResult &result)
{
    return decodeLease(json, result);
}

bool decodeStoreAnswer(const StoreOp &op, std::string_view body, StoreResult &result)
{
    Json json;
    return parseJson(body, json) && json.is_object()
        && std::visit([&](const auto &alternative) { return decode(alternative, json, result); }, op);
}

} // namespace mimosapier
