// The requests that wait for a slot, and which of them goes next.

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

/// A waiting request, as far as its order matters.
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
};

/**
 * Orders requests: the first priority strictly ahead, weighted shares within a priority, and a guard that
 * lifts what has waited long.
 *
 * A request whose instances are all busy does not stop those behind it.
 *
 * Invariant: `length()` and `bytes()` stay within the limits given to `push`.
 */
class request_queue
{
public:
    enum class order_kind : std::uint8_t
    {
        by_class,
        arrival
    };

    using eligibility_predicate = std::function<bool(const queued_request &)>;

    /**
     * Adds a request; returns false, adding nothing, if a limit would be passed.
     */
    [[nodiscard]] bool push(const queued_request &request, const document::limit_policy &limits);

    /**
     * Puts a request that was taken back at its class's head. Limits do not apply.
     */
    void push_to_front(const queued_request &request);

    /**
     * Takes the next request in its time for which `predicate` is true, or none.
     */
    std::optional<queued_request> pop(const eligibility_predicate &predicate,
                                      const document::limit_policy &limits, time_point now);

    /**
     * Takes out all requests whose deadline has passed.
     */
    std::vector<queued_request> pop_expired(time_point now);

    /// Takes out one request; returns false if it does not wait here.
    bool remove(std::uint64_t key);

    /**
     * Returns the expected slot time of the requests that go before a new one of the priority.
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
        double served = 0; ///< slot time over weight; the lane with the least goes next
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
    std::uint32_t popped_since_aged_ = 0; ///< requests taken since the last aged one
};

} // namespace baobabport::admission
