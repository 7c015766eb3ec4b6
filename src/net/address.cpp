// Address checks and overrides, see address_func.h.
#include "net/address_func.h"

#include <arpa/inet.h>

namespace mimosapier
{

bool parseNumericAddress(std::string_view text, HttpAddress &address)
{
    if (!parseAddress(text, address)) {
        return false;
    }
    in6_addr binary{}; // large enough for both families
    return inet_pton(text.front() == '[' ? AF_INET6 : AF_INET, address.ip_.c_str(), &binary) == 1;
}

bool isAddress(std::string_view text)
{
    HttpAddress address;
    return parseNumericAddress(text, address);
}

std::string_view daemonName(std::string_view daemonId)
{
    return daemonId.substr(0, daemonId.find('#'));
}

const std::string &addressOrOverride(const std::map<std::string, std::string> &overrides, std::string_view key,
                                     const std::string &address)
{
    const auto found = overrides.find(std::string(key));
    return found == overrides.end() ? address : found->second;
}

} // namespace mimosapier
