// Checks the promotion orders that reach the platform: only one process at a time may send them.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace soak {

/// An order that reached the platform.
struct promotion_order
{
    std::string service;
    std::string instance;
    std::string from;             ///< the process that sent it
    std::string leader;           ///< the leader that the order names
    std::uint64_t generation = 0; ///< 0 if the order has none
};

/**
 * Rules: generations never decrease, and each belongs to one process. Orders of two processes are at least
 * `order_separation` apart, unless one of the two processes was signalled, suspended, resumed or disconnected
 * from the store between the two orders. A fault that began before the first order is no exemption.
 */
class order_ledger
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using violation_hook = std::function<void(const std::string &)>;

    /// Minimum time between orders of two leaders: `lease_ms` of the users' rule ONE, which demands that only
    /// one process at a time orders promotions.
    static constexpr std::chrono::milliseconds order_separation{3000};

    explicit order_ledger(violation_hook violation) : violation_(std::move(violation)) {}

    void record_order(const promotion_order &order, time_point now);

    /// Records that a process was signalled, suspended, resumed or disconnected from the store.
    void record_disturbance(const std::string &process, time_point now);

    /// Records the leader's generation that is stored now. Orders of earlier generations must end within
    /// `order_separation` after it was first stored.
    void record_generation(std::uint64_t generation, time_point now)
    {
        first_seen_at_.try_emplace(generation, now);
    }

    [[nodiscard]] std::uint64_t orders() const { return orders_; }
    [[nodiscard]] std::size_t generations() const { return orders_by_generation_.size(); }

private:
    struct leader_orders
    {
        std::string process;
        time_point last_order;
    };

    [[nodiscard]] bool disturbed_since(const std::string &process, time_point since) const;

    violation_hook violation_;
    std::map<std::uint64_t, leader_orders>
        orders_by_generation_;                           ///< the sender and last order of each generation
    std::map<std::uint64_t, time_point> first_seen_at_;  ///< when the store first held each generation
    std::map<std::string, time_point> last_disturbance_; ///< by process
    std::uint64_t orders_ = 0;
};

} // namespace soak
