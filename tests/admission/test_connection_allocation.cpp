// Connections of many workspaces to one instance: who gets one, which is closed, and who is refused at once.

#include "admission/connection_allocation.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <utility>

using namespace baobabport::admission;
using kind = connection_outlook::kind;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

/// The connections of a home, with instant opening.
struct home
{
    explicit home(std::uint32_t limit) : allocation(limit) {}

    /// Opens an idle connection in place of another if there is no room; returns false if it cannot.
    bool open(const std::string &workspace, time_point now)
    {
        const auto plan = allocation.plan_opening(workspace, {workspace}, now);
        if (plan.close)
            allocation.removed(*plan.close);
        if (!plan.open)
            return false;
        allocation.add(++last, workspace);
        allocation.opened(last, now);
        ++opened;
        return true;
    }

    /// Runs a statement of 3 ms; returns false if it has no connection.
    bool run(const std::string &workspace, time_point now)
    {
        allocation.record_demand(workspace, now);
        if (!allocation.idle_of(workspace, {}) && !open(workspace, now))
            return false;
        const auto it = allocation.idle_of(workspace, {}).value();
        allocation.taken(it, milliseconds(3), now);
        allocation.released(it, now + milliseconds(3));
        return true;
    }

    /// Opens connections whose transactions rest.
    void rest(const std::string &workspace, int transactions, time_point may_end_at)
    {
        allocation.record_demand(workspace, start);
        for (int n = 0; n < transactions; ++n) {
            REQUIRE(open(workspace, start));
            allocation.rested(last, may_end_at);
        }
    }

    connection_allocation allocation;
    connection_allocation::connection_number last = 0;
    int opened = 0;
};

} // namespace

// Load: 74 workspaces of Zipf's sizes (exponent 1.2) on the 39 connections of a home, 45 statements a second.
TEST_CASE("many small workspaces beside a large one seldom need a new connection")
{
    home it(39);
    std::vector<double> sizes;
    for (int n = 1; n <= 74; ++n)
        sizes.push_back(std::pow(n, -1.2));
    std::mt19937_64 random(7);
    std::discrete_distribution<int> workspace(sizes.begin(), sizes.end());
    constexpr int statements = 4500;
    int second_half = 0;
    for (int n = 0; n < statements; ++n) {
        const auto before = it.opened;
        REQUIRE(it.run("w" + std::to_string(workspace(random)), start + n * milliseconds(22)));
        if (n >= statements / 2)
            second_half += it.opened - before;
        REQUIRE(it.allocation.size() <= 39);
    }
    // The 38 largest send 90% of the statements.
    CHECK(second_half < statements / 2 * 15 / 100);
}

TEST_CASE("the connection that is closed for another belongs to the workspace that needs it last")
{
    home it(4); // one of them is left to the proxy
    for (int n = 0; n < 100; ++n)
        REQUIRE(it.run("busy", start + n * milliseconds(10)));
    auto now = start + milliseconds(1000);
    REQUIRE(it.run("rare", now - milliseconds(500)));
    REQUIRE(it.run("idle", now));
    now += milliseconds(100); // the busy one is idle for longest now
    REQUIRE(it.run("new", now));
    CHECK(it.allocation.idle_of("busy", {}));
    CHECK_FALSE(it.allocation.idle_of("rare", {}));
}

// Load: a burst of one workspace whose statements are shorter than opening a connection.
TEST_CASE("a statement waits for a connection that is released before a new one would be open")
{
    home it(39);
    REQUIRE(it.run("a", start));
    it.allocation.taken(1, milliseconds(3), start);
    const auto outlook = [&it](std::size_t waiting, milliseconds at) {
        return it.allocation.outlook("a", waiting, start + at).state;
    };
    CHECK(outlook(1, milliseconds(1)) == kind::soon);
    CHECK(outlook(3, milliseconds(1)) == kind::soon);
    CHECK(outlook(6, milliseconds(1)) == kind::openable); // 2 ms, and five times 3 ms
    CHECK(outlook(1, milliseconds(4)) == kind::openable); // it is late; how long it takes is not known
    it.allocation.taken(1, std::nullopt, start);          // a transaction begins
    CHECK(outlook(1, milliseconds(1)) == kind::openable);
}

