// The number of VMs that share a rate, and the bounds of what is kept unspent.

#include "quota/quota_account.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace baobabport;
using namespace baobabport::quota;

namespace {

constexpr time_point start{milliseconds(1000000)};

std::vector<directory::workspace> one_workspace(double rate, double burst, const std::string &key = "k")
{
    return {{"one", {key}, directory::quota{rate, burst}}};
}

/// An account of a process without peers, whose local bucket holds the whole burst.
quota_account lone_account(double rate, double burst)
{
    quota_account out("vm", start);
    out.fleet().set_alone();
    out.update_fleet(start);
    out.apply(one_workspace(rate, burst), start);
    return out;
}

std::vector<std::string> vms(int first, int count)
{
    std::vector<std::string> out;
    for (int n = first; n < first + count; ++n)
        out.push_back("vm-" + std::to_string(n));
    return out;
}

int takes(quota_account &from, time_point now)
{
    int out = 0;
    while (from.take("one", now))
        ++out;
    return out;
}

} // namespace

// Guards against a restart of all VMs, each of which would issue the whole rate while its list is short.
TEST_CASE("the recorded size bounds the divisor while the list grows")
{
    fleet_size size(start);
    CHECK_FALSE(size.divisor(start));
    size.record_size(63);
    CHECK_FALSE(size.divisor(start)); // neither a list nor a leader
    size.record_list(vms(0, 1), start);
    CHECK_FALSE(size.divisor(start));
    size.record_contact(start);
    CHECK(size.divisor(start) == 63U);
    size.record_list(vms(0, 70), start + milliseconds(900));
    CHECK(size.divisor(start + milliseconds(900)) == 70U);
}

// Guards against processes of a new fleet that issue before the others know of them.
TEST_CASE("a process that the recorded size does not cover waits for an unchanged list")
{
    fleet_size size(start);
    size.record_contact(start);
    size.record_list(vms(0, 1), start);
    size.record_list(vms(0, 2), start + milliseconds(800));
    CHECK_FALSE(size.divisor(start + milliseconds(1100)));
    CHECK(size.divisor(start + milliseconds(1800)) == 2U);
}

// Guards against two sides of a partition that issue more than the rate together.
TEST_CASE("VMs are counted for longer than they issue without a leader")
{
    fleet_size size(start);
    size.record_size(10);
    size.record_list(vms(0, 10), start);
    size.record_contact(start);
    size.record_list(vms(0, 4), start + milliseconds(1000));
    CHECK(size.divisor(start + milliseconds(25000)) == 10U);
    CHECK_FALSE(size.divisor(start + milliseconds(25001)));
    size.record_contact(start + milliseconds(31000));
    CHECK(size.divisor(start + milliseconds(31000)) == 10U);
    CHECK(size.divisor(start + milliseconds(31001)) == 4U);
}

// Guards against VMs that return while others are separated: the list keeps its size, and all issue.
TEST_CASE("VMs that have left the list are counted beside those that replaced them")
{
    fleet_size size(start);
    size.record_size(10);
    size.record_contact(start);
    size.record_list(vms(0, 10), start);
    CHECK(size.divisor(start) == 10U);
    size.record_list(vms(4, 10), start + milliseconds(1000));
    CHECK(size.divisor(start + milliseconds(1000)) == 14U);
}

// Guards against bounds whose sum exceeds what is tolerated, for any quota and settings.
TEST_CASE("the bounds of all stocks and the issue of a window stay within what is tolerated")
{
    CHECK(rc::check([] {
        const directory::quota limit{static_cast<double>(*rc::gen::inRange(1, 5000)),
                                     static_cast<double>(*rc::gen::inRange(0, 20000))};
        const tolerance of{milliseconds(*rc::gen::inRange(1000, 20000)), *rc::gen::inRange(0, 50) / 100.0,
                           static_cast<double>(*rc::gen::inRange(0, 100))};
        const auto fleet = *rc::gen::inRange(2U, 1000U);
        const auto bounds = bounds_of(limit, of, fleet);
        const double issued = limit.rate_per_s * std::chrono::duration<double>(of.window).count();
        RC_ASSERT(issued + fleet * bounds.local + bounds.pool + bounds.pool_floor <=
                  tolerated(limit, of) + 1e-6);
    }));
}

// Guards against tokens for the time in which a VM was suspended.
TEST_CASE("a long time without calls issues no more than the bound")
{
    auto account = lone_account(10, 15);
    CHECK(takes(account, start + std::chrono::hours(1)) == 15);
    CHECK(takes(account, start + std::chrono::hours(1) + milliseconds(200)) == 2);
}

// Guards against stock of an earlier quota, or of another customer of the same name.
TEST_CASE("a changed quota cuts the stock at once")
{
    const auto later = start + milliseconds(10000);
    auto account = lone_account(10, 15);
    account.apply(one_workspace(10, 3), later);
    CHECK(takes(account, later) == 3);
    account.apply(one_workspace(0, 3), later + milliseconds(5000));
    CHECK(takes(account, later + milliseconds(9000)) == 0);

    auto replaced = lone_account(10, 15);
    replaced.apply(one_workspace(10, 15, "another key"), later);
    CHECK(takes(replaced, later) == 0);
    replaced.apply(std::nullopt, later);
    CHECK(replaced.empty());
}

// Guards against callers who pay for operations that no instance has run.
TEST_CASE("a returned token is available again, within the bound")
{
    auto account = lone_account(10, 2);
    const auto later = start + milliseconds(1000);
    CHECK(takes(account, later) == 2);
    account.return_token("one");
    CHECK(account.collect_deposits([](auto) { return std::nullopt; }, later).empty());
    CHECK(takes(account, later) == 1);
}

// Guards against two full pools of one workspace, on both sides of a partition.
TEST_CASE("a pool keeps the share of the VMs that endorse it")
{
    token_pool pool;
    pool.set_fleet(10);
    pool.set_bounds("one", bounds_of({100, 100}, {}, 10), 100);
    const auto group = group_of("one");
    for (const auto *const vm : {"a", "b", "c", "d", "e"})
        pool.endorse(vm, {group}, start);
    pool.deposit("one", 1000000, start);
    CHECK(pool.stock("one") == Approx(45)); // half of 0.8 * burst + 10
    const auto later = start + token_pool::endorsement_time + milliseconds(1);
    CHECK(pool.withdraw("one", 100000, later).milli_tokens == 15000); // the floor
}

// Guards against callers who are all told to return at the same moment.
TEST_CASE("refused operations are told different times to return")
{
    token_pool pool;
    pool.set_fleet(1);
    pool.set_bounds("one", bounds_of({20, 20}, {}, 2), 20);
    CHECK(pool.withdraw("one", 1000, start).until_more == milliseconds(50));
    CHECK(pool.withdraw("one", 1000, start).until_more == milliseconds(100));
    CHECK(pool.withdraw("one", 1000, start + milliseconds(100)).until_more == milliseconds(50));
    CHECK(refusal_text({31, 10}, milliseconds(40)) ==
          "the workspace's quota of 31 operations per second is used up; retry in 40 ms");
}
