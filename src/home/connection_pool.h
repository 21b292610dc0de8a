// The connections a home holds to the instances of one database group, and the slots in use.

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
 * Counts connections and slots; opens nothing itself.
 *
 * Invariants: an instance has no more connections than the limit, and no more calls in flight than its
 * slots. A connection carries one call at a time. A pinned connection serves its transaction only.
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
        abandoned, ///< busy with a call that nobody waits for any more
    };

    struct connection
    {
        connection_id id = 0;
        instance_id instance = 0;
        state_kind state = state_kind::opening;
        call_id call = 0;
        time_point since; ///< of the state
        bool long_statement = false;
        bool in_transaction = false;
    };

    connection_pool(std::size_t instances, std::uint32_t slots, std::uint32_t limit);

    /// Sets the most connections an instance may have; what is open above it closes as it falls idle.
    void set_limit(std::uint32_t limit) { limit_ = limit; }

    /**
     * Returns the instances to open a connection to, one element a connection, and counts them as opening.
     */
    std::vector<connection> open_missing(const std::vector<bool> &may_open, time_point now);

    void opened(connection_id id, time_point now);

    /// Takes in that no connection could be opened; the next try waits longer each time.
    void open_failed(connection_id id, time_point now);

    /// Forgets a connection, whatever its state; returns what it was, or none.
    std::optional<connection> remove(connection_id id);

    [[nodiscard]] std::optional<connection_id> idle(instance_id instance) const;
    [[nodiscard]] const connection *find(connection_id id) const;

    void begin_call(connection_id id, call_id call, bool long_statement, time_point now);

    /// Ends the call; the connection falls idle, or pinned if it is in a transaction.
    void end_call(connection_id id, time_point now);

    /// Nobody waits for the call any more; the slot stays in use until the connection ends.
    void abandon(connection_id id, time_point now);

    void pin(connection_id id) { connections_.at(id).in_transaction = true; }
    void unpin(connection_id id) { connections_.at(id).in_transaction = false; }

    /**
     * Returns the abandoned calls and the surplus idle connections that should be closed now.
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
