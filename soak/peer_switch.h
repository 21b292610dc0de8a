// The links between the processes, which the soak can cut for one of them.

#pragma once

#include "relay.h"
#include "support/address.h"

#include <map>
#include <memory>
#include <string>

struct event;
struct event_base;

namespace soak {

/**
 * Gives each process an address at which the others reach it, for datagrams and connections. A datagram
 * comes from the address of its sender's name, so that the processes know each other by these only.
 */
class peer_switch
{
public:
    explicit peer_switch(event_base *base);
    ~peer_switch();
    peer_switch(const peer_switch &) = delete;
    peer_switch &operator=(const peer_switch &) = delete;

    /// Adds a process that listens at an address, or throws `std::runtime_error`. Returns its public one.
    const baobabport::support::address &add(const std::string &process,
                                            const baobabport::support::address &listening_address);

    /// Loses what others send to the process and its datagrams; connections that it opened itself go on.
    void cut(const std::string &process);
    void heal(const std::string &process);

private:
    struct port;

    static void on_readable(int socket, short what, void *arg);
    void forward_datagram(port &to);

    event_base *base_;
    std::map<std::string, std::unique_ptr<port>> ports_;       ///< by process
    std::map<std::string, port *> ports_by_listening_address_; ///< who sent a datagram
};

} // namespace soak
