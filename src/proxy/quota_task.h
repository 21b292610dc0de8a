// Takes tokens of the workspaces' quotas for operations, and exchanges them with the pools at other
// processes.

#pragma once

#include "inner/quota_messages.h"
#include "inner/stream_connection.h"
#include "inner/timer.h"
#include "proxy/statement_run.h"
#include "quota/quota_account.h"
#include "support/metrics.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

struct event_base;

namespace baobabport::proxy {

/**
 * Carries the messages that `quota::quota_account` calls for.
 *
 * Withdrawals for all operations of one turn of the event loop are sent together. An operation without a
 * token waits for the answers of at most two pools.
 */
class quota_task
{
public:
    /// Time-outs of the two attempts of a withdrawal. Links answer within 1 to 6 ms, but a VM with a small
    /// share of a core may stand still for most of a scheduling period of 100 ms.
    static constexpr std::chrono::milliseconds first_timeout{100};
    static constexpr std::chrono::milliseconds second_timeout{150};
    /// The tokens of a deposit without an answer are given up after this time; below the interval of
    /// deposits.
    static constexpr std::chrono::milliseconds deposit_timeout{300};
    /// A process that did not answer is left out for this long; doubled with each further failure.
    static constexpr std::chrono::milliseconds first_avoidance{500};
    static constexpr std::chrono::milliseconds longest_avoidance{4000};
    /// After a pause of this length the messages that have arrived meanwhile may be old: their tokens do not
    /// count any more.
    static constexpr std::chrono::milliseconds longest_pause{300};

    struct link_hooks
    {
        /// Returns the VMs that can be reached, in rank order for the name; empty: this one.
        std::function<std::vector<std::string>(const std::string &name)> ranks;
        std::function<void(const std::string &vm, inner::message_kind kind, std::string body,
                           std::chrono::milliseconds timeout, inner::stream_connection::outcome_hook done)>
            send;
    };

    quota_task(event_base *base, const std::string &vm, link_hooks links);

    [[nodiscard]] quota::quota_account &account() { return account_; }

    /// Takes a token for an operation of the workspace. The hook is called once, possibly before this
    /// returns.
    void take(const std::string &workspace, token_hook done);

    /// Deposits what is due.
    void tick(time_point now);

    /// Deposits early, since the pools may have changed, but not with every change of the list while a fleet
    /// starts.
    void deposit_soon(time_point now)
    {
        constexpr std::chrono::milliseconds shortest_interval{100};
        deposited_at_ =
            std::min(deposited_at_, now - quota::quota_account::deposit_interval + shortest_interval);
    }

    /// Answers a message of another process.
    [[nodiscard]] std::string answer(inner::message_kind kind, const std::string &body, time_point now);

    void write_metrics(support::metrics &out, time_point now);
    [[nodiscard]] nlohmann::json state(time_point now);

private:
    struct avoidance
    {
        time_point until;
        std::chrono::milliseconds next = first_avoidance;
    };
    /// Operations of one workspace that wait for the same withdrawal.
    struct waiting_group
    {
        quota::withdrawal open;
        std::vector<token_hook> waiting;
    };
    using waiting_operations = std::map<std::string, std::vector<token_hook>>; ///< by workspace

    [[nodiscard]] std::vector<std::string> reachable(std::size_t group, time_point now) const;
    [[nodiscard]] std::string pool_of(const std::string &workspace, time_point now) const;
    void avoid(const std::string &vm, time_point now);
    void withdraw(waiting_operations &&operations, int attempt);
    void withdraw_from(const std::string &vm, std::vector<waiting_group> groups, int attempt);
    void handle_withdrawal(const std::vector<waiting_group> &groups, const inner::token_list &given);
    void handle_no_answer(const std::string &vm, std::vector<waiting_group> groups, int attempt);
    /// Calls the hooks: the first `granted` operations have a token.
    void finish(const std::string &workspace, const std::vector<token_hook> &waiting, std::size_t granted,
                const std::string &refusal);
    [[nodiscard]] std::string refusal_of(const std::string &workspace, std::chrono::milliseconds wait) const;
    void deposit(time_point now);
    void handle_deposit(const std::string &vm, const quota::pool_deposit &it,
                        const inner::stream_outcome &outcome);

    link_hooks links_;
    quota::quota_account account_;
    inner::timer withdrawal_timer_; ///< ends the turn of the event loop
    waiting_operations queued_;     ///< since the last withdrawal
    std::map<std::string, avoidance> avoided_;
    std::set<std::string> depositing_to_; ///< a deposit is not answered yet
    time_point deposited_at_;
    time_point ticked_at_;
    time_point ignored_until_;                                   ///< deposits that arrive before are old
    std::set<std::string> labels_;                               ///< workspaces whose metrics were written
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< callbacks keep a weak pointer to it
};

} // namespace baobabport::proxy
