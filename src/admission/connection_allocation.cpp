#include "admission/connection_allocation.h"

#include <algorithm>
#include <cmath>

namespace baobabport::admission {

using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

/// Weight of the newest interval between two statements of a workspace in its mean.
constexpr double newest_weight = 0.25;
/// Workspaces whose demand is remembered; beyond these, those that asked longest ago are forgotten.
constexpr std::size_t max_demands = 1024;
/// Wait for a connection when none is open and none may be opened.
constexpr std::chrono::hours no_release{1};

microseconds until(time_point then, time_point now)
{
    return std::max(microseconds(0), duration_cast<microseconds>(then - now));
}

} // namespace

void connection_allocation::record_demand(const std::string &workspace, time_point now)
{
    if (!workspace.empty())
        named_demand_at_ = now;
    if (demands_.size() >= max_demands && !demands_.count(workspace))
        demands_.erase(std::min_element(demands_.begin(), demands_.end(), [](const auto &a, const auto &b) {
            return a.second.last < b.second.last;
        }));
    const auto [it, is_new] = demands_.try_emplace(workspace, demand{now});
    if (is_new)
        return;
    auto &known = it->second;
    const auto since = duration_cast<microseconds>(now - known.last);
    known.interval =
        known.interval.count() == 0
            ? since
            : duration_cast<microseconds>(known.interval * (1 - newest_weight) + since * newest_weight);
    known.last = now;
}

void connection_allocation::add(connection_number it, const std::string &workspace)
{
    connections_[it].workspace = workspace;
}

void connection_allocation::opened(connection_number it, time_point now)
{
    limit_delay_ = retry_after_failure;
    refused_above_ = std::max(refused_above_, size());
    released(it, now);
}

void connection_allocation::taken(connection_number it, std::optional<microseconds> hold, time_point now)
{
    const auto found = connections_.find(it);
    if (found == connections_.end())
        return;
    auto &taken = found->second;
    taken.state = phase::in_use;
    taken.hold = hold.value_or(microseconds(0));
    taken.release_at = hold ? std::optional(now + *hold) : std::nullopt;
}

void connection_allocation::rested(connection_number it, time_point may_end_at)
{
    if (const auto found = connections_.find(it); found != connections_.end()) {
        found->second.state = phase::resting;
        found->second.release_at = may_end_at;
    }
}

void connection_allocation::released(connection_number it, time_point now)
{
    if (const auto found = connections_.find(it); found != connections_.end()) {
        found->second.state = phase::idle;
        found->second.idle_since = now;
        found->second.idle_order = ++last_idle_order_;
    }
}

void connection_allocation::record_failure(time_point now)
{
    limit_refused_ = false;
    retry_at_ = now + retry_after_failure;
}

void connection_allocation::record_limit_refusal(time_point now)
{
    // Another process may have taken the connection that was closed; each attempt would cost one more.
    if (limit_refused_ && !at_instance_limit())
        replace_at_ = now + retry_after_failure;
    refused_above_ = size();
    limit_refused_ = true;
    retry_at_ = now + limit_delay_;
    limit_delay_ = std::min(limit_delay_ * 2, longest_limit_delay);
}

std::optional<connection_allocation::connection_number>
connection_allocation::idle_of(const std::string &workspace, const preference &preferred) const
{
    const connection *best = nullptr;
    bool best_preferred = false;
    std::optional<connection_number> out;
    for (const auto &[number, it] : connections_) {
        if (it.state != phase::idle || it.workspace != workspace)
            continue;
        const bool is_preferred = preferred && preferred(number);
        // Among the others the one used last, so that the rest can be closed the sooner.
        const bool better = !best || (is_preferred != best_preferred ? is_preferred
                                      : is_preferred                 ? it.idle_order < best->idle_order
                                                                     : it.idle_order > best->idle_order);
        if (better) {
            best = &it;
            best_preferred = is_preferred;
            out = number;
        }
    }
    return out;
}

connection_outlook connection_allocation::outlook(const std::string &workspace, std::size_t waiting,
                                                  time_point now) const
{
    using kind = connection_outlook::kind;
    if (idle_of(workspace, {}))
        return {kind::ready, microseconds(0)};
    if (const auto wait = time_until_release(workspace, waiting, now); wait && *wait < opening_cost)
        return {kind::soon, *wait};
    const auto plan = plan_opening(workspace, {workspace}, now);
    if (plan.open || plan.close)
        return {kind::openable, opening_cost};
    if (limit_ == 0) // until this process knows the homes of the instances
        return {kind::unavailable, microseconds(0)};
    auto wait = earliest_release(now);
    if (size() < limit_ && !reachable(now))
        wait = std::min(wait, until(retry_at_, now) + opening_cost);
    if (limit_refused_ && (idle() > 0 || !at_instance_limit()))
        wait = std::min(wait, until(replace_at_, now) + opening_cost);
    return {kind::unavailable, wait};
}

