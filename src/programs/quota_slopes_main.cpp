// The `baobabport-quota-slopes` program, which measures how the cost of a quota's decisions grows.

#include "quota/quota_account.h"
#include "routing/home_ranking.h"

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using namespace baobabport;
using clock_type = std::chrono::steady_clock;

constexpr int rounds = 20;
constexpr std::chrono::milliseconds round_time = quota::quota_account::deposit_interval;

struct measured_costs
{
    double take_ns = 0;     ///< one operation with a local token or without
    double withdraw_ns = 0; ///< one withdrawal at a pool
    double deposit_us = 0;  ///< collecting all deposits of a VM, once per interval
    double accept_us = 0;   ///< accepting one of them at a pool
    double bytes = 0;       ///< of memory, per VM
};

template <typename Action>
double nanoseconds_of(std::size_t times, const Action &action)
{
    const auto begin = clock_type::now();
    action();
    return std::chrono::duration<double, std::nano>(clock_type::now() - begin).count() /
           static_cast<double>(times);
}

measured_costs measure(std::size_t workspaces, std::size_t vms)
{
    std::vector<directory::workspace> state;
    std::vector<routing::candidate> members;
    for (std::size_t n = 0; n < workspaces; ++n)
        state.push_back({"workspace-" + std::to_string(n), {std::string(64, 'k')}, directory::quota{50, 50}});
    for (std::size_t n = 0; n < vms; ++n)
        members.push_back({"vm-" + std::to_string(n), {}});
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const auto &it : members)
        names.push_back(it.name);
    std::vector<std::string> targets;
    for (std::size_t group = 0; group < quota::group_count; ++group) {
        const auto order = routing::rank_homes({quota::group_name(group), {}}, members);
        targets.push_back(members[order.front()].name);
    }

    measured_costs out;
    quota::time_point now{std::chrono::hours(1)};
    const auto before = mallinfo2().uordblks;
    quota::quota_account vm("vm-0", now);
    quota::quota_account pool("pool", now);
    for (auto *const it : {&vm, &pool}) {
        it->fleet().record_size(static_cast<std::uint32_t>(vms));
        it->fleet().record_list(names, now);
        it->fleet().record_contact(now);
        it->update_fleet(now);
        it->apply(state, now);
    }
    for (std::size_t n = 0; n < vms; ++n)
        (void)pool.accept(members[n].name, {{0, 1, 2, 3, 4, 5, 6, 7}, {}, {}}, now);
    out.bytes = static_cast<double>(mallinfo2().uordblks - before) / 2;
    for (int round = 0; round < rounds; ++round) {
        now += round_time;
        std::map<std::string, quota::pool_deposit> deposits;
        out.deposit_us += nanoseconds_of(1000, [&] {
            deposits = vm.collect_deposits([&](auto group) { return std::optional(targets[group]); }, now);
        });
        if (!deposits.empty()) {
            out.accept_us += nanoseconds_of(1000 * deposits.size(), [&] {
                for (const auto &it : deposits)
                    (void)pool.accept("vm-0", it.second, now);
            });
        }
        for (const auto &it : deposits)
            vm.finish_deposit(it.second);
        out.take_ns += nanoseconds_of(workspaces, [&] {
            for (const auto &it : state)
                (void)vm.take(it.name, now);
        });
        out.withdraw_ns += nanoseconds_of(workspaces, [&] {
            for (const auto &it : state)
                (void)pool.withdraw({it.name, 1000, std::chrono::milliseconds(0)}, now);
        });
    }
    out.take_ns /= rounds;
    out.withdraw_ns /= rounds;
    out.deposit_us /= rounds;
    out.accept_us /= rounds;
    return out;
}

} // namespace

int main()
{
    std::printf("%10s %6s %10s %12s %11s %10s %10s\n", "workspaces", "VMs", "take ns", "withdraw ns",
                "deposit us", "accept us", "KiB/VM");
    for (const std::size_t workspaces : {10, 100, 1000}) {
        for (const std::size_t vms : {10, 100, 1000}) {
            const auto it = measure(workspaces, vms);
            std::printf("%10zu %6zu %10.0f %12.0f %11.1f %10.2f %10.1f\n", workspaces, vms, it.take_ns,
                        it.withdraw_ns, it.deposit_us, it.accept_us, it.bytes / 1024);
        }
    }
    return 0;
}
