// The set of existing instances, derived from the records that they register in the store.

#pragma once

#include "directory/instance_record.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::directory {

using time_point = std::chrono::steady_clock::time_point;

/// The changes that one listing of the records made; instance ids.
struct directory_change
{
    std::vector<std::string> joined;
    std::vector<std::string> left;
    std::vector<std::string> restarted; ///< a new process has the same id
    std::vector<std::string> draining;  ///< began to drain
    [[nodiscard]] bool empty() const
    {
        return joined.empty() && left.empty() && restarted.empty() && draining.empty();
    }
};

/**
 * Keeps the instances and decides when a missing record means that its instance has been removed.
 *
 * Records may be lost while the store is unavailable; they reappear soon after it has recovered. A missing
 * record is therefore ignored until the store has answered for `recovery_grace_period`.
 */
class instance_directory
{
public:
    /// An instance whose record is still missing this long after the recovery of the store is removed. The
    /// store's description says 2 s; one listing interval is added.
    static constexpr std::chrono::milliseconds recovery_grace_period{2500};

    /// A longer interval between two listings counts as an outage of the store, as does a failed listing.
    static constexpr std::chrono::milliseconds outage_threshold{4000};

    /// Time from the choice of an instance for a statement until the statement reaches it, at most.
    static constexpr std::chrono::milliseconds delivery_time{500};

    /// How long a removed record is kept: longer than the sum of the minimum time for which a draining
    /// instance serves and the time for which its record may be missing. An instance whose record reappears
    /// later is treated as new.
    static constexpr std::chrono::milliseconds removed_record_retention{30000};

    /// A draining instance gets new statements for half of `drain_bound`, the minimum time for which it
    /// serves, if this process has listed it as ready before. It may have announced its shutdown just after
    /// that listing, so that the time ends by `drain_bound` after it. An instance first listed as draining
    /// may have been draining for a long time and gets none. The default is the bound of the known sites.
    explicit instance_directory(std::chrono::milliseconds drain_bound = std::chrono::milliseconds(7000))
        : drain_bound_(drain_bound)
    {
    }

    /// Sets the minimum time for which a draining instance serves. Applies to instances that begin to drain
    /// after the call.
    void set_drain_bound(std::chrono::milliseconds bound) { drain_bound_ = bound; }

    /// Returns true if new statements may be sent to the instance.
    [[nodiscard]] static bool accepts_statements(const instance_record &record, time_point now);

    /// Updates the records from a complete listing and returns the changes.
    directory_change apply_listing(std::vector<instance_record> records, time_point now);

    /// Records that a listing failed.
    void record_listing_failure(time_point now) { unavailable_at_ = now; }

    /// Records that another process obtained a listing of the same instances at that time.
    void record_peer_listing(time_point listed_at);

    /// Returns when this process or another last obtained a listing from the store.
    [[nodiscard]] time_point confirmed_at() const { return last_listed_at_; }

    /// Returns a hash of the fields of all records that affect how the instances are used.
    [[nodiscard]] std::uint64_t digest() const;

    [[nodiscard]] const instance_record *find(const std::string &id) const;

    /// Returns the instances of the service, ordered by id.
    [[nodiscard]] std::vector<instance_record> of_service(const std::string &service) const;

    [[nodiscard]] const std::map<std::string, instance_record> &all() const { return records_; }
    [[nodiscard]] bool listed() const { return last_listed_at_ != time_point{}; }

private:
    struct removed_record
    {
        instance_record record;
        time_point removed_at;
    };

    /// Returns until when an instance gets new statements, given the previous record of the same id; none
    /// means without limit.
    [[nodiscard]] std::optional<time_point> accepts_until(const instance_record &record,
                                                          time_point now) const;

    [[nodiscard]] bool is_recovering(time_point now) const;

    std::chrono::milliseconds drain_bound_;
    std::map<std::string, instance_record> records_;
    std::map<std::string, removed_record> removed_; ///< by id; no id is also in `records_`
    std::map<std::string, time_point> seen_at_;     ///< when each of `records_` was last in a listing
    mutable std::optional<std::uint64_t> digest_;   ///< of `records_`; none: not computed since they changed
    time_point last_listed_at_;
    std::optional<time_point>
        unavailable_at_;         ///< the last failed listing, unless the store has answered since
    time_point available_since_; ///< start of the period in which the store has answered without an outage
};

} // namespace baobabport::directory
