// The pool of connections from a home to the instances of one database group, and the slots in use.

#pragma once

#include "home/upstream.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace baobabport::home {

using time_point = std::chrono::steady_clock::time_point;

/**
 * Tracks the state of connections and slots; the caller opens and closes the connections.
 *
 * Invariants: an instance has no more connections than the limit, and no more calls in flight than its
 * slots. A connection carries one call at a time. A pinned connection serves only its transaction.
 */
class connection_pool
{
public:
    enum class state_kind : std::uint8_t
    {
        opening,
        idle,
        busy,
        pinned,    ///< idle, within a transaction
        abandoned, ///< busy with a call whose request has already been answered
    };

    struct connection
    {
        connection_id id = 0;
        instance_id instance = 0;
        state_kind state = state_kind::opening;
        call_id call = 0;
        time_point since; ///< when the connection entered its state
        bool long_statement = false;
        bool in_transaction = false;
    };

    connection_pool(std::size_t instances, std::uint32_t slots, std::uint32_t limit);

    /// Sets the maximum number of connections per instance; surplus ones are closed when they become idle.
    void set_limit(std::uint32_t limit) { limit_ = limit; }

    /**
     * Returns the connections to open, one element per connection, and counts them as opening.
     *
     * `may_open` has one element per instance.
     */
    std::vector<connection> open_missing(const std::vector<bool> &may_open, time_point now);

    void opened(connection_id id, time_point now);

    /// Records that the connection could not be opened; the back-off before the next attempt grows each time.
    void open_failed(connection_id id, time_point now);

    /// Removes a connection in any state; returns it, or none if the id is unknown.
    std::optional<connection> remove(connection_id id);

    [[nodiscard]] std::optional<connection_id> idle(instance_id instance) const;
    [[nodiscard]] const connection *find(connection_id id) const;

    void begin_call(connection_id id, call_id call, bool long_statement, time_point now);

    /// Ends the call; the connection becomes idle, or pinned if it is in a transaction.
    void end_call(connection_id id, time_point now);

    /// Records that the call has no waiting request any more; its slot stays in use until the connection
    /// ends.
    void abandon(connection_id id, time_point now);

    void pin(connection_id id) { connections_.at(id).in_transaction = true; }
    void unpin(connection_id id) { connections_.at(id).in_transaction = false; }

    /**
     * Returns the connections with a call abandoned for `abandoned_call_timeout`, and the idle connections
     * above the limit.
     */
    [[nodiscard]] std::vector<connection_id>
    connections_to_close(std::chrono::milliseconds abandoned_call_timeout, time_point now) const;

    [[nodiscard]] std::vector<connection> of_instance(instance_id instance) const;
    [[nodiscard]] std::uint32_t running(instance_id instance) const;
    [[nodiscard]] std::uint32_t long_running(instance_id instance) const;
    [[nodiscard]] std::uint32_t count(instance_id instance) const;
    [[nodiscard]] std::uint32_t slots() const { return slots_; }
    [[nodiscard]] std::uint32_t limit() const { return limit_; }
    [[nodiscard]] const std::map<connection_id, connection> &all() const { return connections_; }

private:
    struct opening_state
    {
        std::uint32_t failures = 0;
        time_point not_before;
    };

    std::map<connection_id, connection> connections_;
    std::vector<opening_state> opening_;
    std::uint32_t slots_;
    std::uint32_t limit_;
    connection_id next_id_ = 1;
};

} // namespace baobabport::home
