#include "order_ledger.h"

namespace soak {

namespace {

std::string text_of(std::chrono::steady_clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

} // namespace

void order_ledger::record_order(const promotion_order &order, time_point now)
{
    ++orders_;
    const auto who = order.from + " with generation " + std::to_string(order.generation);
    const auto what = "order to promote " + order.instance + " by " + who;
    if (order.generation == 0)
        return violation_(what + ": no generation");
    if (order.leader != order.from)
        violation_(what + " names " + order.leader + " as the leader");
    if (!orders_by_generation_.empty() && orders_by_generation_.rbegin()->first > order.generation)
        violation_(what + " after one of generation " +
                   std::to_string(orders_by_generation_.rbegin()->first) + " by " +
                   orders_by_generation_.rbegin()->second.process);
    const auto next = first_seen_at_.upper_bound(order.generation);
    if (next != first_seen_at_.end() && now - next->second > order_separation)
        violation_(what + ", " + text_of(now - next->second) + " after generation " +
                   std::to_string(next->first) + " was taken");
    for (const auto &[generation, leader_orders] : orders_by_generation_) {
        if (generation == order.generation && leader_orders.process != order.from)
            violation_(what + ", which is the generation of " + leader_orders.process);
        const auto apart = now - leader_orders.last_order;
        if (generation < order.generation && leader_orders.process != order.from &&
            apart < order_separation && !disturbed_since(leader_orders.process, leader_orders.last_order) &&
            !disturbed_since(order.from, leader_orders.last_order))
            violation_(what + ", " + text_of(apart) + " after one by " + leader_orders.process +
                       " with generation " + std::to_string(generation));
    }
    orders_by_generation_.try_emplace(order.generation, leader_orders{order.from, now})
        .first->second.last_order = now;
}

void order_ledger::record_disturbance(const std::string &process, time_point now)
{
    last_disturbance_[process] = now;
}

bool order_ledger::disturbed_since(const std::string &process, time_point since) const
{
    const auto it = last_disturbance_.find(process);
    return it != last_disturbance_.end() && it->second >= since;
}

} // namespace soak
