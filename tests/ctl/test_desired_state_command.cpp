// The operator's check of files: places of faults, exit statuses, and no key in the output.

#include "ctl/desired_state_command.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace baobabport;
using nlohmann::json;

namespace {

const std::string secret = "K3y-5ecret";

// The values of `type` and `name` that equal names of fields must not lead the search for a line astray.
const std::string sound_text = R"({
 "version": 7,
 "routes": [
  {"name": "routes", "database": "main", "type": "primary", "timeout_ms": 800,
   "target_latency_ms": 200, "priority": 0, "backend": "db"},
  {"name": "r-[old", "database": "old", "type": "bounded", "timeout_ms": 800,
   "target_latency_ms": 200, "priority": 1, "backend": "db", "max_staleness_ms": 2500}
 ],
 "backends": [{"name": "db", "max_connections": 16, "sync_replicas": 0}],
 "limits": {"tx_idle_ms": 3000},
 "tenants": [
  {"name": "one", "api_keys": ["K3y-5ecret-1"], "rate_per_s": 10, "burst": 5},
  {"name": "two", "api_keys": ["K3y-5ecret-2"],
   "rate_per_s": 10, "burst": 5}
 ]
})";

std::string with(const std::string &from, const std::string &to, const std::string &after = "{")
{
    auto out = sound_text;
    const auto at = out.find(from, out.find(after));
    REQUIRE(at != std::string::npos);
    return out.replace(at, from.size(), to);
}

struct fixture
{
    fixture() : folder(std::filesystem::temp_directory_path() / ("check-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(folder);
    }
    ~fixture() { std::filesystem::remove_all(folder); }
    fixture(const fixture &) = delete;
    fixture &operator=(const fixture &) = delete;

    std::string store(const std::string &name, const std::string &text) const
    {
        const auto path = folder / name;
        std::ofstream(path) << text;
        return path;
    }

    /// Checks the text and returns the exit status; keeps the output.
    int check(const std::string &text, const std::string &against = "", bool as_json = true)
    {
        std::ostringstream out;
        std::ostringstream err;
        ctl::check_options options{store("next.json", text), against, {}, as_json};
        const auto status = ctl::desired_state_command(out, err).check(options);
        output = out.str();
        errors = err.str();
        CHECK((output + errors).find(secret) == std::string::npos);
        report = as_json ? json::parse(output, nullptr, false) : json();
        return status;
    }

    /// Returns the only finding as `path line`.
    [[nodiscard]] std::string place() const
    {
        REQUIRE(report["findings"].size() == 1);
        const auto &it = report["findings"][0];
        return it["path"].get<std::string>() + ' ' + std::to_string(it["line"].get<int>());
    }

    std::filesystem::path folder;
    std::string output;
    std::string errors;
    json report;
};

} // namespace

TEST_CASE("a sound file is accepted, and a file that cannot be read is bad usage")
{
    fixture it;
    CHECK(it.check(sound_text) == ctl::exit_done);
    CHECK(it.report["state"]["keys"] == 2);
    CHECK(it.check(sound_text, "", false) == ctl::exit_done);
    CHECK(it.output.ends_with("version 7, 2 routes, 1 services, 2 workspaces with 2 keys, 0 findings\n"));
    CHECK(it.check(sound_text, "/nonexistent/state.json") == ctl::exit_usage);
    CHECK(it.check(sound_text, it.store("force.json", "{" + secret)) == ctl::exit_usage);
    CHECK(it.errors.find("force.json") != std::string::npos);
}

