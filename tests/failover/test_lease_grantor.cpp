// Primary leases end before a primary is replaced.

#include "failover/lease_grantor.h"

#include <catch2/catch.hpp>

using namespace baobabport;
using namespace baobabport::failover;

namespace {

const time_point start{std::chrono::hours(1)};

} // namespace

TEST_CASE("a group's leases have ended one lease time and the clock margin after the last grant")
{
    lease_grantor grantor;
    grantor.begin(start);
    grantor.withhold("db", false);
    REQUIRE(grantor.may_grant("db", start));
    grantor.record_grant("db", start);
    CHECK_FALSE(grantor.ended("db", start));
    grantor.withhold("db", true);
    CHECK_FALSE(grantor.may_grant("db", start));
    CHECK_FALSE(grantor.ended("db", start + primary_lease_time));
    CHECK(grantor.ended("db", start + primary_lease_time + lease_grantor::clock_margin));
    CHECK(grantor.ended("other", start));
}

TEST_CASE("a new leader grants no lease and replaces no primary while an earlier leader may")
{
    lease_grantor grantor;
    grantor.begin(start + milliseconds(500));
    grantor.withhold("db", false);
    CHECK_FALSE(grantor.may_grant("db", start));
    CHECK_FALSE(grantor.ended("db", start));
    CHECK(grantor.may_grant("db", start + milliseconds(500)));
    CHECK(grantor.ended("db", start + milliseconds(500)));
}
