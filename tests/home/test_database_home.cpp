// Regression tests for single behaviours of a home.

#include "admission/duration_estimator.h"
#include "support/fake_site.h"

#include <catch2/catch.hpp>

using namespace fake;
using consistency::verdict;

namespace {

inner::statement_request make_request(const char *class_name, const char *statement)
{
    inner::statement_request out;
    out.database = "db";
    out.class_name = class_name;
    out.statement = statement;
    out.arguments = R"({"key":"k","value":"1"})";
    out.caller = "caller";
    out.time_left = milliseconds(800);
    out.floor = consistency::position{};
    return out;
}

inner::statement_answer send(fake_site &site, const inner::statement_request &request,
                             milliseconds wait = milliseconds(1000))
{
    inner::statement_answer out;
    out.reason = "no answer yet";
    site.submit(0, request, [&out](const auto &answer) { out = answer; });
    site.run_for(wait);
    return out;
}

} // namespace

TEST_CASE("after isolation of all instances beyond the deadline, writes run again")
{
    fake_site site({});
    CHECK(send(site, make_request("booking", "update")).outcome == verdict::ran);
    for (instance_id it = 0; it < 3; ++it)
        site.isolate(it, true);
    for (int n = 0; n < 8; ++n)
        CHECK(send(site, make_request("booking", "update")).outcome != verdict::ran);
    site.heal();
    site.run_for(milliseconds(500));
    const auto answer = send(site, make_request("booking", "update"));
    INFO(answer.reason);
    CHECK(answer.outcome == verdict::ran);
}

TEST_CASE("a hanging statement does not make a label with enough samples long-running")
{
    admission::duration_estimator durations;
    for (int n = 0; n < 10; ++n)
        durations.finished("select", std::chrono::milliseconds(2));
    durations.running("select", std::chrono::seconds(3));
    CHECK_FALSE(durations.is_long("select", milliseconds(40)));
    durations.running("long_scan", milliseconds(60));
    CHECK(durations.is_long("long_scan", milliseconds(40)));
}

TEST_CASE("a drained home refuses new requests and completes those in progress")
{
    fake_site site({});
    site.run_for(milliseconds(100));
    inner::statement_answer first;
    site.submit(0, make_request("booking", "update"), [&](const auto &answer) { first = answer; });
    site.run_for(milliseconds(3));
    site.home(0).drain();
    const auto second = send(site, make_request("booking", "update"));
    CHECK(first.outcome == verdict::ran);
    CHECK(second.outcome == verdict::not_run);
    CHECK(second.use_next_rank);
    CHECK(site.home(0).is_idle());
}

TEST_CASE("identical reads share one execution")
{
    fake_site site({});
    send(site, make_request("booking", "update"));
    int ran = 0;
    const auto before = site.home(0).counters().reads_by_replica;
    for (int n = 0; n < 50; ++n)
        site.submit(0, make_request("sheet", "select"),
                    [&](const auto &answer) { ran += answer.outcome == verdict::ran ? 1 : 0; });
    site.run_for(milliseconds(300));
    CHECK(ran == 50);
    CHECK(site.home(0).counters().reads_by_replica - before <= 2);
}

TEST_CASE("requests of an unknown class or a shed class are refused as not run")
{
    fake_site site({});
    CHECK(send(site, make_request("nothing", "update")).reason == "unknown_class");
    site.home(0).set_shed({"sheet"});
    CHECK(send(site, make_request("sheet", "select")).reason == "shed_by_operator");
}

TEST_CASE("a write with durability primary is acknowledged before any replica has it")
{
    fake_site site({});
    site.run_for(milliseconds(200));
    site.set_lag(milliseconds(5000));
    CHECK(send(site, make_request("fast", "update")).outcome == verdict::ran);
    CHECK(send(site, make_request("booking", "update")).outcome == verdict::unknown);
}
