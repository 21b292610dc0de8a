// Orders promotions from the platform, as the holder of the failover duty.

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
    instance_absent, ///< the instance is not running, or the order came too late
    refused,         ///< over the rate or out of service; not done
    no_answer,       ///< may have been done
    not_sent,        ///< no longer valid, or too old, when the connection opened
};

struct promotion_order
{
    std::string service;
    std::string instance;
    std::string leader;           ///< the VM that holds the duty
    std::uint64_t generation = 0; ///< rises with each change of holder
    support::boot_clock::time_point decided_at = support::boot_clock::now();
};

/**
 * Sends orders to the platform, each on a connection of its own.
 *
 * An order that is given up on, or whose client is destroyed, is reset: what had not arrived then is lost.
 */
class promotion_client
{
public:
    using outcome_hook = std::function<void(promotion_outcome, const std::string &reason)>;

    /// An older order is not written: half of the time after which a lost SYN is repeated (RFC 6298).
    static constexpr std::chrono::milliseconds max_order_age{500};

    promotion_client(event_base *base, support::address at);
    ~promotion_client();
    promotion_client(const promotion_client &) = delete;
    promotion_client &operator=(const promotion_client &) = delete;

    /// Sends later orders to another address.
    void set_address(const support::address &at) { at_ = at; }

    /**
     * Sends an order; it has no answer after the time-out, which covers the opening of the connection, too.
     *
     * `still_valid` is asked when the connection is open, immediately before the order is written.
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
