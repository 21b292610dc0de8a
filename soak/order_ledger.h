// The orders to promote, checked as the platform sees them: one process at a time may give them.

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
    std::string leader;           ///< the process that it names as the duty's holder
    std::uint64_t generation = 0; ///< 0: none was sent
};

/**
 * Generations never fall and belong to one process each. Two of them are `order_separation` apart, unless one
 * of their processes was signalled, frozen, thawed or cut from the store between the two orders. A fault that
 * began before the first of them excuses nothing.
 */
class order_ledger
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using violation_hook = std::function<void(const std::string &)>;

    /// Two holders whose orders are closer than this take turns: `lease_ms` of the users' rule ONE.
    static constexpr std::chrono::milliseconds order_separation{3000};

    explicit order_ledger(violation_hook violation) : violation_(std::move(violation)) {}

    void record_order(const promotion_order &order, time_point now);

    /// Notes that a process was signalled, frozen, thawed or cut from the store.
    void record_disturbance(const std::string &process, time_point now);

    /// Notes the last holder's generation in the store. Orders of an earlier one end within
    /// `order_separation`.
    void taken(std::uint64_t generation, time_point now) { first_seen_at_.try_emplace(generation, now); }

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
    std::map<std::uint64_t, leader_orders> orders_by_generation_; ///< by generation
    std::map<std::uint64_t, time_point> first_seen_at_;  ///< when the store first showed a generation
    std::map<std::string, time_point> last_disturbance_; ///< by process
    std::uint64_t orders_ = 0;
};

} // namespace soak
