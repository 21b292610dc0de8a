#include "quota/quota_fleet.h"

#include "routing/home_ranking.h"

#include <algorithm>
#include <utility>

namespace testing {

namespace {

constexpr milliseconds list_interval{300};
constexpr milliseconds member_lifetime{1500}; ///< in the leader's list, without a request
constexpr milliseconds first_timeout{100};
constexpr milliseconds second_timeout{150};
constexpr milliseconds avoidance{500};

std::string name_of(std::size_t vm)
{
    return "vm-" + std::to_string(vm);
}

} // namespace

quota_fleet::quota_fleet(std::size_t vms, std::uint32_t seed, std::vector<directory::workspace> workspaces)
    : random_(seed), workspaces_(std::move(workspaces)), vms_(vms)
{
    at(now_, [this] { update_lists(); });
}

void quota_fleet::at(time_point when, std::function<void()> action)
{
    events_.emplace(when, std::move(action));
}

void quota_fleet::run_at(std::size_t vm, std::uint64_t incarnation, const std::function<void()> &action)
{
    if (!vms_[vm].account || vms_[vm].incarnation != incarnation)
        return;
    if (vms_[vm].suspended_until > now_) {
        at(vms_[vm].suspended_until, [this, vm, incarnation, action] { run_at(vm, incarnation, action); });
        return;
    }
    vms_[vm].account->update_fleet(now_);
    action();
}

void quota_fleet::deliver(std::size_t from, std::size_t to, const std::function<void()> &action)
{
    ++messages_;
    const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < loss;
    if (lost || vms_[from].side != vms_[to].side)
        return;
    const milliseconds delay(std::uniform_int_distribution<>(1, 3)(random_));
    at(now_ + delay,
       [this, to, incarnation = vms_[to].incarnation, action] { run_at(to, incarnation, action); });
}

std::vector<std::size_t> quota_fleet::ranks(std::size_t vm, std::size_t group)
{
    auto &it = vms_[vm];
    std::vector<baobabport::routing::candidate> candidates;
    for (const auto member : it.members) {
        if (it.avoided_until[member] <= now_)
            candidates.push_back({name_of(member), {}});
    }
    std::vector<std::size_t> reachable;
    for (const auto member : it.members) {
        if (it.avoided_until[member] <= now_)
            reachable.push_back(member);
    }
    std::vector<std::size_t> out;
    for (const auto n : baobabport::routing::rank_homes({quota::group_name(group), {""}}, candidates))
        out.push_back(reachable[n]);
    return out;
}

void quota_fleet::restart(std::size_t vm)
{
    auto &it = vms_[vm];
    it.account = std::make_unique<quota::quota_account>(name_of(vm), now_);
    it.account->apply(workspaces_, now_);
    it.members = {vm};
    it.avoided_until.clear();
    it.unacknowledged.clear();
    it.suspended_until = {};
    it.seen_at = now_;
    const auto incarnation = ++it.incarnation;
    const milliseconds phase(std::uniform_int_distribution<>(0, 399)(random_));
    at(now_ + phase, [this, vm, incarnation] { deposit(vm, incarnation); });
}

void quota_fleet::kill(std::size_t vm)
{
    vms_[vm].account.reset();
    ++vms_[vm].incarnation;
}

void quota_fleet::suspend(std::size_t vm, milliseconds time)
{
    vms_[vm].suspended_until = now_ + time;
}

void quota_fleet::isolate(const std::vector<std::size_t> &vms, milliseconds time)
{
    for (const auto vm : vms) {
        vms_[vm].side = 1;
        at(now_ + time, [this, vm] { vms_[vm].side = 0; });
    }
}

void quota_fleet::update_lists()
{
    // VM 0 stands for the leader's place: whichever VMs reach it have a leader.
    std::vector<std::size_t> members;
    const auto reaches_leader = [this](std::size_t vm) {
        return vms_[vm].account && vms_[vm].side == vms_[0].side && vms_[vm].suspended_until <= now_;
    };
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        if (reaches_leader(vm))
            vms_[vm].seen_at = now_;
        if (vms_[vm].account && now_ - vms_[vm].seen_at < member_lifetime)
            members.push_back(vm);
    }
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const auto vm : members)
        names.push_back(name_of(vm));
    leader_sizes_.record_list(names, now_);
    leader_sizes_.record_contact(now_);
    leader_sizes_.record_size(static_cast<std::uint32_t>(members.size())); // the leader need not wait
    const auto size = leader_sizes_.divisor(now_).value();
    if (size > recorded_size * 6 / 5 || size < recorded_size * 4 / 5)
        recorded_size = size;
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        if (!reaches_leader(vm))
            continue;
        auto &it = vms_[vm];
        it.members = members;
        it.account->fleet().record_size(recorded_size);
        it.account->fleet().record_list(names, now_);
        it.account->fleet().record_contact(now_);
        it.account->update_fleet(now_);
    }
    at(now_ + list_interval, [this] { update_lists(); });
}

