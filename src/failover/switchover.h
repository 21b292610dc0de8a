// Replaces a group's primary: which commands to send to which instance, and when.

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

/// What is known of one instance at the time of a step.
struct member_view
{
    std::string id;
    bool leaving = false;             ///< it said that it will end
    bool refuses = false;             ///< its address takes no connections
    milliseconds unresponsive_for{0}; ///< since the first question without an answer
    std::optional<replication::member_report> report;
};

struct group_snapshot
{
    std::vector<member_view> members;
    std::optional<std::string> primary;
    std::uint64_t term = 0;   ///< of the last primary seen
    bool exclusive = true;    ///< nothing of an earlier holder of the duty is in force
    bool leases_ended = true; ///< no process relies on a lease on the primary
};

enum class action_kind : std::uint8_t
{
    pause,     ///< a replica stops receiving
    promote,   ///< ordered from the platform
    step_down, ///< a former primary becomes a replica
    resume,    ///< a replica receives again
    probe,     ///< ask for a report
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
    absent,    ///< the instance is not there
    not_sent,  ///< the duty does not allow it yet: order again at once
    refused,   ///< for now, and not done: order again
    uncertain, ///< no answer: it may be done; order again
};

/**
 * Carries one replacement through at a time.
 *
 * Before a promotion, every replica that can be reached is paused, and a replica that cannot be reached
 * forbids it unless the old primary takes no connections. A process that asks any replica therefore sees
 * that a promotion is under way, before the new primary takes its first write.
 */
class switchover
{
public:
    /// A primary without any answer for this long is replaced; several round trips and its longest work.
    static constexpr milliseconds unresponsive_limit{800};
    /// A primary whose address refuses connections for this long is replaced; two attempts to connect.
    static constexpr milliseconds refusal_limit{350};
    /// A group without a known primary for this long gets one; several rounds of questions.
    static constexpr milliseconds no_primary_limit{800};
    /// Pauses without answer, and leases, are waited for this long; above a lease's time.
    static constexpr milliseconds pause_limit{800};
    /// A promoted instance that says after this time that it does not lead is given up, and one that says
    /// nothing is ordered again; twice the longest promotion.
    static constexpr milliseconds promotion_limit{4000};
    /// A failed replacement is tried again after this time.
    static constexpr milliseconds retry_delay{500};
    /// A paused replica is left alone this long in case another process is replacing the primary.
    static constexpr milliseconds orphan_limit{3000};
    /// A former primary that cannot be reached yields by itself in this time once it reaches the new one.
    static constexpr milliseconds self_step_down_time{1500};
    /// Commands are repeated at this interval until they show.
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

    /// Takes in an instance's answer to a pause.
    void record_pause(const std::string &id, const replication::member_report &report);

    /// Takes in the platform's answer to the order.
    void record_promotion_result(promotion_result result, time_point now);

    [[nodiscard]] phase current() const { return phase_; }
    [[nodiscard]] std::string_view last_reason() const { return last_reason_; }
    [[nodiscard]] const std::string &candidate() const { return candidate_; }

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
    void enter(phase next, time_point now);
    bool repeat_due(time_point now);
    [[nodiscard]] bool enough_paused(const group_snapshot &group, time_point now) const;
    [[nodiscard]] std::string most_advanced() const;
    [[nodiscard]] bool may_abandon(const group_snapshot &group) const;

    phase phase_ = phase::idle;
    time_point entered_at_;
    time_point repeated_at_;
    time_point retry_at_;
    std::optional<time_point> no_primary_since_;
    std::map<std::string, time_point> paused_since_; ///< replicas seen paused while idle
    std::string_view last_reason_;
    std::string former_primary_;
    std::uint64_t former_term_ = 0;
    std::uint64_t pause_term_ = 0;
    std::map<std::string, replication::member_report> paused_; ///< at `pause_term_`
    std::vector<std::string> absent_candidates_;               ///< candidates that are not there
    std::string candidate_;
    bool order_in_flight_ = false; ///< an order to the platform is under way
    /// The candidate may lead, now or later. No lease is granted on the former primary meanwhile, and no
    /// replica is resumed.
    bool order_may_take_effect_ = false;
};

} // namespace baobabport::failover