std::optional<microseconds> connection_allocation::time_until_release(const std::string &workspace,
                                                                      std::size_t waiting,
                                                                      time_point now) const
{
    std::vector<microseconds> remaining;
    microseconds longest(0);
    for (const auto &[number, it] : connections_) {
        if (it.state != phase::in_use || it.workspace != workspace || !it.release_at)
            continue;
        // How long a late statement still takes is not known.
        remaining.push_back(*it.release_at > now ? until(*it.release_at, now) : opening_cost);
        longest = std::max(longest, it.hold);
    }
    if (remaining.empty())
        return std::nullopt;
    std::sort(remaining.begin(), remaining.end());
    const auto ahead = waiting == 0 ? 0 : waiting - 1;
    return remaining[ahead % remaining.size()] + longest * (ahead / remaining.size());
}

microseconds connection_allocation::earliest_release(time_point now) const
{
    microseconds out = no_release;
    for (const auto &[number, it] : connections_) {
        if (it.state == phase::in_use || it.state == phase::resting)
            out = std::min(out, it.release_at ? until(*it.release_at, now) : microseconds(0));
        else
            out = microseconds(0);
    }
    return out;
}

connection_allocation::opening_plan connection_allocation::plan_opening(const std::string &workspace,
                                                                        const std::set<std::string> &needed,
                                                                        time_point now) const
{
    if (limit_ == 0 || (at_instance_limit() && opening() > 0))
        return {};
    // The back-off after a refusal for the instance's limit keeps the number of connections from growing. A
    // connection that was closed for it may be replaced meanwhile.
    const bool may_replace = limit_refused_ && has_workspaces();
    const bool backs_off = !reachable(now);
    if (backs_off && !may_replace)
        return {};
    if (may_replace && (backs_off || !at_instance_limit()) && now < replace_at_)
        return {};
    const bool named_full = !workspace.empty() && named_count() >= named_limit();
    const bool full = named_full || size() >= limit_;
    const bool must_close_first = backs_off && at_instance_limit();
    if (full || must_close_first) {
        const auto victim = least_needed(needed, named_full, now);
        return {victim && !must_close_first, victim};
    }
    return {true, std::nullopt};
}

std::optional<connection_allocation::connection_number>
connection_allocation::least_needed(const std::set<std::string> &needed, bool of_workspaces,
                                    time_point now) const
{
    struct candidate
    {
        connection_number number;
        const connection *it;
    };
    std::vector<candidate> last_used_first;
    for (const auto &[number, it] : connections_) {
        if (it.state == phase::idle && !needed.count(it.workspace) &&
            !(of_workspaces && it.workspace.empty()))
            last_used_first.push_back({number, &it});
    }
    std::sort(last_used_first.begin(), last_used_first.end(),
              [](const auto &a, const auto &b) { return a.it->idle_since > b.it->idle_since; });
    std::map<std::string, int> of_workspace;
    std::optional<connection_number> out;
    microseconds latest(-1);
    for (const auto &[number, it] : last_used_first) {
        // The second idle connection of a workspace is needed only when two statements overlap, and so on.
        const auto rank = ++of_workspace[it->workspace];
        const auto known = demands_.find(it->workspace);
        const auto unused_for = duration_cast<microseconds>(now - it->idle_since);
        const auto needed_in = known == demands_.end()
                                   ? unused_for
                                   : std::max(known->second.interval, until(now, known->second.last)) * rank;
        if (needed_in >= latest) {
            latest = needed_in;
            out = number;
        }
    }
    return out;
}

std::vector<connection_allocation::connection_number>
connection_allocation::idle_too_long(bool is_home, time_point now) const
{
    const bool keeps_named = is_home && named_demand_at_ && now - *named_demand_at_ <= idle_time;
    std::vector<connection_number> out;
    for (const auto &[number, it] : connections_) {
        const bool kept = keeps_named && !it.workspace.empty();
        if (it.state == phase::idle && !kept && now - it.idle_since > idle_time)
            out.push_back(number);
    }
    return out;
}

bool connection_allocation::exhausted(time_point now) const
{
    const bool open_failed = !reachable(now) && !limit_refused_;
    if (limit_ == 0 || !has_workspaces() || open_failed || opening() > 0 || now < replace_at_)
        return false;
    constexpr const char *any_workspace = "-";
    const auto plan = plan_opening(any_workspace, {}, now);
    return !plan.open && !plan.close;
}

std::size_t connection_allocation::opening(const std::string &workspace) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [&workspace](const auto &it) {
            return it.second.state == phase::opening && it.second.workspace == workspace;
        }));
}

bool connection_allocation::is_idle(connection_number it) const
{
    const auto found = connections_.find(it);
    return found != connections_.end() && found->second.state == phase::idle;
}

std::size_t connection_allocation::count(phase state) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [state](const auto &it) { return it.second.state == state; }));
}

std::size_t connection_allocation::named_count() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto &it) { return !it.second.workspace.empty(); }));
}

std::uint32_t connection_allocation::named_limit() const
{
    // With a single connection, the proxy and the workspaces take turns.
    return limit_ > own_reserve ? limit_ - own_reserve : limit_;
}

} // namespace baobabport::admission
