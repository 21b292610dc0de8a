// Sockets: conversion of addresses, listeners and the options that every connection gets.

#pragma once

#include "support/address.h"

#include <chrono>
#include <functional>
#include <memory>
#include <netinet/in.h>

struct event_base;
struct evconnlistener;
struct event;

namespace baobabport::support {

/// A connection whose sent bytes stay unacknowledged this long is closed; below the instances' limit of 3 s.
inline constexpr std::chrono::milliseconds unacknowledged_timeout{1500};

[[nodiscard]] sockaddr_in to_sockaddr(const address &at);
[[nodiscard]] address from_sockaddr(const sockaddr_in &at);

/**
 * Accepts connections on an address and passes each socket to the hook.
 *
 * When the process has no descriptor left, it pauses for `accept_pause`: waiting connections would otherwise
 * keep the loop busy.
 */
class listener
{
public:
    using accept_hook = std::function<void(int socket)>;
    static constexpr std::chrono::milliseconds accept_pause{50};
    /// Connections accepted in one turn of the loop. Sockets that are closed to make room for others are free
    /// only after the turn.
    static constexpr int max_accepts = 32;

    /// Starts to listen; on failure throws `std::runtime_error` with the address.
    listener(event_base *base, const address &at, accept_hook accepted);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

private:
    accept_hook accepted_;
    evconnlistener *listener_ = nullptr;
    event *resume_ = nullptr;
    int accepts_ = 0; ///< in this turn

    static void on_accept(evconnlistener *from, int socket, struct sockaddr *peer, int length, void *self);
    void pause(std::chrono::milliseconds time);
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
