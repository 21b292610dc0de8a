// When a process that took the failover duty may act: once nothing of an earlier holder is in force.

#pragma once

#include "failover/duty_record.h"
#include "failover/duty_tenure.h"
#include "failover/lease_grantor.h"
#include "failover/peer_census.h"
#include "inner/lease_messages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::failover {

/**
 * Waits for the end of all that earlier holders may still do.
 *
 * A holder that is named as standing in the record may go on without the store. A process that it had
 * answered, and that follows this one instead, is a witness that it has stopped.
 *
 * An earlier holder that relies on the store stops `confirmation_lifetime` after the duty was taken from it
 * at the latest. One that relies on the other processes stops once one of those that it has answered follows
 * this process; until such a one is heard, it may act for `autonomy_limit`.
 */
class leadership_takeover
{
public:
    /// Orders of two holders are this far apart; rule of the platform.
    static constexpr milliseconds order_separation{3000};
    /// An earlier holder that answered a process so long before the duty was taken still counts that process.
    static constexpr milliseconds evidence_age{89000};
    static_assert(evidence_age + leadership_validity::autonomy_limit < membership_tracker::member_retention);
    static_assert(membership_tracker::agreement_lifetime < leadership_validity::confirmation_lifetime);

    /// Begins to wait. `before`: the store's record as this process replaced it; `self`: its VM and address.
    void begin(const leadership_record &before, const std::string &self, time_point now);

    /**
     * Takes in that a process, which may be this one, follows the new holder, and its earlier contacts.
     *
     * `vm_and_address`: as in the record. `sent_after`: a time before it said so; none: not known, and its
     * contacts may be old.
     */
    void record_follower(const std::string &vm_and_address,
                         const std::vector<inner::leader_contact> &contacts,
                         std::optional<time_point> sent_after, time_point now);

    /// Returns the holder that is waited for, or was.
    [[nodiscard]] const std::string &earlier_leader() const { return before_.autonomous_leader; }

    /// Returns true if no lease or command of an earlier holder can be in force any more.
    [[nodiscard]] bool exclusive(time_point now) const;

    /// Returns true if a promotion may be ordered: `exclusive`, and a turn after the last order of another
    /// holder.
    [[nodiscard]] bool may_promote(time_point now) const;

    /// Returns what is waited for, for the log.
    [[nodiscard]] std::string summary(time_point now) const;

private:
    [[nodiscard]] time_point exclusive_from() const;
    [[nodiscard]] std::optional<time_point> last_order() const;
    void record_stop(time_point stop, time_point last_order);

    leadership_record before_;
    time_point elected_at_;
    time_point leases_end_;                ///< of those that a holder granted by the store's word
    time_point stopped_at_;                ///< the standing holder has stopped by then
    bool stop_known_ = true;               ///< false: `stopped_at_` is the limit, for want of a witness
    std::optional<time_point> orders_end_; ///< another holder's last order was given before
};

} // namespace baobabport::failover
