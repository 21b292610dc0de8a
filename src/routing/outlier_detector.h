// Decides which instances of a group get no reads for a time, since they serve worse than the others.

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace baobabport::routing {

using time_point = std::chrono::steady_clock::time_point;

/**
 * Judges the instances of one group by the answers to this process's statements. An answer is good, or it is
 * bad: the instance failed, shed the statement, was too slow, or did not answer.
 *
 * An instance whose share of bad answers exceeds the others' is ejected for a period that doubles with each
 * ejection. Then it is on trial: it gets one statement at a time, and more with each good answer. A bad
 * answer on trial ejects it again. An overload of the whole group ejects nothing, since no instance stands
 * out.
 *
 * Invariant: at most half of the instances are ejected or on trial.
 */
class outlier_detector
{
public:
    static constexpr std::chrono::milliseconds first_ejection{500};
    static constexpr std::chrono::milliseconds longest_ejection{8000};
    /// An instance that was readmitted for this long starts again with the first period.
    static constexpr std::chrono::milliseconds forgiveness{16000};
    /// Answers are judged for this long. A VM of a large deployment gets less than one answer per second and
    /// instance.
    static constexpr std::chrono::milliseconds window{15000};
    static constexpr std::size_t max_answers = 16;
    /// Fewer bad answers in the window eject nothing: single failures occur in each deployment.
    static constexpr std::size_t min_bad = 3;
    static constexpr double min_share = 0.3;
    /// An outlier's share of bad answers is more than this many times the lowest share of another instance.
    static constexpr double outlier_ratio = 2.0;
    /// Statements in flight on trial: 1, then 2, then 4; the next good answer ends the trial.
    static constexpr std::uint32_t last_trial_limit = 4;

    /// Sets the instances of the group; the history of others is discarded.
    void set_instances(const std::set<std::string> &ids);

    /// Records that another process has started under the id: its answers are judged anew.
    void record_restart(const std::string &id, time_point now);

    void record_answer(const std::string &id, bool good, time_point now);

    /// Returns true if the instance may get a read while `in_flight` statements of this process are there.
    [[nodiscard]] bool admits(const std::string &id, std::uint32_t in_flight, time_point now) const;

    /// Returns true while the instance gets no reads at all.
    [[nodiscard]] bool is_ejected(const std::string &id, time_point now) const;

private:
    struct answer
    {
        time_point at;
        bool good = false;
    };
    struct history
    {
        std::deque<answer> answers; ///< the last `max_answers`, oldest first
        std::uint32_t ejections = 0;
        std::uint32_t trial_limit = 0; ///< 0: neither ejected nor on trial
        time_point ejected_until;
        time_point readmitted_at;
    };

    void eject(history &it, time_point now);
    [[nodiscard]] bool stands_out(const std::string &id, time_point now) const;
    [[nodiscard]] bool may_eject_another() const;

    std::map<std::string, history> instances_;
};

} // namespace baobabport::routing
