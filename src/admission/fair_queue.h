// The queue of statements of workspaces that wait for a slot: start-time fair queueing (Goyal, Vin, Cheng
// 1996) over the workspaces of a priority.
//
// Answers the load of one workspace that sends many times its usual load beside many small ones.

#pragma once

#include "admission/request_queue.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace baobabport::admission {

/**
 * Orders requests by priority as `request_queue` does, with the same ageing, and by the slot time of their
 * workspaces within a priority. The requests of a workspace keep their order, except that those in open
 * transactions precede the others.
 *
 * Each workspace has a start tag: the slot time that it has been charged, in virtual time. The lowest tag is
 * served first, and the virtual time of a priority is the tag that was served last. A workspace that begins
 * to wait starts at the virtual time, if its own tag is lower, so that idleness earns nothing.
 *
 * Invariant: while two workspaces of one priority both wait and may both run, the slot time charged to each
 * since both began to wait differs by at most the cost of one request of each.
 *
 * An operation takes O(log n) for n requests; `pop` adds this for each workspace that may not run.
 */
class fair_queue
{
public:
    /// Whether the next request of a workspace may run.
    enum class readiness : std::uint8_t
    {
        ready,
        opens_connection, ///< `opening_cost` is added to its cost
        not_now,
    };
    /// Receives the workspace and the number of its requests that wait in this priority.
    using readiness_check = std::function<readiness(const std::string &workspace, std::size_t waiting)>;

    /// A request that was removed, with its cost as charged.
    struct popped_request
    {
        queued_request request;
        bool opens_connection = false;
    };

    /// Workspaces of equal tags that are searched for one that need not open a connection.
    static constexpr std::size_t tie_depth = 8;

    explicit fair_queue(std::chrono::microseconds opening_cost) : opening_cost_(opening_cost) {}

    /// Adds a request; returns false, adding nothing, if a limit would be exceeded.
    [[nodiscard]] bool push(const queued_request &request, const document::limit_policy &limits);

    /// Removes and returns the next unexpired request that may run, or none.
    std::optional<popped_request> pop(const readiness_check &check, const document::limit_policy &limits,
                                      time_point now);

    /// Charges a request that starts without having waited.
    void charge_start(document::priority_kind priority, const std::string &workspace,
                      std::chrono::microseconds cost);

    /// Corrects what a workspace was charged for a request whose slot time has become known.
    void correct(document::priority_kind priority, const std::string &workspace,
                 std::chrono::microseconds difference);

    /// Removes and returns all requests whose deadline has passed.
    std::vector<queued_request> pop_expired(time_point now);

    /// Receives a request and the slot time of those that precede it.
    using lateness_check =
        std::function<bool(const queued_request &request, std::chrono::microseconds ahead)>;

    /// Removes and returns requests that are too late, beginning with the last of each workspace; those in
    /// open transactions stay. Takes O(workspaces) for each workspace and each request that is removed.
    std::vector<queued_request> pop_late(const lateness_check &is_late);

    /// Returns the expected slot time of the requests that precede a new one of the workspace, in
    /// O(workspaces).
    [[nodiscard]] std::chrono::microseconds slot_time_ahead(document::priority_kind priority,
                                                            const std::string &workspace) const;

    [[nodiscard]] std::size_t length() const { return index_.size(); }
    [[nodiscard]] std::size_t waiting_of(document::priority_kind priority,
                                         const std::string &workspace) const;

private:
    static constexpr std::size_t levels = 3; ///< one for each `document::priority_kind`

    /// Requests in open transactions have 0 as the first part, others 1; the second rises with each request.
    using position = std::pair<int, std::uint64_t>;

    struct flow
    {
        double tag = 0;                    ///< microseconds of virtual time
        std::uint64_t order = 0;           ///< among equal tags; set when the workspace begins to wait
        std::chrono::microseconds work{0}; ///< expected, of the waiting requests
        std::map<position, queued_request> waiting;
    };
    using flow_key = std::tuple<double, std::uint64_t, std::string>; ///< tag, order, workspace

    struct level
    {
        double virtual_time = 0;
        std::unordered_map<std::string, flow> flows;
        std::set<flow_key> waiting; ///< the flows with waiting requests
        std::set<flow_key> idle;    ///< the others; kept until the virtual time has passed their tag
        std::set<std::pair<time_point, std::uint64_t>> by_age; ///< waiting requests
        std::chrono::microseconds work{0};                     ///< expected, of the waiting requests
    };
    struct location
    {
        std::size_t level = 0;
        std::string workspace;
        position at;
    };

    [[nodiscard]] static std::size_t level_of(document::priority_kind priority);
    [[nodiscard]] static flow_key key_of(const flow &it, const std::string &workspace);
    flow &flow_of(level &in, const std::string &workspace);
    void set_tag(level &in, const std::string &workspace, double tag);
    void forget_idle(level &in);
    queued_request remove(std::uint64_t key);
    std::optional<popped_request> pop_from(level &from, const readiness_check &check, time_point now);
    std::optional<popped_request> pop_aged(const readiness_check &check, time_point enqueued_before,
                                           time_point now);
    popped_request serve(level &from, std::uint64_t key, bool opens_connection);

    std::chrono::microseconds opening_cost_;
    std::array<level, levels> levels_;
    std::unordered_map<std::uint64_t, location> index_;          ///< by request
    std::set<std::pair<time_point, std::uint64_t>> by_deadline_; ///< all requests
    std::size_t bytes_ = 0;
    std::uint64_t last_order_ = 0;
    std::uint32_t popped_since_aged_ = 0; ///< requests popped since the last aged one
};

} // namespace baobabport::admission
