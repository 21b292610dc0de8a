// Estimates of how long the statements of a label take.

#include "admission/duration_estimator.h"

#include <catch2/catch.hpp>
#include <string>

using namespace baobabport::admission;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Guards against the default for every label above the bound, however long their statements take.
TEST_CASE("labels above the bound share one estimate, which is returned for each of them")
{
    duration_estimator it;
    for (std::size_t n = 0; n < duration_estimator::max_labels; ++n)
        it.finished("label-" + std::to_string(n), microseconds(500));
    for (int n = 0; n < 50; ++n)
        it.finished("one more", milliseconds(40));
    CHECK(it.expected("one more") == milliseconds(40));
    CHECK(it.expected("another") == milliseconds(40));
    CHECK(it.is_long("another", milliseconds(30)));
    CHECK(it.expected("label-7") == microseconds(500));
}

TEST_CASE("a label without a sample has the default estimate")
{
    duration_estimator it;
    it.finished("known", milliseconds(9));
    CHECK(it.expected("unknown") == duration_estimator::unknown_label_time);
}
