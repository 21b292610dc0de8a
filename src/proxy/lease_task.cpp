#include "proxy/lease_task.h"

#include "support/boot_clock.h"
#include "support/socket_options.h"

#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace baobabport::proxy {

namespace {

/// Bytes: as much as a datagram can contain. A group takes about 60 of them, a part of the member list 2000.
constexpr std::size_t max_datagram = 65507;
/// Datagrams that are read before other events are handled.
constexpr int max_datagrams_at_once = 32;

} // namespace

lease_task::lease_task(event_base *base, const support::address &at, hooks callbacks)
    : hooks_(std::move(callbacks)), buffer_(max_datagram, '\0')
{
    socket_ = socket(AF_INET, SOCK_DGRAM, 0);
    const auto address = support::to_sockaddr(at);
    if (socket_ < 0 || evutil_make_socket_nonblocking(socket_) != 0 ||
        bind(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        throw std::runtime_error("cannot bind the datagram socket to " + at.text());
    readable_ = event_new(base, socket_, EV_READ | EV_PERSIST, on_readable, this);
    event_add(readable_, nullptr);
}

lease_task::~lease_task()
{
    event_free(readable_);
    evutil_closesocket(socket_);
}

void lease_task::tick(time_point now, bool urgent)
{
    if (now - requested_at_ < (urgent ? urgent_interval : renew_interval))
        return;
    const auto receiver = hooks_.receiver();
    if (!receiver)
        return;
    requested_at_ = now;
    const auto number = ++last_number_;
    sent_[number % tracked_requests] = {number, now};
    inner::lease_request request;
    request.generation = receiver->generation;
    request.number = number;
    hooks_.fill_request(request);
    const auto bytes = inner::encode(request);
    const auto to = support::to_sockaddr(receiver->at);
    // A datagram that cannot be sent is treated as lost: the next request follows soon.
    sendto(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
}

void lease_task::on_readable(int /*socket*/, short /*what*/, void *self)
{
    static_cast<lease_task *>(self)->receive();
}

void lease_task::receive()
{
    for (int n = 0; n < max_datagrams_at_once; ++n) {
        sockaddr_in from{};
        socklen_t length = sizeof(from);
        const auto size = recvfrom(socket_, buffer_.data(), buffer_.size(), 0,
                                   reinterpret_cast<sockaddr *>(&from), &length);
        if (size <= 0)
            return;
        handle_datagram({buffer_.data(), static_cast<std::size_t>(size)}, from);
    }
}

void lease_task::handle_datagram(std::string_view bytes, const sockaddr_in &from)
{
    if (const auto request = inner::decode_lease_request(bytes)) {
        const auto answer = hooks_.answer_request(*request, support::from_sockaddr(from));
        if (!answer)
            return;
        const auto out = inner::encode(*answer);
        sendto(socket_, out.data(), out.size(), 0, reinterpret_cast<const sockaddr *>(&from), sizeof(from));
    } else if (const auto answer = inner::decode_lease_answer(bytes)) {
        handle_answer(*answer);
    } else {
        ++unreadable_;
    }
}

void lease_task::handle_answer(const inner::lease_answer &answer)
{
    const auto &request = sent_[answer.number % tracked_requests];
    if (request.number != answer.number || answer.number == 0)
        return;
    hooks_.answer_received(answer, request.at);
}

} // namespace baobabport::proxy
