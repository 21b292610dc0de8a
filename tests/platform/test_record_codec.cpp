// Tests of parsing the store's records: valid ones, and invalid ones that are rejected with a reason.

#include "platform/record_codec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
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
    for (const auto *const field : {"backend", "address", "zone", "version", "slots", "state", "db_role",
                                    "cold_remaining_ms", "sequence"}) {
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

// Guards against an entry of another writer that is taken for an instance: it can never be paused, which
// prevented every replacement of a primary (docs/incidents/odd-instance-entry.md).
TEST_CASE("an instance record whose field is of another type is rejected")
{
    const std::map<std::string, json> of_each_type{
        {"string", "x"},   {"whole number", 3}, {"negative number", -3}, {"fraction", 0.5},
        {"boolean", true}, {"null", nullptr},   {"list", json::array()}, {"object", json::object()}};
    const std::map<std::string, std::vector<std::string>> allowed{
        {"backend", {"string"}},
        {"zone", {"string"}},
        {"version", {"string"}},
        {"slots", {"whole number"}},
        {"cold_remaining_ms", {"whole number", "fraction"}},
        {"sequence", {"whole number"}},
        {"born", {"whole number"}},
        {"address", {}},
        {"state", {}},
        {"db_role", {}}};
    for (const auto &[field, types] : allowed) {
        for (const auto &[type, value] : of_each_type) {
            auto body = instance();
            body[field] = value;
            INFO(field << ": " << type);
            CHECK(read(body).has_value() == (std::count(types.begin(), types.end(), type) > 0));
        }
    }
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

// Guards against processes that end, or stop following the list, because of one entry of another writer.
TEST_CASE("an odd instance record is refused, whatever its fields hold")
{
    const std::vector<std::string> odd_values{"0",
                                              "-1",
                                              "65536",
                                              "4294967296",
                                              "18446744073709551616",
                                              "1e999",
                                              "1e300",
                                              "-1e300",
                                              "1.5",
                                              "null",
                                              "true",
                                              "\"\"",
                                              "\"1\"",
                                              "\"10.0.0.9:0\"",
                                              "\"10.0.0.9:65536\"",
                                              "\"10.0.0.9:-1\"",
                                              "\"10.0.0.9:x\"",
                                              "[]",
                                              "{}",
                                              std::string(100000, '[') + std::string(100000, ']'),
                                              "\"" + std::string(1000000, 'x') + "\"",
                                              "\"\xff\xfe\""};
    for (const auto *const field : {"backend", "address", "zone", "version", "slots", "state", "db_role",
                                    "cold_remaining_ms", "sequence", "born"}) {
        for (const auto &value : odd_values) {
            auto body = instance();
            body.erase(field);
            auto text = body.dump();
            text.back() = ',';
            text += '"' + std::string(field) + "\":" + value + '}';
            std::string reason;
            std::optional<directory::instance_record> record;
            INFO(field << ": " << value.substr(0, 40));
            REQUIRE_NOTHROW(record = platform::read_instance_record("servers/i-1", text, reason));
            if (!record) {
                CHECK_FALSE(reason.empty());
                continue;
            }
            CHECK(record->at.port > 0);
            CHECK(record->slots >= 1);
            CHECK(record->slots <= platform::max_slots);
            CHECK(record->warm_up >= std::chrono::milliseconds(0));
            CHECK(record->warm_up <= platform::longest_time);
        }
    }
    std::string reason;
    for (const auto *const text : {"", " ", "null", "7", "\"x\"", "[]", "{}", "{\"slots\":1,\"slots\":2}"})
        CHECK_FALSE(platform::read_instance_record("servers/i-1", text, reason));
}

// Guards against UNASKED: the id in CONNECT ended its line, and an instance would have run what followed.
TEST_CASE("an instance whose id cannot be part of a line is refused")
{
    std::string reason;
    CHECK_FALSE(
        platform::read_instance_record("servers/i-1\r\nQUERY q1 WRITE x 1", instance().dump(), reason));
    CHECK_FALSE(reason.empty());
    const auto odd = platform::read_instance_record("servers/i 1", instance().dump(), reason);
    REQUIRE(odd);
    CHECK(odd->id == "i 1"); // the last field of a line extends to its end
}

TEST_CASE("times and numbers of a desired state that are out of range are refused")
{
    std::string reason;
    for (const auto *const field : {"timeout_ms", "target_latency_ms", "max_staleness_ms"}) {
        for (const double value : {-1.0, 1e300, -1e300}) {
            auto body = desired();
            body["routes"][0][field] = value;
            INFO(field << ' ' << value);
            CHECK_FALSE(platform::read_desired_state(body.dump(), reason));
        }
    }
    for (const double value : {-1.0, 1e12}) {
        auto body = desired();
        body["backends"][0]["max_connections"] = value;
        CHECK_FALSE(platform::read_desired_state(body.dump(), reason));
    }
}
