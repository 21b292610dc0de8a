// The tokens that VMs have deposited with this one, for all workspaces of the desired state.

#pragma once

#include "quota/stock_bounds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabport::quota {

/// Workspaces are hashed into this many groups, each of which has a pool of its own.
inline constexpr std::size_t group_count = 8;

/// Returns the group of the workspace.
[[nodiscard]] std::size_t group_of(const std::string &workspace);

/// Returns the name by which VMs are ranked as the pool of the group.
[[nodiscard]] std::string group_name(std::size_t group);

/// Tokens of one workspace, as they are moved between VMs.
struct token_amount
{
    std::string workspace;
    std::int64_t milli_tokens = 0;
    milliseconds until_more{0}; ///< in an answer: see `token_pool`
    bool operator==(const token_amount &) const = default;
};

/**
 * The stock of each workspace for which this VM acts as the pool.
 *
 * A pool may keep the share of a workspace's bound that the VMs which endorse it make up of the fleet, since
 * other VMs may act as a pool of the same workspace during a partition. A VM endorses one pool of a group at
 * a time and changes it only after `endorsement_time`.
 *
 * Invariant: the pools of a workspace on all VMs keep at most `stock_bounds::pool`, and `pool_floor` for each
 * further VM that acts as its pool.
 */
class token_pool
{
public:
    /// An endorsement counts for this long after its arrival.
    static constexpr milliseconds endorsement_time{4500};
    /// Longest time to return that a refusal names.
    static constexpr milliseconds longest_wait{2000};
    /// Bounds of the time for which depositors are told that a pool is full.
    static constexpr milliseconds shortest_full_time{1000};
    static constexpr milliseconds longest_full_time{2000};

    /// Sets the limit of a workspace, and cuts its stock to it.
    void set_bounds(const std::string &workspace, const stock_bounds &bounds, double rate_per_s);
    void remove(const std::string &workspace);

    /// Sets the divisor of rates; 0, if it is not known, leaves the pools their floors.
    void set_fleet(std::uint32_t members) { fleet_ = members; }

    /// Records that the VM regards this one as the pool of the groups, and no other one.
    void endorse(const std::string &vm, const std::vector<std::size_t> &groups, time_point now);

    /// Adds tokens; those beyond the bound are lost. Returns how long the workspace needs no more; 0: it
    /// does.
    milliseconds deposit(const std::string &workspace, std::int64_t milli_tokens, time_point now);

    /**
     * Removes and returns as many of the wanted milli-tokens as there are, less by whole tokens otherwise.
     * `until_more` is the time after which a refused operation may find a token, spread over those that were
     * refused before it.
     */
    token_amount withdraw(const std::string &workspace, std::int64_t milli_tokens, time_point now);

    /// Removes and returns all stock of the group, for another VM to be its pool.
    [[nodiscard]] std::vector<token_amount> release(std::size_t group, time_point now);

    /// Returns the workspace's stock, or 0.
    [[nodiscard]] double stock(const std::string &workspace) const;

private:
    struct entry
    {
        std::size_t group = 0;
        stock_bounds bounds;
        double rate_per_s = 0;
        double stock = 0;
        time_point scarce_since;    ///< since when the stock has not exceeded `stock_bounds::scarce`
        time_point sustained_until; ///< until when `issue_sustained` has issued
        double awaited = 0; ///< tokens for which refused callers were told to return; falls at the rate
        time_point awaited_at;
    };

    struct group_endorsements
    {
        std::map<std::string, time_point> arrived_at; ///< by VM
        time_point expired_at;                        ///< when the old ones were last removed
    };
    /// Old endorsements are removed at this interval rather than with each message.
    static constexpr milliseconds expiry_interval{100};

    /// Returns the share of the fleet that endorses this pool of the group.
    [[nodiscard]] double share(std::size_t group, time_point now);
    [[nodiscard]] double bound(const entry &it, time_point now);
    /// Issues what `stock_bounds::sustained_per_s` allows since the last call.
    void issue_sustained(entry &it, time_point now);
    [[nodiscard]] milliseconds wait_for(entry &it, double missing, time_point now) const;

    std::uint32_t fleet_ = 0;
    std::map<std::string, entry> entries_;
    std::map<std::size_t, group_endorsements> endorsements_; ///< by group
};

} // namespace baobabport::quota
