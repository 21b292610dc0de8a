// A primary's report is valid only for times that a replica or a lease confirms.

#include "replication/group_state.h"

#include <catch2/catch.hpp>

using namespace baobabport::replication;
using baobabport::consistency::instance_role;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

member_report primary(std::uint64_t term, std::uint64_t offset)
{
    return {instance_role::primary, term, {term, offset}, 0, 0, 0};
}

member_report replica(std::uint64_t term, std::uint64_t offset, std::uint64_t paused_at = 0)
{
    return {instance_role::replica, term, {term, offset}, paused_at, 0, 0};
}

time_point after(int ms)
{
    return start + milliseconds(ms);
}

} // namespace

TEST_CASE("the primary of the highest term is the primary")
{
    group_state group;
    group.observe("a", primary(1, 5), start);
    CHECK(group.primary() == "a");
    group.observe("b", primary(2, 5), after(1));
    CHECK(group.primary() == "b");
    CHECK(group.observe("a", primary(1, 9), after(2)) == confirmation::contested);
    CHECK(group.primary() == "b");
    CHECK(group.term() == 2);
}

TEST_CASE("a paused replica, or one of a later term, confirms nothing")
{
    group_state group;
    group.observe("a", primary(3, 5), start);
    CHECK(group.observe("b", replica(3, 5), after(1)) == confirmation::confirmed);
    CHECK(group.confirmed_at() == after(1));
    CHECK(group.observe("b", replica(3, 5, 4), after(2)) == confirmation::contested);
    CHECK(group.confirmed_at() == after(1));
    CHECK(group.contested());
    CHECK(group.observe("c", replica(4, 5), after(3)) == confirmation::contested);
    CHECK(group.observe("b", replica(3, 5), after(4)) == confirmation::confirmed);
    CHECK_FALSE(group.contested());
}

TEST_CASE("a pause that remains from the promotion that began the term does not contest the primary")
{
    group_state group;
    group.observe("b", primary(4, 5), start);
    CHECK(group.observe("c", replica(3, 5, 4), after(1)) == confirmation::confirmed);
}

TEST_CASE("a primary that reports that it is a replica is no longer the primary")
{
    group_state group;
    group.observe("a", primary(1, 5), start);
    group.observe("a", replica(1, 5), after(1));
    CHECK_FALSE(group.primary());
    group.observe("a", primary(1, 6), after(2));
    CHECK(group.primary() == "a");
}

TEST_CASE("a floor is a position sampled in time and confirmed afterwards")
{
    group_state group;
    group.observe("a", primary(1, 5), after(100));
    CHECK_FALSE(group.floor_at(after(50))); // not confirmed
    group.observe("b", replica(1, 1), after(120));
    CHECK(*group.floor_at(after(50)) == position{1, 5});
    CHECK_FALSE(group.floor_at(after(101))); // no sample since then
    group.observe_primary_log("a", {1, 9}, after(200));
    CHECK(*group.floor_at(after(50)) == position{1, 5}); // the lowest sufficient position
    CHECK_FALSE(group.floor_at(after(150)));             // sampled, but not confirmed yet
    group.observe("b", replica(1, 1), after(201));
    CHECK(*group.floor_at(after(150)) == position{1, 9});
}

TEST_CASE("a new term discards the floors of the old one")
{
    group_state group;
    group.observe("a", primary(1, 500), start);
    group.observe("b", replica(1, 500), after(1));
    group.observe("b", primary(2, 480), after(100));
    group.observe("c", replica(2, 480), after(101));
    CHECK(*group.floor_at(after(50)) == position{2, 480});
    CHECK_FALSE(group.floor_at(after(102)));
}

TEST_CASE("a lease confirms the primary of its term only")
{
    group_state group;
    group.adopt_primary("a", 2, {2, 7}, start);
    CHECK(group.primary() == "a");
    group.confirm_by_lease(1, after(10));
    CHECK(group.confirmed_at() < start);
    group.confirm_by_lease(2, after(10));
    CHECK(group.confirmed_at() == after(10));
    CHECK(*group.floor_at(start) == position{2, 7});
    group.adopt_primary("b", 1, {1, 9}, after(20)); // of an earlier term
    CHECK(group.primary() == "a");
}

TEST_CASE("an erased instance is no longer the primary")
{
    group_state group;
    group.observe("a", primary(1, 5), start);
    group.observe_applied("a", {1, 5}, start);
    CHECK(group.applied("a")->log == position{1, 5});
    group.erase_instance("a");
    CHECK_FALSE(group.primary());
    CHECK_FALSE(group.applied("a"));
    CHECK(group.term() == 1);
}
