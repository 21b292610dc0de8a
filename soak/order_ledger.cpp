#include "order_ledger.h"

namespace soak {

namespace {

std::string text_of(std::chrono::steady_clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

} // namespace

void order_ledger::ordered(const promotion_order &order, time_point now)
{
    ++orders_;
    const auto who = order.from + " with generation " + std::to_string(order.generation);
    const auto what = "order to promote " + order.instance + " by " + who;
    if (order.generation == 0)
        return violation_(what + ": no generation");
    if (order.leader != order.from)
        violation_(what + " names " + order.leader + " as the duty's holder");
    if (!turns_.empty() && turns_.rbegin()->first > order.generation)
        violation_(what + " after one of generation " + std::to_string(turns_.rbegin()->first) + " by " +
                   turns_.rbegin()->second.process);
    const auto next = taken_.upper_bound(order.generation);
    if (next != taken_.end() && now - next->second > turn_time)
        violation_(what + ", " + text_of(now - next->second) + " after generation " +
                   std::to_string(next->first) + " was taken");
    for (const auto &[generation, turn] : turns_) {
        if (generation == order.generation && turn.process != order.from)
            violation_(what + ", which is the generation of " + turn.process);
        const auto apart = now - turn.last_order;
        if (generation < order.generation && apart < turn_time &&
            !disturbed_since(turn.process, turn.last_order) && !disturbed_since(order.from, turn.last_order))
            violation_(what + ", " + text_of(apart) + " after one by " + turn.process + " with generation " +
                       std::to_string(generation));
    }
    turns_.try_emplace(order.generation, turn{order.from, now}).first->second.last_order = now;
}

void order_ledger::disturbed(const std::string &process, time_point now)
{
    last_disturbance_[process] = now;
}

bool order_ledger::disturbed_since(const std::string &process, time_point since) const
{
    const auto it = last_disturbance_.find(process);
    return it != last_disturbance_.end() && it->second >= since;
}

} // namespace soak
