// Tests the ranking of homes, the exclusion of failed poolers, and decisions after failed attempts.

#include "routing/forward_decision.h"
#include "routing/home_selector.h"
#include "routing/store_retry_policy.h"

#include <catch2/catch.hpp>
#include <map>

using namespace baobabport;
using namespace baobabport::routing;
using std::chrono::milliseconds;

namespace {

const routing::time_point start{std::chrono::hours(1)};

std::vector<candidate> make_candidates(int n)
{
    std::vector<candidate> out;
    out.reserve(n);
    for (int it = 0; it < n; ++it)
        out.push_back({"pooler-" + std::to_string(it), "dc-" + std::to_string(it % 3)});
    return out;
}

} // namespace

TEST_CASE("databases spread over the poolers, and removing a pooler moves only its own databases")
{
    const auto all = make_candidates(30);
    auto fewer = all;
    fewer.erase(fewer.begin() + 7);
    std::map<std::string, int> homes;
    for (int n = 0; n < 900; ++n) {
        const ranked_database database{"db-" + std::to_string(n), {"dc-0", "dc-1", "dc-2"}};
        const auto home = all[rank_homes(database, all).front()].name;
        ++homes[home];
        const auto after = fewer[rank_homes(database, fewer).front()].name;
        if (home != "pooler-7")
            CHECK(after == home);
    }
    for (const auto &[name, n] : homes) {
        CHECK(n > 10);
        CHECK(n < 60);
    }
}

TEST_CASE("poolers in a data centre of the instances rank first")
{
    const auto all = make_candidates(9);
    const auto ranked = rank_homes({"db", {"dc-1"}}, all);
    for (int n = 0; n < 3; ++n)
        CHECK(all[ranked[n]].data_centre == "dc-1");
}

TEST_CASE("a failed pooler is excluded for a growing period that is reset only after a while of answers")
{
    home_selector selector(make_candidates(3), 1);
    const ranked_database database{"db", {"dc-0", "dc-1", "dc-2"}};
    const auto first = selector.choose(database, {}, start)->pooler;
    selector.record_failure(first, start);
    CHECK(selector.choose(database, {}, start)->rank == 1);
    CHECK(selector.choose(database, {}, start + milliseconds(400))->pooler == first);
    selector.record_answer(first, start + milliseconds(400));
    selector.record_failure(first,
                            start + milliseconds(500)); // flapping: one answer resets nothing
    CHECK(selector.choose(database, {}, start + milliseconds(650))->rank == 1);
    selector.record_answer(first, start + milliseconds(5000));
    selector.record_answer(first, start + milliseconds(7100));
    selector.record_failure(first, start + milliseconds(8000));
    CHECK(selector.choose(database, {}, start + milliseconds(8400))->pooler == first);
}

TEST_CASE("a leaving pooler gets no requests, and if all poolers are excluded one is still tried")
{
    home_selector selector(make_candidates(3), 1);
    const ranked_database database{"db", {}};
    const auto first = selector.choose(database, {}, start)->pooler;
    selector.set_leaving(first, true);
    CHECK(selector.choose(database, {}, start)->pooler != first);
    for (const auto &it : make_candidates(3))
        selector.record_failure(it.name, start);
    CHECK(selector.choose(database, {}, start));
    CHECK_FALSE(selector.choose(database, {"pooler-0", "pooler-1", "pooler-2"}, start));
}

TEST_CASE("a request that may have run is tried again only if the document allows it")
{
    using consistency::verdict;
    using inner::transaction_step;
    document::class_policy policy;
    policy.access = document::access_kind::write;
    forward_state state{transaction_step::none, &policy, 1, true, milliseconds(500)};
    CHECK_FALSE(decide_after(attempt_end::lost, state).try_next);
    CHECK(decide_after(attempt_end::lost, state).outcome == verdict::unknown);
    CHECK(decide_after(attempt_end::not_reached, state).try_next);
    policy.repeatable = true;
    CHECK(decide_after(attempt_end::lost, state).try_next);
    state.retry_available = false;
    CHECK_FALSE(decide_after(attempt_end::lost, state).try_next);
    state.policy = nullptr;
    CHECK(decide_after(attempt_end::lost, state).outcome == verdict::unknown);
    state.step = transaction_step::commit;
    CHECK(decide_after(attempt_end::lost, state).outcome == verdict::unknown);
    CHECK(decide_after(attempt_end::not_reached, state).outcome == verdict::unknown);
    state.step = transaction_step::statement;
    CHECK(decide_after(attempt_end::lost, state).outcome == verdict::not_run);
    state.step = transaction_step::none;
    state.tries = 3;
    CHECK(decide_after(attempt_end::not_reached, state).outcome == verdict::not_run);
}

TEST_CASE("the calls of a fleet that reconnects to the store are spread by the back-off")
{
    constexpr int processes = 3200;
    constexpr int outage_calls = 8;
    std::map<std::int64_t, int> calls_per_second;
    for (int n = 0; n < processes; ++n) {
        store_retry_policy retry_policy(n);
        auto at = milliseconds(0);
        for (int call = 0; call < outage_calls; ++call)
            at += retry_policy.after_failure();
        ++calls_per_second[at.count() / 1000];
    }
    for (const auto &[second, n] : calls_per_second)
        CHECK(n < 2000); // calls per second that the platform's service can handle
    store_retry_policy retry_policy(1);
    for (int call = 0; call < 20; ++call)
        CHECK(retry_policy.after_failure() <= store_retry_policy::max_backoff);
}
