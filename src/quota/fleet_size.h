// The number of VMs among which a workspace's rate is divided.

#pragma once

#include "quota/stock_bounds.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::quota {

/**
 * Derives the divisor of rates from the member list, the recorded fleet size and the contact with the leader.
 *
 * Invariant: while each VM has known of the others for `settling_time`, the reciprocals of the divisors of
 * all VMs that issue add up to at most 1, also while a partition separates them: a VM stops after
 * `contact_limit` without the leader, and the others count it for `memory` after it has left the list.
 */
class fleet_size
{
public:
    static constexpr milliseconds memory{30000};
    static constexpr milliseconds contact_limit{25000};
    /// A process that the recorded size does not cover issues nothing until the list has been unchanged for
    /// this long: the others learn of it within this time.
    static constexpr milliseconds settling_time{1000};
    /// Or until it has known the list for this long: the others know this process, whatever else changes.
    static constexpr milliseconds longest_settling_time{3000};

    explicit fleet_size(time_point started_at) : started_at_(started_at) {}

    /// Records a complete list of the VMs.
    void record_list(const std::vector<std::string> &vms, time_point now);

    /// Records the size that the leadership record names; 0: none. The largest one counts, since the record
    /// may follow the list of a leader that has just begun.
    void record_size(std::uint32_t members) { recorded_ = std::max(recorded_, members); }

    /// Records contact with a leader that acts, or that this process is one, at that time.
    void record_contact(time_point at);

    /// Declares that the process has no peers and no leader, so that it issues the whole rate.
    void set_alone() { alone_ = true; }

    /// Returns the divisor, or none while this process must not issue tokens.
    [[nodiscard]] std::optional<std::uint32_t> divisor(time_point now);

private:
    time_point started_at_;
    std::uint32_t recorded_ = 0;
    bool alone_ = false;
    bool settled_ = false; ///< it has issued before
    std::optional<time_point> contact_at_;
    time_point changed_at_;
    std::optional<time_point> listed_at_; ///< when the first list was known
    /// When each VM left the list; `time_point::max()` for those in it. VMs are counted rather than list
    /// sizes: while some return and others are separated, the size stays the same.
    std::map<std::string, time_point> left_at_;
};

} // namespace baobabport::quota
