// Checks of "ip:port" addresses from settings and member records, and the address overrides of the settings. Called by
// the transport, the worker client and the settings reader; the functions are pure and may run on any thread.
#pragma once

#include "http/http_type.h"

#include <map>
#include <string>
#include <string_view>

namespace mimosapier
{

// True for a numeric IPv4 or IPv6 address with a port, such as "192.0.2.1:80" or "[2001:db8::1]:80"; false for a host
// name.
bool isAddress(std::string_view text);

// Parses such an address. Returns false when isAddress() does.
bool parseNumericAddress(std::string_view text, HttpAddress &address);

// Name of a daemon, which stays the same over restarts: the part of the id before '#', or the whole id without one.
std::string_view daemonName(std::string_view daemonId);

// Returns the override of `key`, or `address` when there is none. The result refers to one of the two arguments.
const std::string &addressOrOverride(const std::map<std::string, std::string> &overrides, std::string_view key,
                                     const std::string &address);

} // namespace mimosapier
