#include "home/group_monitor.h"

#include <utility>

namespace baobabport::home {

namespace {

/// The probe interval is divided by this while there is no writable primary.
constexpr int unconfirmed_primary_speed_up = 4;
constexpr std::chrono::milliseconds confirmation_interval{5};
constexpr std::chrono::milliseconds position_wait_timeout{250};

} // namespace

group_monitor::group_monitor(std::string database, std::size_t instances, std::uint32_t vm_number,
                             std::uint64_t seed)
    : view_(instances), health_(instances), leaving_(instances, false), probes_(instances),
      controller_(std::move(database), instances, vm_number, seed)
{
}

std::optional<failover::failover_step::promotion> group_monitor::tick(const monitor_needs &needs,
                                                                      const document::failover_policy &policy,
                                                                      const home_hooks &hooks, time_point now)
{
    probe(needs, policy, hooks, now);
    if (needs.wait_for)
        wait_for_position(*needs.wait_for, hooks);
    auto step = controller_.step(view_, health_, leaving_, needs.may_switch_over, policy, now);
    for (const auto &it : step.commands)
        send(it, hooks);
    if (step.peer_query)
        hooks.request_peer_view(*step.peer_query);
    return step.promoted;
}

void group_monitor::send(instance_command command, const home_hooks &hooks)
{
    command.id = next_command_++;
    hooks.command(command);
}

void group_monitor::probe(const monitor_needs &needs, const document::failover_policy &policy,
                          const home_hooks &hooks, time_point now)
{
    if (!needs.busy && !needs.confirmation)
        return;
    if (now - last_probed_ > 3 * policy.probe_interval)
        probing_since_ = now;
    last_probed_ = now;
    const bool has_writable_primary = writable_primary().has_value();
    for (instance_id it = 0; it < probes_.size(); ++it) {
        auto &state = probes_[it];
        if (state.status_in_flight || now < state.next_at)
            continue;
        auto interval = policy.probe_interval;
        if (!has_writable_primary)
            interval /= unconfirmed_primary_speed_up;
        if (needs.confirmation)
            interval = confirmation_interval;
        state.status_in_flight = true;
        state.next_at = now + interval;
        send({command_kind::status, it, 0, {}, policy.command_timeout, 0}, hooks);
    }
}

void group_monitor::wait_for_position(consistency::position target, const home_hooks &hooks)
{
    const auto primary = view_.primary();
    for (instance_id it = 0; it < probes_.size(); ++it) {
        if (it == primary || probes_[it].waiting || !health_[it].healthy() || view_.log_of(it) >= target)
            continue;
        probes_[it].waiting = true;
        send({command_kind::status, it, 0, target, position_wait_timeout, 0}, hooks);
    }
}

void group_monitor::handle_answer(const command_result &result, time_point now)
{
    const auto instance = result.command.instance;
    const bool was_wait = result.command.wait_for != consistency::position{};
    if (result.command.kind == command_kind::status) {
        if (was_wait)
            probes_[instance].waiting = false;
        else
            probes_[instance].status_in_flight = false;
    }
    switch (result.outcome) {
    case command_outcome::answered:
        // The answer to a wait has the status at the end of the wait, but it is only certain that the status
        // is no older than the request.
        view_.observe(instance, result.status, result.requested_at);
        health_[instance].record_answer(result.requested_at);
        break;
    case command_outcome::connection_broken:
        health_[instance].record_refusal(now);
        break;
    case command_outcome::timed_out:
        health_[instance].record_timeout(result.requested_at);
        break;
    }
    controller_.handle_answer(result, now);
}

void group_monitor::handle_answer(const inner::view_answer &answer, const document::failover_policy &policy,
                                  time_point now)
{
    controller_.handle_answer(answer, policy, now);
}

void group_monitor::record_statement_answer(instance_id instance, consistency::position log,
                                            time_point requested_at)
{
    view_.observe_position(instance, log, requested_at);
    health_[instance].record_answer(requested_at);
}

void group_monitor::suspect(instance_id instance, bool refused, time_point now)
{
    if (refused)
        health_[instance].record_refusal(now);
    probes_[instance].next_at = now;
}

void group_monitor::record_not_primary(instance_id instance, time_point now)
{
    view_.demote(instance);
    probes_[instance].next_at = now;
}

bool group_monitor::is_current(const document::failover_policy &policy, time_point now) const
{
    const auto needed = policy.command_timeout + policy.probe_interval;
    return now - last_probed_ <= 3 * policy.probe_interval && now - probing_since_ >= needed;
}

std::optional<instance_id> group_monitor::writable_primary() const
{
    const auto primary = view_.primary();
    if (!primary || view_.primary_term() < view_.highest_term())
        return std::nullopt;
    if (!health_[*primary].healthy() || controller_.switching_over())
        return std::nullopt;
    if (controller_.current() != failover::failover_controller::phase::steady &&
        controller_.current() != failover::failover_controller::phase::waiting)
        return std::nullopt;
    return primary;
}

} // namespace baobabport::home
