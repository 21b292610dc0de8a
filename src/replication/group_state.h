// What this process knows of one group of instances: its primary, log positions and their age.

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

/// How a question to a replica bears on the primary that is believed in.
enum class confirmation : std::uint8_t
{
    confirmed,  ///< no promotion was under way when the question was asked
    contested,  ///< the replica is paused or follows a later term
    irrelevant, ///< says nothing: not a replica, or no primary is known
};

/**
 * Joins reports of a group's instances.
 *
 * A primary is only trusted for what it says at times for which a replica, asked no earlier, was neither
 * paused nor of a later term: whoever promotes an instance first pauses every replica.
 */
class group_state
{
public:
    /// Samples of the primary's position are this far apart at least; bounds the number kept.
    static constexpr std::chrono::milliseconds sample_interval{25};
    /// Samples older than this are dropped; above any staleness that a route allows by setting.
    static constexpr std::chrono::milliseconds max_sample_age{15000};

    /// Takes in an instance's report on a question asked at that time.
    confirmation observe(const std::string &id, const member_report &report, time_point requested_at);

    /// Takes in that no primary of the term is replaced before `now`.
    void confirm_by_lease(std::uint64_t term, time_point now);

    /// Takes in the primary of a term as the holder of the failover duty sees it, and its log position.
    void adopt_primary(const std::string &id, std::uint64_t term, position log, time_point requested_at);

    /// Takes in how far an instance's log was applied when it answered a statement.
    void observe_applied(const std::string &id, position log, time_point requested_at);

    /// Takes in the primary's log position in an answer to a statement sent at that time.
    void observe_primary_log(const std::string &id, position log, time_point requested_at);

    /// Takes in that the instance is not, or no longer, a primary to be used.
    void reject_primary(const std::string &id);

    /// Forgets an instance that left or was replaced by another process.
    void erase_instance(const std::string &id);

    /// Returns the primary of the highest term seen, or none.
    [[nodiscard]] const std::optional<std::string> &primary() const { return primary_; }

    /// Returns the highest term at which a primary was seen.
    [[nodiscard]] std::uint64_t term() const { return term_; }

    /// Returns the time of the latest question that confirmed the primary.
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }

    /// Returns true while a replica was last seen paused or of a later term.
    [[nodiscard]] bool contested() const { return contested_; }

    /// Returns a position that holds every commit acknowledged before `since`, or none.
    [[nodiscard]] std::optional<position> floor_at(time_point since) const;

    /// A position of the primary's log, and when it was asked for.
    struct sample
    {
        time_point requested_at;
        position log;
    };

    /// Returns the newest position that the present primary showed, or none.
    [[nodiscard]] std::optional<sample> latest_sample() const;

    /// Returns how far the instance's log was applied when it last answered, or none.
    [[nodiscard]] std::optional<sample> applied(const std::string &id) const;

    /// Returns the last report of the instance, or null.
    [[nodiscard]] const member_report *report_of(const std::string &id) const;

private:
    void begin_term(const std::string &id, std::uint64_t term);
    void add_sample(position log, time_point requested_at);

    std::map<std::string, member_report> reports_;
    std::map<std::string, sample> applied_;
    std::optional<std::string> primary_;
    std::uint64_t term_ = 0; ///< never falls
    time_point confirmed_at_;
    bool contested_ = false;
    std::deque<sample> samples_; ///< oldest first, of the present term's primary
};

} // namespace baobabport::replication
