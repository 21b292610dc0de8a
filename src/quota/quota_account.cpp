#include "quota/quota_account.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <utility>

namespace baobabport::quota {

namespace {

constexpr std::int64_t milli = 1000;

bool share_a_key(const std::vector<std::string> &a, const std::vector<std::string> &b)
{
    return a == b || std::any_of(a.begin(), a.end(), [&b](const auto &it) {
               return std::find(b.begin(), b.end(), it) != b.end();
           });
}

} // namespace

std::string refusal_text(const directory::quota &limit, milliseconds until_more)
{
    std::array<char, 32> rate{};
    std::snprintf(rate.data(), rate.size(), "%g", limit.rate_per_s);
    return std::string("the workspace's quota of ") + rate.data() +
           " operations per second is used up; retry in " + std::to_string(until_more.count()) + " ms";
}

void quota_account::set_tolerance(const tolerance &of, time_point now)
{
    if (of == tolerance_)
        return;
    tolerance_ = of;
    for (auto &[name, it] : entries_)
        apply_bounds(name, it, now);
}

void quota_account::apply(const std::optional<std::vector<directory::workspace>> &workspaces, time_point now)
{
    std::map<std::string, const directory::workspace *> limited;
    if (workspaces) {
        for (const auto &it : *workspaces) {
            if (it.limit)
                limited[it.name] = &it;
        }
    }
    std::erase_if(entries_, [&](const auto &it) {
        const auto kept = limited.find(it.first);
        const bool same =
            kept != limited.end() && share_a_key(it.second.key_hashes, kept->second->key_hashes);
        if (!same)
            pool_.remove(it.first);
        return !same;
    });
    for (const auto &[name, workspace] : limited) {
        auto &it = entries_.try_emplace(name, entry{{}, {}, local_bucket(now), {}, 0, 0, 0}).first->second;
        it.limit = *workspace->limit;
        it.key_hashes = workspace->key_hashes;
        apply_bounds(name, it, now);
    }
}

void quota_account::apply_bounds(const std::string &workspace, entry &it, time_point now)
{
    const auto fleet = divisor_.value_or(2);
    const auto bounds = bounds_of(it.limit, tolerance_, fleet);
    it.bucket.set_rate(divisor_ ? it.limit.rate_per_s / fleet : 0, bounds.local, now);
    pool_.set_bounds(workspace, bounds, it.limit.rate_per_s);
}

void quota_account::update_fleet(time_point now)
{
    const auto divisor = fleet_.divisor(now);
    if (divisor == divisor_)
        return;
    divisor_ = divisor;
    pool_.set_fleet(divisor.value_or(0));
    for (auto &[name, it] : entries_)
        apply_bounds(name, it, now);
}

const directory::quota *quota_account::limit_of(const std::string &workspace) const
{
    const auto it = entries_.find(workspace);
    return it == entries_.end() ? nullptr : &it->second.limit;
}

bool quota_account::take(const std::string &workspace, time_point now)
{
    auto &it = entries_.at(workspace);
    it.bucket.issue(now);
    if (!it.bucket.take(now))
        return false;
    ++it.admitted;
    return true;
}

withdrawal quota_account::begin_withdrawal(const std::string &workspace, std::size_t waiting, time_point now)
{
    withdrawal out{{workspace, 0, milliseconds(0)}, 0, waiting, 0};
    const auto found = entries_.find(workspace);
    if (found == entries_.end())
        return out;
    auto &bucket = found->second.bucket;
    const auto needed = static_cast<std::int64_t>(waiting) * milli;
    out.reserved = bucket.reserve(needed);
    out.advanced = bucket.advance(now);
    out.wanted.milli_tokens = needed - out.reserved + out.advanced * milli;
    return out;
}

std::size_t quota_account::end_withdrawal(const withdrawal &it, std::int64_t milli_tokens, time_point now)
{
    const auto found = entries_.find(it.wanted.workspace);
    if (found == entries_.end())
        return it.waiting; // the quota has been removed meanwhile
    auto &bucket = found->second.bucket;
    bucket.issue(now);
    bucket.acknowledge(it.reserved);
    bucket.end_advance(it.advanced);
    bucket.add(static_cast<double>(it.reserved + milli_tokens) / milli);
    std::size_t out = 0;
    while (out < it.waiting && bucket.take_again())
        ++out;
    bucket.trim();
    found->second.admitted += out;
    return out;
}

void quota_account::return_token(const std::string &workspace)
{
    const auto it = entries_.find(workspace);
    if (it == entries_.end())
        return;
    it->second.returned += milli;
    if (it->second.admitted > 0) // the quota may have been replaced since the token was taken
        --it->second.admitted;
}

void quota_account::record_refusal(const std::string &workspace)
{
    if (const auto it = entries_.find(workspace); it != entries_.end())
        ++it->second.refused;
}

bool quota_account::endorses(std::size_t group, const std::string &vm, time_point now)
{
    auto &it = endorsements_[group];
    if (it.sent_at && now - *it.sent_at < (it.vm == vm ? endorsement_interval : endorsement_change))
        return false;
    it = {vm, now};
    return true;
}

std::map<std::string, pool_deposit> quota_account::collect_deposits(const target_hook &target, time_point now)
{
    std::map<std::string, pool_deposit> out;
    if (divisor_ == 1U) {
        // The local bucket holds the whole burst.
        for (auto &[name, it] : entries_) {
            it.bucket.add(static_cast<double>(std::exchange(it.returned, 0)) / milli);
            it.bucket.trim();
        }
        return out;
    }
    if (entries_.empty())
        return out;
    std::array<std::optional<std::string>, group_count> targets;
    for (std::size_t group = 0; group < group_count; ++group)
        targets[group] = target(group);
    for (auto &[name, it] : entries_) {
        const auto &vm = targets[group_of(name)];
        it.bucket.issue(now);
        if (!vm)
            continue;
        if (const auto returned = std::exchange(it.returned, 0); returned > 0)
            out[*vm].released.push_back({name, returned, milliseconds(0)});
        if (now < it.paused_until)
            continue;
        if (const auto surplus = it.bucket.remove_surplus(now); surplus > 0)
            out[*vm].tokens.push_back({name, surplus, milliseconds(0)});
    }
    for (std::size_t group = 0; group < group_count; ++group) {
        const auto &vm = targets[group];
        if (!vm)
            continue;
        if (divisor_ && endorses(group, *vm, now))
            out[*vm].endorsed.push_back(group);
        if (vm->empty())
            continue;
        auto released = pool_.release(group, now);
        if (!released.empty())
            std::move(released.begin(), released.end(), std::back_inserter(out[*vm].released));
    }
    if (const auto here = out.find(std::string()); here != out.end()) {
        for (const auto &it : accept(vm_, here->second, now))
            pause_deposits(it.workspace, it.until_more, now);
        finish_deposit(here->second);
        out.erase(here);
    }
    return out;
}

void quota_account::finish_deposit(const pool_deposit &it)
{
    for (const auto &amount : it.tokens) {
        if (const auto found = entries_.find(amount.workspace); found != entries_.end())
            found->second.bucket.acknowledge(amount.milli_tokens);
    }
}

void quota_account::pause_deposits(const std::string &workspace, milliseconds time, time_point now)
{
    if (const auto it = entries_.find(workspace); it != entries_.end())
        it->second.paused_until = now + time;
}

std::vector<token_amount> quota_account::accept(const std::string &vm, const pool_deposit &it, time_point now)
{
    pool_.endorse(vm, it.endorsed, now);
    std::vector<token_amount> full;
    for (const auto &amount : it.released)
        pool_.deposit(amount.workspace, amount.milli_tokens, now);
    for (const auto &amount : it.tokens) {
        const auto time = pool_.deposit(amount.workspace, amount.milli_tokens, now);
        if (time > milliseconds(0))
            full.push_back({amount.workspace, 0, time});
    }
    return full;
}

token_amount quota_account::withdraw(const token_amount &wanted, time_point now)
{
    return pool_.withdraw(wanted.workspace, wanted.milli_tokens, now);
}

std::vector<workspace_summary> quota_account::summaries(time_point now)
{
    std::vector<workspace_summary> out;
    for (auto &[name, it] : entries_) {
        it.bucket.issue(now);
        out.push_back({name, it.limit, it.bucket.stock(), pool_.stock(name), it.admitted, it.refused});
    }
    return out;
}

} // namespace baobabport::quota
