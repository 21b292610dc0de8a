// The quotas of all workspaces on one VM: what it issues itself, what it deposits, and its pools.

#pragma once

#include "quota/fleet_size.h"
#include "quota/local_bucket.h"
#include "quota/token_pool.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace baobabport::quota {

/// What a VM sends to the VM of a pool.
struct pool_deposit
{
    std::vector<std::size_t> endorsed; ///< groups, see `token_pool::endorse`
    std::vector<token_amount> tokens;
    /// By pools of the sender that another VM is to replace, or returned by operations.
    std::vector<token_amount> released;
};

/// Tokens that a VM asks for on behalf of operations.
struct withdrawal
{
    token_amount wanted;
    std::int64_t reserved = 0; ///< milli-tokens of the local bucket
    std::size_t waiting = 0;   ///< operations
    std::int64_t advanced = 0; ///< tokens that were asked for in advance
};

/// The state of one workspace, for operators.
struct workspace_summary
{
    std::string workspace;
    directory::quota limit;
    double local = 0;
    double pooled = 0; ///< in a pool of this VM
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

/**
 * Decides which operations of a VM's sessions have a token, and which tokens move between VMs.
 *
 * Each VM issues its part of every workspace's rate to itself. Tokens are only moved after that: a lost
 * message loses tokens, and two VMs that act as the same pool share them.
 */
class quota_account
{
public:
    /// Interval of the deposits; below `local_time`, so that issue continues until one is acknowledged.
    static constexpr milliseconds deposit_interval{400};
    /// An endorsement is repeated after this time.
    static constexpr milliseconds endorsement_interval{2000};
    /// A VM endorses another pool this long after it has endorsed the earlier one; longer than an endorsement
    /// counts, by the time that a message may take.
    static constexpr milliseconds endorsement_change{token_pool::endorsement_time + milliseconds(500)};

    quota_account(std::string vm, time_point now) : vm_(std::move(vm)), fleet_(now) {}

    [[nodiscard]] const std::string &vm() const { return vm_; }
    [[nodiscard]] fleet_size &fleet() { return fleet_; }

    void set_tolerance(const tolerance &of, time_point now);

    /// Applies the quotas of a desired state. A workspace that shares no key with its predecessor of the same
    /// name starts empty.
    void apply(const std::optional<std::vector<directory::workspace>> &workspaces, time_point now);

    /// Applies what is known of the fleet's size at present.
    void update_fleet(time_point now);

    /// Returns the number of VMs that share the rates; none: it is not known, and nothing is issued.
    [[nodiscard]] std::optional<std::uint32_t> divisor() const { return divisor_; }

    /// Returns true if no workspace has a quota.
    [[nodiscard]] bool empty() const { return entries_.empty(); }

    /// Returns the workspace's quota, or null.
    [[nodiscard]] const directory::quota *limit_of(const std::string &workspace) const;

    /// Takes a token for an operation; false: there is none here. The workspace must have a quota.
    [[nodiscard]] bool take(const std::string &workspace, time_point now);

    /// Reserves what there is here for operations without a token, and returns what to withdraw for them.
    [[nodiscard]] withdrawal begin_withdrawal(const std::string &workspace, std::size_t waiting,
                                              time_point now);

    /// Ends a withdrawal that got that many milli-tokens. Returns how many of its operations have a token.
    [[nodiscard]] std::size_t end_withdrawal(const withdrawal &it, std::int64_t milli_tokens, time_point now);

    /// Returns the token of an operation that no instance has run. It goes to the pool with the next deposit,
    /// since the bound of a VM may be less than a token.
    void return_token(const std::string &workspace);

    /// Counts a refused operation.
    void record_refusal(const std::string &workspace);

    /// Returns the VM to send the group's deposits to, empty for this one; none: nothing may be sent now.
    using target_hook = std::function<std::optional<std::string>(std::size_t group)>;

    /// Removes the tokens that are not needed here and returns them by VM. Those for pools of this VM are
    /// moved at once.
    [[nodiscard]] std::map<std::string, pool_deposit> collect_deposits(const target_hook &target,
                                                                       time_point now);

    /// Records that a deposit has arrived or is lost.
    void finish_deposit(const pool_deposit &it);

    /// Deposits nothing for the workspace for this long, since its pool is full.
    void pause_deposits(const std::string &workspace, milliseconds time, time_point now);

    /// Accepts a deposit of a VM. Returns the workspaces that need no more, with the time for which they do
    /// not in `until_more`.
    std::vector<token_amount> accept(const std::string &vm, const pool_deposit &it, time_point now);

    /// Answers a withdrawal from a pool of this VM.
    [[nodiscard]] token_amount withdraw(const token_amount &wanted, time_point now);

    [[nodiscard]] std::vector<workspace_summary> summaries(time_point now);

private:
    struct entry
    {
        directory::quota limit;
        std::vector<std::string> key_hashes;
        local_bucket bucket;
        time_point paused_until;
        std::int64_t returned = 0; ///< milli-tokens that operations have not used
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };
    struct endorsement
    {
        std::string vm;
        std::optional<time_point> sent_at; ///< none: no pool was endorsed yet
    };

    void apply_bounds(const std::string &workspace, entry &it, time_point now);
    [[nodiscard]] bool endorses(std::size_t group, const std::string &vm, time_point now);

    std::string vm_;
    fleet_size fleet_;
    tolerance tolerance_;
    std::optional<std::uint32_t> divisor_;
    std::map<std::string, entry> entries_;
    std::map<std::size_t, endorsement> endorsements_; ///< by group
    token_pool pool_;
};

/// Returns the text of a refusal.
[[nodiscard]] std::string refusal_text(const directory::quota &limit, milliseconds until_more);

} // namespace baobabport::quota
