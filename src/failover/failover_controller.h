// Decides when a database group's primary is replaced, and carries out the replacement. Used by
// poolers: each home of a database runs one, through `home::group_monitor`.

#pragma once

#include "failover/instance_health.h"
#include "home/upstream.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace baobabport::failover {

using consistency::group_view;
using consistency::instance_id;

/// Defects that tests inject to check that they are detected.
struct failover_defects
{
    bool skip_fence = false;      ///< promote without fencing a majority
    bool fence_one = false;       ///< accept a single fenced instance as a majority
    bool promote_any = false;     ///< promote the first fenced instance, not the most advanced one
    bool reuse_term = false;      ///< propose the highest term seen instead of a new one
    bool compare_offsets = false; ///< compare logs by length, without their terms
};

/// Actions that a step of the controller requires.
struct failover_step
{
    std::vector<home::instance_command> commands;
    std::optional<inner::view_request> peer_query;

    /// Set once, when this controller promoted an instance.
    struct promotion
    {
        instance_id primary = 0;
        std::uint64_t term = 0;
        consistency::position base; ///< end of the log that was promoted
    };
    std::optional<promotion> promoted;
};

/**
 * Replaces a failed or leaving primary.
 *
 * Safety does not depend on which processes run it, nor on how many: a promotion needs a majority of the
 * instances fenced at a term that no other proposer can use, and selects the most advanced log among them.
 * A majority holds each acknowledged write, and two majorities intersect, so the promoted log contains it.
 */
class failover_controller
{
public:
    enum class phase : std::uint8_t
    {
        steady,
        querying_peer,
        fencing,
        promoting,
        waiting
    };

    failover_controller(std::string database, std::size_t instances, std::uint32_t vm_number,
                        std::uint64_t seed);

    /**
     * Decides the next step at `now`.
     *
     * `health` and `leaving` have one element per instance. `may_switch_over`: a leaving primary has no write
     * in progress.
     */
    failover_step step(const group_view &group, const std::vector<instance_health> &health,
                       const std::vector<bool> &leaving, bool may_switch_over,
                       const document::failover_policy &policy, time_point now);

    /// Handles the outcome of a fence or promote command.
    void handle_answer(const home::command_result &result, time_point now);

    /// Handles the next-ranked pooler's answer, which reports whether that pooler reaches the primary.
    void handle_answer(const inner::view_answer &answer, const document::failover_policy &policy,
                       time_point now);

    [[nodiscard]] phase current() const { return phase_; }

    /**
     * Returns true while another pooler reaches the primary and this one does not.
     */
    [[nodiscard]] bool partitioned(time_point now) const { return now < partitioned_until_; }

    /**
     * Returns true if the primary is about to be replaced because it is leaving, so that no write may start.
     */
    [[nodiscard]] bool switching_over() const { return switching_over_; }

    /// Returns why the last replacement was begun or abandoned; empty: none yet.
    [[nodiscard]] const std::string &last_reason() const { return last_reason_; }

    failover_defects defects;

private:
    struct fenced_log
    {
        instance_id instance = 0;
        consistency::position log;
    };

    [[nodiscard]] bool needs_replacement(const group_view &group, const std::vector<instance_health> &health,
                                         const std::vector<bool> &leaving, bool may_switch_over,
                                         const document::failover_policy &policy, time_point now);
    [[nodiscard]] bool switchover_is_ready(const group_view &group,
                                           const std::vector<instance_health> &health,
                                           const std::vector<bool> &leaving, instance_id primary,
                                           bool may_switch_over) const;
    void begin_peer_query(const group_view &group, const document::failover_policy &policy, time_point now,
                          failover_step &out);
    void begin_fencing(const group_view &group, const document::failover_policy &policy, time_point now,
                       failover_step &out);
    void begin_promoting(const group_view &group, const document::failover_policy &policy, time_point now,
                         failover_step &out);
    void finish_promotion(failover_step &out);
    void begin_waiting(const document::failover_policy &policy, time_point now, std::string reason);
    [[nodiscard]] std::optional<fenced_log> best_candidate() const;
    [[nodiscard]] bool is_ahead(const fenced_log &a, const fenced_log &b) const;
    [[nodiscard]] std::chrono::milliseconds jitter(std::chrono::milliseconds range);

    std::string database_;
    std::uint32_t vm_number_;
    std::mt19937_64 random_;
    phase phase_ = phase::steady;
    std::optional<time_point> no_current_primary_since_; ///< since when no primary has the highest term
    time_point phase_until_;
    time_point partitioned_until_;
    bool switching_over_ = false;
    bool unreachable_for_peer_ = false;
    std::uint64_t term_ = 0;         ///< of the current proposal; never proposed before
    std::vector<fenced_log> fenced_; ///< each instance at most once, all at `term_`
    std::vector<bool> leaving_;
    fenced_log candidate_;
    bool promote_accepted_ = false;
    bool higher_term_promised_ = false; ///< an instance had promised a higher term
    std::string last_reason_;
};

} // namespace baobabport::failover
