// Pool of the connections of this process to one instance.

#pragma once

#include "admission/connection_allocation.h"
#include "inner/timer.h"
#include "proxy/upstream_connection.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace baobabport::proxy {

/// Reason why a request for a connection failed.
enum class acquire_failure : std::uint8_t
{
    wait_expired,
    unreachable, ///< the instance does not accept connections at present
    exhausted,   ///< no connection is expected to become available before the deadline
};

/// Priority, deadline and preference of a request for a connection.
struct connection_request
{
    std::uint32_t priority = 0;                            ///< 0 is served first
    time_point deadline;                                   ///< refused if it still waits then
    std::shared_ptr<const session::session_values> values; ///< a connection that has these is preferred
    std::string workspace = {}; ///< to which the connection must belong; empty: to the proxy itself
    /// Expected time until its release; none if a transaction uses it.
    std::optional<std::chrono::microseconds> hold = std::nullopt;
};

/**
 * Opens connections on demand, up to a limit, and keeps idle ones for later requests.
 *
 * A connection is used by one request at a time, which must release or drop it. It belongs to one workspace,
 * whose name the instance was told when it was opened. `connection_allocation` makes the decisions.
 */
class instance_pool : public std::enable_shared_from_this<instance_pool>
{
public:
    using connection = std::shared_ptr<upstream_connection>;
    using acquire_hook = std::function<void(const connection &, std::optional<acquire_failure>)>;
    using request_id = std::uint64_t;

    /// Time-out of opening a connection, which usually takes 12 ms and the wait in the instance's queue.
    static constexpr std::chrono::milliseconds open_timeout{600};

    /// Hooks of the group that report whether the instance is responsive.
    struct health_hooks
    {
        std::function<void()> requested;
        std::function<void()> answered;
        /// `absent`: the instance is not at its address; otherwise a connection was lost or could not be
        /// opened.
        std::function<void(const std::string &reason, bool absent)> failed;
    };

    instance_pool(event_base *base, upstream_target target, std::uint32_t limit, health_hooks health);
    ~instance_pool();
    instance_pool(const instance_pool &) = delete;
    instance_pool &operator=(const instance_pool &) = delete;

    /// Calls the hook, possibly before this returns, with a connection or the reason why there is none.
    request_id acquire(const connection_request &request, acquire_hook done);

    /// Cancels a request that still waits.
    void cancel(request_id which);

    /// Returns a connection to the pool; it must be outside any transaction and have no unanswered statement.
    void release(const connection &it);

    /// Closes a connection whose state is not known.
    void drop(const connection &it);

    /// A transaction on the connection waits for its caller; it may be ended from `may_end_at`.
    void rest(const connection &it, time_point may_end_at);

    /// The transaction has a further statement.
    void resume(const connection &it);

    /// Records that a workspace has a statement for the instance.
    void record_demand(const std::string &workspace) { allocation_.record_demand(workspace, now()); }

    /// Returns the outlook of the last of `waiting` statements of the workspace for a connection.
    [[nodiscard]] admission::connection_outlook outlook(const std::string &workspace, std::size_t waiting,
                                                        time_point now) const;

    /// Returns true if statements of workspaces cannot run because all connections are in use.
    [[nodiscard]] bool exhausted(time_point now) const { return !retired_ && allocation_.exhausted(now); }

    /// Refuses expired requests, and closes connections that are idle, slow to open or unresponsive.
    void tick(time_point now);

    void set_limit(std::uint32_t limit) { allocation_.set_limit(limit); }

    /// Sets the check whether other processes forward statements for the instance to this one first.
    void set_home_check(std::function<bool()> is_home) { is_home_ = std::move(is_home); }

    /// Sets the number of statements that the instance runs at the same time.
    void set_slots(std::uint32_t slots) { slots_ = slots; }
    [[nodiscard]] std::uint32_t slots() const { return slots_; }

    /// Returns true if a connection got no answer or could not be opened since the last call.
    [[nodiscard]] bool take_lost() { return std::exchange(lost_, false); }

    /// Since when the instance is cold; none: it is not, or it must not be limited. See `admission::warm_up`.
    void set_cold_since(std::optional<time_point> since) { cold_since_ = since; }
    [[nodiscard]] std::optional<time_point> cold_since() const { return cold_since_; }

    /// Closes idle connections and refuses waiting requests; connections in use are closed on release.
    void retire();

    [[nodiscard]] bool reachable(time_point now) const { return allocation_.reachable(now); }
    [[nodiscard]] std::size_t open_count() const { return all_.size(); }
    [[nodiscard]] std::size_t waiting_count() const { return waiting_.size(); }
    [[nodiscard]] std::size_t idle_count() const { return allocation_.idle(); }
    [[nodiscard]] const upstream_target &target() const { return target_; }
    [[nodiscard]] const health_hooks &health() const { return health_; }

private:
    struct waiter
    {
        request_id id = 0;
        connection_request request;
        acquire_hook done;
    };
    [[nodiscard]] static time_point now();
    [[nodiscard]] connection find(std::uint64_t number) const;
    void remove(const connection &it);
    void open_for_waiting();
    void open(const connection_request &request);
    void close_idle(std::uint64_t number);
    void close_unneeded(time_point now);
    void refuse_hopeless(time_point now);
    void end_slow_attempts(time_point now);
    void end_unresponsive(time_point now);
    void on_closed(upstream_connection *which, const std::optional<session::failure> &refusal);
    void serve_waiting();
    void refuse_expired(time_point now);
    void refuse_waiting(acquire_failure reason);
    connection pop_idle(const connection_request &request);
    /// Returns the waiting request to open a connection for, or none: each has one that is being opened.
    [[nodiscard]] const waiter *next_to_open() const;
    event_base *base_;
    upstream_target target_;
    std::uint32_t slots_ = 1;
    std::optional<time_point> cold_since_;
    bool lost_ = false; ///< see `take_lost`
    health_hooks health_;
    std::function<bool()> is_home_ = [] { return true; };
    admission::connection_allocation allocation_; ///< knows exactly the connections in `all_`
    std::vector<connection> all_;                 ///< open or opening
    std::list<waiter> waiting_;                   ///< in order of arrival
    request_id last_request_id_ = 0;
    std::uint64_t last_connection_number_ = 0;
    bool retired_ = false;
};

} // namespace baobabport::proxy
