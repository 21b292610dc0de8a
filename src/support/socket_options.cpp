#include "support/socket_options.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace baobabport::support {

namespace {

constexpr int listen_backlog = 1024;
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

void set_option(int socket, int level, int option, int value)
{
    // Errors are ignored: without an option the connection works, but its loss is detected later.
    setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

sockaddr_in to_sockaddr(const address &at)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

address from_sockaddr(const sockaddr_in &at)
{
    std::string ip(INET_ADDRSTRLEN, '\0');
    inet_ntop(AF_INET, &at.sin_addr, ip.data(), static_cast<socklen_t>(ip.size()));
    return {ip.c_str(), ntohs(at.sin_port)};
}

listener::listener(event_base *base, const address &at, accept_hook accepted) : accepted_(std::move(accepted))
{
    const auto bind_address = to_sockaddr(at);
    listener_ = evconnlistener_new_bind(base, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                        listen_backlog, reinterpret_cast<const sockaddr *>(&bind_address),
                                        sizeof(bind_address));
    if (!listener_)
        throw std::runtime_error("cannot listen on " + at.text());
    const auto on_resume = [](int, short, void *self) {
        auto &me = *static_cast<listener *>(self);
        me.accepts_ = 0;
        evconnlistener_enable(me.listener_);
    };
    resume_ = evtimer_new(base, on_resume, this);
    const auto on_error = [](evconnlistener * /*listener*/, void *self) {
        static_cast<listener *>(self)->pause(accept_pause);
    };
    evconnlistener_set_error_cb(listener_, on_error);
}

void listener::on_accept(evconnlistener * /*from*/, int socket, sockaddr * /*peer*/, int /*length*/,
                         void *self)
{
    auto &me = *static_cast<listener *>(self);
    if (++me.accepts_ >= max_accepts)
        me.pause(std::chrono::milliseconds(0));
    me.accepted_(socket); // may destroy the listener
}

void listener::pause(std::chrono::milliseconds time)
{
    evconnlistener_disable(listener_);
    const timeval delay{0, std::chrono::microseconds(time).count()};
    evtimer_add(resume_, &delay);
}

listener::~listener()
{
    event_free(resume_);
    evconnlistener_free(listener_);
}

void tune_socket(int socket)
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged_timeout.count()));
}

void discard_on_close(int socket)
{
    const linger zero_linger{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof(zero_linger));
}

} // namespace baobabport::support
