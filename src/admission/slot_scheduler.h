// Schedules the statements of one instance: which run now, which wait and which are refused at once.

#pragma once

#include "admission/connection_allocation.h"
#include "admission/duration_estimator.h"
#include "admission/fair_queue.h"
#include "admission/request_queue.h"
#include "admission/warm_up.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
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
    std::string workspace = {};    ///< for which it runs; empty: none
};

enum class slot_decision : std::uint8_t
{
    run,
    wait,
    refuse,        ///< it would wait beyond `wait_until`
    no_connection, ///< no connection is expected to become available before `wait_until`
};

/**
 * Keeps an instance's slots busy and the queue at the instance short, so that order and refusals are decided
 * here.
 *
 * Without workspaces, the order is that of `request_queue`. From the first statement of a workspace, it is
 * that of `fair_queue`; statements without a workspace then share as if they were of one more.
 */
class slot_scheduler
{
public:
    /// Statements sent beyond the number of slots, to hide the latency between an answer and the next start.
    static constexpr std::uint32_t max_beyond_slots = 1;

    /// Outlook of the last of `waiting` statements of a workspace for a connection.
    using connection_hook =
        std::function<connection_outlook(const std::string &workspace, std::size_t waiting, time_point now)>;

    /// Interval at which the waits of statements of workspaces are estimated again.
    static constexpr std::chrono::milliseconds late_check_interval{60};
    /// A waiting statement is refused if its expected wait exceeds the time left by this factor: the estimate
    /// is the surer the less time is left.
    static constexpr double late_factor = 1.25;

    /// A sample of a statement's duration is taken for at most this multiple of the expected one when its
    /// workspace is charged: a suspension of this process looks like long statements.
    static constexpr int max_charged_multiple = 4;

    explicit slot_scheduler(std::uint32_t slots) { set_slots(slots); }

    void set_slots(std::uint32_t slots)
    {
        slots_ = slots;
        warm_up_.set_full_limit(slots + max_beyond_slots);
    }

    /// Limits the running statements of a cold instance; see `warm_up`.
    [[nodiscard]] warm_up &cold_limit() { return warm_up_; }
    [[nodiscard]] const warm_up &cold_limit() const { return warm_up_; }

    /// Sets the hook that is asked before a statement of a workspace starts.
    void set_connections(connection_hook connections) { connections_ = std::move(connections); }

    /// Submits a statement; it runs now, waits until `next` or `expired` returns it, or is refused.
    slot_decision submit(const slot_request &request, time_point now);

    /// Records that a running statement has got its connection; its duration counts from now.
    void connected(std::uint64_t key, time_point now);

    /// Records the end of a running statement. Its duration is a sample only if it was answered. `refused`:
    /// the instance shed it, or did not answer it in time.
    void finished(std::uint64_t key, bool answered, time_point now, bool refused = false);

    /// Returns the waiting statements to start now, at most so many. With workspaces, the connection that one
    /// takes changes the outlook of the next, so each must be started before the next call.
    std::vector<std::uint64_t> next(time_point now,
                                    std::size_t most = std::numeric_limits<std::size_t>::max());

    /// Removes and returns the statements that have waited beyond their `wait_until`, and those of workspaces
    /// that are now expected to do so.
    std::vector<std::uint64_t> expired(time_point now);

    /// Returns how long a new statement of the priority and workspace would wait for a slot.
    [[nodiscard]] std::chrono::microseconds expected_wait(std::uint32_t priority, time_point now,
                                                          const std::string &workspace = {}) const;

    /// Returns true if slots are free, but no connection for the statements that wait.
    [[nodiscard]] bool lacks_connections(time_point now) const
    {
        return has_capacity(now) && fair_.length() > 0;
    }

    /// Returns true once a statement of a workspace was submitted.
    [[nodiscard]] bool has_workspaces() const { return has_workspaces_; }

    /// Returns how long a statement with the label is expected to take.
    [[nodiscard]] std::chrono::microseconds expected_duration(const std::string &label) const
    {
        return estimator_.expected(label);
    }

    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t waiting() const { return queue_.length() + fair_.length(); }

private:
    struct running_statement
    {
        std::string label;
        time_point since;
        document::priority_kind priority = document::priority_kind::normal;
        std::string workspace = {};
        std::chrono::microseconds charged{0}; ///< to the workspace
        bool opens_connection = false;        ///< its charge includes opening a connection
        bool connected = true;                ///< false: the connection is not open yet
    };

    [[nodiscard]] bool has_capacity(time_point now) const { return running_.size() < warm_up_.limit(now); }
    [[nodiscard]] std::chrono::microseconds remaining_running_time(time_point now) const;
    slot_decision submit_fairly(const slot_request &request, time_point now);
    [[nodiscard]] connection_outlook outlook(const std::string &workspace, std::size_t waiting,
                                             time_point now) const;
    void start_fairly(const queued_request &request, bool opens_connection, time_point now);
    [[nodiscard]] std::vector<queued_request> pop_late(time_point now);
    void correct_charge(const running_statement &ended, time_point now);
    void start(std::uint64_t key, const std::string &label, time_point now);

    std::uint32_t slots_;
    request_queue queue_; ///< until the first statement of a workspace
    fair_queue fair_{connection_allocation::opening_cost};
    bool has_workspaces_ = false;
    connection_hook connections_;
    time_point late_checked_at_;
    duration_estimator estimator_;
    warm_up warm_up_;
    std::unordered_map<std::uint64_t, running_statement> running_;
};

} // namespace baobabport::admission
