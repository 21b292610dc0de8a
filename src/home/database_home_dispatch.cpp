// Dispatch of queued requests to the instances, and periodic work.

#include "home/database_home.h"

#include <algorithm>

namespace baobabport::home {

using document::access_kind;
using inner::transaction_step;

namespace {

/// A call whose request has been answered keeps its slot for this long, then its connection is closed.
constexpr std::chrono::seconds abandoned_call_timeout{2};

/// A home without requests for this long closes its idle connections: another pooler may be the home now,
/// and an unused connection may be dead without being detected.
constexpr std::chrono::seconds idle_release_delay{3};

} // namespace

void database_home::tick(time_point now)
{
    record_pause(now);
    expire(now);
    close_failed(now);
    for (const auto id : pool_.connections_to_close(abandoned_call_timeout, now))
        close(id, now);
    for (const auto id : transactions_.idle_longer_than(document_->limits.transaction_idle, now)) {
        const auto *it = pool_.find(id);
        if (it && it->state == connection_pool::state_kind::pinned)
            close(id, now);
    }
    for (const auto &[call, key] : calls_) {
        const auto &state = requests_.at(key);
        const auto so_far = std::chrono::duration_cast<std::chrono::microseconds>(now - state.sent_at);
        if (so_far >= document_->limits.long_after)
            durations_.running(state.request.statement, so_far);
    }

    monitor_needs needs;
    needs.busy = !requests_.empty() || transactions_.size() > 0 || !monitor_.writable_primary();
    needs.wait_for = held_.highest(monitor_.view().primary_term());
    needs.confirmation = held_.needs_confirmation(monitor_.view());
    needs.may_switch_over = !writes_in_progress() && transactions_.size() == 0;
    if (const auto promoted = monitor_.tick(needs, document_->failover, hooks_, now))
        handle_promotion(*promoted, now);

    release_held(now);
    open_connections(now);
    dispatch(now);
}

bool database_home::writes_in_progress() const
{
    if (held_.size() > 0)
        return true;
    return std::any_of(calls_.begin(), calls_.end(), [&](const auto &it) {
        const auto &state = requests_.at(it.second);
        return state.policy.access == access_kind::write || state.request.step != transaction_step::none;
    });
}

void database_home::open_connections(time_point now)
{
    const bool no_connections_needed =
        requests_.empty() && (draining_ || now - last_request_ > idle_release_delay);
    if (no_connections_needed)
        return;
    std::vector<bool> may_open(settings_.instances.size());
    const auto primary = monitor_.view().primary();
    for (instance_id it = 0; it < may_open.size(); ++it) {
        const bool replica_is_leaving = monitor_.leaving(it) && it != primary;
        may_open[it] = !replica_is_leaving && monitor_.view().last_answer(it) && monitor_.healthy(it);
    }
    for (const auto &it : pool_.open_missing(may_open, now))
        hooks_.open_connection(it.id, it.instance);
}

void database_home::dispatch(time_point now)
{
    if (dispatching_)
        return; // an answer's hook submitted a new request; the outer call continues
    dispatching_ = true;
    std::optional<connection_id> chosen;
    const auto eligible = [&](const admission::queued_request &item) {
        chosen = choose_connection(requests_.at(item.key), now);
        return chosen.has_value();
    };
    while (const auto next = queue_.pop(eligible, document_->limits, now))
        send(next->key, requests_.at(next->key), *chosen, now);
    dispatching_ = false;
}

std::optional<connection_id> database_home::choose_connection(const request_state &state,
                                                              time_point now) const
{
    const auto &request = state.request;
    if (request.step == transaction_step::statement || request.step == transaction_step::commit ||
        request.step == transaction_step::rollback) {
        const auto *it = transactions_.find(request.transaction, request.caller);
        const auto *connection = it ? pool_.find(it->connection) : nullptr;
        if (!connection || connection->state != connection_pool::state_kind::pinned)
            return std::nullopt;
        if (pool_.running(it->instance) >= pool_.slots())
            return std::nullopt;
        return it->connection;
    }
    if (state.policy.max_slots > 0 && slots_of_class(request.class_name) >= state.policy.max_slots)
        return std::nullopt;
    if (state.policy.access == access_kind::write || request.step == transaction_step::begin)
        return choose_for_write(now);
    if (settings_.policy == policy_kind::plain)
        return choose_plain(state);
    return choose_for_read(state, now);
}

std::uint32_t database_home::slots_of_class(const std::string &class_name) const
{
    const auto it = running_by_class_.find(class_name);
    return it == running_by_class_.end() ? 0 : it->second;
}

std::optional<connection_id> database_home::choose_for_write(time_point now) const
{
    const auto primary = monitor_.writable_primary();
    if (!primary || pool_.running(*primary) >= pool_.slots())
        return std::nullopt;
    // After a time without requests the state of the primary is unknown; wait for its status first.
    const auto answered_at = monitor_.last_answer_at(*primary);
    if (!answered_at || now - *answered_at > recent_answer_window)
        return std::nullopt;
    if (defects_.share_pinned_connections) {
        for (const auto &it : pool_.of_instance(*primary)) {
            if (it.state == connection_pool::state_kind::pinned)
                return it.id;
        }
    }
    return pool_.idle(*primary);
}

consistency::instance_capacity database_home::capacity_of(instance_id instance) const
{
    consistency::instance_capacity capacity;
    const auto running = pool_.running(instance);
    capacity.slots = pool_.slots();
    capacity.free_slots = running < capacity.slots ? capacity.slots - running : 0;
    capacity.long_running = pool_.long_running(instance);
    capacity.long_slots = std::min(document_->limits.long_slots, capacity.slots);
    capacity.usable = monitor_.usable(instance) && pool_.idle(instance);
    return capacity;
}

std::optional<connection_id> database_home::choose_for_read(const request_state &state, time_point now) const
{
    consistency::read_needs needs;
    needs.floor = defects_.ignore_floor ? consistency::position{} : state.floor;
    needs.staleness = state.policy.staleness;
    needs.linearizable = state.linearizable;
    needs.long_statement = durations_.is_long(state.request.statement, document_->limits.long_after);
    needs.urgent = now - state.arrived >= document_->limits.ageing;
    std::vector<consistency::instance_capacity> capacities;
    for (instance_id it = 0; it < settings_.instances.size(); ++it)
        capacities.push_back(capacity_of(it));
    if (needs.linearizable) {
        // A leaving primary serves these reads until another instance is promoted.
        if (const auto primary = monitor_.writable_primary())
            capacities[*primary].usable = pool_.idle(*primary).has_value();
    }
    const auto choice = consistency::choose_instance(monitor_.view(), capacities, needs, now);
    if (!choice.instance)
        return std::nullopt;
    return pool_.idle(*choice.instance);
}

std::optional<connection_id> database_home::choose_plain(const request_state &state) const
{
    const auto &view = monitor_.view();
    const auto primary = view.primary();
    if (!primary)
        return std::nullopt;
    const auto n = static_cast<instance_id>(settings_.instances.size());
    for (instance_id step = 0; step < n; ++step) {
        const auto it = (plain_next_instance_ + step) % n;
        if (it == *primary || state.linearizable || view.log_of(it) < view.log_of(*primary))
            continue;
        if (view.log_of(it) < state.floor || !monitor_.usable(it))
            continue;
        if (const auto connection = pool_.idle(it)) {
            plain_next_instance_ = it + 1;
            return connection;
        }
    }
    return pool_.idle(*primary);
}

void database_home::send(request_key key, request_state &state, connection_id connection, time_point now)
{
    const auto instance = pool_.find(connection)->instance;
    const auto &request = state.request;
    const auto &view = monitor_.view();
    state.phase = phase_kind::running;
    state.sent_at = now;
    state.connection = connection;
    state.call = next_call_++;
    ++state.tries;
    state.as_of = {};
    if (instance == view.primary())
        state.as_of = now;
    else if (const auto age = view.staleness(instance, now))
        state.as_of = now - *age;

    upstream_call call;
    call.connection = connection;
    call.call = state.call;
    call.instance = instance;
    call.write = state.policy.access == access_kind::write;
    call.step = request.step;
    const bool needs_primary = call.write || request.step != transaction_step::none;
    call.term = needs_primary || state.linearizable ? view.primary_term() : 0;
    call.statement = request.statement;
    call.arguments = request.arguments;
    const bool identified =
        request.step == transaction_step::none ? call.write : request.step == transaction_step::commit;
    if (identified && !request.request_id.empty() && !defects_.omit_request_ids)
        call.request_id = request.request_id;

    const bool is_long = !call.write && durations_.is_long(request.statement, document_->limits.long_after);
    pool_.begin_call(connection, state.call, is_long, now);
    calls_[state.call] = key;
    ++running_by_class_[request.class_name];
    if (!request.transaction.empty())
        transactions_.touch(request.transaction, now);
    hooks_.call(call);
}

void database_home::close(connection_id id, time_point now)
{
    hooks_.close_connection(id);
    connection_lost(id, now);
}

void database_home::close_failed(time_point now)
{
    for (instance_id it = 0; it < settings_.instances.size(); ++it) {
        const bool failed = monitor_.is_failed(it, document_->failover, now);
        // Idle connections from before may be dead without either side having detected it.
        const bool suspect = !monitor_.healthy(it) || now - last_request_ > idle_release_delay;
        const bool leaving_replica = monitor_.leaving(it) && it != monitor_.view().primary();
        for (const auto &connection : pool_.of_instance(it)) {
            const bool unused = connection.state == connection_pool::state_kind::idle;
            if (failed || ((leaving_replica || suspect) && unused))
                close(connection.id, now);
        }
    }
}

} // namespace baobabport::home
