// Requests primary leases from the leader, and answers such requests while this process is the leader.

#pragma once

#include "inner/lease_messages.h"
#include "support/address.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

struct event_base;
struct event;
struct sockaddr_in;

namespace baobabport::proxy {

using time_point = std::chrono::steady_clock::time_point;

/// A leader and the address at which requests reach it, directly or through a relay.
struct leader_endpoint
{
    std::string vm;
    std::string data_centre;
    support::address at;
    std::uint64_t generation = 0;
};

/**
 * Owns the datagram socket for the requests and answers between the processes. A request or an answer that
 * is lost is not repeated: the next interval sends a new request.
 */
class lease_task
{
public:
    /// Interval of lease requests; short enough that a lost datagram does not end a lease.
    static constexpr std::chrono::milliseconds renew_interval{200};

    /// Interval of lease requests while statements of a group wait for its primary.
    static constexpr std::chrono::milliseconds urgent_interval{60};

    struct hooks
    {
        /// Returns the process to send a request to: the leader or a relay. None if the leader is not known
        /// or is this process. Called once for each request.
        std::function<std::optional<leader_endpoint>()> receiver;
        /// Returns the answer to a request, or none if this process is neither the leader of its generation
        /// nor a relay.
        std::function<std::optional<inner::lease_answer>(const inner::lease_request &,
                                                         const support::address &from)>
            answer_request;
        /// Fills the fields of a request that concern this process.
        std::function<void(inner::lease_request &)> fill_request;
        /// Receives each answer, with the time at which its request was sent.
        std::function<void(const inner::lease_answer &, time_point requested_at)> answer_received;
    };

    /// Binds the socket, or throws `std::runtime_error` that names the address.
    lease_task(event_base *base, const support::address &at, hooks callbacks);
    ~lease_task();
    lease_task(const lease_task &) = delete;
    lease_task &operator=(const lease_task &) = delete;

    /// Sends a request if one is due. `urgent`: statements wait for a group's primary or its log position,
    /// which the answer may contain.
    void tick(time_point now, bool urgent);

    /// Returns the number of datagrams received that could not be decoded.
    [[nodiscard]] std::uint64_t unreadable() const { return unreadable_; }

private:
    struct sent_request
    {
        std::uint64_t number = 0;
        time_point at;
    };
    /// Requests whose answers are accepted; answers to older ones arrive too late to be of use.
    static constexpr std::size_t tracked_requests = 8;

    static void on_readable(int socket, short what, void *self);
    void receive();
    void handle_datagram(std::string_view bytes, const sockaddr_in &from);
    void handle_answer(const inner::lease_answer &answer);

    hooks hooks_;
    int socket_ = -1;
    event *readable_ = nullptr;
    time_point requested_at_;
    std::uint64_t last_number_ = 0;
    std::uint64_t unreadable_ = 0;
    std::array<sent_request, tracked_requests> sent_;
    std::string buffer_; ///< for the datagram being read
};

} // namespace baobabport::proxy
