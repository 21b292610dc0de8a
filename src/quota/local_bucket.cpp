#include "quota/local_bucket.h"

#include <algorithm>
#include <cmath>

namespace baobabport::quota {

namespace {

constexpr double milli = 1000;
/// Sums of fractions fall short of a whole token by rounding errors.
constexpr double whole = 1 - 1e-9;

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void local_bucket::set_rate(double per_s, double bound, time_point now)
{
    issue(now);
    rate_ = per_s;
    bound_ = bound;
    trim();
}

void local_bucket::issue(time_point now)
{
    if (now <= issued_until_)
        return;
    const double room = std::max(0.0, bound_ - unacknowledged_ - stock_);
    stock_ += std::min(room, rate_ * seconds(now - issued_until_));
    issued_until_ = now;
}

void local_bucket::decay(time_point now)
{
    if (now > decayed_at_)
        demand_ *= std::exp(-seconds(now - decayed_at_) / seconds(demand_time));
    decayed_at_ = std::max(decayed_at_, now);
}

bool local_bucket::take(time_point now)
{
    decay(now);
    demand_ += 1 / seconds(demand_time);
    return take_again();
}

bool local_bucket::take_again()
{
    if (stock_ < whole)
        return false;
    stock_ = std::max(0.0, stock_ - 1);
    return true;
}

void local_bucket::trim()
{
    stock_ = std::min(stock_, std::max(0.0, bound_ - unacknowledged_));
}

std::int64_t local_bucket::reserve(std::int64_t milli_tokens)
{
    const auto out = std::min(milli_tokens, static_cast<std::int64_t>(std::floor(stock_ * milli)));
    stock_ -= static_cast<double>(out) / milli;
    unacknowledged_ += static_cast<double>(out) / milli;
    return out;
}

std::int64_t local_bucket::advance(time_point now)
{
    decay(now);
    const double room = bound_ - unacknowledged_ - stock_ - advancing_;
    const auto out = std::max<std::int64_t>(
        0, static_cast<std::int64_t>(std::floor(std::min(room, demand_ * seconds(advance_time)))));
    advancing_ += static_cast<double>(out);
    return out;
}

void local_bucket::end_advance(std::int64_t tokens)
{
    advancing_ = std::max(0.0, advancing_ - static_cast<double>(tokens));
}

std::int64_t local_bucket::remove_surplus(time_point now)
{
    decay(now);
    const double kept = std::min(demand_ * seconds(advance_time), bound_ * kept_share);
    const auto out = static_cast<std::int64_t>(std::floor(std::max(0.0, stock_ - kept) * milli));
    stock_ -= static_cast<double>(out) / milli;
    unacknowledged_ += static_cast<double>(out) / milli;
    return out;
}

void local_bucket::acknowledge(std::int64_t milli_tokens)
{
    unacknowledged_ = std::max(0.0, unacknowledged_ - static_cast<double>(milli_tokens) / milli);
}

} // namespace baobabport::quota
