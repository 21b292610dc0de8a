#include "admission/warm_up.h"

#include <algorithm>

namespace baobabport::admission {

void warm_up::set_cold_since(std::optional<time_point> since)
{
    if (since == cold_since_)
        return;
    cold_since_ = since;
    complete_ = false;
    limit_ = 1;
    answers_ = 0;
    ratios_ = 0;
}

void warm_up::record_answer(const std::string &label, std::chrono::microseconds took, time_point now)
{
    if (!is_limited(now)) {
        warm_.finished(label, took);
        return;
    }
    if (now - took < *cold_since_)
        return; // it was sent before
    // The first statements of a label that is not known cannot show that the instance is slow.
    const auto usual = std::max(1.0, static_cast<double>(warm_.expected(label).count()));
    ratios_ += warm_.knows(label) ? static_cast<double>(took.count()) / usual : 1.0;
    if (++answers_ < limit_)
        return;
    if (ratios_ <= slow_ratio * answers_)
        ++limit_;
    answers_ = 0;
    ratios_ = 0;
    complete_ = limit_ >= full_;
}

void warm_up::record_refusal()
{
    limit_ = std::max(1U, limit_ / 2);
    answers_ = 0;
    ratios_ = 0;
}

std::uint32_t warm_up::limit(time_point now) const
{
    return is_limited(now) ? std::min(limit_, full_) : full_;
}

} // namespace baobabport::admission
