// The check of a desired state names each part that cannot work as it is meant, and the comparison each
// change.

#include "directory/desired_state_check.h"
#include "workspace/key_index.h"

#include <catch2/catch.hpp>

using namespace baobabport;
using directory::change_kind;
using directory::finding_level;
using std::chrono::milliseconds;

namespace {

directory::route route(const std::string &database)
{
    directory::route out;
    out.name = "r-" + database;
    out.database = database;
    out.service = "db";
    out.statement_timeout = milliseconds(800);
    out.target_latency = milliseconds(200);
    return out;
}

directory::desired_state sound_state()
{
    directory::desired_state out;
    out.version = 7;
    out.routes = {route("main"), route("old")};
    out.routes[1].kind = directory::route_kind::bounded;
    out.routes[1].max_staleness = milliseconds(2500);
    out.services = {{"db", 16, 0}};
    out.workspaces = {{{"one", {workspace::hash_of_key("k1")}, directory::quota{10, 5}},
                       {"two", {workspace::hash_of_key("k2")}, {}}}};
    return out;
}

/// Returns the paths of all findings.
std::vector<std::string> paths(const directory::desired_state &state, std::optional<std::uint32_t> slots = {})
{
    std::vector<std::string> out;
    for (const auto &it : directory::check_desired_state(state, {slots})) {
        CHECK(it.level == finding_level::warning);
        CHECK_FALSE(it.text.empty());
        out.push_back(it.path);
    }
    return out;
}

using paths_type = std::vector<std::string>;

} // namespace

TEST_CASE("a sound state has no findings")
{
    CHECK(paths(sound_state(), 8).empty());
    auto without = sound_state();
    without.workspaces.reset();
    CHECK(paths(without).empty());
}

// Guards against entries that operators believe to be in force.
TEST_CASE("entries that never match are found")
{
    auto state = sound_state();
    state.routes.push_back(route("main"));
    state.routes.push_back(route("lost"));
    state.routes.back().service = "none";
    state.services.push_back({"unused", 16, 0});
    state.services.push_back({"db", 8, 0});
    state.workspaces->push_back({"three", {}, {}});
    CHECK(paths(state) == paths_type{"routes[2].database", "routes[3].backend", "backends[1].name",
                                     "backends[2].name", "tenants[2].api_keys"});
    state = sound_state();
    state.workspaces->clear();
    CHECK(paths(state) == paths_type{"tenants"});
    state.workspaces.reset();
    state.routes[1].is_public = true;
    CHECK(paths(state) == paths_type{"routes[1].public"});
}

// Guards against limits of which one makes the other useless.
TEST_CASE("limits that contradict each other are found")
{
    auto state = sound_state();
    state.routes[0].statement_timeout = milliseconds(199);
    state.routes[0].max_staleness = milliseconds(1);
    CHECK(paths(state) == paths_type{"routes[0].timeout_ms", "routes[0].max_staleness_ms"});
    state = sound_state();
    state.transaction_idle = milliseconds(799);
    CHECK(paths(state) == paths_type{"limits.tx_idle_ms"});
    state = sound_state();
    state.services[0].max_connections = 1;
    CHECK(paths(state) == paths_type{"backends[0].max_connections"});
    state.services[0].max_connections = 0;
    CHECK(paths(state) == paths_type{"backends[0].max_connections", "tenants[0].rate_per_s"});
}

// Guards against quotas that refuse everything, or promise what no instance can run.
TEST_CASE("quotas that cannot be used are found")
{
    auto state = sound_state();
    auto &limit = *state.workspaces->front().limit;
    for (const auto &[rate, burst, path] :
         std::vector<std::tuple<double, double, std::string>>{{10, 0, "tenants[0].burst"},
                                                              {0, 5, "tenants[0].rate_per_s"},
                                                              {0, 0, "tenants[0].rate_per_s"},
                                                              {16001, 5, "tenants[0].rate_per_s"}}) {
        limit = {rate, burst};
        CHECK(paths(state) == paths_type{path});
    }
    limit = {16000, 5};
    CHECK(paths(state).empty());
    CHECK(paths(state, 8) == paths_type{"tenants[0].rate_per_s"});
}

// Guards against a state that processes ignore without a word to the operator.
TEST_CASE("a version that is not higher is an error")
{
    auto next = sound_state();
    for (const std::uint64_t version : {6, 7}) {
        next.version = version;
        const auto found = directory::check_version(next, sound_state());
        REQUIRE(found);
        CHECK(found->level == finding_level::error);
        CHECK(found->path == "version");
    }
    next.version = 8;
    CHECK_FALSE(directory::check_version(next, sound_state()));
}

// Guards against changes that are overlooked, and against whole hashes or keys in the output.
TEST_CASE("a comparison names what is added, removed and changed")
{
    const auto before = sound_state();
    CHECK(directory::compare_states(before, before).empty());
    auto after = before;
    after.routes[0].statement_timeout = milliseconds(900);
    after.routes[0].is_public = true;
    after.routes[1] = route("new");
    after.services[0].max_connections = 20;
    after.services.push_back({"more", 16, 0});
    after.transaction_idle = milliseconds(5000);
    const auto hash = workspace::hash_of_key("k3");
    after.workspaces->front().key_hashes = {hash};
    after.workspaces->front().limit = directory::quota{10, 8};
    (*after.workspaces)[1].name = "three";
    const auto short_one = workspace::short_hash(workspace::hash_of_key("k1"));
    const std::vector<directory::state_change> expected{
        {change_kind::changed, "route", "main", "timeout_ms 800 ms -> 900 ms, public no -> yes"},
        {change_kind::added, "route", "new", ""},
        {change_kind::removed, "route", "old", ""},
        {change_kind::changed, "service", "db", "max_connections 16 -> 20"},
        {change_kind::added, "service", "more", ""},
        {change_kind::changed, "workspace", "one",
         "burst 5 -> 8, 1 keys added: " + hash.substr(0, 8) + ", 1 keys removed: " + short_one},
        {change_kind::added, "workspace", "three", ""},
        {change_kind::removed, "workspace", "two", ""},
        {change_kind::changed, "limit", "tx_idle_ms", "3000 ms -> 5000 ms"}};
    CHECK(directory::compare_states(after, before) == expected);
    after = before;
    after.workspaces.reset();
    CHECK(directory::compare_states(after, before).front() ==
          directory::state_change{change_kind::removed, "limit", "tenants", "callers need no keys any more"});
}
