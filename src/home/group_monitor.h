// Keeps a home's view of its database group current, and runs failover on it.

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

/// What the home tells its monitor at a tick.
struct monitor_needs
{
    bool busy = false;                             ///< requests are in progress
    std::optional<consistency::position> wait_for; ///< answers are held until a replica has this
    bool confirmation = false;                     ///< an answer waits for the term to be confirmed
    bool may_hand_over = false;                    ///< no write is in progress
};

/**
 * Asks the instances for their status while there is work, waits for log positions, and steps the failover
 * controller.
 *
 * Invariant: at most one status question and one wait for a position are in flight per instance.
 */
class group_monitor
{
public:
    group_monitor(std::string database, std::size_t instances, std::uint32_t vm_number, std::uint64_t seed);

    /**
     * Sends what is due through the hooks; returns a promotion that was completed, or none.
     */
    std::optional<failover::failover_step::promotion> tick(const monitor_needs &needs,
                                                           const document::failover_policy &policy,
                                                           const home_hooks &hooks, time_point now);

    void handle_answer(const command_result &result, time_point now);
    void handle_answer(const inner::view_answer &answer, const document::failover_policy &policy,
                       time_point now);

    /// Takes in an answer to a statement sent at `requested_at`.
    void record_statement_answer(instance_id instance, consistency::position log, time_point requested_at);

    /// Takes in that a connection could not be opened or was lost; the instance is asked at once.
    void suspect(instance_id instance, bool refused, time_point now);

    /// Takes in that the instance refused a write for its term; it is asked at once.
    void record_not_primary(instance_id instance, time_point now);

    void set_leaving(instance_id instance, bool leaving) { leaving_[instance] = leaving; }

    [[nodiscard]] const consistency::group_view &view() const { return view_; }
    [[nodiscard]] bool usable(instance_id instance) const
    {
        return health_[instance].healthy() && !leaving_[instance] && view_.last_answer(instance).has_value();
    }
    [[nodiscard]] bool leaving(instance_id instance) const { return leaving_[instance]; }
    [[nodiscard]] bool healthy(instance_id instance) const { return health_[instance].healthy(); }
    [[nodiscard]] bool failed(instance_id instance, const document::failover_policy &policy,
                              time_point now) const
    {
        return health_[instance].failed(policy, now);
    }
    [[nodiscard]] std::optional<time_point> last_answer_at(instance_id instance) const
    {
        return health_[instance].last_answer();
    }

    /**
     * Returns true if the group has been asked without a break for long enough to know its state.
     *
     * An idle home asks nothing; what it last saw says little about the present.
     */
    [[nodiscard]] bool is_current(const document::failover_policy &policy, time_point now) const;

    /**
     * Returns the primary that writes may be sent to, or none while there is doubt about it.
     */
    [[nodiscard]] std::optional<instance_id> writable_primary() const;

    [[nodiscard]] failover::failover_controller &controller() { return controller_; }
    [[nodiscard]] const failover::failover_controller &controller() const { return controller_; }

private:
    struct probe_state
    {
        bool status_in_flight = false; ///< a status question is in flight
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
    time_point last_probed_;   ///< when questions were last due
    time_point probing_since_; ///< since when questions have followed each other
};

} // namespace baobabport::home
