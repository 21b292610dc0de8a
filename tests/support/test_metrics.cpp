// Tests the quantiles and the Prometheus text of latency histograms.

#include "support/metrics.h"

#include <catch2/catch.hpp>

using namespace baobabport::support;
using std::chrono::microseconds;

TEST_CASE("a histogram's quantile is the upper edge of the value's bin")
{
    latency_histogram values;
    CHECK(values.quantile(0.5) == microseconds(0));
    for (int n = 0; n < 99; ++n)
        values.record(microseconds(1000));
    values.record(microseconds(1000000));
    CHECK(values.quantile(0.5) >= microseconds(1000));
    CHECK(values.quantile(0.5) < microseconds(1200));
    CHECK(values.quantile(1.0) >= microseconds(1000000));
}

TEST_CASE("values outside the range of a histogram are counted")
{
    latency_histogram values;
    values.record(microseconds(1));
    values.record(std::chrono::seconds(1000));
    std::string out;
    values.write("x", "", out);
    CHECK(out.find("x_bucket{le=\"+Inf\"} 2") != std::string::npos);
    CHECK(values.quantile(1.0) == std::chrono::seconds(100));
}
