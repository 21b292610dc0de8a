#include "peer_switch.h"

#include "support/free_address.h"

#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>

namespace soak {

using namespace baobabport;

namespace {

constexpr std::size_t max_datagram = 65536; ///< bytes; no UDP datagram is longer

} // namespace

struct peer_switch::port
{
    peer_switch *owner = nullptr;
    support::address listening_address;
    support::address public_address;
    std::unique_ptr<relay> connections;
    int socket = -1;
    event *readable = nullptr;
    bool disconnected = false;

    port() = default;
    ~port()
    {
        if (readable)
            event_free(readable);
        if (socket >= 0)
            evutil_closesocket(socket);
    }
    port(const port &) = delete;
    port &operator=(const port &) = delete;
};

peer_switch::peer_switch(event_base *base) : base_(base) {}

peer_switch::~peer_switch() = default;

const support::address &peer_switch::add(const std::string &process,
                                         const support::address &listening_address)
{
    auto &it = ports_[process] = std::make_unique<port>();
    it->owner = this;
    it->listening_address = listening_address;
    it->public_address = testing::free_address();
    it->connections = std::make_unique<relay>(base_, it->public_address, listening_address);
    it->connections->observe = [this](const auto &bytes) { observe(bytes); };
    it->socket = socket(AF_INET, SOCK_DGRAM, 0);
    const auto address = support::to_sockaddr(it->public_address);
    if (it->socket < 0 || evutil_make_socket_nonblocking(it->socket) != 0 ||
        bind(it->socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        throw std::runtime_error("cannot bind a datagram socket to " + it->public_address.text());
    it->readable = event_new(base_, it->socket, EV_READ | EV_PERSIST, on_readable, it.get());
    event_add(it->readable, nullptr);
    ports_by_listening_address_[listening_address.text()] = it.get();
    return it->public_address;
}

void peer_switch::on_readable(int /*socket*/, short /*what*/, void *arg)
{
    auto &it = *static_cast<port *>(arg);
    it.owner->forward_datagram(it);
}

void peer_switch::forward_datagram(port &to)
{
    std::string buf(max_datagram, '\0');
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const auto n =
        recvfrom(to.socket, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr *>(&from), &length);
    const auto sender = ports_by_listening_address_.find(support::from_sockaddr(from).text());
    if (n < 0 || sender == ports_by_listening_address_.end() || to.disconnected ||
        sender->second->disconnected)
        return;
    observe(buf.substr(0, static_cast<std::size_t>(n)));
    const auto target = support::to_sockaddr(to.listening_address);
    sendto(sender->second->socket, buf.data(), static_cast<std::size_t>(n), 0,
           reinterpret_cast<const sockaddr *>(&target), sizeof(target));
}

void peer_switch::disconnect(const std::string &process)
{
    auto &it = *ports_.at(process);
    it.disconnected = true;
    it.connections->faults.drops_to_target = true;
    it.connections->faults.drops_to_caller = true;
}

void peer_switch::reconnect(const std::string &process)
{
    auto &it = *ports_.at(process);
    it.disconnected = false;
    it.connections->faults = {};
    it.connections->reset();
}

} // namespace soak
