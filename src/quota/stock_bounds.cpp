#include "quota/stock_bounds.h"

#include <algorithm>

namespace baobabport::quota {

namespace {

double seconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double tolerated(const directory::quota &limit, const tolerance &of)
{
    return (limit.rate_per_s * seconds(of.window) + limit.burst) * (1 + of.overage) + of.slack;
}

stock_bounds bounds_of(const directory::quota &limit, const tolerance &of, std::uint32_t fleet)
{
    stock_bounds out;
    if (limit.rate_per_s <= 0)
        return out;
    if (fleet <= 1) {
        out.local = std::max(limit.burst, 1.0);
        return out;
    }
    constexpr double burst_share = 0.8;
    constexpr milliseconds stranded_time{1000};
    constexpr double floor_share = (1 - burst_share) / 2;
    const double by_overage = of.overage * limit.rate_per_s * seconds(of.window);
    const double local = std::min(limit.rate_per_s * seconds(local_time),
                                  by_overage + floor_share * limit.burst + of.slack / 4);
    out.local = local / fleet;
    // The slack replaces the rest of a small burst, and what is on its way or lost while a pool is full.
    out.pool = std::min(limit.burst + limit.rate_per_s * seconds(stranded_time),
                        burst_share * limit.burst + of.slack / 2);
    out.pool = std::max(out.pool, std::min(1.0, of.slack / 2)); // a burst below 1 would refuse everything
    out.pool_floor = std::min(out.pool, floor_share * limit.burst + of.slack / 4);
    // Twice `scarce` and what is issued in a window stay below `pool`, which they replace.
    constexpr double sustained_share = 0.6;
    out.window = of.window;
    out.sustained_per_s = sustained_share * limit.burst / seconds(of.window);
    out.scarce = floor_share * limit.burst;
    return out;
}

} // namespace baobabport::quota
