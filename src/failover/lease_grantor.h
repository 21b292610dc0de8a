// Which primary leases the leader may grant, and when all of them have ended.

#pragma once

#include <chrono>
#include <map>
#include <string>

namespace baobabport::failover {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// Duration of a lease, from its request; shorter than the time without an answer after which a primary is
/// replaced, so that leases do not delay a replacement.
inline constexpr milliseconds primary_lease_time{600};

/**
 * Records until when a granted lease may be relied on.
 *
 * Invariant: no primary of a group is replaced before `ended` returns true for it.
 */
class lease_grantor
{
public:
    /// Allowance for clock drift during one lease: by the grantor's clock, the requester may rely on a lease
    /// until this long after the end of `primary_lease_time`, counted from the grant.
    static constexpr milliseconds clock_margin{30};

    /**
     * Begins a leadership. Until `earliest`, leases or orders of an earlier leader may be in force.
     */
    void begin(time_point earliest);

    /// Forbids new leases on the group, or allows them again.
    void withhold(const std::string &service, bool withheld);

    /// Returns true if a lease on the group may be granted now; a grant must be passed to `record_grant`.
    [[nodiscard]] bool may_grant(const std::string &service, time_point now) const;
    void record_grant(const std::string &service, time_point now);

    /// Returns true if no process relies on a lease on the group any more.
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