void quota_fleet::deposit(std::size_t vm, std::uint64_t incarnation)
{
    if (vms_[vm].incarnation != incarnation)
        return;
    at(now_ + quota::quota_account::deposit_interval, [this, vm, incarnation] { deposit(vm, incarnation); });
    run_at(vm, incarnation, [this, vm, incarnation] {
        auto &me = vms_[vm];
        const auto target = [&](std::size_t group) -> std::optional<std::string> {
            const auto order = ranks(vm, group);
            if (order.empty() || order.front() == vm)
                return std::string();
            return me.unacknowledged[order.front()] > 0 ? std::nullopt
                                                        : std::optional(name_of(order.front()));
        };
        for (const auto &[name, message] : me.account->collect_deposits(target, now_)) {
            const auto to = static_cast<std::size_t>(std::stoul(name.substr(3)));
            ++me.unacknowledged[to];
            const auto ended = std::make_shared<bool>(false);
            const auto end = [this, vm, to, ended, message = message] {
                if (std::exchange(*ended, true))
                    return false;
                --vms_[vm].unacknowledged[to];
                vms_[vm].account->finish_deposit(message);
                return true;
            };
            at(now_ + second_timeout, [this, vm, incarnation, to, end] {
                run_at(vm, incarnation, [this, vm, to, end] {
                    if (end())
                        vms_[vm].avoided_until[to] = now_ + avoidance;
                });
            });
            deliver(vm, to, [this, vm, to, end, message = message] {
                const auto full = vms_[to].account->accept(name_of(vm), message, now_);
                deliver(to, vm, [this, vm, full, end] {
                    if (!end())
                        return;
                    for (const auto &it : full)
                        vms_[vm].account->pause_deposits(it.workspace, it.until_more, now_);
                });
            });
        }
    });
}

void quota_fleet::set_demand(std::size_t vm, const std::string &workspace, double per_s)
{
    vms_[vm].demand[workspace] = per_s;
    arrive(vm, workspace, ++vms_[vm].demand_version);
}

void quota_fleet::arrive(std::size_t vm, const std::string &workspace, std::uint64_t version)
{
    // A VM has the demand of one workspace in these tests.
    if (vms_[vm].demand_version != version || vms_[vm].demand[workspace] <= 0)
        return;
    const auto wait = std::exponential_distribution<>(vms_[vm].demand[workspace])(random_);
    at(now_ + std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6)),
       [this, vm, workspace, version] {
           if (vms_[vm].demand_version == version && vms_[vm].account)
               run_at(vm, vms_[vm].incarnation, [this, vm, workspace] { request(vm, workspace); });
           arrive(vm, workspace, version);
       });
}

void quota_fleet::request(std::size_t vm, const std::string &workspace)
{
    if (vms_[vm].account->take(workspace, now_))
        return record(workspace, true);
    withdraw(vm, workspace, 0);
}

void quota_fleet::withdraw(std::size_t vm, const std::string &workspace, std::size_t attempt)
{
    auto &me = vms_[vm];
    const auto order = ranks(vm, quota::group_of(workspace));
    if (order.empty() || attempt > 1)
        return record(workspace, false);
    const auto to = order.front();
    const auto incarnation = me.incarnation;
    const auto open = me.account->begin_withdrawal(workspace, 1, now_);
    const auto credit = [this, vm, workspace, open](std::int64_t given) {
        record(workspace, vms_[vm].account->end_withdrawal(open, given, now_) > 0);
    };
    if (to == vm)
        return credit(me.account->withdraw(open.wanted, now_).milli_tokens);
    const auto ended = std::make_shared<bool>(false);
    at(now_ + (attempt == 0 ? first_timeout : second_timeout),
       [this, vm, incarnation, to, workspace, attempt, ended, open] {
           run_at(vm, incarnation, [this, vm, to, workspace, attempt, ended, open] {
               if (std::exchange(*ended, true))
                   return;
               vms_[vm].avoided_until[to] = now_ + avoidance;
               if (vms_[vm].account->end_withdrawal(open, 0, now_) > 0)
                   return record(workspace, true);
               withdraw(vm, workspace, attempt + 1);
           });
       });
    deliver(vm, to, [this, vm, to, open, ended, credit] {
        const auto given = vms_[to].account->withdraw(open.wanted, now_).milli_tokens;
        deliver(to, vm, [ended, credit, given] {
            if (!std::exchange(*ended, true))
                credit(given);
        });
    });
}

void quota_fleet::run_for(milliseconds time)
{
    const auto end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
        const auto action = std::move(events_.begin()->second);
        now_ = std::max(now_, events_.begin()->first);
        events_.erase(events_.begin());
        action();
    }
    now_ = end;
}

double quota_fleet::refused_share(const std::string &workspace, time_point since)
{
    std::size_t all = 0;
    for (const auto &it : operations_[workspace])
        all += it.at >= since ? 1 : 0;
    return all == 0 ? 0 : 1 - static_cast<double>(admitted(workspace, since)) / static_cast<double>(all);
}

std::size_t quota_fleet::admitted(const std::string &workspace, time_point since)
{
    const auto &all = operations_[workspace];
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [since](const auto &it) { return it.admitted && it.at >= since; }));
}

double quota_fleet::refused_share_of_one_bucket(const std::string &workspace, time_point since)
{
    const auto found = std::find_if(workspaces_.begin(), workspaces_.end(),
                                    [&](const auto &it) { return it.name == workspace; });
    double stock = found->limit->burst;
    double all = 0;
    double refused = 0;
    auto last = since;
    for (const auto &it : operations_[workspace]) {
        if (it.at < since)
            continue;
        const double issued = std::chrono::duration<double>(it.at - last).count() * found->limit->rate_per_s;
        stock = std::min(found->limit->burst, stock + issued);
        last = it.at;
        ++all;
        if (stock >= 1)
            stock -= 1;
        else
            ++refused;
    }
    return all == 0 ? 0 : refused / all;
}

std::size_t quota_fleet::most_admitted(const std::string &workspace, milliseconds window)
{
    std::vector<time_point> times;
    for (const auto &it : operations_[workspace]) {
        if (it.admitted)
            times.push_back(it.at);
    }
    std::size_t out = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > window)
            ++first;
        out = std::max(out, last - first + 1);
    }
    return out;
}

} // namespace testing
