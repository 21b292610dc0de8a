// Sockets of the crowds' members.

#include "crowd.h"

#include "support/socket_options.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace testing {

using namespace baobabport;

crowd_member::crowd_member(event_base *base, const support::address &to)
    : socket_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE))
{
    bufferevent_setcb(
        socket_,
        [](bufferevent *from, void *arg) {
            auto &me = *static_cast<crowd_member *>(arg);
            std::string bytes(evbuffer_get_length(bufferevent_get_input(from)), '\0');
            evbuffer_remove(bufferevent_get_input(from), bytes.data(), bytes.size());
            me.received += bytes;
        },
        nullptr,
        [](bufferevent *from, short what, void *arg) {
            if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
                return;
            static_cast<crowd_member *>(arg)->closed = true;
            bufferevent_disable(from, EV_READ | EV_WRITE);
        },
        this);
    bufferevent_enable(socket_, EV_WRITE);
    bufferevent_disable(socket_, EV_READ);
    const auto at = support::to_sockaddr(to);
    bufferevent_socket_connect(socket_, reinterpret_cast<const sockaddr *>(&at), sizeof(at));
}

crowd_member::~crowd_member()
{
    bufferevent_free(socket_);
}

void crowd_member::send(const std::string &bytes)
{
    bufferevent_write(socket_, bytes.data(), bytes.size());
}

void crowd_member::half_close()
{
    ::shutdown(bufferevent_getfd(socket_), SHUT_WR);
}

void crowd_member::read_all()
{
    bufferevent_enable(socket_, EV_READ);
}

void crowd_member::read_some(std::size_t bytes)
{
    std::string buf(bytes, '\0');
    const auto n = ::recv(bufferevent_getfd(socket_), buf.data(), buf.size(), MSG_DONTWAIT);
    closed = closed || n == 0;
}

std::size_t crowd_member::prompts()
{
    const std::string prompt = "READY ";
    for (auto at = received.find(prompt, counted_); at != std::string::npos;
         at = received.find(prompt, counted_)) {
        ++prompts_;
        counted_ = at + prompt.size();
    }
    return prompts_;
}

std::size_t crowd_member::unsent() const
{
    return closed ? 0 : evbuffer_get_length(bufferevent_get_output(socket_));
}

crowd::crowd(event_base *base, const support::address &to, std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
        members.push_back(std::make_unique<crowd_member>(base, to));
}

void crowd::send(const std::function<std::string(std::size_t)> &bytes)
{
    for (std::size_t n = 0; n < members.size(); ++n)
        members[n]->send(bytes(n));
}

void crowd::send(const std::string &bytes)
{
    for (const auto &it : members)
        it->send(bytes);
}

void crowd::send_in_pieces(const std::string &bytes, std::size_t piece)
{
    for (std::size_t at = 0; at < bytes.size(); at += piece)
        send(bytes.substr(at, piece));
}

bool crowd::has_sent_all() const
{
    return std::all_of(members.begin(), members.end(), [](const auto &it) { return it->unsent() == 0; });
}

} // namespace testing
