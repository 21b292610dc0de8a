// How many tokens of a workspace's quota may be kept unspent, and where.

#pragma once

#include "directory/desired_state.h"

#include <chrono>
#include <cstdint>

namespace baobabport::quota {

using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point; ///< of `support::boot_clock`

/// What all VMs together may run of a workspace in any window of time:
/// (rate * window + burst) * (1 + overage) + slack.
struct tolerance
{
    milliseconds window{5000};
    double overage = 0.1;
    double slack = 20; ///< operations
    bool operator==(const tolerance &) const = default;
};

/// Bounds of the unspent tokens of one workspace.
struct stock_bounds
{
    double local = 0;      ///< on one VM, with the deposits that are not acknowledged yet
    double pool = 0;       ///< of the pools of all VMs together
    double pool_floor = 0; ///< of a pool that few VMs endorse
    /// Tokens that the pools of all VMs together issue, beside the rate, while there has been no more than
    /// `scarce` in stock for a whole window. A window may have rate * window + burst operations, and what was
    /// kept for a burst is no part of such a window.
    double sustained_per_s = 0;
    double scarce = 0; ///< per pool; also the most that it issues at once
    milliseconds window{0};
};

/// Unspent tokens of a VM are worth this much of its issue.
inline constexpr milliseconds local_time{500};

/// Returns the tolerated operations of a window.
[[nodiscard]] double tolerated(const directory::quota &limit, const tolerance &of);

/**
 * Returns the bounds for a fleet of that many VMs.
 *
 * Invariant: rate * window + fleet * `local` + `pool` + `pool_floor` <= `tolerated`, in a fleet of several
 * VMs. With the usual tolerance there is room for two floors.
 */
[[nodiscard]] stock_bounds bounds_of(const directory::quota &limit, const tolerance &of, std::uint32_t fleet);

} // namespace baobabport::quota
