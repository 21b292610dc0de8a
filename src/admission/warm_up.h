// Limit of the concurrent statements of an instance that is cold, since it has just started or come back.

#pragma once

#include "admission/duration_estimator.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace baobabport::admission {

using time_point = std::chrono::steady_clock::time_point;

/**
 * Additive increase and multiplicative decrease, driven by the durations of the instance's answers.
 *
 * The limit is 1 when the instance becomes cold. It grows by one for each window of as many answers as the
 * limit, if these took at most `slow_ratio` times what the instance needed while it was warm. It halves when
 * the instance sheds a statement or does not answer one. There is no limit once all slots are used, or after
 * `longest`.
 */
class warm_up
{
public:
    static constexpr double slow_ratio = 2.0;
    /// An instance that is still slow then is slow for another reason, which fewer statements do not remove.
    static constexpr std::chrono::milliseconds longest{10000};

    /// Sets since when the instance is cold; none: it is not, or it must not be limited. A time that was
    /// given before has no effect.
    void set_cold_since(std::optional<time_point> since);

    /// Records that a statement of the label was answered after `took`.
    void record_answer(const std::string &label, std::chrono::microseconds took, time_point now);

    /// Records that the instance shed a statement, or did not answer it.
    void record_refusal();

    /// Sets the number of statements that a warm instance runs.
    void set_full_limit(std::uint32_t full) { full_ = full; }

    /// Returns how many statements the instance may run now, at least 1.
    [[nodiscard]] std::uint32_t limit(time_point now) const;

private:
    [[nodiscard]] bool is_limited(time_point now) const
    {
        return cold_since_ && !complete_ && now - *cold_since_ < longest;
    }

    duration_estimator warm_; ///< while there was no limit
    std::optional<time_point> cold_since_;
    bool complete_ = false; ///< the limit has reached the number of slots
    std::uint32_t limit_ = 1;
    std::uint32_t answers_ = 0; ///< of the present window
    double ratios_ = 0;         ///< sum over these of the duration to that of the warm instance
    std::uint32_t full_ = 1;
};

} // namespace baobabport::admission
