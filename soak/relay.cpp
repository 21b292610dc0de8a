#include "relay.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <utility>

namespace soak {

using namespace baobabport;

/// One end of a pair; the argument of libevent's callbacks.
struct relay::side
{
    relay *owner = nullptr;
    pair *connections = nullptr;
    bool is_caller = false;
    bufferevent *socket = nullptr;
};

struct relay::pair
{
    side caller;
    side target;
    std::list<std::unique_ptr<inner::timer>> delayed;

    pair() = default;
    ~pair()
    {
        for (auto *const it : {caller.socket, target.socket}) {
            if (!it)
                continue;
            support::discard_on_close(bufferevent_getfd(it));
            bufferevent_free(it);
        }
    }
    pair(const pair &) = delete;
    pair &operator=(const pair &) = delete;
};

relay::relay(event_base *base, const support::address &at, support::address to)
    : base_(base), at_(at), to_(std::move(to)), listener_(base, at, [this](int socket) { accept(socket); })
{
}

relay::~relay() = default;

void relay::reset()
{
    pairs_.clear();
}

void relay::accept(int socket)
{
    if (faults.refuses) {
        support::discard_on_close(socket);
        evutil_closesocket(socket);
        return;
    }
    auto it = std::make_unique<pair>();
    it->caller = {this, it.get(), true, bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE)};
    it->target = {this, it.get(), false, bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE)};
    for (auto *const end : {&it->caller, &it->target}) {
        bufferevent_setcb(
            end->socket,
            [](bufferevent * /*from*/, void *arg) {
                auto &self = *static_cast<side *>(arg);
                self.owner->forward_bytes(*self.connections, self.is_caller);
            },
            nullptr,
            [](bufferevent * /*from*/, short what, void *arg) {
                auto &self = *static_cast<side *>(arg);
                if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                    self.owner->end(*self.connections);
            },
            end);
        bufferevent_enable(end->socket, EV_READ | EV_WRITE);
    }
    const auto target = support::to_sockaddr(to_);
    auto *const socket_to_target = it->target.socket;
    pairs_.push_back(std::move(it));
    bufferevent_socket_connect(socket_to_target, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
}

void relay::forward_bytes(pair &it, bool to_target)
{
    auto *const from = to_target ? it.caller.socket : it.target.socket;
    auto *const to = to_target ? it.target.socket : it.caller.socket;
    std::string bytes(evbuffer_get_length(bufferevent_get_input(from)), '\0');
    evbuffer_remove(bufferevent_get_input(from), bytes.data(), bytes.size());
    if (to_target ? faults.drops_to_target : faults.drops_to_caller)
        return;
    if (to_target && rewrite)
        rewrite(bytes);
    if (observe)
        observe(bytes);
    if (faults.delay.count() == 0 && it.delayed.empty()) {
        bufferevent_write(to, bytes.data(), bytes.size());
        return;
    }
    // Bytes never overtake delayed ones: libevent runs timers of equal time in the order of their start.
    const auto slot = it.delayed.emplace(it.delayed.end());
    *slot = std::make_unique<inner::timer>(base_, [&it, slot, to, bytes = std::move(bytes)] {
        bufferevent_write(to, bytes.data(), bytes.size());
        it.delayed.erase(slot);
    });
    constexpr std::chrono::milliseconds max_delay{400}; // greater than any delay that the soak sets
    (*slot)->start(faults.delay.count() > 0 ? faults.delay : max_delay);
}

void relay::end(pair &it)
{
    pairs_.remove_if([&it](const auto &other) { return other.get() == &it; });
}

} // namespace soak
