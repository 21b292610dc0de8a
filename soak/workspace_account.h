// Checks whose keys are served, under which names their statements run, and how many of each workspace.

#pragma once

#include "line_group.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace soak {

/// A workspace of a desired state.
struct workspace_state
{
    std::set<std::string> keys;
    double rate_per_s = 0;
    double burst = 0;
};

/**
 * Knows all desired states, and judges each statement that an instance runs by the key of its session.
 *
 * A process out of touch may serve by an earlier state, unless the settings forbid it. Rules on the time of a
 * removal therefore hold while nothing is disturbed; the others hold at any time.
 */
class workspace_account
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;
    using workspaces = std::map<std::string, workspace_state>; ///< by name

    /// A removed key can do nothing more after this time.
    static constexpr milliseconds revocation_bound{5000};
    /// The same with strict revocation, for a process that is cut off or suspended: the age at which it
    /// refuses keys, the time-out of a statement that was accepted before, and the longest suspension.
    static constexpr milliseconds strict_bound{5000 + 1500 + 3500};
    static constexpr milliseconds quota_window{5000};
    static constexpr double quota_overage = 0.1;
    static constexpr double quota_slack = 20; ///< operations

    struct rules
    {
        bool strict_revocation = false;
        bool quotas = false;
        std::string process_prefix; ///< with which the names of all processes begin, and of no workspace
    };

    explicit workspace_account(rules applied) : rules_(std::move(applied)) {}

    /// Records a desired state. `none`: callers need no keys.
    void record_state(std::optional<workspaces> state, time_point accepted_at);

    /// Records the key of a statement's session; must be called before the statement is sent.
    void record_sent(const std::string &id, const std::string &key, bool is_public);

    /// Returns what is wrong with a statement that an instance has run. `quiet`: nothing is disturbed.
    [[nodiscard]] std::vector<std::string> check(const standin::ran_statement &ran, time_point now,
                                                 bool quiet);

    /// Returns what is wrong with the answer to a caller that presented the key on a route that needs one;
    /// empty: nothing. `asked_at`: when it did.
    [[nodiscard]] std::string check_admission(const std::string &key, bool admitted, time_point asked_at,
                                              bool quiet) const;

    [[nodiscard]] std::size_t statements_with_key() const { return statements_with_key_; }

private:
    struct version
    {
        std::optional<workspaces> state;
        time_point accepted_at;
    };
    struct sent
    {
        std::string key;
        bool is_public = false;
    };

    /// Returns when the workspace last held the key, `now` if it does, or none if it never did. `name`: null
    /// stands for any workspace.
    [[nodiscard]] std::optional<time_point> held_until(const std::string &key, const std::string *name,
                                                       time_point now) const;
    /// Returns true if a workspace has held the key in each state in force since the time.
    [[nodiscard]] bool held_since(const std::string &key, time_point since) const;
    [[nodiscard]] std::optional<milliseconds> bound(bool quiet) const;
    [[nodiscard]] bool without_workspaces() const { return versions_.empty() || !versions_.back().state; }
    /// Returns the operations of the workspace that may run in a window that ends now.
    [[nodiscard]] double limit(const std::string &name, time_point now) const;
    [[nodiscard]] std::string check_quota(const standin::ran_statement &ran, time_point now);

    rules rules_;
    std::vector<version> versions_;
    std::map<std::string, sent> sent_;                         ///< by id
    std::map<std::string, std::deque<time_point>> operations_; ///< by workspace, within the last window
    std::set<std::tuple<std::string, std::uint64_t, std::uint64_t>> transactions_; ///< counted ones
    std::size_t statements_with_key_ = 0;
};

} // namespace soak
