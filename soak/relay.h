// A TCP relay on loopback that injects faults into its connections.

#pragma once

#include "inner/timer.h"
#include "support/address.h"
#include "support/socket_options.h"

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

struct event_base;
struct bufferevent;

namespace soak {

/// Faults of a relay; they apply to existing and new connections.
struct relay_faults
{
    bool refuses = false;               ///< new connections are reset at once
    bool drops_to_target = false;       ///< bytes of the caller are dropped
    bool drops_to_caller = false;       ///< bytes of the target are dropped
    std::chrono::milliseconds delay{0}; ///< applied to each chunk of bytes
};

/**
 * Listens on one address and forwards each connection to another.
 */
class relay
{
public:
    relay(event_base *base, const baobabport::support::address &at, baobabport::support::address to);
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    [[nodiscard]] const baobabport::support::address &at() const { return at_; }

    /// Resets all connections.
    void reset();

    /// Called with each chunk of the caller's bytes before it is forwarded and may change it; empty by
    /// default.
    std::function<void(std::string &)> rewrite;

    /// Called with each chunk of bytes that is forwarded in either direction; empty by default.
    std::function<void(const std::string &)> observe;

    relay_faults faults;

private:
    struct pair;
    struct side;

    void accept(int socket);
    void forward_bytes(pair &it, bool to_target);
    void end(pair &it);

    event_base *base_;
    baobabport::support::address at_;
    baobabport::support::address to_;
    std::list<std::unique_ptr<pair>> pairs_;
    baobabport::support::listener listener_;
};

} // namespace soak
