// The queue of requests that wait for a slot, and its order.

#pragma once

#include "document/service_document.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::admission {

using time_point = std::chrono::steady_clock::time_point;

/// A waiting request, with the fields that its order depends on.
struct queued_request
{
    std::uint64_t key = 0;
    std::string class_name;
    document::priority_kind priority = document::priority_kind::normal;
    std::uint32_t weight = 1;
    std::chrono::microseconds cost{1000}; ///< expected time on a slot
    std::size_t bytes = 0;
    time_point enqueued_at;
    time_point deadline;
    std::string label = {};                    ///< of its duration; a class may hold several
    std::string workspace = {};                ///< empty: none
    bool holds_connection = false;             ///< in an open transaction
    std::chrono::microseconds opening_cost{0}; ///< part of `cost` for a connection that it may have to open
};

/**
 * Orders requests: strictly by priority, by weighted shares within a priority, and with ageing for requests
 * that have waited long.
 *
 * A request whose instances are all busy does not block those behind it, except with `order_kind::arrival`.
 *
 * Invariant: `length()` and `bytes()` stay within the limits given to `push`, unless `push_to_front` exceeds
 * them.
 */
class request_queue
{
public:
    enum class order_kind : std::uint8_t
    {
        by_class,
        arrival
    };

    /// At most one request in this many is popped for its age, so that ageing cannot undo priority under
    /// overload.
    static constexpr std::uint32_t requests_per_aged = 4;

    using eligibility_predicate = std::function<bool(const queued_request &)>;

    /**
     * Adds a request; returns false, adding nothing, if a limit would be exceeded.
     */
    [[nodiscard]] bool push(const queued_request &request, const document::limit_policy &limits);

    /**
     * Adds a request at the head of its class. Limits do not apply.
     */
    void push_to_front(const queued_request &request);

    /**
     * Removes and returns the next unexpired request for which `predicate` is true, or none.
     */
    std::optional<queued_request> pop(const eligibility_predicate &predicate,
                                      const document::limit_policy &limits, time_point now);

    /**
     * Removes and returns all requests whose deadline has passed.
     */
    std::vector<queued_request> pop_expired(time_point now);

    /// Removes one request; returns false if it is not in the queue.
    bool remove(std::uint64_t key);

    /**
     * Returns the expected slot time of the requests ahead of a new one of the priority.
     */
    [[nodiscard]] std::chrono::microseconds slot_time_ahead(document::priority_kind priority) const;

    [[nodiscard]] std::size_t length() const { return length_; }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] std::size_t length_of(const std::string &class_name) const;
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    order_kind order = order_kind::by_class;

private:
    struct class_lane
    {
        std::string class_name;
        document::priority_kind priority = document::priority_kind::normal;
        std::uint32_t weight = 1;
        double served = 0; ///< slot time divided by weight; the lane with the least is next
        std::deque<queued_request> waiting;
    };

    class_lane &lane_of(const queued_request &request);
    std::optional<queued_request> pop_from(class_lane &from, const eligibility_predicate &eligible);
    std::optional<queued_request> pop_oldest(const eligibility_predicate &eligible,
                                             time_point enqueued_before);
    void subtract(const queued_request &request);

    std::vector<class_lane> lanes_;
    std::size_t length_ = 0;
    std::size_t bytes_ = 0;
    std::uint32_t popped_since_aged_ = 0; ///< requests popped since the last aged one
};

} // namespace baobabport::admission
