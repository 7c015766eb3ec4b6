// Requests, responses and addresses of the HTTP server and client. Does not depend on Boost, so that other parts can
// include it. The functions are pure and may run on any thread.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosapier
{

struct HttpHeader
{
    std::string name_;
    std::string value_;
};

struct HttpRequest
{
    std::string method_ = "POST"; // in capitals
    std::string target_ = "/"; // path and query, still percent-encoded
    std::vector<HttpHeader> headers_;
    std::string body_;
};

struct HttpResponse
{
    unsigned status_ = 200;
    std::string body_;
    std::string contentType_ = "application/json";
    std::string entityTag_{}; // value of the ETag header; empty: no header
    std::vector<HttpHeader> headers_{}; // in addition to Content-Type and ETag
};

// Parts of an address "ip:port" or "[ip]:port".
struct HttpAddress
{
    std::string ip_; // numeric, without brackets
    std::uint16_t port_ = 0;
};

// Parts of a request target, percent-decoded.
struct HttpTarget
{
    std::string path_;
    std::vector<std::pair<std::string, std::string>> query_; // in the order sent
};

// Value of the first header with that name, compared without regard to case; empty when there is none. The result
// refers to `request`.
std::string_view headerValue(const HttpRequest &request, std::string_view name);

// Splits and percent-decodes a target. Invalid percent sequences are kept as they are.
HttpTarget splitTarget(std::string_view target);

// Value of a query parameter; empty when it is missing. The result refers to `target`.
std::string_view queryValue(const HttpTarget &target, std::string_view name);

// Parses "ip:port" or "[ip]:port". Returns false when the text does not have this form. Does not check that the IP
// address is valid.
bool parseAddress(std::string_view text, HttpAddress &address);

} // namespace mimosapier
