// Client that the leader uses to send promotion orders to the platform.

#pragma once

#include "http/http_client.h"
#include "support/address.h"
#include "support/boot_clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct event_base;

namespace baobabport::platform {

enum class promotion_outcome : std::uint8_t
{
    accepted,
    instance_absent, ///< the instance is not running, or the order arrived too late
    refused,         ///< rate limit exceeded or out of service; not executed
    no_answer,       ///< may have been executed
    not_sent,        ///< no longer valid, or too old, when the connection opened
};

struct promotion_order
{
    std::string service;
    std::string instance;
    std::string leader;           ///< VM of the leader
    std::uint64_t generation = 0; ///< rises with each leader
    support::boot_clock::time_point decided_at = support::boot_clock::now();
};

/**
 * Sends promotion orders to the platform, each on its own connection.
 *
 * The connection is reset if the order times out or the client is destroyed, so that data which has not been
 * delivered is discarded.
 */
class promotion_client
{
public:
    using outcome_hook = std::function<void(promotion_outcome, const std::string &reason)>;

    /// An order that is older is not written; half of the time after which a lost SYN is retransmitted
    /// (RFC 6298).
    static constexpr std::chrono::milliseconds max_order_age{500};

    promotion_client(event_base *base, support::address at);
    ~promotion_client();
    promotion_client(const promotion_client &) = delete;
    promotion_client &operator=(const promotion_client &) = delete;

    /// Sets the address for later orders.
    void set_address(const support::address &at) { at_ = at; }

    /**
     * Sends an order. The outcome is `no_answer` after the time-out, which includes opening the connection.
     *
     * `still_valid` is called when the connection is open, immediately before the order is written; if it
     * returns false, the order is not written.
     */
    void promote(const promotion_order &order, std::chrono::milliseconds timeout, outcome_hook done,
                 std::function<bool()> still_valid = nullptr);

private:
    struct pending_order;

    void finish(std::uint64_t number, promotion_outcome outcome, const std::string &reason);

    event_base *base_;
    support::address at_;
    std::map<std::uint64_t, std::unique_ptr<pending_order>> pending_;
    std::uint64_t last_number_ = 0;
};

} // namespace baobabport::platform