// Guards against an error without a place, or with that of another entry.
TEST_CASE("a file that processes refuse is refused with the place of the fault")
{
    fixture it;
    const std::vector<std::pair<std::string, std::string>> faults{
        {with("\"version\": 7,", "\"version\": \"7\","), "version 2"},
        {with("\"bounded\"", "\"sometimes\""), "routes[1].type 6"},
        {with("\"timeout_ms\": 800", "\"timeout_ms\": -1", "r-[old"), "routes[1].timeout_ms 6"},
        {with("\"max_connections\": 16", "\"max_connections\": 1.5"), "backends[0].max_connections 9"},
        {with("3000", "null"), "limits 10"},
        {with("\"burst\": 5", "\"burst\": \"5\"", "5ecret-2"), "tenants[1].burst 14"},
        {with("\"rate_per_s\": 10", "\"rate_per_s\": -10", "5ecret-2"), "tenants[1].rate_per_s 14"},
        {with("5ecret-2", "5ecret-1"), "tenants[1] 13"},
        {with("\"two\"", "\"one\""), "tenants[1].name 13"},
        {with("5ecret-2", "5ecret 2"), "tenants[1] 13"},
        {with("[\"K3y-5ecret-2\"]", "\"K3y-5ecret-2\""), "tenants[1].api_keys 13"},
        {with("\"api_keys\"", "\"keys\""), "tenants[0] 12"},
        {with("\"tenants\"", "\"tenants\": null, \"x\""), "tenants 11"},
        {with("\"routes\"", "\"paths\""), "routes 0"},
        {with("\"K3y-5ecret-2\"", "K3y-5ecret-2"), " 13"}};
    for (const auto &[text, place] : faults) {
        INFO(place);
        CHECK(it.check(text) == ctl::exit_refused);
        CHECK(it.place() == place);
        CHECK(it.check(text, "", false) == ctl::exit_refused);
        CHECK(it.output.starts_with("error"));
    }
    CHECK(it.check(with("800", "1e999")) == ctl::exit_refused);
}

TEST_CASE("a valid file with parts that cannot work has an exit status of its own")
{
    fixture it;
    const std::vector<std::pair<std::string, std::string>> faults{
        {with("\"backend\": \"db\"", "\"backend\": \"none\"", "r-[old"), "routes[1].backend 7"},
        {with("\"database\": \"old\"", "\"database\": \"main\""), "routes[1].database 6"},
        {with("\"timeout_ms\": 800", "\"timeout_ms\": 100", "r-[old"), "routes[1].timeout_ms 6"},
        {with("\"bounded\"", "\"primary\""), "routes[1].max_staleness_ms 7"},
        {with("3000", "700"), "limits.tx_idle_ms 10"},
        {with("\"max_connections\": 16", "\"max_connections\": 1"), "backends[0].max_connections 9"},
        {with("[\"K3y-5ecret-2\"]", "[]"), "tenants[1].api_keys 13"},
        {with("\"burst\": 5", "\"burst\": 0", "5ecret-2"), "tenants[1].burst 14"},
        {with("\"rate_per_s\": 10", "\"rate_per_s\": 0", "5ecret-2"), "tenants[1].rate_per_s 14"},
        {with("\"rate_per_s\": 10", "\"rate_per_s\": 20000", "5ecret-2"), "tenants[1].rate_per_s 14"}};
    for (const auto &[text, place] : faults) {
        INFO(place);
        CHECK(it.check(text) == ctl::exit_doubtful);
        CHECK(it.place() == place);
    }
}

// Guards against a state that is stored and ignored, and against keys in the comparison.
TEST_CASE("the comparison with the state in force shows changes and an old version")
{
    fixture it;
    const auto in_force = it.store("force.json", sound_text);
    CHECK(it.check(sound_text, in_force) == ctl::exit_refused);
    CHECK(it.place() == "version 2");
    CHECK(it.report["changes"].empty());
    auto next = with("5ecret-2", "5ecret-3");
    next.replace(next.find('7'), 1, "8");
    CHECK(it.check(next, in_force) == ctl::exit_done);
    REQUIRE(it.report["changes"].size() == 1);
    CHECK(it.report["changes"][0]["name"] == "two");
    CHECK(it.check(next, in_force, false) == ctl::exit_done);
    CHECK(it.output.starts_with("changed workspace two: 1 keys added: "));
}
