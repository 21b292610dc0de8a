// The soak's check of promotion orders detects two processes that act as leader at the same time.

#include "order_ledger.h"

#include <catch2/catch.hpp>
#include <vector>

namespace {

using soak::order_ledger;
using std::chrono::milliseconds;

struct watched_orders
{
    std::vector<std::string> violations;
    order_ledger ledger{[this](const auto &text) { violations.push_back(text); }};

    static order_ledger::time_point at(int ms) { return order_ledger::time_point{} + milliseconds(ms); }
    void order(const std::string &process, std::uint64_t generation, int ms)
    {
        ledger.record_order({"db0", "db0-a", process, process, generation}, at(ms));
    }
};

} // namespace

TEST_CASE("orders of consecutive leaders are no violation", "[soak]")
{
    watched_orders it;
    it.order("front-1", 1, 0);
    it.order("front-1", 1, 10);
    it.ledger.record_generation(2, it.at(100));
    it.order("front-2", 2, 3010);
    it.order("front-2", 2, 3020);
    REQUIRE(it.violations.empty());
    REQUIRE(it.ledger.orders() == 4);
    REQUIRE(it.ledger.generations() == 2);
}

TEST_CASE("an order of a lower generation is always a violation", "[soak]")
{
    watched_orders it;
    it.order("front-2", 2, 0);
    it.ledger.record_disturbance("front-1", it.at(5000));
    it.ledger.record_disturbance("front-2", it.at(5000));
    it.order("front-1", 1, 60000);
    REQUIRE(it.violations.size() == 1);
}

TEST_CASE("a generation belongs to one process", "[soak]")
{
    watched_orders it;
    it.order("front-1", 1, 0);
    it.ledger.record_disturbance("front-2", it.at(10));
    it.order("front-2", 1, 60000);
    REQUIRE(it.violations.size() == 1);
}

TEST_CASE("orders of two leaders are at least the order separation apart", "[soak]")
{
    watched_orders it;
    it.order("front-1", 1, 0);
    it.order("front-2", 2, 2999);
    REQUIRE(it.violations.size() == 1);
}

TEST_CASE("a disturbance between two orders exempts them from the separation, an earlier one does not",
          "[soak]")
{
    watched_orders it;
    it.ledger.record_disturbance("front-1", it.at(-1));
    it.order("front-1", 1, 0);
    it.ledger.record_disturbance("front-3", it.at(1000));
    it.order("front-2", 2, 2000);
    REQUIRE(it.violations.size() == 1);
    it.ledger.record_disturbance("front-2", it.at(2500));
    it.order("front-3", 3, 4000);
    REQUIRE(it.violations.size() == 1);
}

TEST_CASE("a leader sends no orders after the order separation since its successor's election", "[soak]")
{
    watched_orders it;
    it.ledger.record_generation(1, it.at(0));
    it.ledger.record_generation(2, it.at(10000));
    it.order("front-1", 1, 13000);
    REQUIRE(it.violations.empty());
    it.ledger.record_disturbance("front-1", it.at(13500));
    it.order("front-1", 1, 13501);
    REQUIRE(it.violations.size() == 1);
}

TEST_CASE("an order names its sender and a generation", "[soak]")
{
    watched_orders it;
    it.ledger.record_order({"db0", "db0-a", "front-1", "front-2", 1}, it.at(0));
    REQUIRE(it.violations.size() == 1);
    it.order("front-1", 0, 10);
    REQUIRE(it.violations.size() == 2);
}

// The users' rule ONE speaks of two holders that take turns.
TEST_CASE("a process that is elected again may order within the order separation", "[soak]")
{
    watched_orders it;
    it.order("front-1", 1, 0);
    it.order("front-1", 2, 2131);
    REQUIRE(it.violations.empty());
    it.order("front-2", 3, 4000);
    REQUIRE(it.violations.size() == 1);
}
