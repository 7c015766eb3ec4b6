// Headers, targets and addresses, see http_type.h.
#include "http/http_type.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace mimosapier
{

static bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view headerValue(const HttpRequest &request, std::string_view name)
{
    for (const auto &header : request.headers_) {
        if (equalIgnoringCase(header.name_, name)) {
            return header.value_;
        }
    }
    return {};
}

static std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() && std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0
            && std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0) {
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
            decoded.push_back(static_cast<char>(value));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

HttpTarget splitTarget(std::string_view target)
{
    HttpTarget result;
    const std::size_t mark = target.find('?');
    result.path_ = percentDecode(target.substr(0, mark));
    if (mark == std::string_view::npos) {
        return result;
    }
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (!pair.empty()) {
            result.query_.emplace_back(percentDecode(pair.substr(0, equals)),
                                       percentDecode(pair.substr(std::min(equals + 1, pair.size()))));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return result;
}

std::string_view queryValue(const HttpTarget &target, std::string_view name)
{
    for (const auto &[key, value] : target.query_) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

bool parseAddress(std::string_view text, HttpAddress &address)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    std::string_view ip = text.substr(0, colon);
    if (ip.front() == '[') {
        if (ip.size() < 3 || ip.back() != ']') {
            return false;
        }
        ip = ip.substr(1, ip.size() - 2);
    }
    const std::string_view port = text.substr(colon + 1);
    std::uint16_t number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error != std::errc() || end != port.data() + port.size()) {
        return false;
    }
    address.ip_ = std::string(ip);
    address.port_ = number;
    return true;
}

} // namespace mimosapier