// Load: connections held by 15 idle transactions at one primary.
TEST_CASE("a statement is refused at once if no transaction can be ended before its limit")
{
    home it(16);
    it.rest("hot", 15, start + milliseconds(2000));
    const auto outlook = it.allocation.outlook("small", 1, start + milliseconds(500));
    CHECK(outlook.state == kind::unavailable);
    CHECK(outlook.wait >= milliseconds(1500));
    CHECK(it.allocation.exhausted(start));
    CHECK(it.allocation.outlook("", 1, start).state == kind::openable); // STATUS and PAUSE
    it.allocation.taken(3, milliseconds(5), start);                     // one of them has a statement
    CHECK(it.allocation.outlook("small", 1, start).wait <= milliseconds(30));
}

TEST_CASE("the proxy's own statements find room at the cost of an idle connection")
{
    home it(2);
    REQUIRE(it.open("a", start));
    CHECK(it.allocation.plan_opening("", {""}, start).open);
    CHECK(home(0).allocation.outlook("a", 1, start).wait == milliseconds(0)); // the limit is not known yet
    home single(1);
    REQUIRE(single.run("a", start));
    const auto plan = single.allocation.plan_opening("", {""}, start);
    CHECK(plan.open);
    CHECK(plan.close == 1U);
}

// Load: MAXCONN after a former home, whose connections the instance drops only after a while.
TEST_CASE("at the instance's limit, idle connections are replaced, and further ones tried one at a time")
{
    home it(39);
    for (int n = 0; n < 10; ++n)
        REQUIRE(it.run("w" + std::to_string(n), start));
    const auto refuse = [&it](const char *workspace, time_point now) {
        it.allocation.add(++it.last, workspace);
        it.allocation.removed(it.last);
        it.allocation.record_limit_refusal(now);
    };
    refuse("new", start);
    CHECK(it.run("w3", start)); // served by the connections that exist
    auto plan = it.allocation.plan_opening("new", {"new"}, start);
    CHECK_FALSE(plan.open); // not before the instance has seen the end of the other
    REQUIRE(plan.close);
    it.allocation.removed(*plan.close);
    it.allocation.record_replacement(start);
    CHECK_FALSE(it.allocation.plan_opening("new", {"new"}, start).open);
    auto now = start + connection_allocation::replacement_delay;
    CHECK(it.allocation.plan_opening("new", {"new"}, now).open);

    // Another process was faster: the other connections are not given up in a row for the same.
    refuse("new", now);
    plan = it.allocation.plan_opening("new", {"new"}, now + milliseconds(20));
    CHECK_FALSE(plan.open);
    CHECK_FALSE(plan.close);
    CHECK(it.allocation.size() == 9);

    now += connection_allocation::longest_limit_delay;
    CHECK(it.open("new", now)); // grows again, without closing one
    CHECK(it.allocation.size() == 10);
    it.allocation.add(++it.last, "opening");
    CHECK_FALSE(it.allocation.plan_opening("other", {"other"}, now).open);
}

TEST_CASE("connections of workspaces are kept at the home, and given up where nobody asks for them")
{
    home it(39);
    REQUIRE(it.run("a", start));
    REQUIRE(it.run("", start));
    const auto later = start + connection_allocation::idle_time + milliseconds(4);
    CHECK(it.allocation.idle_too_long(true, start + milliseconds(100)).empty());
    CHECK(it.allocation.idle_too_long(true, later).size() == 2); // nobody asks any more
    REQUIRE(it.run("b", later));
    CHECK(it.allocation.idle_too_long(true, later) == std::vector<std::uint64_t>{2}); // the proxy's own
    CHECK(it.allocation.idle_too_long(false, later).size() == 2);
}
