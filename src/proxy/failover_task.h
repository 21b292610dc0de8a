// Carries out the replacement of one group's primary while this process holds the duty.

#pragma once

#include "failover/switchover.h"
#include "platform/duty_client.h"
#include "proxy/duty_task.h"
#include "proxy/group_task.h"

#include <memory>

namespace baobabport::proxy {

/**
 * Gives the decisions of a `failover::switchover` their effects.
 */
class failover_task
{
public:
    /// An order to promote that takes longer has no answer.
    static constexpr std::chrono::milliseconds order_timeout{1500};
    /// The duty's holder asks every instance this often, so that silence is noticed without traffic.
    static constexpr std::chrono::milliseconds watch_interval{250};

    failover_task(std::shared_ptr<group_task> group, platform::duty_client &orders, const duty_task &duty);

    void tick(time_point now);

private:
    void carry_out(const failover::action &what, std::uint64_t generation);
    void promote(const std::string &instance, std::uint64_t generation);

    std::shared_ptr<group_task> group_;
    platform::duty_client &orders_;
    const duty_task &duty_;
    std::shared_ptr<failover::switchover> decisions_ = std::make_shared<failover::switchover>();
    time_point asked_at_;
};

} // namespace baobabport::proxy
