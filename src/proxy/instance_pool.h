// The connections of this process to one instance.

#pragma once

#include "inner/timer.h"
#include "proxy/upstream_connection.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::proxy {

/// Why a request got no connection.
enum class acquire_failure : std::uint8_t
{
    wait_expired,
    unreachable, ///< the instance does not take connections now
};

/// What a request for a connection looks for.
struct connection_request
{
    std::uint32_t priority = 0;                            ///< 0 is served first
    time_point deadline;                                   ///< refused when it still waits then
    std::shared_ptr<const session::session_values> values; ///< a connection that has them is preferred
};

/**
 * Opens connections as requests need them, up to a limit, and keeps a few for the next ones.
 *
 * A connection is used by one request at a time; the request gives it back or drops it.
 */
class instance_pool : public std::enable_shared_from_this<instance_pool>
{
public:
    using connection = std::shared_ptr<upstream_connection>;
    using acquire_hook = std::function<void(const connection &, std::optional<acquire_failure>)>;
    using request_id = std::uint64_t;

    /// After a failed attempt to open, further ones wait this long; two detection intervals.
    static constexpr std::chrono::milliseconds retry_after_failure{200};
    /// An idle connection is closed after this time, so that others may have it.
    static constexpr std::chrono::milliseconds idle_time{3000};
    /// An attempt to open that takes longer has failed: 12 ms and the instance's queue are usual.
    static constexpr std::chrono::milliseconds open_timeout{600};

    /// Hooks towards the group: evidence on whether the instance lives.
    struct health_hooks
    {
        std::function<void()> requested;
        std::function<void()> answered;
        /// `absent`: the instance is not at its address; otherwise a connection ended or did not open.
        std::function<void(const std::string &reason, bool absent)> failed;
    };

    instance_pool(event_base *base, upstream_target target, std::uint32_t limit, health_hooks health);
    ~instance_pool();
    instance_pool(const instance_pool &) = delete;
    instance_pool &operator=(const instance_pool &) = delete;

    /// Calls the hook, at once or later, with a connection or the reason why there is none.
    request_id acquire(const connection_request &request, acquire_hook done);

    /// Withdraws a request that still waits.
    void cancel(request_id which);

    /// Takes back a connection that is outside any transaction and has no statement unanswered.
    void release(const connection &it);

    /// Ends a connection whose state is not known.
    void drop(const connection &it);

    /// Gives up requests that have waited too long and closes what is idle.
    void tick(time_point now);

    void set_limit(std::uint32_t limit) { limit_ = limit; }

    /// Statements that the instance runs at the same time.
    void set_slots(std::uint32_t slots) { slots_ = slots; }
    [[nodiscard]] std::uint32_t slots() const { return slots_; }

    /// Ends all idle connections and refuses what waits; connections in use end when they come back.
    void retire();

    [[nodiscard]] bool reachable(time_point now) const { return now >= retry_at_; }
    [[nodiscard]] std::size_t open_count() const { return all_.size(); }
    [[nodiscard]] std::size_t waiting_count() const { return waiting_.size(); }
    [[nodiscard]] std::size_t idle_count() const { return idle_.size(); }
    [[nodiscard]] const upstream_target &target() const { return target_; }
    [[nodiscard]] const health_hooks &health() const { return health_; }

private:
    struct waiter
    {
        request_id id = 0;
        connection_request request;
        acquire_hook done;
    };
    struct idle_connection
    {
        connection it;
        time_point since;
    };

    [[nodiscard]] std::size_t opening() const;
    void open_for_waiting();
    void end_slow_attempts(time_point now);
    void end_unresponsive(time_point now);
    void on_closed(upstream_connection *which, const std::optional<session::failure> &refusal);
    void serve_waiting();
    void refuse_expired(time_point now);
    void refuse_waiting(acquire_failure reason);
    connection pop_idle(const session::session_values *values);
    std::list<waiter>::iterator next_waiter();

    event_base *base_;
    upstream_target target_;
    std::uint32_t limit_;
    std::uint32_t slots_ = 1;
    health_hooks health_;
    std::vector<idle_connection> idle_;
    std::vector<connection> all_; ///< open or opening
    std::list<waiter> waiting_;   ///< in order of arrival
    time_point retry_at_;
    request_id last_request_id_ = 0;
    bool retired_ = false;
};

} // namespace baobabport::proxy
