#include "support/stalled_listener.h"

#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

namespace testing {

namespace {

constexpr int receive_buffer = 4096; // bytes; the kernel doubles this value

} // namespace

stalled_listener::stalled_listener()
{
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener_, reinterpret_cast<sockaddr *>(&it), sizeof(it)) == 0);
    REQUIRE(::listen(listener_, 4) == 0);
    socklen_t length = sizeof(it);
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&it), &length);
    at_ = {"127.0.0.1", ntohs(it.sin_port)};
    evutil_make_socket_nonblocking(listener_);
}

stalled_listener::~stalled_listener()
{
    ::close(listener_);
    if (socket_ >= 0)
        ::close(socket_);
}

bool stalled_listener::accepted()
{
    if (socket_ < 0)
        socket_ = ::accept(listener_, nullptr, nullptr);
    return socket_ >= 0;
}

void stalled_listener::write(const std::string &text) const
{
    REQUIRE(::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
}

bool stalled_listener::has_unread() const
{
    char first = 0;
    return ::recv(socket_, &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

connection_end stalled_listener::read()
{
    std::array<char, 4096> buf{};
    while (end_ == connection_end::still_open) {
        const auto n = ::recv(socket_, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0)
            text_.append(buf.data(), static_cast<std::size_t>(n));
        else if (n == 0)
            end_ = connection_end::closed;
        else if (errno == ECONNRESET)
            end_ = connection_end::reset;
        else
            break;
    }
    return end_;
}

} // namespace testing
