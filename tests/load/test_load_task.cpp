// Tests the requests of a load run.

#include "load/load_task.h"

#include "support/stalled_listener.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>

using namespace baobabport;

// Guards against a request line that the database's name breaks in two.
TEST_CASE("a load run encodes the names of databases in the paths of its requests")
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), event_base_free);
    testing::stalled_listener listener;
    load::workload_plan plan;
    load::request_stream stream;
    stream.name = "reads";
    stream.class_name = "c";
    stream.statement = "select";
    stream.databases = {"lake shore/\xc3\xbc"};
    plan.streams.push_back(stream);
    load::load_task load(base.get(), plan, {listener.at()}, {}, [] {});
    REQUIRE(testing::run_until(base.get(), [&] { return listener.accepted(); }));
    REQUIRE(testing::run_until(base.get(), [&] {
        listener.read();
        return listener.text().find("\r\n") != std::string::npos;
    }));
    const auto line = listener.text().substr(0, listener.text().find("\r\n"));
    CHECK(line == "POST /v1/databases/lake%20shore%2F%C3%BC/statements HTTP/1.1");
}
