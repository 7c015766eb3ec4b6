// Reading and writing of JSON, see json_func.h.
#include "http/json_func.h"

#include <limits>

namespace mimosapier
{

bool parseJson(std::string_view text, Json &value)
{
    value = Json::parse(text.begin(), text.end(), nullptr, false);
    return !value.is_discarded();
}

static bool fitsClientLimits(std::string_view text)
{
    std::size_t values = 0;
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            inString = !inString;
        } else if (inString) {
            i += c == '\\' ? 1 : 0;
        } else if (c == '[' || c == '{') {
            ++values;
            ++depth;
        } else if (c == ']' || c == '}') {
            depth -= depth > 0 ? 1 : 0;
        } else if (c == ',') {
            ++values;
        }
        if (values > MaxClientJsonValues || depth > MaxClientJsonDepth) {
            return false;
        }
    }
    return true;
}

bool parseClientJson(std::string_view text, Json &value)
{
    return fitsClientLimits(text) && parseJson(text, value);
}

std::string dumpJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Returns object[name], or null when the field is missing. Sets `valid` to false when `object` is not an object.
static const Json *findField(const Json &object, const char *name, bool &valid)
{
    valid = object.is_object();
    if (!valid) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

bool readField(const Json &object, const char *name, std::string &out)
{
    bool valid = false;
    const Json *value = findField(object, name, valid);
    if (value == nullptr) {
        return valid;
    }
    if (!value->is_string()) {
        return false;
    }
    out = value->get_ref<const std::string &>();
    return true;
}

bool readField(const Json &object, const char *name, bool &out)
{
    bool valid = false;
    const Json *value = findField(object, name, valid);
    if (value == nullptr) {
        return valid;
    }
    if (!value->is_boolean()) {
        return false;
    }
    out = value->get<bool>();
    return true;
}

bool readField(const Json &object, const char *name, std::int64_t &out)
{
    bool valid = false;
    const Json *value = findField(object, name, valid);
    if (value == nullptr) {
        return valid;
    }
    if (value->is_number_unsigned()
        && value->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        return false;
    }
    if (!value->is_number_integer()) {
        return false;
    }
    out = value->get<std::int64_t>();
    return true;
}

bool readField(const Json &object, const char *name, std::uint64_t &out)
{
    bool valid = false;
    const Json *value = findField(object, name, valid);
    if (value == nullptr) {
        return valid;
    }
    if (!value->is_number_integer() || (!value->is_number_unsigned() && value->get<std::int64_t>() < 0)) {
        return false;
    }
    out = value->get<std::uint64_t>();
    return true;
}

bool readField(const Json &object, const char *name, std::uint32_t &out)
{
    std::uint64_t wide = out;
    if (!readField(object, name, wide) || wide > std::numeric_limits<std::uint32_t>::max()) {
        return false;
    }
    out = static_cast<std::uint32_t>(wide);
    return true;
}

bool readField(const Json &object, const char *name, double &out)
{
    bool valid = false;
    const Json *value = findField(object, name, valid);
    if (value == nullptr) {
        return valid;
    }
    if (!value->is_number()) {
        return false;
    }
    out = value->get<double>();
    return true;
}

} // namespace mimosapier
