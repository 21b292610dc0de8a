// Performs the replacement of one group's primary while this process is the leader.

#pragma once

#include "failover/lease_grantor.h"
#include "failover/switchover.h"
#include "platform/promotion_client.h"
#include "proxy/election_task.h"
#include "proxy/group_task.h"

#include <functional>
#include <memory>

namespace baobabport::proxy {

/**
 * Performs the actions that a `failover::switchover` decides on: commands to instances, promotion orders and
 * probes. Grants the group's primary lease while no replacement is in progress.
 */
class failover_task
{
public:
    /// The leader probes a primary that has answered nothing for this long.
    static constexpr std::chrono::milliseconds primary_probe_interval{400};
    /// Replicas are probed at this interval, to find those that were left paused.
    static constexpr std::chrono::milliseconds replica_probe_interval{5000};
    /// No lease is granted on a primary that has been unresponsive for this long: leases then end before it
    /// has been unresponsive long enough to be replaced.
    static constexpr std::chrono::milliseconds lease_unresponsive_limit{150};

    /// `sync_replicas`: returns the number of replicas that must receive a commit of the group.
    failover_task(std::shared_ptr<group_task> group, platform::promotion_client &client,
                  election_task &election, failover::lease_grantor &grantor,
                  std::function<std::uint32_t()> sync_replicas);

    void tick(time_point now);

private:
    void probe_members(const failover::group_snapshot &snapshot, time_point now);
    /// Finds out, once for each term, whether an earlier leader has replaced the primary: its last order may
    /// have taken effect unseen.
    void survey(const failover::group_snapshot &snapshot, time_point now);
    void grant(const failover::group_snapshot &snapshot, time_point now);
    /// Sends a command, which is dropped if this process no longer acts as the leader of `generation_` once
    /// there is a connection.
    void command(const std::string &instance, const std::string &text, group_task::report_hook done);
    void perform(const failover::action &what, time_point now);
    void promote(const std::string &instance, time_point now);

    std::shared_ptr<group_task> group_;
    platform::promotion_client &promotion_client_;
    election_task &election_;
    failover::lease_grantor &grantor_;
    std::function<std::uint32_t()> sync_replicas_;
    std::shared_ptr<failover::switchover> switchover_ = std::make_shared<failover::switchover>();
    std::uint64_t generation_ = 0; ///< in which the replacement in progress was begun
    time_point replicas_probed_at_;
    std::optional<time_point> exclusive_since_; ///< in `generation_`
    std::uint64_t surveyed_term_ = 0; ///< no earlier leader has replaced the primary of this term; 0: unknown
};

} // namespace baobabport::proxy
