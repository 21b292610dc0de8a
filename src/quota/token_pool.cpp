#include "quota/token_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace baobabport::quota {

namespace {

constexpr double milli = 1000;

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

milliseconds from_seconds(double time)
{
    return milliseconds(static_cast<std::int64_t>(std::ceil(time * milli)));
}

} // namespace

std::size_t group_of(const std::string &workspace)
{
    return XXH3_64bits(workspace.data(), workspace.size()) % group_count;
}

std::string group_name(std::size_t group)
{
    return "quota-pool-" + std::to_string(group);
}

void token_pool::set_bounds(const std::string &workspace, const stock_bounds &bounds, double rate_per_s)
{
    auto &it = entries_[workspace];
    it.group = group_of(workspace);
    it.bounds = bounds;
    it.rate_per_s = rate_per_s;
    it.stock = std::min(it.stock, bounds.pool);
}

void token_pool::remove(const std::string &workspace)
{
    entries_.erase(workspace);
}

void token_pool::endorse(const std::string &vm, const std::vector<std::size_t> &groups, time_point now)
{
    for (const auto group : groups) {
        if (group < group_count)
            endorsements_[group].arrived_at[vm] = now;
    }
}

double token_pool::share(std::size_t group, time_point now)
{
    auto &endorsed = endorsements_[group];
    auto &voters = endorsed.arrived_at;
    if (now - endorsed.expired_at >= expiry_interval) {
        std::erase_if(voters, [now](const auto &vote) { return now - vote.second > endorsement_time; });
        endorsed.expired_at = now;
    }
    return fleet_ == 0 ? 0 : std::min(1.0, static_cast<double>(voters.size()) / fleet_);
}

double token_pool::bound(const entry &it, time_point now)
{
    return std::max(it.bounds.pool * share(it.group, now), it.bounds.pool_floor);
}

void token_pool::issue_sustained(entry &it, time_point now)
{
    const auto begin = std::max(it.sustained_until, it.scarce_since + it.bounds.window);
    if (it.scarce_since != time_point{} && now > begin) {
        const double issued = it.bounds.sustained_per_s * share(it.group, now) * seconds(now - begin);
        it.stock = std::min(it.bounds.scarce, it.stock + issued);
    }
    it.sustained_until = std::max(it.sustained_until, now);
    if (it.stock > it.bounds.scarce)
        it.scarce_since = {};
    else if (it.scarce_since == time_point{})
        it.scarce_since = now;
}

milliseconds token_pool::deposit(const std::string &workspace, std::int64_t milli_tokens, time_point now)
{
    const auto found = entries_.find(workspace);
    if (found == entries_.end())
        return longest_full_time; // this VM has another desired state than the sender
    auto &it = found->second;
    issue_sustained(it, now);
    const double room = bound(it, now);
    it.stock =
        std::min(room, it.stock + static_cast<double>(std::max<std::int64_t>(0, milli_tokens)) / milli);
    if (it.stock > it.bounds.scarce)
        it.scarce_since = {};
    if (it.stock < room || it.rate_per_s <= 0)
        return milliseconds(0);
    return std::clamp(from_seconds(it.stock / it.rate_per_s / 2), shortest_full_time, longest_full_time);
}

token_amount token_pool::withdraw(const std::string &workspace, std::int64_t milli_tokens, time_point now)
{
    token_amount out{workspace, 0, longest_wait};
    const auto found = entries_.find(workspace);
    if (found == entries_.end() || milli_tokens <= 0)
        return out;
    auto &it = found->second;
    it.stock = std::min(it.stock, bound(it, now));
    issue_sustained(it, now);
    const auto available = static_cast<std::int64_t>(std::floor(it.stock * milli + 1e-6));
    const auto missing = std::max<std::int64_t>(0, milli_tokens - available);
    constexpr std::int64_t token = 1000;
    out.milli_tokens = std::max<std::int64_t>(0, milli_tokens - (missing + token - 1) / token * token);
    it.stock = std::max(0.0, it.stock - static_cast<double>(out.milli_tokens) / milli);
    // What was asked for in advance keeps no caller waiting; a withdrawal is for one operation at least.
    const auto refused = std::min(1.0, static_cast<double>(milli_tokens - out.milli_tokens) / milli);
    out.until_more = refused > 0 ? wait_for(it, refused, now) : milliseconds(0);
    return out;
}

milliseconds token_pool::wait_for(entry &it, double missing, time_point now) const
{
    if (it.rate_per_s <= 0)
        return longest_wait;
    it.awaited = std::max(0.0, it.awaited - it.rate_per_s * seconds(now - it.awaited_at));
    it.awaited_at = now;
    const double wait = (it.awaited + std::max(0.0, missing - it.stock)) / it.rate_per_s;
    it.awaited = std::min(it.awaited + missing, it.rate_per_s * seconds(longest_wait));
    return std::clamp(from_seconds(wait), milliseconds(1), longest_wait);
}

std::vector<token_amount> token_pool::release(std::size_t group, time_point now)
{
    std::vector<token_amount> out;
    for (auto &[workspace, it] : entries_) {
        if (it.group != group)
            continue;
        it.stock = std::min(it.stock, bound(it, now));
        const auto amount = static_cast<std::int64_t>(std::floor(it.stock * milli));
        it.stock = 0;
        if (amount > 0)
            out.push_back({workspace, amount, milliseconds(0)});
    }
    return out;
}

double token_pool::stock(const std::string &workspace) const
{
    const auto it = entries_.find(workspace);
    return it == entries_.end() ? 0 : it->second.stock;
}

} // namespace baobabport::quota
