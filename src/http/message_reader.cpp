// Reader of one HTTP message, see message_reader_internal.h.
#include "http/message_reader_internal.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>

namespace mimosapier
{

static constexpr std::array<std::string_view, HttpRefusalCount> RefusalNames{
    "malformed",  "start-line",     "header-bytes", "fields",        "trailer-bytes", "chunk-line", "chunk-overhead",
    "body-bytes", "header-timeout", "body-timeout", "write-timeout", "budget",        "connections"};

std::string_view httpRefusalName(HttpRefusal refusal)
{
    return RefusalNames.at(static_cast<std::size_t>(refusal));
}

namespace detail
{

namespace http = boost::beast::http;

std::array<char, PieceBytes> &inputBuffer()
{
    static thread_local std::array<char, PieceBytes> buffer;
    return buffer;
}

static constexpr std::string_view LineEnd = "\r\n";
// Shortest end of a chunked body, "0", an empty line for the end of the chunk line and one for that of the trailer.
static constexpr std::size_t MinChunkEndBytes = 5;

template <bool IsRequest>
MessageParser<IsRequest>::MessageParser(const HttpMessageLimits &limits)
    : limits_(limits)
{
    // The reader counts the header; the parser's own limit is per call and would refuse a header at the limit.
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
    this->body_limit(limits.maxBodyBytes_);
}

template <bool IsRequest>
void MessageParser<IsRequest>::refuse(HttpRefusal refusal, error_code &error)
{
    refusal_ = refusal;
    error = http::error::header_limit;
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_request_impl(http::verb /*verb*/, string_view method, string_view target,
                                               int /*version*/, error_code &error)
{
    message_.method_.assign(method.data(), method.size());
    message_.target_.assign(target.data(), target.size());
    messageBytes_ += method.size() + target.size();
    if (method.size() + target.size() > limits_.maxStartLineBytes_) {
        refuse(HttpRefusal::StartLine, error);
    }
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_response_impl(int status, string_view reason, int /*version*/, error_code &error)
{
    status_ = static_cast<unsigned>(status);
    if (reason.size() > limits_.maxStartLineBytes_) {
        refuse(HttpRefusal::StartLine, error);
    }
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_field_impl(http::field /*field*/, string_view name, string_view value,
                                             error_code &error)
{
    if (++fieldCount_ > limits_.maxFields_) {
        refuse(HttpRefusal::Fields, error);
    } else if (!headerComplete_) {
        message_.headers_.push_back({std::string(name), std::string(value)});
        messageBytes_ += sizeof(HttpHeader) + name.size() + value.size();
    }
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_header_impl(error_code & /*error*/)
{
    headerComplete_ = true;
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code & /*error*/)
{
    // Reserves nothing for a length that the sender has only announced.
    announcedBytes_ = length.value_or(0);
}

template <bool IsRequest>
std::size_t MessageParser<IsRequest>::on_body_impl(string_view body, error_code &error)
{
    std::string &all = message_.body_;
    const std::size_t size = all.size() + body.size();
    if (size > limits_.maxBodyBytes_) {
        error = http::error::body_limit;
        return 0;
    }
    if (size > all.capacity()) {
        // A string that grows doubles its capacity, even beyond the limit, so a new one with the exact capacity is
        // made.
        const std::size_t longest = announcedBytes_ > 0 ? announcedBytes_ : limits_.maxBodyBytes_;
        std::string grown;
        grown.reserve(std::max(size, std::min(2 * all.capacity(), longest)));
        grown += all;
        all = std::move(grown);
    }
    all.append(body.data(), body.size());
    return body.size();
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                                                    error_code & /*error*/)
{
}

template <bool IsRequest>
std::size_t MessageParser<IsRequest>::on_chunk_body_impl(std::uint64_t /*remaining*/, string_view body,
                                                         error_code &error)
{
    return on_body_impl(body, error);
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_finish_impl(error_code & /*error*/)
{
}

template <bool IsRequest>
MessageReader<IsRequest>::MessageReader(const HttpMessageLimits &limits)
    : limits_(limits)
    , parser_(limits)
{
}

template <bool IsRequest>
std::size_t MessageReader<IsRequest>::feed(std::string_view bytes)
{
    const std::size_t earlier = pending_.size();
    std::string_view data = bytes;
    if (earlier > 0) {
        pending_.append(bytes);
        data = pending_;
    }
    const std::size_t size = data.size();
    // After the header, only a chunk line or a trailer is pending. The parser has an assertion that fails, and ends the
    // process, when it is called again with less than the shortest end of the body after it has seen the last chunk
    // line.
    if (earlier == 0 || !isHeaderDone() || size >= MinChunkEndBytes) {
        parse(data);
    }
    const std::size_t consumed = size - data.size();
    if (refusal_ != HttpRefusal::Count) {
        std::string().swap(pending_); // an assignment of {} would keep the capacity
        return bytes.size();
    }
    if (isDone()) {
        // The pending bytes alone were not a whole message, so it ends within `bytes`.
        std::string().swap(pending_);
        return consumed - earlier;
    }
    if (data.empty()) {
        std::string().swap(pending_); // frees the buffer of a long header while the body arrives
    } else if (earlier > 0) {
        pending_.erase(0, consumed);
        pending_.shrink_to_fit();
    } else {
        pending_.assign(data);
    }
    checkPending();
    return bytes.size();
}

// Passes data to the parser step by step: the header, one chunk line, or one piece of the body.
template <bool IsRequest>
void MessageReader<IsRequest>::parse(std::string_view &data)
{
    while (!data.empty() && !isDone() && refusal_ == HttpRefusal::Count) {
        const bool wasInHeader = !isHeaderDone();
        const std::size_t bodyBefore = parser_.message_.body_.size();
        boost::system::error_code error;
        const std::size_t consumed = parser_.put(boost::asio::buffer(data), error);
        data.remove_prefix(consumed);
        const std::size_t bodyBytes = parser_.message_.body_.size() - bodyBefore;
        if (parser_.refusal_ != HttpRefusal::Count) {
            refusal_ = parser_.refusal_;
        } else if (error == http::error::body_limit) {
            refusal_ = HttpRefusal::BodyBytes;
        } else if (error && error != http::error::need_more) {
            refusal_ = HttpRefusal::Malformed;
        } else {
            checkStep(wasInHeader, consumed - bodyBytes);
        }
        if (error || consumed == 0) {
            return;
        }
    }
}

// Checks what one step of the parser has consumed besides the body.
template <bool IsRequest>
void MessageReader<IsRequest>::checkStep(bool wasInHeader, std::size_t overhead)
{
    if (wasInHeader) {
        headerBytes_ += overhead;
        if (headerBytes_ > limits_.maxHeaderBytes_) {
            refusal_ = HttpRefusal::HeaderBytes;
        }
        return;
    }
    overheadBytes_ += overhead;
    // A chunk line is consumed together with the line end of the chunk before it.
    const std::size_t maxLine = limits_.maxChunkLineBytes_ + 2 * LineEnd.size();
    if (overhead > maxLine && !isDone()) {
        refusal_ = HttpRefusal::ChunkLine;
    } else if (overhead > maxLine + limits_.maxTrailerBytes_) {
        refusal_ = HttpRefusal::TrailerBytes;
    } else if (overheadBytes_ > limits_.maxChunkOverheadBytes_) {
        refusal_ = HttpRefusal::ChunkOverhead;
    }
}

// Checks the bytes of a start line, header, chunk line or trailer without an end.
template <bool IsRequest>
void MessageReader<IsRequest>::checkPending()
{
    const std::string_view pending = pending_;
    if (!isHeaderDone()) {
        if (headerBytes_ == 0 && pending.substr(0, pending.find(LineEnd)).size() > limits_.maxStartLineBytes_) {
            refusal_ = HttpRefusal::StartLine;
        } else if (headerBytes_ + pending.size() > limits_.maxHeaderBytes_) {
            refusal_ = HttpRefusal::HeaderBytes;
        }
        return;
    }
    if (pending.size() <= std::min(limits_.maxChunkLineBytes_, limits_.maxTrailerBytes_)) {
        return;
    }
    const std::size_t lineStart = pending.starts_with(LineEnd) ? LineEnd.size() : 0;
    const std::size_t lineEnd = std::min(pending.find(LineEnd, lineStart), pending.size());
    if (lineEnd - lineStart > limits_.maxChunkLineBytes_) {
        refusal_ = HttpRefusal::ChunkLine;
    } else if (pending.size() - lineEnd > limits_.maxTrailerBytes_ + 2 * LineEnd.size()) {
        refusal_ = HttpRefusal::TrailerBytes;
    }
}

template <bool IsRequest>
bool MessageReader<IsRequest>::finishAtEnd()
{
    if (!parser_.got_some() || isDone()) {
        return false;
    }
    boost::system::error_code error;
    parser_.put_eof(error);
    return !error && isDone();
}

template class MessageReader<true>;
template class MessageReader<false>;

} // namespace detail
} // namespace mimosapier
