// A pooler's own view of a database group: terms, log positions and their age.

#pragma once

#include "consistency/instance_status.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace baobabport::consistency {

using time_point = std::chrono::steady_clock::time_point;

/**
 * Stores the last observation of each instance, and derives the state of the group from them.
 *
 * Every observation has the time at which its request was sent, so an answer is never regarded as more recent
 * than it is.
 */
class group_view
{
public:
    explicit group_view(std::size_t instances);

    /**
     * Records an instance's status. An observation older than the stored one only raises terms and the log
     * position.
     */
    void observe(instance_id instance, const instance_status &status, time_point requested_at);

    /**
     * Records a log position that was part of a statement's answer.
     */
    void observe_position(instance_id instance, position log, time_point requested_at);

    /**
     * Records that the instance refused a write because it is not the primary of the term.
     */
    void demote(instance_id instance) { instances_[instance].status.role = instance_role::replica; }

    [[nodiscard]] std::size_t size() const { return instances_.size(); }
    [[nodiscard]] std::size_t majority() const { return instances_.size() / 2 + 1; }

    /**
     * Returns the highest term that any instance is known to have promised.
     */
    [[nodiscard]] std::uint64_t highest_term() const { return highest_term_; }

    /**
     * Returns the instance that is the primary by its last status, or none. Of several, returns the one that
     * has promised the highest term.
     */
    [[nodiscard]] std::optional<instance_id> primary() const;

    /**
     * Returns the term of `primary()`, or 0 without one.
     */
    [[nodiscard]] std::uint64_t primary_term() const;

    /**
     * Returns the last position of the term that a majority of the group holds, or none.
     *
     * Only logs whose last entry is of that term count: another log may have to be truncated.
     */
    [[nodiscard]] std::optional<position> durable_position(std::uint64_t term) const;

    /**
     * Returns true if a majority answered a request sent at or after `since` and had promised no term above
     * `term`.
     */
    [[nodiscard]] bool confirmed_since(std::uint64_t term, time_point since) const;

    [[nodiscard]] position log_of(instance_id instance) const { return instances_[instance].status.log; }
    [[nodiscard]] const instance_status &status_of(instance_id instance) const
    {
        return instances_[instance].status;
    }
    /// Returns when the last answered request to the instance was sent, or none.
    [[nodiscard]] std::optional<time_point> last_answer(instance_id instance) const;

    /**
     * Returns an upper bound of the age of the instance's data, or none if it is unknown.
     */
    [[nodiscard]] std::optional<std::chrono::milliseconds> staleness(instance_id instance,
                                                                     time_point now) const;

    /**
     * Returns for how long the instance is known to have lacked an entry of the primary; 0 if it lacks none.
     *
     * This is a lower bound: time without observations, when no request was sent, does not count as lag.
     */
    [[nodiscard]] std::chrono::milliseconds proven_lag(instance_id instance) const;

private:
    struct observation
    {
        instance_status status;
        time_point requested_at;
        bool answered = false;
    };
    struct primary_sample
    {
        time_point requested_at;
        position log;
    };

    void sample_primary(instance_id instance, time_point requested_at);

    std::vector<observation> instances_;
    std::uint64_t highest_term_ = 0;     ///< never decreases
    std::deque<primary_sample> samples_; ///< oldest first, positions never decrease
};

} // namespace baobabport::consistency
