// Tests of parsing the store's records: valid ones, and invalid ones that are rejected with a reason.

#include "platform/record_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace baobabport;
using nlohmann::json;

namespace {

json instance()
{
    return {{"backend", "huvo11a"},
            {"address", "10.128.0.9:8080"},
            {"zone", "erie-shore"},
            {"version", "v1"},
            {"slots", 2},
            {"state", "ready"},
            {"db_role", "replica"},
            {"sequence", 4},
            {"cold_remaining_ms", 0},
            {"born", 1785100914000}};
}

json desired()
{
    return {{"version", 7},
            {"routes",
             {{{"name", "r-1"},
               {"database", "fiti"},
               {"prefix", "/"},
               {"type", "read_your_writes"},
               {"timeout_ms", 800},
               {"target_latency_ms", 200},
               {"priority", 2},
               {"backend", "huvo11a"},
               {"max_attempts", 2},
               {"max_staleness_ms", 2500}}}},
            {"backends", {{{"name", "huvo11a"}, {"max_connections", 16}, {"sync_replicas", 1}}}},
            {"limits", {{"tx_idle_ms", 3000}}}};
}

std::optional<directory::instance_record> read(const json &body)
{
    std::string reason;
    auto out = platform::read_instance_record("servers/i-1", body.dump(), reason);
    CHECK(out.has_value() == reason.empty());
    return out;
}

} // namespace

TEST_CASE("an instance record is parsed")
{
    const auto record = read(instance());
    REQUIRE(record);
    CHECK(record->id == "i-1");
    CHECK(record->service == "huvo11a");
    CHECK(record->data_centre == "erie-shore");
    CHECK(record->at.text() == "10.128.0.9:8080");
    CHECK(record->slots == 2);
    CHECK(record->started_at.count() == 1785100914000);
}

TEST_CASE("a record with missing or invalid fields is rejected")
{
    for (const auto *const field :
         {"backend", "address", "zone", "slots", "state", "db_role", "cold_remaining_ms"}) {
        auto missing = instance();
        missing.erase(field);
        CHECK_FALSE(read(missing));
        auto of_another_type = instance();
        of_another_type[field] = json::array({1});
        CHECK_FALSE(read(of_another_type));
    }
    auto other = instance();
    other["state"] = "asleep";
    CHECK_FALSE(read(other));
    other = instance();
    other["born"] = 1.5;
    CHECK_FALSE(read(other));
    other = instance();
    other["slots"] = -2;
    CHECK_FALSE(read(other));
    std::string reason;
    CHECK_FALSE(platform::read_instance_record("servers/i-1", "\x80\xff not json", reason));
    CHECK_FALSE(reason.empty());
}

TEST_CASE("a desired state with an invalid part is rejected as a whole")
{
    std::string reason;
    const auto state = platform::read_desired_state(desired().dump(), reason);
    REQUIRE(state);
    CHECK(state->version == 7);
    REQUIRE(state->routes.size() == 1);
    CHECK(state->routes[0].kind == directory::route_kind::read_your_writes);
    CHECK(state->routes[0].max_staleness == std::chrono::milliseconds(2500));
    CHECK(state->services[0].sync_replicas == 1);
    CHECK(state->transaction_idle == std::chrono::milliseconds(3000));

    auto broken = desired();
    broken["routes"][0]["type"] = "sometimes";
    CHECK_FALSE(platform::read_desired_state(broken.dump(), reason));
    CHECK(reason.find("sometimes") != std::string::npos);
    CHECK_FALSE(platform::read_desired_state("", reason));
}
