// Orders promotions from the platform, as the holder of the failover duty.

#pragma once

#include "http/http_client.h"
#include "support/address.h"

#include <cstdint>
#include <functional>
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
};

struct promotion_order
{
    std::string service;
    std::string instance;
    std::string holder;           ///< the VM that holds the duty
    std::uint64_t generation = 0; ///< rises with each change of holder
};

class duty_client
{
public:
    using outcome_hook = std::function<void(promotion_outcome, const std::string &reason)>;

    duty_client(event_base *base, support::address at);

    /// Sends later orders to another address.
    void move_to(const support::address &at) { at_ = at; }

    void promote(const promotion_order &order, std::chrono::milliseconds timeout, outcome_hook done);

private:
    event_base *base_;
    support::address at_;
};

} // namespace baobabport::platform
