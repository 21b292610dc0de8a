// What counts as an operation of a workspace, at a proxy with its stand-ins.

#include "http/http_client.h"
#include "support/free_address.h"
#include "support/proxy_site.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace testing;
using namespace baobabport;
using nlohmann::json;

namespace {

/// A site whose callers have the key of the workspace `one`.
struct limited_site
{
    limited_site()
    {
        auto settings = site.settings();
        settings.admin = admin;
        site.proxy.reset();
        set_rate(1e6);
        site.proxy.emplace(site.base, settings, [] {});
        caller = site.session("main");
        // A process that is its own fleet first waits for others.
        REQUIRE(repeat_until([this] { return ask("READ x").find("COMPLETE") != std::string::npos; }));
    }

    void set_rate(double rate)
    {
        auto state = json::parse(site.store->value("op/config"));
        state["version"] = ++version;
        state["tenants"] =
            json::array({{{"name", "one"}, {"api_keys", {"tester"}}, {"rate_per_s", rate}, {"burst", 1000}}});
        site.store->put("op/config", state.dump());
    }

    std::string ask(const std::string &text) { return site.ask(*caller, text); }

    bool repeat_until(const std::function<bool()> &condition)
    {
        constexpr int most = 1000;
        for (int n = 0; n < most; ++n) {
            if (condition())
                return true;
            site.run_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    json quota()
    {
        std::optional<json> out;
        http::http_client client(site.base, admin);
        client.send({http::method_kind::get, "/v1/state", {}, {}, std::chrono::milliseconds(1000)},
                    [&out](const auto &answer) { out = json::parse(answer.body).at("quotas").at(0); });
        REQUIRE(site.run_until([&out] { return out.has_value(); }));
        return *out;
    }

    /// Returns how many operations the action was.
    std::uint64_t operations(const std::function<void()> &action)
    {
        const auto before = quota().at("admitted").get<std::uint64_t>();
        action();
        return quota().at("admitted").get<std::uint64_t>() - before;
    }

    proxy_site site;
    support::address admin = free_address();
    std::uint64_t version = 1;
    std::unique_ptr<test_caller> caller;
};

} // namespace

// Guards against a quota that counts statements of a transaction, or not the repetitions that instances run.
TEST_CASE("a statement, a transaction and a repeated read are counted as operations")
{
    limited_site it;
    CHECK(it.operations([&] { it.ask("READ x"); }) == 1);
    CHECK(it.operations([&] {
        it.ask("BEGIN");
        it.ask("READ x");
        it.ask("WRITE x 1");
        it.ask("COMMIT");
    }) == 1);
    CHECK(it.operations([&] { it.ask("SET zone a"); }) == 0);
    const auto repeated = it.operations([&] {
        it.site.group.at("a").fail_next_with = "FAILED";
        CHECK(it.ask("READ x").find("COMPLETE") != std::string::npos);
    });
    CHECK(repeated == 2);
    CHECK(it.operations([&] {
        it.site.group.at("a").fail_next_with = "BUSY";
        it.ask("READ x");
    }) == 1);
}

// Guards against work that is refused late, or for a reason that is not named.
TEST_CASE("an operation beyond the quota is refused with the limit, and begins nothing at an instance")
{
    limited_site it;
    it.set_rate(0);
    REQUIRE(it.repeat_until([&] { return it.quota().at("rate_per_s") == 0; }));
    CHECK(it.ask("READ x").starts_with(
        "ERROR BUSY the workspace's quota of 0 operations per second is used up; retry in"));
    CHECK(it.quota().at("refused").get<std::uint64_t>() >= 1);
    it.ask("BEGIN");
    CHECK(it.ask("WRITE x 1").starts_with("ERROR BUSY"));
}

// Guards against tokens that never arrive over the links: more than a process issues itself must come from
// pools.
TEST_CASE("processes lend each other what their callers do not use of a quota")
{
    proxy_site site;
    std::vector<support::address> admins;
    std::vector<std::unique_ptr<proxy::proxy_task>> others;
    support::address callers;
    for (const auto *const name : {"front-2", "front-3"}) {
        auto settings = site.settings_of(name);
        settings.admin = free_address();
        admins.push_back(*settings.admin);
        callers = settings.callers;
        others.push_back(std::make_unique<proxy::proxy_task>(site.base, settings, [] {}));
    }
    auto state = json::parse(site.store->value("op/config"));
    state["version"] = 2;
    state["tenants"] = json::array();
    for (const auto *const name : {"one", "two", "three", "four"})
        state["tenants"].push_back({{"name", name}, {"api_keys", {name}}, {"rate_per_s", 60}, {"burst", 60}});
    site.store->put("op/config", state.dump());
    site.run_for(std::chrono::milliseconds(4000));
    for (const auto *const name : {"one", "two", "three", "four"}) {
        test_caller caller(site.base, callers);
        caller.send(std::string("CONNECT main ") + name + "\r\n");
        REQUIRE(site.run_until([&caller] { return !caller.lines.empty(); }));
        // A process issues 20 a second and keeps at most 10.
        for (int n = 0; n < 40; ++n)
            CHECK(site.ask(caller, "READ x").find("COMPLETE") != std::string::npos);
    }
    others.clear();
}
