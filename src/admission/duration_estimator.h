// How long a statement is expected to take, learned per label.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace baobabport::admission {

/**
 * Learns the mean and the spread of each label's time on a slot.
 *
 * Both are exponentially weighted, so that a label whose work changes is learned anew within a few dozen
 * statements. The number of labels is bounded; further ones share one estimate.
 */
class duration_estimator
{
public:
    /// Takes in a finished statement.
    void finished(const std::string &label, std::chrono::microseconds took);

    /// Takes in that a statement still runs after this time; counts while the label has little history.
    void running(const std::string &label, std::chrono::microseconds so_far);

    /**
     * Returns the expected time, or a default for a label not seen yet.
     */
    [[nodiscard]] std::chrono::microseconds expected(const std::string &label) const;

    /**
     * Returns true if the label's statements are expected to take `threshold` or longer.
     */
    [[nodiscard]] bool is_long(const std::string &label, std::chrono::milliseconds threshold) const;

private:
    struct estimate
    {
        double mean = 0;   ///< microseconds
        double spread = 0; ///< mean deviation, microseconds
        bool known = false;
        std::uint64_t samples = 0; ///< finished statements
    };

    estimate &estimate_of(const std::string &label);

    std::unordered_map<std::string, estimate> labels_;
};

} // namespace baobabport::admission
