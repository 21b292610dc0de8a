// The sum over all VMs of what a workspace runs: never above its bound, and what it asks for within it.

#include "quota/quota_fleet.h"

#include <catch2/catch.hpp>

using namespace testing;

namespace {

/// Share of the operations within a quota that may be refused nevertheless.
constexpr double unduly_refused = 0.01;

directory::workspace workspace_of(const std::string &name, double rate, double burst)
{
    return {name, {"key of " + name}, directory::quota{rate, burst}};
}

void start_all(quota_fleet &fleet, std::size_t vms)
{
    fleet.recorded_size = static_cast<std::uint32_t>(vms);
    for (std::size_t vm = 0; vm < vms; ++vm)
        fleet.restart(vm);
}

std::size_t below(quota_fleet &fleet, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(fleet.random());
}

/// Plays one random fault.
void play_fault(quota_fleet &fleet, std::size_t vms)
{
    const milliseconds time(500 + 100 * below(fleet, 400));
    const auto vm = below(fleet, vms);
    switch (below(fleet, 6)) {
    case 0:
        fleet.kill(vm);
        break;
    case 1:
    case 2:
        fleet.restart(vm); // also one that was killed or has not run yet
        break;
    case 3:
        fleet.suspend(vm, time);
        break;
    case 4:
        fleet.loss = below(fleet, 2) == 0 ? 0 : 0.05 * static_cast<double>(below(fleet, 8));
        break;
    default: {
        std::vector<std::size_t> isolated;
        for (std::size_t it = 0; it < vms; ++it) {
            if (below(fleet, 2) == 0)
                isolated.push_back(it);
        }
        fleet.isolate(isolated, time);
    }
    }
}

} // namespace

// Guards against tokens that a fault creates: in no window may all VMs together admit more than is tolerated.
TEST_CASE("no window has more operations of a workspace than its quota tolerates")
{
    const auto seed = GENERATE(range(1U, 25U));
    const std::size_t vms = 4 + seed % 5 * 9;
    const double rate = seed % 3 == 0 ? 6 : seed % 3 == 1 ? 60 : 400;
    const double burst = rate * (seed % 4 == 0 ? 0.5 : seed % 4 == 1 ? 1 : seed % 4 == 2 ? 2 : 5);
    const auto one = workspace_of("one", rate, burst);
    quota_fleet fleet(vms, seed, {one});
    start_all(fleet, vms * 3 / 4);
    for (std::size_t vm = 0; vm < vms; ++vm)
        fleet.set_demand(vm, "one", rate * 6 / static_cast<double>(vms));
    for (int n = 0; n < 40; ++n) {
        // Phases without demand fill all stocks.
        if (n % 4 == 0) {
            const double factor = n % 8 == 0 ? 0 : 8;
            for (std::size_t vm = 0; vm < vms; ++vm)
                fleet.set_demand(vm, "one", rate * factor / static_cast<double>(vms));
        }
        fleet.run_for(milliseconds(500 + 500 * below(fleet, 5)));
        play_fault(fleet, vms);
    }
    const auto most = static_cast<double>(fleet.most_admitted("one", milliseconds(5000)));
    INFO("seed " << seed << ", " << vms << " VMs, rate " << rate << ", burst " << burst);
    CHECK(most <= quota::tolerated(*one.limit, {}));
}

// Guards against quotas that are lost between VMs: a share of the rate that sessions on one VM cannot use.
TEST_CASE("a small workspace whose sessions are all on one VM has its quota there")
{
    quota_fleet fleet(63, 7, {workspace_of("small", 3, 6)});
    start_all(fleet, 63);
    fleet.run_for(milliseconds(1000));
    fleet.set_demand(20, "small", 2.6);
    fleet.run_for(milliseconds(120000));
    CHECK(fleet.refused_share("small", {}) <=
          fleet.refused_share_of_one_bucket("small", {}) + unduly_refused);
}

// The same for a workspace that is much larger than the share of a VM, with uneven demand.
TEST_CASE("a large workspace with uneven demand within its quota is hardly refused")
{
    quota_fleet fleet(63, 8, {workspace_of("large", 500, 500)});
    start_all(fleet, 63);
    fleet.run_for(milliseconds(1000));
    for (std::size_t vm = 0; vm < 63; ++vm)
        fleet.set_demand(vm, "large", vm % 3 == 0 ? 450.0 * 0.7 / 21 : 450.0 * 0.3 / 42);
    fleet.run_for(milliseconds(30000));
    CHECK(fleet.refused_share("large", {}) <= unduly_refused);
}

// Guards against a workspace that asks for far more and gets less than its rate.
TEST_CASE("a workspace at many times its usual load gets its whole rate")
{
    const double rate = 160;
    quota_fleet fleet(63, 9, {workspace_of("surge", rate, 160)});
    start_all(fleet, 63);
    fleet.run_for(milliseconds(3000));
    for (std::size_t vm = 0; vm < 63; ++vm)
        fleet.set_demand(vm, "surge", rate / 1.6 * 7.5 / 63 * (vm % 2 == 0 ? 1.8 : 0.2));
    fleet.run_for(milliseconds(1500)); // the burst is used up
    const auto since = fleet.now();
    fleet.run_for(milliseconds(5000));
    CHECK(static_cast<double>(fleet.admitted("surge", since)) > 0.95 * rate * 5);
}

// Guards against refusals of a workspace that stays above its rate, but within what a window may have, and
// against windows in which it also uses what was kept for a burst.
TEST_CASE("a workspace that stays above its rate may use the burst over each window")
{
    const double rate = 160;
    quota_fleet fleet(63, 11, {workspace_of("steady", rate, rate)});
    start_all(fleet, 63);
    fleet.run_for(milliseconds(3000));
    const auto set_demand = [&fleet](double per_s) {
        for (std::size_t vm = 0; vm < 63; ++vm)
            fleet.set_demand(vm, "steady", per_s / 63 * (vm % 2 == 0 ? 1.8 : 0.2));
    };
    set_demand(rate * 2);
    fleet.run_for(milliseconds(8000));
    const auto since = fleet.now();
    fleet.run_for(milliseconds(5000));
    CHECK(static_cast<double>(fleet.admitted("steady", since)) > 1.05 * rate * 5);
    set_demand(rate / 4); // the pool fills again
    fleet.run_for(milliseconds(3000));
    set_demand(rate * 6);
    fleet.run_for(milliseconds(6000));
    CHECK(static_cast<double>(fleet.most_admitted("steady", milliseconds(5000))) <=
          quota::tolerated({rate, rate}, {}));
}

// Guards against a loss of the quota with its pool: the next pool has tokens soon.
TEST_CASE("a workspace has its quota soon after the loss of any VM")
{
    for (std::size_t lost = 1; lost < 16; ++lost) {
        quota_fleet fleet(16, 10, {workspace_of("one", 40, 40)});
        start_all(fleet, 16);
        fleet.run_for(milliseconds(3000));
        fleet.set_demand(0, "one", 25);
        fleet.run_for(milliseconds(3000));
        fleet.kill(lost);
        const auto killed_at = fleet.now();
        fleet.run_for(milliseconds(10000));
        INFO("VM " << lost);
        CHECK(fleet.refused_share("one", killed_at + milliseconds(2500)) < 0.04);
        CHECK(fleet.refused_share("one", killed_at) < 0.15);
    }
}
