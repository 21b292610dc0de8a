#include "consistency/read_router.h"

namespace baobabport::consistency {

namespace {

bool is_fresh_enough(const group_view &group, instance_id instance, const read_needs &needs, time_point now)
{
    if (group.log_of(instance) < needs.floor)
        return false;
    if (needs.staleness.count() == 0 || group.primary() == instance)
        return true;
    const auto age = group.staleness(instance, now);
    return age && *age <= needs.staleness;
}

bool has_capacity(const instance_capacity &capacity, const read_needs &needs)
{
    if (!capacity.usable || capacity.free_slots == 0)
        return false;
    return !needs.long_statement || capacity.long_running < capacity.long_slots;
}

/// Returns true if `a` suits the read better than `b`; both have capacity.
bool is_better(const instance_capacity &a, const instance_capacity &b, const read_needs &needs)
{
    if (needs.long_statement)
        return a.long_running >= b.long_running; // gathers long-running statements on one replica
    if (a.free_slots != b.free_slots)
        return a.free_slots > b.free_slots;
    return a.long_running < b.long_running;
}

bool primary_may_serve(const instance_capacity &capacity, const read_needs &needs)
{
    return needs.urgent && !needs.long_statement && capacity.free_slots == capacity.slots;
}

} // namespace

read_choice choose_instance(const group_view &group, const std::vector<instance_capacity> &capacities,
                            const read_needs &needs, time_point now)
{
    const auto primary = group.primary();
    if (needs.linearizable) {
        if (!primary || group.primary_term() < group.highest_term())
            return {std::nullopt, "no_primary"};
        if (!has_capacity(capacities[*primary], needs))
            return {std::nullopt, "primary_busy"};
        return {primary, {}};
    }
    std::optional<instance_id> best;
    bool fresh_replica_usable = false;
    for (instance_id it = 0; it < group.size(); ++it) {
        if (it == primary || !is_fresh_enough(group, it, needs, now))
            continue;
        fresh_replica_usable = fresh_replica_usable || capacities[it].usable;
        if (!has_capacity(capacities[it], needs))
            continue;
        if (!best || is_better(capacities[it], capacities[*best], needs))
            best = it;
    }
    if (best)
        return {best, {}};
    if (!primary || !is_fresh_enough(group, *primary, needs, now))
        return {std::nullopt, "no_instance_fresh_enough"};
    const auto &capacity = capacities[*primary];
    if (has_capacity(capacity, needs) && (!fresh_replica_usable || primary_may_serve(capacity, needs)))
        return {primary, {}};
    return {std::nullopt, "all_busy"};
}

} // namespace baobabport::consistency
