#include "support/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace baobabport::support {

namespace {

constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

void set(int socket, int level, int option, int value)
{
    // Best effort: without an option the connection works, only its loss is noticed later.
    setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

void tune_socket(int socket)
{
    set(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(peer_silence.count()));
}

void discard_on_close(int socket)
{
    const linger at_once{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

} // namespace baobabport::support
