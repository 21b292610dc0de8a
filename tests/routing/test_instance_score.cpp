// The choice of an instance by its expected time of completion, without a network.

#include "routing/instance_score.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace baobabport::routing;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

instance_score make_score()
{
    instance_score out;
    out.set_instances({"i-1", "i-2", "i-3"});
    return out;
}

read_candidate make_candidate(const std::string &id, std::uint32_t in_flight = 0)
{
    read_candidate out;
    out.id = id;
    out.slots = 4;
    out.in_flight = in_flight;
    return out;
}

/// Records answers of all three instances; i-1 takes `factor` times as long.
void answer(instance_score &score, double factor, time_point now)
{
    for (int n = 0; n < 8; ++n) {
        for (const auto *const id : {"i-1", "i-2", "i-3"}) {
            const auto f = id == std::string("i-1") ? factor : 1.0;
            score.record_answer(id, "short", microseconds(static_cast<int>(3000 * f)), now);
            score.record_answer(id, "long", microseconds(static_cast<int>(26000 * f)), now);
        }
    }
}

} // namespace

// Guards against changed decisions in deployments whose instances answer about equally fast.
TEST_CASE("with equally fast instances the order is that of the statements in flight, with fixed penalties")
{
    auto score = make_score();
    std::mt19937 random(7);
    std::exponential_distribution<double> duration(1.0 / 15);
    for (int n = 0; n < 60; ++n)
        for (const auto *const id : {"i-1", "i-2", "i-3"})
            score.record_answer(id, "l", microseconds(static_cast<int>(duration(random) * 200 + 12000)),
                                start);
    auto remote = make_candidate("i-1");
    remote.in_own_data_centre = false;
    CHECK(score.cost(make_candidate("i-2", 7), start) < score.cost(remote, start));
    CHECK(score.cost(make_candidate("i-2", 9), start) > score.cost(remote, start));
    auto primary = make_candidate("i-3");
    primary.primary = true;
    CHECK(score.cost(make_candidate("i-2", 3), start) < score.cost(primary, start));
    CHECK(score.cost(make_candidate("i-2", 5), start) > score.cost(primary, start));
    CHECK(score.cost(make_candidate("i-1"), start) == score.cost(make_candidate("i-2"), start));
}

// Guards against an instance that is 5 times slower and gets as many reads as the others; once it is as fast
// again, it must get reads again without an answer that shows it.
TEST_CASE("an instance that is 5 times slower gets reads only when others are busy, and is tried again")
{
    auto score = make_score();
    answer(score, 1, start);
    answer(score, 5, start + milliseconds(100));
    const auto now = start + milliseconds(200);
    CHECK(score.cost(make_candidate("i-1"), now) > score.cost(make_candidate("i-2", 7), now));
    auto remote = make_candidate("i-2");
    remote.in_own_data_centre = false;
    CHECK(score.cost(make_candidate("i-1"), now) > score.cost(remote, now));
    const auto later = now + 5 * instance_score::half_life;
    CHECK(score.cost(make_candidate("i-1"), later) == score.cost(make_candidate("i-2"), later));
}

// Guards against reads to an instance that hangs, from which no answer shows how slow it is.
TEST_CASE("an instance that does not answer a statement gets no more while others are up")
{
    auto score = make_score();
    answer(score, 1, start);
    auto hanging = make_candidate("i-1", 1);
    hanging.oldest_sent_at = start;
    auto remote = make_candidate("i-2");
    remote.in_own_data_centre = false;
    CHECK(score.cost(hanging, start + milliseconds(20)) < score.cost(remote, start + milliseconds(20)));
    CHECK(score.cost(hanging, start + milliseconds(200)) > score.cost(remote, start + milliseconds(200)));
}

// Guards against an ejected instance that is preferred over one that is up.
TEST_CASE("penalties order the instances that should not get reads")
{
    const auto score = make_score();
    auto ejected = make_candidate("i-1");
    ejected.ejected = true;
    auto excluded = make_candidate("i-2");
    excluded.excluded = true;
    auto behind = make_candidate("i-3");
    behind.behind = true;
    CHECK(score.cost(behind, start) < score.cost(excluded, start));
    CHECK(score.cost(excluded, start) < score.cost(ejected, start));
}
