// Reads one HTTP message from pieces of a byte stream, within limits. Plain state without I/O or clock; one thread at a
// time. Internal to src/http.
//
// The parser of the library keeps no limit on what it has not parsed yet: header fields, chunk lines and trailers stay
// in the caller's buffer until their end arrives. This reader bounds that buffer in every state.
#pragma once

#include "http/http_type.h"
#include "http/message_limits_type.h"

#include <boost/beast/http/basic_parser.hpp>

namespace mimosapier::detail
{

// Most bytes read from a connection at once.
constexpr std::size_t PieceBytes = 32 * 1024;

// Input buffer of the running thread. A connection that waits for input holds no buffer.
std::array<char, PieceBytes> &inputBuffer();

// Collects the parts of a message. Trailer fields are counted and dropped: a trailer must not change how a request is
// authenticated or routed.
template <bool IsRequest>
class MessageParser final : public boost::beast::http::basic_parser<IsRequest>
{
public:
    explicit MessageParser(const HttpMessageLimits &limits);

    HttpRequest message_; // without method and target in a response
    std::size_t messageBytes_ = 0; // of the header in message_, with the cost of each field
    std::size_t fieldCount_ = 0;
    unsigned status_ = 0; // of a response
    HttpRefusal refusal_ = HttpRefusal::Count;

private:
    using error_code = boost::system::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb verb, string_view method, string_view target, int version,
                         error_code &error) override;
    void on_response_impl(int status, string_view reason, int version, error_code &error) override;
    void on_field_impl(boost::beast::http::field field, string_view name, string_view value,
                       error_code &error) override;
    void on_header_impl(error_code &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code &error) override;
    std::size_t on_body_impl(string_view body, error_code &error) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, string_view body, error_code &error) override;
    void on_finish_impl(error_code &error) override;
    void refuse(HttpRefusal refusal, error_code &error);

    const HttpMessageLimits &limits_;
    bool headerComplete_ = false;
    std::uint64_t announcedBytes_ = 0; // length of the body; 0: not known
};

template <bool IsRequest>
class MessageReader
{
public:
    // `limits` must outlive the reader.
    explicit MessageReader(const HttpMessageLimits &limits);

    // Takes bytes of the message and returns how many. Takes all of them, except those after the end of the message, or
    // after a refusal. Must not be called after either.
    std::size_t feed(std::string_view bytes);

    // Handles the end of the stream. Returns true if it completes the message, a response without a length.
    bool finishAtEnd();

    [[nodiscard]] bool isDone() const { return parser_.is_done(); }
    [[nodiscard]] bool isHeaderDone() const { return parser_.is_header_done(); }
    [[nodiscard]] HttpRefusal refusal() const { return refusal_; } // Count: not refused
    // Bytes held for the message.
    [[nodiscard]] std::size_t heldBytes() const
    {
        return pending_.capacity() + parser_.messageBytes_ + parser_.message_.body_.capacity();
    }

    // After isDone().
    [[nodiscard]] bool keepAlive() const { return parser_.keep_alive(); }
    HttpRequest &message() { return parser_.message_; }
    [[nodiscard]] unsigned status() const { return parser_.status_; }

private:
    void parse(std::string_view &data);
    void checkStep(bool wasInHeader, std::size_t overhead);
    void checkPending();

    const HttpMessageLimits &limits_;
    MessageParser<IsRequest> parser_;
    std::string pending_; // bytes that the parser has not consumed, at most one limit and one piece long
    std::size_t headerBytes_ = 0; // consumed
    std::size_t overheadBytes_ = 0; // consumed chunk lines and trailer
    HttpRefusal refusal_ = HttpRefusal::Count;
};

extern template class MessageReader<true>;
extern template class MessageReader<false>;

using RequestReader = MessageReader<true>;
using ResponseReader = MessageReader<false>;

} // namespace mimosapier::detail
