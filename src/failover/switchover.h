// Replacement of a group's primary: which commands are sent to which instance, and when. Used by
// the proxy process that is the leader of the fleet, through `proxy::failover_task`.

#pragma once

#include "replication/member_report.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabport::failover {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// The state of one instance at the time of a step, as far as it is known.
struct member_view
{
    std::string id;
    bool leaving = false;             ///< it announced its shutdown
    bool refuses = false;             ///< its address refuses connections, or another instance has it
    milliseconds unresponsive_for{0}; ///< since the first unanswered request
    std::optional<replication::member_report> report;
};

struct group_snapshot
{
    std::vector<member_view> members;
    std::optional<std::string> primary;
    std::uint64_t term = 0; ///< of the last primary observed
    /// A replacement may begin: no lease or order of an earlier leader is in force, and
    /// `leadership_takeover::order_separation` has passed since its last order.
    bool may_replace = true;
    bool leases_ended = true; ///< no process relies on a lease on the primary
    /// Number of replicas that receive a commit before it is acknowledged.
    std::uint32_t sync_replicas = 0;
};

enum class action_kind : std::uint8_t
{
    pause,     ///< a replica stops receiving
    promote,   ///< ordered from the platform
    step_down, ///< a former primary becomes a replica
    resume,    ///< a replica receives again
    probe,     ///< an instance reports its status
};

struct action
{
    action_kind kind = action_kind::probe;
    std::string instance;
    std::uint64_t term = 0;
};

enum class promotion_result : std::uint8_t
{
    accepted,
    absent,    ///< the instance is not running, or the order arrived too late
    not_sent,  ///< the leadership does not allow it yet: order again at once
    refused,   ///< refused for now and not carried out: order again
    uncertain, ///< no answer, it may be carried out: order again
};

/**
 * Carries out one replacement at a time.
 *
 * Before a promotion, every reachable replica is paused. A silent one forbids the promotion, unless the
 * primary of the latest term refuses connections: other processes may reach both. One that refuses
 * connections is not running. A process that requests the reports of all replicas therefore detects that a
 * promotion is in progress, before the new primary accepts its first write. One report is not enough: the
 * promotion ends the pauses, and a replica that receives nothing does not know the new term
 * (`replication::group_state`).
 *
 * If commits wait for replicas, one of the compared logs must have each acknowledged commit, so that replicas
 * that do not run are waited for, too. See docs/design/promotion.md.
 */
class switchover
{
public:
    /// A primary that is unresponsive for this long is replaced; several round trips and its longest
    /// statement.
    static constexpr milliseconds unresponsive_limit{800};
    /// A primary whose address refuses connections for this long is replaced; two connection attempts.
    static constexpr milliseconds refusal_limit{350};
    /// In a group whose latest primary is unknown for this long, a replica is promoted; several rounds of
    /// requests.
    static constexpr milliseconds no_primary_limit{800};
    /// Time-out for unanswered pauses and for the end of leases; longer than a lease.
    static constexpr milliseconds pause_limit{800};
    /// A promoted instance that reports after this time that it is not the primary is abandoned, and the
    /// promotion of an unresponsive one is ordered again; twice the longest promotion.
    static constexpr milliseconds promotion_limit{4000};
    /// A failed replacement is retried after this time.
    static constexpr milliseconds retry_delay{500};
    /// A paused replica is not resumed for this long, in case another process is replacing the primary.
    static constexpr milliseconds orphan_limit{3000};
    /// An unreachable former primary steps down by itself within this time, once it reaches the new one.
    static constexpr milliseconds self_step_down_time{1500};
    /// Commands are repeated at this interval until reports show their effect.
    static constexpr milliseconds repeat_interval{60};

    enum class phase : std::uint8_t
    {
        idle,
        pausing,
        promoting,
        awaiting_primary,
        settling,
    };

    /// Decides the next actions at `now`.
    std::vector<action> step(const group_snapshot &group, time_point now);

    /// Records an instance's answer to a pause.
    void record_pause(const std::string &id, const replication::member_report &report);

    /// Records the platform's answer to a promotion order.
    void record_promotion_result(promotion_result result, time_point now);

    [[nodiscard]] phase current() const { return phase_; }
    [[nodiscard]] std::string_view last_reason() const { return last_reason_; }
    [[nodiscard]] const std::string &candidate() const { return candidate_; }

    /// Returns the ids of the instances that are paused for the replacement, separated by blanks.
    [[nodiscard]] std::string paused_instances() const;

private:
    std::vector<action> step_idle(const group_snapshot &group, time_point now);
    std::vector<action> step_pausing(const group_snapshot &group, time_point now);
    std::vector<action> step_promoting(const group_snapshot &group, time_point now);
    std::vector<action> step_awaiting_primary(const group_snapshot &group, time_point now);
    std::vector<action> step_settling(const group_snapshot &group, time_point now);
    std::vector<action> resume_orphans(const group_snapshot &group, time_point now);
    std::vector<action> abandon_replacement(std::string_view reason, time_point now);
    bool should_replace(const group_snapshot &group, time_point now);
    void begin(const group_snapshot &group, time_point now);
    void replace_absent_candidate(const group_snapshot &group, time_point now);
    void enter(phase next, time_point now);
    bool repeat_due(time_point now);
    [[nodiscard]] bool enough_paused(const group_snapshot &group, time_point now) const;
    [[nodiscard]] bool enough_compared(const group_snapshot &group) const;
    [[nodiscard]] std::string most_advanced(const group_snapshot &group) const;
    [[nodiscard]] bool is_absent(const std::string &id) const;
    [[nodiscard]] bool may_abandon(const group_snapshot &group) const;

    phase phase_ = phase::idle;
    time_point entered_at_;
    time_point repeated_at_;
    time_point retry_at_;
    std::optional<time_point> no_primary_since_;
    std::map<std::string, time_point> paused_since_; ///< replicas observed as paused while idle
    std::string_view last_reason_;
    std::string former_primary_;    ///< the primary of `former_term_`; empty: not known
    std::uint64_t former_term_ = 0; ///< the latest one known
    std::uint64_t pause_term_ = 0;
    std::map<std::string, replication::member_report> paused_; ///< at `pause_term_`
    std::vector<std::string> absent_candidates_;               ///< their orders were answered by `absent`
    std::string candidate_;
    bool candidate_reported_absent_ = false; ///< by the platform, in answer to an order
    bool order_in_flight_ = false;           ///< the platform has not answered the order yet
    /// The candidate may be the primary, now or later. Meanwhile no lease on the former primary is granted,
    /// and no replica is resumed.
    bool order_may_take_effect_ = false;
};

} // namespace baobabport::failover
