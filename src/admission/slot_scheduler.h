// Schedules the statements of one instance: which run now, which wait and which are refused at once.

#pragma once

#include "admission/duration_estimator.h"
#include "admission/request_queue.h"
#include "admission/warm_up.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabport::admission {

/// A statement to run on an instance.
struct slot_request
{
    std::uint64_t key = 0;
    std::uint32_t priority = 0;    ///< 0 is the most urgent
    bool holds_connection = false; ///< in an open transaction; its connection is free only after its end
    std::string label;             ///< statements with the same label take a similar time
    time_point wait_until;         ///< refused if it is still waiting then
};

enum class slot_decision : std::uint8_t
{
    run,
    wait,
    refuse, ///< it would wait beyond `wait_until`
};

/**
 * Keeps an instance's slots busy and the queue at the instance short, so that order and refusals are decided
 * here.
 */
class slot_scheduler
{
public:
    /// Statements sent beyond the number of slots, to hide the latency between an answer and the next start.
    static constexpr std::uint32_t max_beyond_slots = 1;

    explicit slot_scheduler(std::uint32_t slots) { set_slots(slots); }

    void set_slots(std::uint32_t slots)
    {
        slots_ = slots;
        warm_up_.set_full_limit(slots + max_beyond_slots);
    }

    /// Limits the running statements of a cold instance; see `warm_up`.
    [[nodiscard]] warm_up &cold_limit() { return warm_up_; }
    [[nodiscard]] const warm_up &cold_limit() const { return warm_up_; }

    /// Submits a statement; it runs now, waits until `next` or `expired` returns it, or is refused.
    slot_decision submit(const slot_request &request, time_point now);

    /// Records that a running statement has got its connection; its duration counts from now.
    void connected(std::uint64_t key, time_point now);

    /// Records the end of a running statement. Its duration is a sample only if it was answered. `refused`:
    /// the instance shed it, or did not answer it in time.
    void finished(std::uint64_t key, bool answered, time_point now, bool refused = false);

    /// Returns the waiting statements to start now.
    std::vector<std::uint64_t> next(time_point now);

    /// Removes and returns the statements that have waited beyond their `wait_until`.
    std::vector<std::uint64_t> expired(time_point now);

    /// Returns how long a new statement of the priority would wait.
    [[nodiscard]] std::chrono::microseconds expected_wait(std::uint32_t priority, time_point now) const;

    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t waiting() const { return queue_.length(); }

private:
    struct running_statement
    {
        std::string label;
        time_point since;
    };

    [[nodiscard]] bool has_capacity(time_point now) const { return running_.size() < warm_up_.limit(now); }
    [[nodiscard]] std::chrono::microseconds remaining_running_time(time_point now) const;
    void start(std::uint64_t key, const std::string &label, time_point now);

    std::uint32_t slots_;
    request_queue queue_;
    duration_estimator estimator_;
    warm_up warm_up_;
    std::unordered_map<std::uint64_t, running_statement> running_;
};

} // namespace baobabport::admission
