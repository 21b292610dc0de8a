// Asks the duty's holder for leases on primaries, and answers when this process is the holder.

#pragma once

#include "inner/lease_messages.h"
#include "support/address.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

struct event_base;
struct event;

namespace baobabport::proxy {

using time_point = std::chrono::steady_clock::time_point;

/// Where the duty's holder takes requests.
struct leader_endpoint
{
    std::string vm;
    std::string data_centre;
    support::address at;
    std::uint64_t generation = 0;
};

/**
 * Owns the datagram socket between the processes.
 */
class lease_task
{
public:
    /// Leases are renewed this often: a lost datagram does not end them.
    static constexpr std::chrono::milliseconds renew_interval{200};

    /// While a group waits for its primary, the holder is asked this often.
    static constexpr std::chrono::milliseconds urgent_interval{60};

    struct hooks
    {
        /// Returns the holder to ask, or none: it is not known or is this process.
        std::function<std::optional<leader_endpoint>()> leader;
        /// Returns the answer to a request, or none if this process is not the holder meant.
        std::function<std::optional<inner::lease_answer>(const inner::lease_request &,
                                                         const support::address &from)>
            answer_request;
        /// Fills what a request says of this process.
        std::function<void(inner::lease_request &)> fill_request;
        std::function<void(const inner::lease_answer &, time_point requested_at)> answer_received;
    };

    /// Binds the socket, or throws `std::runtime_error` with the address.
    lease_task(event_base *base, const support::address &at, hooks to);
    ~lease_task();
    lease_task(const lease_task &) = delete;
    lease_task &operator=(const lease_task &) = delete;

    /// `urgent`: a group waits for what the answer may tell.
    void tick(time_point now, bool urgent);

    [[nodiscard]] std::uint64_t unreadable() const { return unreadable_; }

private:
    struct sent_request
    {
        std::uint64_t number = 0;
        time_point at;
    };
    /// Answers to older requests than these are too late to be of use.
    static constexpr std::size_t tracked_requests = 8;

    static void on_readable(int socket, short what, void *self);
    void receive();
    void handle_answer(const inner::lease_answer &answer);

    hooks hooks_;
    int socket_ = -1;
    event *readable_ = nullptr;
    time_point requested_at_;
    std::uint64_t last_number_ = 0;
    std::uint64_t unreadable_ = 0;
    std::array<sent_request, tracked_requests> sent_;
};

} // namespace baobabport::proxy
