// Sessions of a process that has just started, or that has no leases.

#include "support/proxy_site.h"

#include <catch2/catch.hpp>

using namespace testing;

// Guards against an answer that names a replacement which did not happen.
TEST_CASE("a write that nothing confirms in time is in doubt, not lost with a replaced primary")
{
    proxy_site site;
    auto settings = site.settings_of("front-2");
    settings.promotion_orders.reset(); // without leases, each write needs the report of a replica
    baobabport::proxy::proxy_task second(site.base, settings, [] {});
    site.run_for(std::chrono::milliseconds(1500));
    test_caller caller(site.base, settings.callers);
    caller.send("CONNECT main u1\r\n");
    REQUIRE(site.run_until([&] { return !caller.lines.empty(); }));
    REQUIRE(site.ask(caller, "WRITE x 1").starts_with("COMPLETE mac"));
    site.group.at("b").crash();
    site.group.at("c").crash();
    const auto answer = site.ask(caller, "WRITE x 2");
    INFO(answer);
    CHECK(answer.starts_with("ERROR INDOUBT"));
    CHECK(answer.find("could not be confirmed in time") != std::string::npos);
    CHECK(answer.find("replaced") == std::string::npos);
}

TEST_CASE("a session that connects before the first desired state is known waits for it")
{
    proxy_site site;
    const auto settings = site.settings_of("front-2");
    baobabport::proxy::proxy_task second(site.base, settings, [] {});
    test_caller caller(site.base, settings.callers);
    caller.send("CONNECT main u1\r\nQUERY 1 READ x\r\n");
    REQUIRE(site.run_until([&] { return caller.lines.size() >= 3; }));
    CHECK(caller.lines.front() == "READY I -");
    CHECK(caller.lines.back().starts_with("READY I"));
    CHECK_FALSE(caller.closed);
}

// Guards against callers that are kept waiting although nothing can be served: the store is away.
TEST_CASE("a session that connects while no desired state can be read is refused soon")
{
    proxy_site site;
    site.store->main_endpoint().faults.refuses = true;
    const auto settings = site.settings_of("front-2");
    baobabport::proxy::proxy_task second(site.base, settings, [] {});
    test_caller caller(site.base, settings.callers);
    caller.send("CONNECT main u1\r\n");
    REQUIRE(site.run_until([&] { return !caller.lines.empty(); }));
    CHECK(caller.lines.front().starts_with("ERROR BUSY"));
    // A quarter of a usual target latency of 1,000 ms: later refusals are late for the caller.
    CHECK(baobabport::proxy::caller_task::routes_timeout <= std::chrono::milliseconds(250));
}
