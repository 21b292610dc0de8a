// The links between the processes; the soak can disconnect a single process.

#pragma once

#include "relay.h"
#include "support/address.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct event;
struct event_base;

namespace soak {

/**
 * Gives each process a public address for datagrams and connections, and forwards what arrives there. A
 * forwarded datagram has its sender's public address as source, so the processes use only public addresses.
 */
class peer_switch
{
public:
    explicit peer_switch(event_base *base);
    ~peer_switch();
    peer_switch(const peer_switch &) = delete;
    peer_switch &operator=(const peer_switch &) = delete;

    /// Adds a process that listens on the address and returns its public address; throws
    /// `std::runtime_error`.
    const baobabport::support::address &add(const std::string &process,
                                            const baobabport::support::address &listening_address);

    /// Drops all datagrams from and to the process and the bytes on connections that others opened to it;
    /// connections that it opened itself are unaffected.
    void disconnect(const std::string &process);
    void reconnect(const std::string &process);

    /// Called with each datagram and each chunk of a connection.
    std::function<void(const std::string &)> observe = [](const auto &) {};

private:
    struct port;

    static void on_readable(int socket, short what, void *arg);
    void forward_datagram(port &to);

    event_base *base_;
    std::map<std::string, std::unique_ptr<port>> ports_;       ///< by process
    std::map<std::string, port *> ports_by_listening_address_; ///< for finding the sender of a datagram
};

} // namespace soak
