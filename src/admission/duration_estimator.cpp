#include "admission/duration_estimator.h"

#include <algorithm>
#include <cmath>

namespace baobabport::admission {

namespace {

constexpr std::uint64_t trusted_samples = 8;
constexpr double gain = 0.125;
constexpr double deviation_gain = 0.25;
const std::string shared_label = "*";

} // namespace

duration_estimator::estimate &duration_estimator::estimate_of(const std::string &label)
{
    if (labels_.size() >= max_labels && labels_.find(label) == labels_.end())
        return labels_[shared_label];
    return labels_[label];
}

void duration_estimator::finished(const std::string &label, std::chrono::microseconds took)
{
    auto &it = estimate_of(label);
    const auto value = static_cast<double>(took.count());
    ++it.samples;
    if (!it.known) {
        it = {value, value / 2, true, it.samples};
        return;
    }
    it.mean_deviation += deviation_gain * (std::abs(value - it.mean) - it.mean_deviation);
    it.mean += gain * (value - it.mean);
}

void duration_estimator::running(const std::string &label, std::chrono::microseconds so_far)
{
    auto &it = estimate_of(label);
    if (it.samples >= trusted_samples)
        return; // with enough samples, a hanging statement indicates a slow instance, not a slow label
    it.mean = std::max(it.mean, static_cast<double>(so_far.count()));
    it.known = true;
}

std::chrono::microseconds duration_estimator::expected(const std::string &label) const
{
    auto it = labels_.find(label);
    if (it == labels_.end())
        it = labels_.find(shared_label);
    if (it == labels_.end() || !it->second.known)
        return unknown_label_time;
    return std::chrono::microseconds(static_cast<std::int64_t>(it->second.mean));
}

bool duration_estimator::knows(const std::string &label) const
{
    return labels_.count(label) > 0 || labels_.count(shared_label) > 0;
}

bool duration_estimator::is_long(const std::string &label, std::chrono::milliseconds threshold) const
{
    return expected(label) >= threshold;
}

} // namespace baobabport::admission
