// Limits on one HTTP message while it is read, and the kinds of refusals. Does not depend on Boost. The defaults of a
// request are above what the platform's clients may send: a header of 16,384 bytes and a body of 262,144 bytes.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mimosapier
{

struct HttpMessageLimits
{
    std::size_t maxStartLineBytes_ = 16 * 1024;
    std::size_t maxHeaderBytes_ = 32 * 1024; // start line and fields
    std::size_t maxFields_ = 4096; // of header and trailer; a header of 16,384 bytes cannot have more
    std::size_t maxTrailerBytes_ = 16 * 1024;
    std::size_t maxChunkLineBytes_ = 4 * 1024; // size and extensions of one chunk
    // Chunk lines and trailer of one body. A body of 262,144 bytes in chunks of one byte has 1,310,720.
    std::size_t maxChunkOverheadBytes_ = 2 * 1024 * 1024;
    std::size_t maxBodyBytes_ = 1024 * 1024;
};

// Why a message was refused or its connection was closed. The names are metric labels, see httpRefusalName().
enum class HttpRefusal : std::uint8_t {
    Malformed,
    StartLine,
    HeaderBytes,
    Fields,
    TrailerBytes,
    ChunkLine,
    ChunkOverhead,
    BodyBytes,
    HeaderTimeout,
    BodyTimeout, // slower than the minimum rate
    WriteTimeout, // the client does not read its response
    Budget, // all connections together hold too many bytes
    Connections, // too many connections
    Count, // number of kinds; as a result it means "not refused"
};

constexpr std::size_t HttpRefusalCount = static_cast<std::size_t>(HttpRefusal::Count);

// Name for metrics and log lines. `refusal` must not be Count.
std::string_view httpRefusalName(HttpRefusal refusal);

// Refusals since the start of the process. May be used from any thread.
class HttpRefusalCounters
{
public:
    void add(HttpRefusal refusal) { ++counts_.at(static_cast<std::size_t>(refusal)); }
    [[nodiscard]] std::uint64_t count(HttpRefusal refusal) const
    {
        return counts_.at(static_cast<std::size_t>(refusal));
    }

private:
    std::array<std::atomic<std::uint64_t>, HttpRefusalCount> counts_{};
};

} // namespace mimosapier
