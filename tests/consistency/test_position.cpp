// Positions order logs across changes of the primary.

#include "consistency/position.h"

#include <catch2/catch.hpp>

using baobabport::consistency::position;

TEST_CASE("a longer log of an older term is not ahead")
{
    CHECK(position{1, 100} < position{2, 1});
    CHECK(position{2, 3} > position{2, 2});
}
