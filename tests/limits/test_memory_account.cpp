// The memory account: exact sums, shares of their own, and what is shed.

#include "limits/measure_log.h"
#include "limits/memory_account.h"
#include "limits/vm_bounds.h"

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace baobabport::limits;

namespace {

constexpr std::size_t bound = 1000;
constexpr std::array all_classes{client_class::callers, client_class::peers, client_class::strangers,
                                 client_class::operators};

std::shared_ptr<memory_account> make_account()
{
    return std::make_shared<memory_account>(memory_account::class_bounds{bound, bound, bound, bound});
}

} // namespace

// Guards against bytes that are never given back: the class would be under pressure for good.
TEST_CASE("what is charged is given back on every path, and a class never takes another's share")
{
    CHECK(rc::check([] {
        const auto account = make_account();
        std::map<int, std::unique_ptr<memory_charge>> charges;
        std::map<int, std::size_t> model;
        const auto class_of = [](int key) { return static_cast<client_class>(key % 4); };
        const auto drop = [&](int key) {
            charges.erase(key);
            model.erase(key);
        };
        const auto steps = *rc::gen::inRange(0, 200);
        for (int n = 0; n < steps; ++n) {
            const auto key = *rc::gen::inRange(0, 24);
            if (*rc::gen::inRange(0, 5) == 0) {
                drop(key);
                continue;
            }
            if (!charges.count(key))
                charges[key] =
                    std::make_unique<memory_charge>(account, class_of(key), [&drop, key] { drop(key); });
            const auto bytes = *rc::gen::inRange<std::size_t>(0, 1300);
            model[key] = bytes; // shedding takes it out again
            charges.at(key)->resize(bytes);
            std::map<client_class, std::size_t> sums;
            for (const auto &[it, size] : model) {
                sums[class_of(it)] += size;
                RC_ASSERT(charges.at(it)->bytes() == size);
            }
            for (const auto of : all_classes) {
                RC_ASSERT(account->used(of) == sums[of]);
                RC_ASSERT(account->used(of) <= bound);
            }
        }
        charges.clear();
        for (const auto of : all_classes)
            RC_ASSERT(account->used(of) == 0U);
    }));
}

// Guards against a flood that ends the sessions of ordinary callers: they hold less.
TEST_CASE("the largest charges of the class are shed, and no others")
{
    const auto account = make_account();
    std::vector<int> shed;
    std::map<int, std::unique_ptr<memory_charge>> charges;
    for (int n = 0; n < 4; ++n)
        charges[n] = std::make_unique<memory_charge>(account, client_class::callers, [&, n] {
            shed.push_back(n);
            charges.erase(n);
        });
    memory_charge other(account, client_class::peers, nullptr);
    other.resize(bound);
    charges[0]->resize(10);
    charges[1]->resize(500);
    charges[2]->resize(400);
    CHECK(shed.empty());
    CHECK(account->under_pressure(client_class::callers));
    charges[3]->resize(200);
    CHECK(shed == std::vector<int>{1});
    charges[0]->resize(2000);
    CHECK(shed == std::vector<int>{1, 0});
    CHECK(account->used(client_class::callers) == 600);
    CHECK(account->used(client_class::peers) == bound);
    CHECK(account->peak(client_class::callers) == 2600);
}

// Guards against an endless loop if an owner closes its connection only later.
TEST_CASE("a charge that is not released at once is shed once for each time it grows")
{
    const auto account = make_account();
    int shed = 0;
    memory_charge it(account, client_class::callers, [&shed] { ++shed; });
    it.resize(2 * bound);
    CHECK(shed == 1);
    it.resize(bound + 1);
    CHECK(shed == 1);
}

// Guards against a flood of large messages that all wait for each other.
TEST_CASE("one charge at a time has the turn, and passes it on when it ends")
{
    const auto account = make_account();
    memory_charge first(account, client_class::callers, nullptr);
    auto second = std::make_unique<memory_charge>(account, client_class::callers, nullptr);
    memory_charge peer(account, client_class::peers, nullptr);
    CHECK(second->take_turn());
    CHECK_FALSE(first.take_turn());
    CHECK(peer.take_turn());
    first.release_turn();
    CHECK(second->take_turn());
    second.reset();
    CHECK(first.take_turn());
}

// Guards against defaults that clients within the limits meet.
TEST_CASE("the bounds of the smallest and of an unknown VM")
{
    constexpr std::size_t mib = std::size_t{1024} * 1024;
    const auto smallest = memory_bounds(112);
    CHECK(smallest[0] / mib == 26);
    CHECK(smallest[1] / mib == 18);
    CHECK(smallest[2] / mib == 2);
    CHECK(smallest[3] / mib == 5);
    CHECK(memory_bounds(0) == memory_bounds(512));
    CHECK(memory_bounds(1)[0] >= 6 * mib);
    const auto connections = connection_bounds(3010);
    CHECK(connections.callers == 1405);
    CHECK(connections.peers == 421);
    CHECK(connections.operators == 84);
    CHECK(connection_bounds(1).callers == 50);
}

// Guards against a log line for each client of a crowd.
TEST_CASE("a reason is logged once a second, with the number of measures since")
{
    measure_log log;
    const measure_log::time_point start{};
    CHECK(log.record("memory", start) == 1);
    CHECK_FALSE(log.record("memory", start + std::chrono::milliseconds(999)));
    CHECK(log.record("connections", start + std::chrono::milliseconds(999)) == 1);
    CHECK(log.record("memory", start + std::chrono::milliseconds(1000)) == 2);
}
