// Leases end before a primary is replaced, and a holder knows when the store is down for all.

#include "failover/lease_grantor.h"
#include "failover/peer_census.h"

#include <catch2/catch.hpp>

using namespace baobabport;
using namespace baobabport::failover;

namespace {

const time_point start{std::chrono::hours(1)};

inner::member vm(const std::string &name)
{
    return {name, "dc", name + ":1"};
}

} // namespace

TEST_CASE("a group's leases have ended only a lease's time after the last grant")
{
    lease_grantor grantor;
    grantor.begin(start);
    grantor.withhold("db", false);
    REQUIRE(grantor.may_grant("db", start));
    grantor.note_grant("db", start);
    CHECK_FALSE(grantor.ended("db", start));
    grantor.withhold("db", true);
    CHECK_FALSE(grantor.may_grant("db", start));
    CHECK_FALSE(grantor.ended("db", start + primary_lease_time));
    CHECK(grantor.ended("db", start + primary_lease_time + lease_grantor::clock_margin));
    CHECK(grantor.ended("other", start));
}

TEST_CASE("a new holder grants and replaces nothing while an earlier one may")
{
    lease_grantor grantor;
    grantor.begin(start + milliseconds(500));
    grantor.withhold("db", false);
    CHECK_FALSE(grantor.may_grant("db", start));
    CHECK_FALSE(grantor.ended("db", start));
    CHECK(grantor.may_grant("db", start + milliseconds(500)));
    CHECK(grantor.ended("db", start + milliseconds(500)));
}

TEST_CASE("the store is down when it answers no member, and none is missing")
{
    const auto long_silence = peer_census::store_silence;
    peer_census census;
    census.heard(vm("a"), long_silence, start);
    census.heard(vm("b"), long_silence, start);
    CHECK(census.store_is_down(long_silence, start));
    CHECK_FALSE(census.store_is_down(milliseconds(0), start)); // it answers this process

    census.heard(vm("b"), milliseconds(100), start);
    CHECK_FALSE(census.store_is_down(long_silence, start)); // it answers `b`

    census.heard(vm("b"), long_silence, start);
    const auto later = start + peer_census::freshness + milliseconds(1);
    census.heard(vm("a"), long_silence, later);
    CHECK_FALSE(census.store_is_down(long_silence, later)); // `b` is silent: it may be served

    const auto much_later = start + peer_census::membership + milliseconds(1);
    census.heard(vm("a"), long_silence, much_later);
    CHECK(census.store_is_down(long_silence, much_later));
}

TEST_CASE("the list of members changes its version only with its members")
{
    peer_census census;
    census.heard(vm("a"), milliseconds(0), start);
    std::uint64_t first = 0;
    CHECK(census.list(start, first).size() == 1);
    census.heard(vm("a"), milliseconds(0), start + milliseconds(200));
    std::uint64_t second = 0;
    census.list(start + milliseconds(200), second);
    CHECK(first == second);
    census.heard(vm("b"), milliseconds(0), start + milliseconds(300));
    std::uint64_t third = 0;
    CHECK(census.list(start + milliseconds(300), third).size() == 2);
    CHECK(third > second);
    CHECK(census.list(start + milliseconds(300) + peer_census::listed + milliseconds(1), third).empty());
}

TEST_CASE("a new holder keeps the members that the last one listed")
{
    peer_census census;
    census.adopt({vm("a"), vm("b")}, start);
    std::uint64_t version = 0;
    CHECK(census.list(start, version).size() == 2);
    CHECK_FALSE(census.store_is_down(peer_census::store_silence, start)); // nothing was heard of them
}
