// Scores the instances of a group for a read by the expected time until its completion.

#pragma once

#include "admission/duration_estimator.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace baobabport::routing {

using time_point = std::chrono::steady_clock::time_point;

/// What is known of an instance that may serve a read.
struct read_candidate
{
    std::string id;
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0;              ///< statements of this process
    std::optional<time_point> oldest_sent_at; ///< of those; none: there are none
    bool in_own_data_centre = true;
    bool behind = false;   ///< its log is behind the floor, so that it rejects the read
    bool excluded = false; ///< it failed a short time ago, or is not reachable
    bool ejected = false;  ///< as an outlier, or its trial takes no more statements
    bool draining = false;
    bool primary = false;
};

/**
 * Learns how fast the instances of a group answer, as seen from this process, and scores them.
 *
 * The score is a time. While all instances answer about equally fast, the order of the scores is that of the
 * statements in flight per slot, with a fixed number of queued statements added for what speaks against an
 * instance.
 */
class instance_score
{
public:
    using score = std::chrono::duration<double, std::milli>;

    /// A round trip between data centres costs bytes and time: about as much as two queued statements.
    static constexpr double other_data_centre_cost = 2.0;
    static constexpr double behind_cost = 8.0;
    static constexpr double excluded_cost = 20.0;
    static constexpr double ejected_cost = 40.0; ///< above all others together, but for a hanging instance
    static constexpr double draining_cost = 10.0;
    static constexpr double primary_cost = 1.0; ///< it also runs the writes, which no replica can run
    /// Up to this ratio to the fastest, instances count as equally fast: the durations of statements vary.
    static constexpr double equal_ratio = 2.0;
    static constexpr double max_ratio = 10.0;
    /// The learned ratio of an instance without answers loses half of its distance from 1 in this time, so
    /// that an instance that was slow is tried again.
    static constexpr std::chrono::milliseconds half_life{4000};
    /// A statement that was sent earlier than this many times the usual time is expected to take as long
    /// again as it has taken.
    static constexpr double overdue_ratio = 4.0;
    static constexpr std::chrono::milliseconds min_overdue{50};

    /// Sets the instances of the group; what was learned of others is discarded.
    void set_instances(const std::set<std::string> &ids);

    /// Records that a read of the label was answered after `took`.
    void record_answer(const std::string &id, const std::string &label, std::chrono::microseconds took,
                       time_point now);

    /// Returns the time in which the instance is expected to complete a read, with penalties; the lowest is
    /// best.
    [[nodiscard]] score cost(const read_candidate &it, time_point now) const;

private:
    struct learned
    {
        double ratio = 1.0; ///< of the duration of reads to the group's mean
        time_point at;
    };

    [[nodiscard]] double ratio_of(const learned &it, time_point now) const;
    [[nodiscard]] double slowness(const std::string &id, time_point now) const;

    admission::duration_estimator durations_; ///< of the group's reads by label
    double usual_ms_ = 0;                     ///< mean duration of a read; 0: none was answered yet
    std::map<std::string, learned> instances_;
};

} // namespace baobabport::routing
