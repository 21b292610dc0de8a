// Keeps a home's view of its database group current, and drives failover.

#pragma once

#include "consistency/group_view.h"
#include "failover/failover_controller.h"
#include "failover/instance_health.h"
#include "home/upstream.h"

#include <optional>
#include <string>
#include <vector>

namespace baobabport::home {

using time_point = std::chrono::steady_clock::time_point;

/// The state of the home that a tick of its monitor depends on.
struct monitor_needs
{
    bool busy = false;                             ///< requests are in progress
    std::optional<consistency::position> wait_for; ///< highest log position that a held answer waits for
    bool confirmation = false;                     ///< a held answer waits for confirmation of the term
    bool may_switch_over = false;                  ///< no write is in progress
};

/**
 * Polls the status of the instances while requests are in progress, waits for log positions, and runs the
 * failover controller.
 *
 * Invariant: at most one status request and one wait for a position are in flight per instance.
 */
class group_monitor
{
public:
    group_monitor(std::string database, std::size_t instances, std::uint32_t vm_number, std::uint64_t seed);

    /**
     * Sends the commands that are due through the hooks; returns a completed promotion, or none.
     */
    std::optional<failover::failover_step::promotion> tick(const monitor_needs &needs,
                                                           const document::failover_policy &policy,
                                                           const home_hooks &hooks, time_point now);

    void handle_answer(const command_result &result, time_point now);
    void handle_answer(const inner::view_answer &answer, const document::failover_policy &policy,
                       time_point now);

    /// Records the log position in an answer to a statement sent at `requested_at`.
    void record_statement_answer(instance_id instance, consistency::position log, time_point requested_at);

    /// Records a failed or lost connection or an outdated answer; the status is requested at the next tick.
    void suspect(instance_id instance, bool refused, time_point now);

    /// Records that the instance refused a write because of its term; the status is requested at the next
    /// tick.
    void record_not_primary(instance_id instance, time_point now);

    void set_leaving(instance_id instance, bool leaving) { leaving_[instance] = leaving; }

    [[nodiscard]] const consistency::group_view &view() const { return view_; }
    [[nodiscard]] bool usable(instance_id instance) const
    {
        return health_[instance].healthy() && !leaving_[instance] && view_.last_answer(instance).has_value();
    }
    [[nodiscard]] bool leaving(instance_id instance) const { return leaving_[instance]; }
    [[nodiscard]] bool healthy(instance_id instance) const { return health_[instance].healthy(); }
    [[nodiscard]] bool is_failed(instance_id instance, const document::failover_policy &policy,
                                 time_point now) const
    {
        return health_[instance].is_failed(policy, now);
    }
    [[nodiscard]] std::optional<time_point> last_answer_at(instance_id instance) const
    {
        return health_[instance].last_answer();
    }

    /**
     * Returns true if the group has been polled without a break for long enough that the view is current.
     *
     * An idle home does not poll, so its last view may be outdated.
     */
    [[nodiscard]] bool is_current(const document::failover_policy &policy, time_point now) const;

    /**
     * Returns the primary that writes may be sent to, or none while it is unhealthy, outdated or being
     * replaced.
     */
    [[nodiscard]] std::optional<instance_id> writable_primary() const;

    [[nodiscard]] failover::failover_controller &controller() { return controller_; }
    [[nodiscard]] const failover::failover_controller &controller() const { return controller_; }

private:
    struct probe_state
    {
        bool status_in_flight = false; ///< a status request is in flight
        bool waiting = false;          ///< a wait for a position is in flight
        time_point next_at;
    };

    void send(instance_command command, const home_hooks &hooks);
    void probe(const monitor_needs &needs, const document::failover_policy &policy, const home_hooks &hooks,
               time_point now);
    void wait_for_position(consistency::position target, const home_hooks &hooks);

    consistency::group_view view_;
    std::vector<failover::instance_health> health_;
    std::vector<bool> leaving_;
    std::vector<probe_state> probes_;
    failover::failover_controller controller_;
    std::uint64_t next_command_ = 1;
    time_point last_probed_;   ///< when status requests were last due
    time_point probing_since_; ///< start of the current uninterrupted polling
};

} // namespace baobabport::home
