// When a new leader may act: once no lease or order of an earlier leader can be in force.

#pragma once

#include "failover/leadership_record.h"
#include "failover/leadership_validity.h"
#include "failover/lease_grantor.h"
#include "failover/membership_tracker.h"
#include "inner/lease_messages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::failover {

/// Whether the record that a new leader replaces names the last leader.
enum class record_age : std::uint8_t
{
    current,      ///< it does
    outdated,     ///< the store has come back from an older copy, which may lack later leaders
    outdated_own, ///< the same, and this process led until then
};

/**
 * Waits until no lease or order of an earlier leader can be in force.
 *
 * An earlier leader that relies on the store stops at most `confirmation_lifetime` after its replacement.
 *
 * The leader that the record names as autonomous may continue without the store, by agreement of its peers.
 * It stops once a process that it has answered follows this leader instead; a request of such a process
 * proves that it stops within `membership_tracker::agreement_lifetime`. Without such a request, it may act
 * for `autonomy_limit`.
 *
 * If the record is outdated, any later generation may have led, granted leases, ordered and been autonomous.
 */
class leadership_takeover
{
public:
    /// Minimum time between the promotion orders of two leaders; a rule of the platform.
    static constexpr milliseconds order_separation{3000};
    /// An earlier leader still needs the agreement of a process that it answered at most this long before
    /// this leader's election.
    static constexpr milliseconds evidence_age{89000};
    static_assert(evidence_age + leadership_validity::autonomy_limit < membership_tracker::member_retention);
    static_assert(membership_tracker::agreement_lifetime < leadership_validity::confirmation_lifetime);

    /// Begins to wait. `before`: the stored record that this process replaced; `self`: this process's VM and
    /// address; `age`: of `before`.
    void begin(const leadership_record &before, const std::string &self, record_age age, time_point now);

    /**
     * Records that a process, which may be this one, follows the new leader.
     *
     * `vm_and_address`: as in the record. `contacts`: the process's contacts with earlier leaders.
     * `sent_after`: a time before the process sent them; none: unknown, and they may be outdated.
     */
    void record_follower(const std::string &vm_and_address,
                         const std::vector<inner::leader_contact> &contacts,
                         std::optional<time_point> sent_after, time_point now);

    /// Returns the autonomous leader (VM and address) whose stop is or was awaited; empty: none.
    [[nodiscard]] const std::string &earlier_leader() const { return before_.autonomous_leader; }

    /// Returns true if no lease or order of an earlier leader can be in force any more.
    [[nodiscard]] bool is_exclusive(time_point now) const;

    /// Returns true if a promotion may be ordered: `is_exclusive`, and `order_separation` after the last
    /// order of another leader.
    [[nodiscard]] bool may_promote(time_point now) const;

    /// Returns true while only a process that the earlier leader has answered can prove that it stopped.
    [[nodiscard]] bool needs_witness() const { return !stop_known_; }

    /// Returns the remaining waiting times as text for the log.
    [[nodiscard]] std::string summary(time_point now) const;

private:
    [[nodiscard]] time_point exclusive_from() const;
    [[nodiscard]] std::optional<time_point> last_order() const;
    void record_stop(time_point stop, time_point last_order);
    void begin_outdated(record_age age, time_point now);
    /// Returns true if the generation may be that of the leader whose stop is awaited.
    [[nodiscard]] bool is_awaited(std::uint64_t generation) const;

    leadership_record before_;
    record_age age_ = record_age::current;
    time_point elected_at_;
    time_point leases_end_;  ///< end of the leases that were granted on the store's confirmation
    time_point stopped_at_;  ///< the autonomous leader has stopped by then
    bool stop_known_ = true; ///< false: `stopped_at_` is the limit, without proof by a peer
    std::optional<time_point> orders_end_; ///< another leader's last order was given before then
};

} // namespace baobabport::failover
