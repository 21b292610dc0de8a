// This process's view of one group of instances: the primary, log positions and their age.

#pragma once

#include "replication/member_report.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace baobabport::replication {

using time_point = std::chrono::steady_clock::time_point;
using consistency::position;

/// What an instance's report proves about the assumed primary.
enum class confirmation : std::uint8_t
{
    confirmed,  ///< no promotion was in progress when the report was requested
    contested,  ///< a replica is paused or follows a later term, or a primary has an earlier term
    irrelevant, ///< nothing: not from a replica, or no primary is known
};

/**
 * Combines the reports of a group's instances.
 *
 * A primary's report is valid only for times that a replica confirms: in answer to a request sent no earlier,
 * it was neither paused nor of a later term. Before any promotion, every replica is paused.
 */
class group_state
{
public:
    /// Minimum time between samples of the primary's position; bounds the number kept.
    static constexpr std::chrono::milliseconds sample_interval{25};
    /// Samples older than this are dropped; longer than any staleness that the settings of a route allow.
    static constexpr std::chrono::milliseconds max_sample_age{15000};

    /// Records an instance's report, in answer to a request sent at `requested_at`.
    confirmation observe(const std::string &id, const member_report &report, time_point requested_at);

    /// Records that a lease excludes a replacement of the term's primary before `now`.
    void confirm_by_lease(std::uint64_t term, time_point now);

    /// Records the primary of a term as reported by the leader, and its log position.
    void adopt_primary(const std::string &id, std::uint64_t term, position log, time_point requested_at);

    /// Records up to which position an instance had applied its log when it answered a statement.
    void observe_applied(const std::string &id, position log, time_point requested_at);

    /// Records the primary's log position in an answer to a statement sent at `requested_at`.
    void observe_primary_log(const std::string &id, position log, time_point requested_at);

    /// Records that the instance is not, or no longer, a usable primary.
    void reject_primary(const std::string &id);

    /// Erases an instance that was removed, or replaced by another process at its address.
    void erase_instance(const std::string &id);

    /// Returns the primary of the highest term observed, or none.
    [[nodiscard]] const std::optional<std::string> &primary() const { return primary_; }

    /// Returns the highest term at which a primary was observed.
    [[nodiscard]] std::uint64_t term() const { return term_; }

    /// Returns when the latest request was sent whose answer confirmed the primary, or the time of a lease
    /// that did.
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }

    /// Returns true while the last report of a replica was of a pause or of a later term.
    [[nodiscard]] bool contested() const { return contested_; }

    /// Returns a log position that covers every commit acknowledged before `since`, or none.
    [[nodiscard]] std::optional<position> floor_at(time_point since) const;

    /// A log position, and when it was requested.
    struct sample
    {
        time_point requested_at;
        position log;
    };

    /// Returns the latest sample of the current primary's position, or none.
    [[nodiscard]] std::optional<sample> latest_sample() const;

    /// Returns up to which position the instance had applied its log at its last answer, or none.
    [[nodiscard]] std::optional<sample> applied(const std::string &id) const;

    /// Returns the last report of the instance, or null.
    [[nodiscard]] const member_report *report_of(const std::string &id) const;

private:
    void begin_term(const std::string &id, std::uint64_t term);
    void add_sample(position log, time_point requested_at);

    std::map<std::string, member_report> reports_;
    std::map<std::string, sample> applied_;
    std::optional<std::string> primary_;
    std::uint64_t term_ = 0; ///< never decreases
    time_point confirmed_at_;
    bool contested_ = false;
    std::deque<sample> samples_; ///< oldest first, of the current term's primary
};

} // namespace baobabport::replication
