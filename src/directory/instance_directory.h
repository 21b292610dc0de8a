// The instances that exist, from the records they register.

#pragma once

#include "directory/instance_record.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::directory {

using time_point = std::chrono::steady_clock::time_point;

/// What one listing of the records changed.
struct directory_change
{
    std::vector<std::string> joined;
    std::vector<std::string> left;
    std::vector<std::string> restarted; ///< another process under the same id
    std::vector<std::string> draining;  ///< began to leave
    [[nodiscard]] bool empty() const
    {
        return joined.empty() && left.empty() && restarted.empty() && draining.empty();
    }
};

/**
 * Keeps the instances and decides when a missing record means that its instance is gone.
 *
 * Records may be lost while the store is away; they are back soon after it is. A record that is missing
 * is therefore ignored until the store has answered for `recovery_grace_period`.
 */
class instance_directory
{
public:
    /// A record missing this long after the store's return is of an instance that is gone; from the
    /// store's description (2 s) and one listing interval.
    static constexpr std::chrono::milliseconds recovery_grace_period{2500};

    /// Listings further apart than this count as an outage of the store, as does one that failed.
    static constexpr std::chrono::milliseconds outage_threshold{4000};

    /// How long a removed record is remembered: longer than a leaving instance serves at least and its record
    /// is silent together. One that is back later counts as never seen.
    static constexpr std::chrono::milliseconds removed_record_retention{30000};

    /// A leaving instance gets new work for half of the time that it serves at least, if this process saw it
    /// ready before; one first seen leaving may have been leaving for long and gets none. The default is of
    /// the known sites.
    explicit instance_directory(std::chrono::milliseconds drain_bound = std::chrono::milliseconds(7000))
        : draining_acceptance_time_(drain_bound / 2)
    {
    }

    /// Takes effect with the next instance that begins to leave.
    void set_drain_bound(std::chrono::milliseconds bound) { draining_acceptance_time_ = bound / 2; }

    /// Returns true if the instance may get new statements.
    [[nodiscard]] static bool accepts_statements(const instance_record &record, time_point now);

    /// Takes in a complete listing.
    directory_change apply_listing(std::vector<instance_record> records, time_point now);

    /// Takes in that a listing failed.
    void record_listing_failure(time_point now) { unavailable_at_ = now; }

    /// Takes in that another process had the same instances listed at that time.
    void record_peer_listing(time_point listed_at);

    /// Returns when the store last listed the instances, to this process or another.
    [[nodiscard]] time_point confirmed_at() const { return last_listed_at_; }

    /// Returns a number that differs when anything differs that matters to the use of the instances.
    [[nodiscard]] std::uint64_t digest() const;

    [[nodiscard]] const instance_record *find(const std::string &id) const;

    /// Returns the instances of the service, by id.
    [[nodiscard]] std::vector<instance_record> of_service(const std::string &service) const;

    [[nodiscard]] const std::map<std::string, instance_record> &all() const { return records_; }
    [[nodiscard]] bool listed() const { return last_listed_at_ != time_point{}; }

private:
    struct removed_record
    {
        instance_record record;
        time_point removed_at;
    };

    /// Returns the end of new work for an instance, from what was known of the id before.
    [[nodiscard]] std::optional<time_point> accepts_until(const instance_record &record,
                                                          time_point now) const;

    std::chrono::milliseconds draining_acceptance_time_;
    std::map<std::string, instance_record> records_;
    std::map<std::string, removed_record> removed_; ///< none that is in `records_`
    time_point last_listed_at_;
    std::optional<time_point> unavailable_at_; ///< the last failure, unless the store has answered since
    time_point available_since_;               ///< since when the store has answered without an outage
};

} // namespace baobabport::directory
