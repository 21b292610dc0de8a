// Which connection to one instance serves which workspace, and when one is opened, closed or waited for.
//
// Answers the load of more workspaces than connections: a connection belongs to one workspace, and a new one
// occupies a slot of the instance for longer than most statements.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabport::admission {

using time_point = std::chrono::steady_clock::time_point;

/// What a statement of a workspace that has no connection yet can expect.
struct connection_outlook
{
    enum class kind : std::uint8_t
    {
        ready,       ///< an idle connection of the workspace
        soon,        ///< one in use is expected back before a new one would be open
        openable,    ///< a new one can be opened, possibly in place of an idle one
        unavailable, ///< all are in use, or the instance takes no new ones at present
    };

    kind state = kind::ready;
    std::chrono::microseconds wait{0}; ///< until the statement can have a connection, at the earliest
};

/**
 * Keeps account of the connections of one pool and makes its decisions; the pool owns the sockets.
 *
 * The workspace with the empty name stands for the proxy itself. Until a workspace with a name has asked for
 * a connection, the decisions are those of a pool without workspaces.
 *
 * Invariant: `size()` is at most the limit, except after the limit was lowered.
 */
class connection_allocation
{
public:
    using connection_number = std::uint64_t;
    using preference = std::function<bool(connection_number)>;

    /// Time for which opening a connection occupies a slot of the instance.
    static constexpr std::chrono::milliseconds opening_cost{12};
    /// Back-off delay after a failed attempt to open a connection; two detection intervals.
    static constexpr std::chrono::milliseconds retry_after_failure{200};
    /// The delay doubles up to this with each attempt that the instance refuses for its connection limit.
    static constexpr std::chrono::milliseconds longest_limit_delay{3200};
    /// An idle connection is closed after this time, so that other processes can open one. Those of
    /// workspaces are kept for as long as this process is their home and is asked for them.
    static constexpr std::chrono::milliseconds idle_time{3000};
    /// At the instance's limit, an idle connection is closed this long before one is opened in its place:
    /// otherwise the instance may see the new one first, and refuse it.
    static constexpr std::chrono::milliseconds replacement_delay{5};
    /// Connections that workspaces with names leave to the proxy's own statements.
    static constexpr std::uint32_t own_reserve = 1;

    explicit connection_allocation(std::uint32_t limit) : limit_(limit) {}

    void set_limit(std::uint32_t limit) { limit_ = limit; }

    /// Records that a workspace has a statement for the instance.
    void record_demand(const std::string &workspace, time_point now);

    /// The life of a connection, from the attempt to open it to its end.
    void add(connection_number it, const std::string &workspace);
    void opened(connection_number it, time_point now);
    /// `hold`: the expected time until its release; none if it is used by a transaction.
    void taken(connection_number it, std::optional<std::chrono::microseconds> hold, time_point now);
    /// A transaction waits for its caller; it may be ended from `may_end_at` to free the connection.
    void rested(connection_number it, time_point may_end_at);
    void released(connection_number it, time_point now);
    void removed(connection_number it) { connections_.erase(it); }

    /// Records that an attempt failed, or that the instance refused it for its connection limit. The
    /// connection was removed before.
    void record_failure(time_point now);
    void record_limit_refusal(time_point now);

    /// Returns an idle connection of the workspace, one that is preferred if there is such, or none.
    [[nodiscard]] std::optional<connection_number> idle_of(const std::string &workspace,
                                                           const preference &preferred) const;

    /// Returns the outlook of the last of `waiting` statements of the workspace.
    [[nodiscard]] connection_outlook outlook(const std::string &workspace, std::size_t waiting,
                                             time_point now) const;

    /// How a connection may be opened now.
    struct opening_plan
    {
        bool open = false;
        std::optional<connection_number> close; ///< is closed first, to make room
    };

    /// Returns whether a connection may be opened for the workspace. Idle connections of the workspaces in
    /// `needed` stay open.
    [[nodiscard]] opening_plan plan_opening(const std::string &workspace, const std::set<std::string> &needed,
                                            time_point now) const;

    /// Records that a connection was closed to make room at the instance's limit.
    void record_replacement(time_point now) { replace_at_ = now + replacement_delay; }

    /// Returns the connections that are no longer kept. `is_home`: statements for the instance are forwarded
    /// to this process first.
    [[nodiscard]] std::vector<connection_number> idle_too_long(bool is_home, time_point now) const;

    /// Returns true if statements of workspaces wait because all connections are in use.
    [[nodiscard]] bool exhausted(time_point now) const;

    /// Returns false for a while after an attempt to open a connection was refused or failed.
    [[nodiscard]] bool reachable(time_point now) const { return now >= retry_at_; }

    [[nodiscard]] bool has_workspaces() const { return named_demand_at_.has_value(); }
    [[nodiscard]] std::size_t size() const { return connections_.size(); }
    [[nodiscard]] bool is_idle(connection_number it) const;
    [[nodiscard]] std::size_t idle() const { return count(phase::idle); }
    [[nodiscard]] std::size_t opening() const { return count(phase::opening); }
    [[nodiscard]] std::size_t opening(const std::string &workspace) const;

private:
    enum class phase : std::uint8_t
    {
        opening,
        idle,
        in_use,
        resting, ///< its transaction waits for the caller
    };
    struct connection
    {
        std::string workspace;
        phase state = phase::opening;
        time_point idle_since;
        std::uint64_t idle_order = 0;         ///< rises with each connection that becomes idle
        std::optional<time_point> release_at; ///< in use: the expected end; resting: when it may be ended
        std::chrono::microseconds hold{0};    ///< in use: the expected time from its start to its end
    };
    struct demand
    {
        time_point last;
        std::chrono::microseconds interval{0}; ///< mean time between statements; 0: only one so far
    };

    [[nodiscard]] std::size_t count(phase state) const;
    [[nodiscard]] std::size_t named_count() const;
    [[nodiscard]] std::uint32_t named_limit() const;
    [[nodiscard]] std::optional<connection_number> least_needed(const std::set<std::string> &needed,
                                                                bool of_workspaces, time_point now) const;
    [[nodiscard]] std::optional<std::chrono::microseconds>
    time_until_release(const std::string &workspace, std::size_t waiting, time_point now) const;
    [[nodiscard]] std::chrono::microseconds earliest_release(time_point now) const;
    [[nodiscard]] bool at_instance_limit() const { return size() >= refused_above_; }

    std::uint32_t limit_;
    /// Connections above this number are opened one at a time: the instance refused one.
    std::size_t refused_above_ = std::numeric_limits<std::size_t>::max();
    std::chrono::milliseconds limit_delay_ = retry_after_failure;
    time_point retry_at_;
    bool limit_refused_ = false; ///< `retry_at_` was set by a refusal for the connection limit
    time_point replace_at_;
    std::uint64_t last_idle_order_ = 0;
    std::optional<time_point> named_demand_at_; ///< when a workspace with a name asked last
    std::map<connection_number, connection> connections_;
    std::unordered_map<std::string, demand> demands_;
};

} // namespace baobabport::admission
