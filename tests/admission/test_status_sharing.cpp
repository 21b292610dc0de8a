// Status requests of many processes reach an instance as few.

#include "admission/status_sharing.h"

#include <catch2/catch.hpp>

using namespace baobabport::admission;

// Guards against instances that are occupied by status requests when a fleet has lost its leases.
TEST_CASE("requests that arrive while one is in flight share the next one")
{
    status_sharing<int> sharing;
    std::vector<int> answers;
    const auto record = [&answers](int answer) { answers.push_back(answer); };
    CHECK(sharing.submit("i-1", record));
    for (int n = 0; n < 300; ++n)
        CHECK_FALSE(sharing.submit("i-1", record));
    CHECK(sharing.submit("i-2", record)); // another instance

    CHECK(sharing.finish("i-1", 1));
    CHECK(answers == std::vector<int>{1}); // the others came after it was sent
    CHECK_FALSE(sharing.finish("i-1", 2));
    CHECK(answers.size() == 301);
    CHECK(answers.back() == 2);
    CHECK_FALSE(sharing.finish("i-2", 3));
    CHECK(sharing.instances() == 0);
}

TEST_CASE("a request that an answer leads to begins the next round itself")
{
    status_sharing<int> sharing;
    bool sends = false;
    CHECK(sharing.submit("i-1", [&](int) { sends = sharing.submit("i-1", [](int) {}); }));
    CHECK_FALSE(sharing.finish("i-1", 1));
    CHECK(sends);
    CHECK_FALSE(sharing.finish("i-1", 2));
    CHECK(sharing.instances() == 0);
}
