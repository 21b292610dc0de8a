// This process's view of one group of instances: the primary, log positions and their age.

#pragma once

#include "replication/member_report.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace baobabport::replication {

using time_point = std::chrono::steady_clock::time_point;
using consistency::position;

/// What an instance's report proves about the assumed primary.
enum class confirmation : std::uint8_t
{
    confirmed,  ///< with those of the other members: no promotion had begun when it was requested
    contested,  ///< a replica is paused or follows a later term, or a primary has an earlier term
    irrelevant, ///< nothing yet: not from a replica, no primary is known, or a member has not reported
};

/**
 * Combines the reports of a group's instances.
 *
 * A primary's report is valid only for times at which no successor can have led. For a time `t` that takes,
 * of each other member, one of these:
 * - A report requested at `t` or later in which it neither leads a later term, follows one, nor is paused. An
 *   instance that was promoted before `t` cannot give it, and before any promotion every replica is paused.
 * - If it does not answer: another replica's report that it has received a commit which the primary made
 *   after `t`. A replica receives nothing while it is paused, and nothing from a primary that it knows to
 *   be replaced.
 *
 * The first kind of report is not enough from one replica alone: a promotion ends its pause, and if it
 * receives nothing, it does not know the new term.
 */
class group_state
{
public:
    /// Minimum time between samples of the primary's position; bounds the number kept.
    static constexpr std::chrono::milliseconds sample_interval{25};
    /// Samples older than this are dropped; longer than any staleness that the settings of a route allow.
    static constexpr std::chrono::milliseconds max_sample_age{15000};
    /// A member counts as silent once a request has been unanswered for this long; several round trips.
    static constexpr std::chrono::milliseconds silence_limit{40};

    /// Adds an instance, whose report is required from then on.
    void add_instance(const std::string &id) { members_.insert(id); }

    /// Records that the instance's report was requested.
    void record_request(const std::string &id, time_point requested_at);

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

    /// Returns the latest time for which reports or a lease confirm the primary.
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }

    /// Returns true while the last report of a replica was of a pause, or any replica follows a later term.
    [[nodiscard]] bool contested() const { return contested_ || is_superseded(); }

    /// Returns true if reports exclude that a successor of the primary led at `since`. `stopped`: members
    /// that are not running, whose reports are not needed.
    [[nodiscard]] bool excludes_successor(time_point since, const std::set<std::string> &stopped,
                                          time_point now) const;

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
    void record_not_promoted(const std::string &id, time_point requested_at);
    void record_received(position received);
    /// Returns true if a replica follows a later term than that of the primary.
    [[nodiscard]] bool is_superseded() const;
    [[nodiscard]] bool is_silent(const std::string &id, time_point now) const;
    /// Returns the latest time for which it is proved that the member did not lead.
    [[nodiscard]] time_point not_promoted_at(const std::string &id, time_point now) const;
    [[nodiscard]] time_point confirmed_by_reports(time_point now) const;

    std::set<std::string> members_;
    std::map<std::string, member_report> reports_;
    std::map<std::string, sample> applied_;
    std::optional<std::string> primary_;
    std::uint64_t term_ = 0; ///< never decreases
    time_point confirmed_at_;
    /// When the last report of each member was requested that rules out its promotion.
    std::map<std::string, time_point> not_promoted_at_;
    std::map<std::string, time_point> unanswered_since_; ///< first request since the last report
    time_point followed_at_;     ///< a replica has received a commit that the primary made after this time
    bool contested_ = false;     ///< by the last report of a replica
    std::deque<sample> samples_; ///< oldest first, of the current term's primary
};

} // namespace baobabport::replication
