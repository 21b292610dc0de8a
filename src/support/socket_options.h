// Sockets: addresses, listeners and the options that every connection gets.

#pragma once

#include "support/address.h"

#include <chrono>
#include <functional>
#include <memory>
#include <netinet/in.h>

struct event_base;
struct evconnlistener;

namespace baobabport::support {

/// Unacknowledged bytes end a connection after this time; below the instances' own limit of 3 s.
inline constexpr std::chrono::milliseconds unacknowledged_timeout{1500};

[[nodiscard]] sockaddr_in to_sockaddr(const address &at);
[[nodiscard]] address from_sockaddr(const sockaddr_in &at);

/**
 * Hands on each connection that comes to an address.
 */
class listener
{
public:
    using accept_hook = std::function<void(int socket)>;

    /// Listens, or throws `std::runtime_error` with the address.
    listener(event_base *base, const address &at, accept_hook accepted);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

private:
    accept_hook accepted_;
    evconnlistener *listener_ = nullptr;
};

/**
 * Sends small messages at once, and ends the connection when its peer stays silent on the network.
 */
void tune_socket(int socket);

/**
 * Makes the socket's close discard what its peer has not received yet.
 */
void discard_on_close(int socket);

} // namespace baobabport::support
