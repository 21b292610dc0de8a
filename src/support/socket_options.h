// Sockets: conversion of addresses, listeners and the options that every connection gets.

#pragma once

#include "support/address.h"

#include <chrono>
#include <functional>
#include <memory>
#include <netinet/in.h>

struct event_base;
struct evconnlistener;

namespace baobabport::support {

/// A connection whose sent bytes stay unacknowledged this long is closed; below the instances' limit of 3 s.
inline constexpr std::chrono::milliseconds unacknowledged_timeout{1500};

[[nodiscard]] sockaddr_in to_sockaddr(const address &at);
[[nodiscard]] address from_sockaddr(const sockaddr_in &at);

/**
 * Accepts connections on an address and passes each socket to the hook.
 */
class listener
{
public:
    using accept_hook = std::function<void(int socket)>;

    /// Starts to listen; on failure throws `std::runtime_error` with the address.
    listener(event_base *base, const address &at, accept_hook accepted);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

private:
    accept_hook accepted_;
    evconnlistener *listener_ = nullptr;
};

/**
 * Disables Nagle's algorithm and makes the connection fail when its peer stops responding on the network.
 */
void tune_socket(int socket);

/**
 * Makes closing the socket discard the bytes that its peer has not received yet.
 */
void discard_on_close(int socket);

} // namespace baobabport::support
