// Estimates how long a statement takes, per label.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace baobabport::admission {

/**
 * Estimates the mean and the mean deviation of each label's time on a slot.
 *
 * Both are exponentially weighted, so that an estimate follows a changed duration within a few dozen
 * statements. The number of labels is bounded; labels above the bound share one estimate.
 */
class duration_estimator
{
public:
    /// Labels with an estimate of their own.
    static constexpr std::size_t max_labels = 512;
    /// The estimate for a label without a sample.
    static constexpr std::chrono::microseconds unknown_label_time{2000};

    /// Adds the duration of a finished statement.
    void finished(const std::string &label, std::chrono::microseconds took);

    /// Reports that a statement still runs after `so_far`; used only while the label has few samples.
    void running(const std::string &label, std::chrono::microseconds so_far);

    /// Returns true if a statement of the label has finished, or one that shares its estimate.
    [[nodiscard]] bool knows(const std::string &label) const;

    /**
     * Returns the expected time, or a default for a label without an estimate.
     */
    [[nodiscard]] std::chrono::microseconds expected(const std::string &label) const;

    /**
     * Returns true if the label's statements are expected to take `threshold` or longer.
     */
    [[nodiscard]] bool is_long(const std::string &label, std::chrono::milliseconds threshold) const;

private:
    struct estimate
    {
        double mean = 0;           ///< microseconds
        double mean_deviation = 0; ///< microseconds
        bool known = false;
        std::uint64_t samples = 0; ///< finished statements
    };

    estimate &estimate_of(const std::string &label);

    std::unordered_map<std::string, estimate> labels_;
};

} // namespace baobabport::admission
