// Every invalid field is reported in one line with its position, the value found and the values allowed.

#include "entry/caller_request.h"
#include "settings/settings_reader.h"

#include <catch2/catch.hpp>

using namespace baobabport;

namespace {

const std::string valid_settings = R"({
  // an entry
  "process": "entry-1", "data_centre": "erie-shore",
  "callers": "127.0.0.1:7000", "operators": "127.0.0.1:7001", "store": "127.0.0.1:7002",
  "keys": {"inner": "0123456789abcdef", "session": "0123456789abcdef", "operators": "0123456789abcdef"},
  "poolers": [{"name": "p", "vm_number": 1, "data_centre": "erie-shore", "inner": "127.0.0.1:7003"}],
  "databases": [{"name": "db", "instances": [{"name": "i", "data_centre": "erie-shore", "address": "127.0.0.1:7004"}]}]
})";

void expect_refused(const std::string &from, const std::string &to, const std::string &reason)
{
    auto text = valid_settings;
    text.replace(text.find(from), from.size(), to);
    settings::settings_reader reader(settings::program_kind::entry);
    CHECK_FALSE(reader.read(text));
    INFO(reader.last_reason());
    CHECK(reader.last_reason().find(reason) != std::string::npos);
    CHECK(reader.last_reason().find('\n') == std::string::npos);
}

http::server_request post(const std::string &path, const std::string &body)
{
    http::server_request out;
    out.method = http::method_kind::post;
    out.path = path;
    out.body = body;
    return out;
}

} // namespace

TEST_CASE("valid settings are accepted")
{
    settings::settings_reader reader(settings::program_kind::entry);
    const auto settings = reader.read(valid_settings);
    REQUIRE(settings);
    CHECK(settings->callers->port == 7000);
    CHECK(settings->databases[0].slots == 2);
}

TEST_CASE("invalid settings are refused with line, field, value found and values allowed")
{
    expect_refused("\"process\"", "\"proces\"", "process: found nothing");
    expect_refused("127.0.0.1:7000", "localhost:7000", "line 4: callers: found \"localhost:7000\"");
    expect_refused("127.0.0.1:7000", "127.0.0.1:99999", "IP:PORT");
    expect_refused("\"vm_number\": 1", "\"vm_number\": 0",
                   "poolers[0].vm_number: found 0, allowed: a whole number from 1");
    expect_refused("\"vm_number\": 1", "\"vm_number\": \"1\"", "found \"1\"");
    expect_refused("\"data_centre\": \"erie-shore\",\n", "\"data_centre\": 3,\n", "data_centre: found 3");
    expect_refused("\"inner\": \"0123456789abcdef\"", "\"inner\": \"short\"", "at least 16 bytes");
    expect_refused("\"session\": \"0123456789abcdef\", ", "", "an entry signs session tokens");
    expect_refused("{\n", "{ \"x\": 1,\n", "an unknown field");
    expect_refused("{\n", "{ oops\n", "not JSON");
    settings::settings_reader reader(settings::program_kind::pooler);
    CHECK_FALSE(reader.read(valid_settings)); // settings of an entry are invalid for a pooler
    CHECK_FALSE(reader.read_file("/nonexistent"));
    CHECK(reader.last_reason() == "/nonexistent: cannot be read");
}

// Guards against two poolers that propose the same term and name transactions alike.
TEST_CASE("settings in which two poolers have the same VM number are refused")
{
    const std::string first =
        R"({"name": "p", "vm_number": 1, "data_centre": "erie-shore", "inner": "127.0.0.1:7003"})";
    const auto second = [](const char *vm_number) {
        return std::string(R"({"name": "q", "vm_number": )") + vm_number +
               R"(, "data_centre": "erie-shore", "inner": "127.0.0.1:7005"})";
    };
    expect_refused(first, first + ", " + second("1"), "a unique vm_number for each pooler");
    auto text = valid_settings;
    text.replace(text.find(first), first.size(), first + ", " + second("2"));
    CHECK(settings::settings_reader(settings::program_kind::entry).read(text));
}

TEST_CASE("an invalid request of a caller is refused with a reason before it is forwarded")
{
    entry::caller_request_reader reader;
    const std::string path = "/v1/databases/db/statements";
    const auto expect_refused_as = [&](const http::server_request &request, const std::string &reason) {
        CHECK_FALSE(reader.read(request));
        CHECK(reader.last_refusal().reason == reason);
    };
    expect_refused_as(post(path, "{"), "bad_json");
    expect_refused_as(post(path, "{}"), "bad_field");
    expect_refused_as(post(path, R"({"class":"a","statement":"b","more":1})"), "bad_field");
    expect_refused_as(post(path, R"({"class":"a","statement":"b","arguments":3})"), "bad_field");
    expect_refused_as(post(path, R"({"class":"a","statement":"b","deadline_ms":0})"), "deadline_passed");
    expect_refused_as(post(path, R"({"class":"a","statement":"b","deadline_ms":-5})"), "bad_field");
    expect_refused_as(post("/v1/databases/db/else", "{}"), "unknown_path");
    expect_refused_as(post("/", "{}"), "unknown_path");
    auto get = post(path, "{}");
    get.method = http::method_kind::get;
    expect_refused_as(get, "wrong_method");
    const auto request = reader.read(
        post("/v1/databases/db/transactions/t1/commit", R"({"class":"a","request_id":"r","caller":"c"})"));
    REQUIRE(request);
    CHECK(request->step == inner::transaction_step::commit);
    CHECK(request->transaction == "t1");
    CHECK(request->request_id == "c/r");
}
