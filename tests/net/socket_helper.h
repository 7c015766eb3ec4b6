// Plain TCP sockets for tests that send malformed data, or neither read nor write.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace mimosapier::testing
{

// Owns a descriptor. Errors of the calls are ignored: a test sees them as missing data.
class RawSocket
{
public:
    explicit RawSocket(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    RawSocket(RawSocket &&other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    RawSocket &operator=(RawSocket &&other) noexcept
    {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    ~RawSocket()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }

    static RawSocket connectTo(std::uint16_t port)
    {
        RawSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in address = loopback(port);
        ::connect(socket.descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        return socket;
    }

    static RawSocket listenOnLoopback()
    {
        RawSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in address = loopback(0);
        ::bind(socket.descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        ::listen(socket.descriptor_, 16);
        return socket;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        ::getsockname(descriptor_, reinterpret_cast<sockaddr *>(&address), &length);
        return ntohs(address.sin_port);
    }

    [[nodiscard]] RawSocket accept() const { return RawSocket(::accept(descriptor_, nullptr, nullptr)); }

    void send(std::string_view bytes) const { ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    [[nodiscard]] bool isOpen() const { return descriptor_ >= 0; }
    void setNonBlocking() const { ::fcntl(descriptor_, F_SETFL, O_NONBLOCK); }

    // Returns the first data that arrives within the time; empty on a close or when nothing arrives.
    [[nodiscard]] std::string receive(int timeoutMs) const
    {
        pollfd wait{descriptor_, POLLIN, 0};
        if (::poll(&wait, 1, timeoutMs) <= 0) {
            return {};
        }
        std::string bytes(65536, '\0');
        const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }

    // True when the other side closes; false when nothing arrives for the time. Discards data.
    [[nodiscard]] bool closesWithin(int timeoutMs) const
    {
        pollfd wait{descriptor_, POLLIN, 0};
        while (::poll(&wait, 1, timeoutMs) > 0) {
            char bytes[4096];
            if (::recv(descriptor_, bytes, sizeof bytes, 0) <= 0) {
                return true;
            }
        }
        return false;
    }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int descriptor_;
};

} // namespace mimosapier::testing
