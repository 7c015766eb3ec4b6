// Addresses "ip:port" as settings and member records give them, and their overrides.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace mimosapier
{

// True for "192.0.2.1:80" and "[2001:db8::1]:80".
bool isAddress(std::string_view text);

// Name of a daemon: its id up to '#'.
std::string_view daemonName(std::string_view daemonId);

// Address to use instead of `address`: the entry of `key`, or `address` itself.
const std::string &addressOrOverride(const std::map<std::string, std::string> &overrides, std::string_view key,
                                     const std::string &address);

} // namespace mimosapier
