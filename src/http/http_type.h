// Requests, answers and addresses of the HTTP server and client, free of the transport library.
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
    std::string target_ = "/"; // path and query as sent
    std::vector<HttpHeader> headers_;
    std::string body_;
};

struct HttpResponse
{
    unsigned status_ = 200;
    std::string body_;
    std::string contentType_ = "application/json";
    std::string entityTag_{}; // value of the ETag header; empty for none
    std::vector<HttpHeader> headers_{}; // further ones
};

// An address "ip:port" or "[ip]:port" in parts.
struct HttpAddress
{
    std::string ip_; // numeric, without brackets
    std::uint16_t port_ = 0;
};

// A request target in parts, percent-decoded.
struct HttpTarget
{
    std::string path_;
    std::vector<std::pair<std::string, std::string>> query_; // in the order sent
};

// Value of the first header with that name, whatever its case; empty when there is none.
std::string_view headerValue(const HttpRequest &request, std::string_view name);

// Splits and decodes a target. Invalid percent sequences are kept as they are.
HttpTarget splitTarget(std::string_view target);

// Value of a query parameter; empty when it is missing.
std::string_view queryValue(const HttpTarget &target, std::string_view name);

// Parses "ip:port". Returns false when the text is not an address.
bool parseAddress(std::string_view text, HttpAddress &address);

} // namespace mimosapier
