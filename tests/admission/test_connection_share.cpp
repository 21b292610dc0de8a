// Processes that do not know each other leave an instance's connections to all of them.

#include "admission/connection_share.h"

#include <catch2/catch.hpp>

using baobabport::admission::connection_share;
using std::chrono::milliseconds;

// Guards against instances that refuse thousands of connections after the whole fleet has lost power.
TEST_CASE("a fleet that starts at once stays below an instance's connection limit")
{
    for (const std::uint32_t fleet : {2U, 8U, 74U, 295U, 1600U}) {
        const connection_share unknown{88, fleet, false};
        INFO(fleet << " processes");
        CHECK(fleet * unknown.limit(milliseconds(0)) <= 88);
        CHECK(unknown.limit(connection_share::isolation_delay) >= 1);
    }
    CHECK(connection_share{16, 8, false}.limit(milliseconds(0)) == 1); // a small fleet serves meanwhile
}

TEST_CASE("a process that knows the homes, or is alone, may use a home's share")
{
    CHECK(connection_share{88, 295, true}.limit(milliseconds(0)) == 61);
    CHECK(connection_share{88, 0, false}.limit(milliseconds(0)) == 61);
    CHECK(connection_share{1, 0, false}.limit(milliseconds(0)) == 1);
}
