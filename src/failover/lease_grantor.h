// Which leases on primaries the holder of the failover duty may grant, and when all of them have ended.

#pragma once

#include <chrono>
#include <map>
#include <string>

namespace baobabport::failover {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// A lease lasts this long from when it was asked for; below the silence after which a primary is
/// replaced, so that leases do not delay a replacement.
inline constexpr milliseconds primary_lease_time{600};

/**
 * Remembers until when a lease that was granted may be relied on.
 *
 * Invariant: no primary of a group is replaced before `ended` returns true for it.
 */
class lease_grantor
{
public:
    /// A request may have been sent this much after its answer, by clocks that run apart; per lease time.
    static constexpr milliseconds clock_margin{30};

    /**
     * Begins to hold the duty. Until `earliest`, leases or orders of an earlier holder may be in force.
     */
    void begin(time_point earliest);

    /// Ends grants on the group, or allows them again.
    void withhold(const std::string &service, bool withheld);

    /// Returns true if a lease on the group may be granted now; then it must be noted.
    [[nodiscard]] bool may_grant(const std::string &service, time_point now) const;
    void record_grant(const std::string &service, time_point now);

    /// Returns true if nobody relies on a lease on the group any more.
    [[nodiscard]] bool ended(const std::string &service, time_point now) const;

private:
    struct group_leases
    {
        bool withheld = false;
        time_point until; ///< the last lease granted ends by then
    };

    std::map<std::string, group_leases> groups_;
    time_point earliest_;
};

} // namespace baobabport::failover
